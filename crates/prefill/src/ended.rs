//! The questions on which a report has come, so that a late copy of one changes nothing.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::queue::QuestionId;

/// Time within which copies of a question may arrive after the report on it.
const LIFETIME: Duration = Duration::from_secs(2);
/// Largest number of remembered questions; beyond it the oldest is forgotten.
const MAX_QUESTIONS: usize = 1024;

/// Questions that have ended lately.
#[derive(Debug, Default)]
pub struct EndedQuestions {
    ids: HashSet<QuestionId>,
    /// When each of them ended, oldest first.
    ended: VecDeque<(Instant, QuestionId)>,
}

impl EndedQuestions {
    /// Records that the question ended at `now`.
    pub fn add(&mut self, id: QuestionId, now: Instant) {
        self.forget_old(now);
        if self.ids.insert(id.clone()) {
            self.ended.push_back((now, id));
        }
    }

    /// Whether the question has ended lately.
    pub fn contains(&mut self, id: &QuestionId, now: Instant) -> bool {
        self.forget_old(now);
        self.ids.contains(id)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended.front()
            && (now.saturating_duration_since(*at) >= LIFETIME || self.ended.len() >= MAX_QUESTIONS)
        {
            if let Some((_, id)) = self.ended.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}
