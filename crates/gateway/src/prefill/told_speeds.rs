//! Selects which of a prefill owner's updates are worth a message to all nodes.

use std::collections::HashMap;

use barleyspar_catalog::RunnerKey;
use barleyspar_prefill::PrefillUpdate;

/// Change of a runner's speed, as a part of the speed told last, from which it is told again.
const TOLD_CHANGE: f64 = 0.1;
/// Number of updates told in turn although nothing has changed, so that nodes that have
/// started since learn of all runners within seconds.
const UNCHANGED_PER_TURN: usize = 16;
/// One in this many messages tells updates in turn.
const MESSAGES_PER_TURN: usize = 4;
/// Largest number of updates in one message. The others follow in the next one.
const MAX_UPDATES: usize = 64;
/// Number of runners beyond which all told speeds are forgotten, and thus told again.
const MAX_RUNNERS: usize = 4096;

/// The speeds that this node told the others last.
#[derive(Debug, Default)]
pub struct ToldSpeeds {
    by_runner: HashMap<RunnerKey, u32>,
    /// Number of messages so far; wraps around.
    messages: usize,
    /// Number of updates told in turn so far; wraps around.
    turns: usize,
}

impl ToldSpeeds {
    /// Returns those of the `updates` on all owned runners that are to be told now: those with
    /// a wait or a changed speed, and a few in turn.
    pub fn select(&mut self, updates: Vec<PrefillUpdate>) -> Vec<PrefillUpdate> {
        if self.by_runner.len() >= MAX_RUNNERS {
            self.by_runner.clear();
        }
        let count = updates.len().max(1);
        let first = self.turns % count;
        let told_in_turn = self.next_turn_length();
        let from_first = updates.iter().cycle().skip(first).take(updates.len());
        let mut selected = Vec::new();
        for (position, update) in from_first.enumerate() {
            let is_in_turn = position < told_in_turn;
            if update.wait_ms > 0 || self.has_changed(update) || is_in_turn {
                self.by_runner
                    .insert(update.runner, update.tokens_per_second);
                selected.push(*update);
            }
            if selected.len() >= MAX_UPDATES {
                break;
            }
        }
        selected
    }

    /// Number of updates that the next message tells in turn.
    fn next_turn_length(&mut self) -> usize {
        let has_turn = self.messages.is_multiple_of(MESSAGES_PER_TURN);
        self.messages = self.messages.wrapping_add(1);
        let length = if has_turn { UNCHANGED_PER_TURN } else { 0 };
        self.turns = self.turns.wrapping_add(length);
        length
    }

    fn has_changed(&self, update: &PrefillUpdate) -> bool {
        let Some(told) = self.by_runner.get(&update.runner) else {
            return true;
        };
        let change = f64::from(told.abs_diff(update.tokens_per_second));
        change > TOLD_CHANGE * f64::from(*told)
    }
}

#[cfg(test)]
#[path = "told_speeds_tests.rs"]
mod tests;
