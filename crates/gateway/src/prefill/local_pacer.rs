//! Paces this node's own prompts to runners whose prefill owner does not answer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;
use barleyspar_prefill::read_time;

/// Part of the runner's reading speed that is used; in the rest of the time it decodes the
/// tokens of its running streams.
const READING_FRACTION: f64 = 0.8;
/// Number of runners beyond which those without a reserved time are forgotten.
const MAX_RUNNERS: usize = 256;

/// A prompt to be paced.
#[derive(Debug, Clone, Copy)]
pub struct PacedPrompt {
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// Prompt tokens that the runner reads a second; `None` if unknown.
    pub tokens_per_second: Option<f64>,
    /// This node's part of what is in flight at the runner, from 0 to 1.
    pub share: f64,
    /// Longest pause between two events that the route allows.
    pub target_gap: Duration,
}

impl PacedPrompt {
    /// Time for which the prompt keeps this node's part of the runner busy. A prompt takes no
    /// longer than the target gap, so that each node may send one in that time.
    fn cost(&self) -> Duration {
        let rate = self.tokens_per_second.unwrap_or(0.0) * READING_FRACTION * self.share;
        read_time(self.tokens, rate).min(self.target_gap)
    }
}

/// When this node may send its next prompt to each runner.
#[derive(Debug, Default)]
pub struct LocalPacer {
    free_at: HashMap<RunnerKey, Instant>,
}

impl LocalPacer {
    /// Reserves the next turn at the prompt's runner, and returns when it comes.
    pub fn reserve(&mut self, prompt: &PacedPrompt, now: Instant) -> Instant {
        if self.free_at.len() >= MAX_RUNNERS {
            self.free_at.retain(|_, free_at| *free_at > now);
        }
        let free_at = self.free_at.entry(prompt.runner).or_insert(now);
        let turn_at = (*free_at).max(now);
        *free_at = turn_at + prompt.cost();
        turn_at
    }

    /// Gives back the turn of a prompt that was not sent.
    pub fn give_back(&mut self, prompt: &PacedPrompt) {
        if let Some(free_at) = self.free_at.get_mut(&prompt.runner) {
            *free_at = free_at.checked_sub(prompt.cost()).unwrap_or(*free_at);
        }
    }
}

#[cfg(test)]
#[path = "local_pacer_tests.rs"]
mod tests;
