//! The newest entries, kept for peers that are a little behind, and entries
//! that arrived before those they follow.

use std::collections::{BTreeMap, VecDeque};

use crate::{ControlState, Entry};

/// Entries that may wait for an earlier one.
const MAXIMUM_EARLY_ENTRIES: usize = 256;

/// A copy of the log: its state and its newest entries.
#[derive(Debug, Default)]
pub struct Copy {
    state: ControlState,
    newest: VecDeque<Entry>,
    early: BTreeMap<u64, Entry>,
    capacity: usize,
}

impl Copy {
    /// An empty copy that retains `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// The state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Takes in entries in any order; applies those that follow without a gap.
    /// Returns how many were applied.
    ///
    /// Invariant: the position never falls, and every entry is applied once.
    pub fn ingest(&mut self, entries: impl IntoIterator<Item = Entry>) -> usize {
        for entry in entries {
            if entry.position > self.state.position() && self.early.len() < MAXIMUM_EARLY_ENTRIES {
                self.early.insert(entry.position, entry);
            }
        }
        let mut applied = 0;
        while let Some(entry) = self.early.remove(&(self.state.position() + 1)) {
            self.state.apply(&entry);
            self.retain(entry);
            applied += 1;
        }
        applied
    }

    /// Replaces the state by a later one. Returns whether it was later.
    pub fn replace(&mut self, state: ControlState) -> bool {
        if state.position() <= self.state.position() {
            return false;
        }
        self.state = state;
        self.newest.clear();
        self.early = self.early.split_off(&(self.state.position() + 1));
        true
    }

    /// The entries after `position`, if all of them are retained.
    pub fn since(&self, position: u64) -> Option<Vec<Entry>> {
        if position >= self.state.position() {
            return Some(Vec::new());
        }
        let first = self.newest.front()?.position;
        if first > position + 1 {
            return None;
        }
        let newer = self.newest.iter().filter(|entry| entry.position > position);
        Some(newer.cloned().collect())
    }

    fn retain(&mut self, entry: Entry) {
        if self.newest.len() == self.capacity {
            self.newest.pop_front();
        }
        self.newest.push_back(entry);
    }
}
