//! The questions of this node that have no decision yet, and when each is due.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::prefill::local_pacer::PacedPrompt;
use crate::prefill::{PrefillAsk, PrefillDecision};

/// How far a question has come.
#[derive(Debug)]
pub enum Phase {
    /// The owner was asked this often and has not answered yet.
    Asked { attempts: u32 },
    /// The owner has queued the prompt.
    Queued,
    /// No owner answers. This node sends the prompt at its turn.
    Paced(PacedPrompt),
}

/// A question of this node that has no decision yet.
#[derive(Debug)]
pub struct Question {
    /// What the request asks for.
    pub ask: PrefillAsk,
    /// How far the question has come.
    pub phase: Phase,
    /// The node that was asked last.
    pub owner: Arc<str>,
    /// When the request asked.
    pub asked_at: Instant,
    /// Whether an owner has queued the prompt.
    pub was_queued: bool,
    /// Longest wait that an owner named; zero if none did.
    pub expected_wait: Duration,
    /// When the owner is asked again, or the prompt's own turn comes.
    pub due_at: Instant,
    /// Channel for the decision.
    pub reply: oneshot::Sender<PrefillDecision>,
}

impl Question {
    /// Returns when the question is decided without an answer: a queued prompt is then given
    /// up, and any other is sent in time.
    pub fn ends_at(&self) -> Instant {
        if self.was_queued {
            self.ask.gives_up_at
        } else {
            self.ask.last_send_at()
        }
    }
}

/// The questions without a decision, by number.
#[derive(Debug, Default)]
pub struct Questions {
    by_number: BTreeMap<u64, Question>,
    /// When each question is due, as time and number.
    due: BTreeSet<(Instant, u64)>,
}

impl Questions {
    /// Adds a question, which is due at its `due_at`.
    pub fn insert(&mut self, number: u64, question: Question) {
        self.due.insert((question.due_at, number));
        self.by_number.insert(number, question);
    }

    /// Removes a question; `None` if it has been decided or cancelled.
    pub fn take(&mut self, number: u64) -> Option<Question> {
        let question = self.by_number.remove(&number)?;
        self.due.remove(&(question.due_at, number));
        Some(question)
    }

    /// When the next question is due; `None` if there is none.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes the first question that is due at `now`; `None` if none is.
    pub fn take_due(&mut self, now: Instant) -> Option<(u64, Question)> {
        let (at, number) = self.due.first().copied()?;
        if at > now {
            return None;
        }
        Some((number, self.take(number)?))
    }
}
