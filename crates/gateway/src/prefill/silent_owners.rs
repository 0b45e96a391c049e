//! Remembers which prefill owners have not answered, so that prompts do not wait for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a node that did not answer is not asked.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Number of nodes beyond which no further one is remembered.
const MAX_OWNERS: usize = 256;

/// The nodes that have not answered lately.
#[derive(Debug, Default)]
pub struct SilentOwners {
    asked_again_at: HashMap<Arc<str>, Instant>,
}

impl SilentOwners {
    /// Records that `owner` has not answered any of several questions about one prompt.
    pub fn record_silence(&mut self, owner: &Arc<str>, now: Instant) {
        self.asked_again_at.retain(|_, at| *at > now);
        if self.asked_again_at.len() < MAX_OWNERS {
            self.asked_again_at
                .insert(owner.clone(), now + SILENCE_TIME);
        }
    }

    /// Records that `owner` has answered.
    pub fn record_answer(&mut self, owner: &str) {
        self.asked_again_at.remove(owner);
    }

    /// Whether `owner` is not to be asked at `now`.
    pub fn is_silent(&self, owner: &str, now: Instant) -> bool {
        self.asked_again_at.get(owner).is_some_and(|at| *at > now)
    }
}

#[cfg(test)]
#[path = "silent_owners_tests.rs"]
mod tests;
