//! Requests that a node has served lately: what was answered well does not crash runners.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::Fingerprint;

/// Requests that are kept: 64 KB.
const MOST_KEPT: usize = 1024;
/// Time for which an answer says that a request does no harm: the next version of a model
/// may not bear it.
const BELIEVED_FOR: Duration = Duration::from_secs(60);

/// The requests.
#[derive(Debug, Default)]
pub struct RecentlyServed {
    last: HashMap<Fingerprint, Answered>,
    /// All answers kept, in order, by their numbers.
    order: VecDeque<(Fingerprint, u64)>,
    answers: u64,
}

/// A request's last answer.
#[derive(Debug, Clone, Copy)]
struct Answered {
    number: u64,
    at: Instant,
}

impl RecentlyServed {
    /// Notes that `request` was answered well.
    pub fn add(&mut self, request: Fingerprint, now: Instant) {
        self.answers += 1;
        let number = self.answers;
        self.last.insert(request, Answered { number, at: now });
        self.order.push_back((request, number));
        if self.order.len() > MOST_KEPT
            && let Some((oldest, number)) = self.order.pop_front()
            && self
                .last
                .get(&oldest)
                .is_some_and(|last| last.number == number)
        {
            self.last.remove(&oldest);
        }
    }

    /// Whether `request` was answered well a short while ago.
    pub fn contains(&self, request: Fingerprint, now: Instant) -> bool {
        let last = self.last.get(&request);
        last.is_some_and(|last| now.saturating_duration_since(last.at) < BELIEVED_FOR)
    }
}
