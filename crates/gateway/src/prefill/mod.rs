//! Permits to send prompts to runners, granted by the prefill owner of each runner.
//!
//! A request asks its runner's prefill owner before its prompt is sent, which costs one
//! exchange of datagrams. While no owner answers, the node paces its own prompts.

mod local_pacer;
mod pacing;
mod questions;
mod silent_owners;
mod task;
mod told_speeds;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use barleyspar_prefill::{PrefillMessage, TenantKey, read_time};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::question_numbers::number_before_first;

pub use pacing::{Moves, Turn, await_turn, await_turn_briefly};
pub use task::PrefillTask;

/// Time that a move to another runner takes: two exchanges of datagrams and a new choice.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(20);
/// Time before a request gives up at which its prompt is sent if no owner answers.
const UNOWNED_SEND_MARGIN: Duration = Duration::from_millis(20);

/// A request's question for a permit to send its prompt to one runner.
#[derive(Debug, Clone)]
pub struct PrefillAsk {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When the request stops waiting for the permit.
    pub gives_up_at: Instant,
    /// Longest pause between two events that the route allows.
    pub target_gap: Duration,
    /// Key of the caller's tenant; `None` if the route requires no tenant.
    pub tenant: Option<TenantKey>,
    /// Prompt tokens that the runner reads a second; `None` if unknown.
    pub tokens_per_second: Option<f64>,
    /// Attempts of all nodes in flight at the runner, this one included.
    pub in_flight: u32,
    /// Whether the request may go to another runner instead of waiting at this one.
    pub may_move: bool,
}

impl PrefillAsk {
    /// Whether the request goes to another runner if it would wait for `wait` here: it may, and
    /// gains by that even if it has to be read anew there, without what this runner keeps of it.
    fn moves_after(&self, wait: Duration) -> bool {
        self.may_move && wait >= MIN_MOVE_WAIT + self.read_time()
    }

    /// Time that the runner takes to read the prompt; zero if its speed is unknown.
    fn read_time(&self) -> Duration {
        let speed = self.tokens_per_second.unwrap_or(f64::INFINITY);
        read_time(self.prompt_tokens, speed)
    }

    /// Returns the last time at which the prompt is sent if no owner answers: early enough to be
    /// read before the request gives up.
    fn last_send_at(&self) -> Instant {
        let reading = self.read_time().saturating_add(UNOWNED_SEND_MARGIN);
        let last_send_at = self.gives_up_at.checked_sub(reading);
        last_send_at.unwrap_or(self.gives_up_at)
    }

    /// Returns when this node sends the prompt without an owner, if its own turn comes at
    /// `turn_at`.
    fn unowned_send_at(&self, turn_at: Instant, now: Instant) -> Instant {
        turn_at.min(self.last_send_at()).max(now)
    }
}

/// Decision on a [`PrefillAsk`].
#[derive(Debug)]
pub enum PrefillDecision {
    /// The prompt may be sent now.
    Granted(PrefillPermit),
    /// The request is expected to be read sooner at another runner than after this wait.
    Elsewhere(Duration),
    /// The expected wait exceeds the request's patience.
    Denied(Duration),
    /// The request gave up while an owner kept its prompt queued.
    TimedOut,
}

/// Who granted a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantedBy {
    /// The prefill owner, at once.
    Owner,
    /// The prefill owner, after the prompt was queued.
    OwnersQueue,
    /// This node, because no owner answered.
    ThisNode,
}

/// Permit to send one prompt to one runner. Dropping it before the prompt was read frees the
/// permit.
#[derive(Debug)]
pub struct PrefillPermit {
    number: u64,
    handle: PrefillHandle,
    owner: Arc<str>,
    granted_by: GrantedBy,
    expected_wait: Duration,
    waited: Duration,
    sent_at: OnceLock<Instant>,
    reported: AtomicBool,
}

impl PrefillPermit {
    /// Returns the time from the question to the grant.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Records that the request is now sent to the runner.
    pub fn record_sent(&self) {
        self.sent_at.get_or_init(Instant::now);
    }

    /// Reports that the first event of the answer has come. Further calls have no effect.
    pub fn report_read(&self) {
        let Some(sent_at) = self.sent_at.get() else {
            return;
        };
        if !self.reported.swap(true, Ordering::Relaxed) {
            let (number, read_time) = (self.number, sent_at.elapsed());
            self.handle.send(Command::PromptRead { number, read_time });
        }
    }

    /// Reports the usual time between two events of the stream, which has ended.
    pub fn report_pace(&self, event_time: Duration) {
        let number = self.number;
        self.handle.send(Command::StreamPace { number, event_time });
    }
}

impl Drop for PrefillPermit {
    fn drop(&mut self) {
        self.handle.send(Command::Finish(self.number));
    }
}

enum Command {
    Ask {
        number: u64,
        ask: PrefillAsk,
        reply: oneshot::Sender<PrefillDecision>,
    },
    Cancel(u64),
    PromptRead {
        number: u64,
        read_time: Duration,
    },
    StreamPace {
        number: u64,
        event_time: Duration,
    },
    Finish(u64),
    Message(PrefillMessage),
}

/// A handle to the prefill task of this node; clones share the task.
#[derive(Debug, Clone)]
pub struct PrefillHandle {
    // The queue has no limit of its own. Its length is bounded by the requests in flight and
    // by the messages of peers, since the task handles each command immediately.
    commands: mpsc::UnboundedSender<Command>,
    last_number: Arc<AtomicU64>,
}

/// The receiving end of a [`PrefillHandle`], consumed by the task.
pub struct PrefillInbox(mpsc::UnboundedReceiver<Command>);

/// Creates a handle and its receiving end, which [`PrefillTask::new`] takes.
pub fn channel() -> (PrefillHandle, PrefillInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let handle = PrefillHandle {
        commands,
        last_number: Arc::new(AtomicU64::new(number_before_first())),
    };
    (handle, PrefillInbox(inbox))
}

/// Cancels a call of [`PrefillHandle::acquire`] whose future is dropped while it waits. Has no
/// effect on a call that is already decided.
struct CancelOnDrop<'a> {
    handle: &'a PrefillHandle,
    number: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.handle.send(Command::Cancel(self.number));
    }
}

impl PrefillHandle {
    fn send(&self, command: Command) {
        // The prefill task ends only with the process, so the command is always received.
        let _ = self.commands.send(command);
    }

    /// Asks for a permit, and waits until there is a decision. Returns `None` if the task is
    /// gone.
    pub async fn acquire(&self, ask: PrefillAsk) -> Option<PrefillDecision> {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, decision) = oneshot::channel();
        self.send(Command::Ask { number, ask, reply });
        let _cancel = CancelOnDrop {
            handle: self,
            number,
        };
        decision.await.ok()
    }

    /// Handles a message of a peer on permits, other than updates.
    pub fn handle_message(&self, message: PrefillMessage) {
        self.send(Command::Message(message));
    }
}

#[cfg(test)]
#[path = "ask_tests.rs"]
mod tests;
