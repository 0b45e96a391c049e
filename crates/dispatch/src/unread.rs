//! Prompts of this node that a runner has yet to read.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::query::PermitId;

#[derive(Debug, Clone, Copy)]
struct UnreadPrompt {
    tokens: u64,
    granted_at: Instant,
}

/// The prompts that this node has sent to a runner, or is about to send there, and that the
/// runner has not read, by permit.
#[derive(Debug, Default)]
pub struct UnreadPrompts {
    prompts: BTreeMap<PermitId, UnreadPrompt>,
}

impl UnreadPrompts {
    /// Adds the prompt of a request that was granted the runner at `granted_at`.
    pub fn add(&mut self, permit: PermitId, tokens: u64, granted_at: Instant) {
        if tokens > 0 {
            let prompt = UnreadPrompt { tokens, granted_at };
            self.prompts.insert(permit, prompt);
        }
    }

    /// Removes the prompt of a request that was read, or whose attempt has ended.
    pub fn remove(&mut self, permit: PermitId) {
        self.prompts.remove(&permit);
    }

    /// Number of tokens of all unread prompts.
    pub fn tokens(&self) -> u64 {
        sum(self.prompts.values())
    }

    /// Number of tokens of the unread prompts that were granted after `at`.
    pub fn tokens_after(&self, at: Instant) -> u64 {
        sum(self
            .prompts
            .values()
            .filter(|prompt| prompt.granted_at > at))
    }
}

fn sum<'a>(prompts: impl Iterator<Item = &'a UnreadPrompt>) -> u64 {
    prompts.fold(0, |sum, prompt| sum.saturating_add(prompt.tokens))
}
