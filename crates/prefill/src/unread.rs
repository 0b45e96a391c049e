//! The granted prompts of one runner that were not reported as read.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::TenantKey;
use crate::queue::{QuestionId, WaitingPrompt};
use crate::speed::read_time;

/// Time beyond its reading after which a prompt's report counts as lost, if a prompt that was
/// granted later has been read.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a prompt counts as unread.
pub const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);

/// A granted prompt that was not reported as read.
#[derive(Debug, Clone, Copy)]
pub struct UnreadPrompt {
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// The tenant that was charged for it; `None` if none was.
    pub tenant: Option<TenantKey>,
    /// When its permit was granted.
    pub granted_at: Instant,
}

/// Granted prompts that were not reported as read.
///
/// A runner that reports nothing is slow, or the reports are lost. Its unread prompts keep
/// others back, but one more is tried each time that all of them should long have been read.
#[derive(Debug, Default)]
pub struct UnreadPrompts {
    prompts: BTreeMap<QuestionId, UnreadPrompt>,
    tokens: u64,
    granted_at: Option<Instant>,
    /// Grant time of the latest prompt that was read.
    read_grant_at: Option<Instant>,
}

impl UnreadPrompts {
    /// Adds a prompt granted at `now`.
    pub fn add(&mut self, prompt: WaitingPrompt, now: Instant) {
        let unread = UnreadPrompt {
            tokens: prompt.tokens,
            tenant: prompt.tenant,
            granted_at: now,
        };
        self.prompts.insert(prompt.id, unread);
        self.tokens += unread.tokens;
        self.granted_at = Some(now);
    }

    /// Removes the prompt of this question, which was read. Returns `None` if it is unknown.
    pub fn read(&mut self, id: &QuestionId) -> Option<UnreadPrompt> {
        let prompt = self.remove(id)?;
        self.read_grant_at = self.read_grant_at.max(Some(prompt.granted_at));
        Some(prompt)
    }

    /// Removes the prompt of this question, which is not sent. Returns `None` if it is unknown.
    pub fn remove(&mut self, id: &QuestionId) -> Option<UnreadPrompt> {
        let prompt = self.prompts.remove(id)?;
        self.tokens -= prompt.tokens;
        Some(prompt)
    }

    /// Drops the prompts whose reports count as lost at `now`.
    pub fn drop_lost(&mut self, tokens_per_second: f64, now: Instant) {
        let read_grant_at = self.read_grant_at;
        self.prompts.retain(|_, prompt| {
            let overtaken = read_grant_at > Some(prompt.granted_at);
            let timeout = if overtaken {
                report_timeout(prompt.tokens, tokens_per_second)
            } else {
                MAX_UNREAD_TIME
            };
            now.saturating_duration_since(prompt.granted_at) < timeout
        });
        self.tokens = self.prompts.values().map(|prompt| prompt.tokens).sum();
    }

    /// Returns when one more prompt may be tried although reports are missing. `None` before
    /// the first grant.
    pub fn retry_at(&self, tokens_per_second: f64) -> Option<Instant> {
        let timeout = report_timeout(self.tokens, tokens_per_second);
        self.granted_at.map(|at| at + timeout)
    }

    /// Whether a prompt has been unread for longer than its report may take.
    pub fn is_overdue(&self, tokens_per_second: f64, now: Instant) -> bool {
        self.prompts.values().any(|prompt| {
            let timeout = report_timeout(prompt.tokens, tokens_per_second);
            now.saturating_duration_since(prompt.granted_at) >= timeout
        })
    }

    /// Returns the prompt that was granted first; `None` if all are read.
    pub fn oldest(&self) -> Option<&UnreadPrompt> {
        self.prompts.values().min_by_key(|prompt| prompt.granted_at)
    }

    /// Whether the prompt of this question was granted and not reported as read.
    pub fn contains(&self, id: &QuestionId) -> bool {
        self.prompts.contains_key(id)
    }

    /// Returns the tokens of all unread prompts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Number of unread prompts.
    pub fn len(&self) -> usize {
        self.prompts.len()
    }
}

fn report_timeout(tokens: u64, tokens_per_second: f64) -> Duration {
    let reading = read_time(tokens, tokens_per_second);
    MAX_UNREAD_TIME.min(reading.saturating_add(REPORT_TIMEOUT))
}
