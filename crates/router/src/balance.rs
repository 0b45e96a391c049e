//! Choosing among ready replicas.
//!
//! The engine's cache events come late and with gaps, so affinity rests on what
//! this node itself sent where: the replica that last got the same prompt
//! prefix is preferred while it is not much busier than the others, then a
//! replica of this zone, then the least busy one.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use barleyspar_domain::RunnerName;

/// Bytes of the prompt that make its prefix.
const PREFIX_BYTES: usize = 256;
/// Prefixes remembered.
const MAXIMUM_PREFIXES: usize = 8192;

/// A ready replica as balancing sees it.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The runner.
    pub runner: &'a RunnerName,
    /// Requests of this node it is working on.
    pub in_flight: u32,
    /// Whether it is in this node's zone.
    pub local: bool,
}

/// Hash of the prefix of `prompt` for `model`.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    let mut hasher = std::hash::DefaultHasher::new();
    (model, &prompt.as_bytes()[..end]).hash(&mut hasher);
    hasher.finish()
}

/// Remembers which replica last got which prefix.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    replicas: BTreeMap<u64, RunnerName>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    /// The replica that last got `prefix`.
    pub fn replica(&self, prefix: u64) -> Option<&RunnerName> {
        self.replicas.get(&prefix)
    }

    /// Notes that `runner` got `prefix`.
    pub fn note(&mut self, prefix: u64, runner: &RunnerName) {
        if self.replicas.insert(prefix, runner.clone()).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > MAXIMUM_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.replicas.remove(&oldest);
        }
    }
}

/// Chooses a replica; `slack` is by how many requests the preferred one may be
/// busier than the least busy.
pub fn choose<'a>(
    options: &[Choice<'a>],
    preferred: Option<&RunnerName>,
    slack: u32,
) -> Option<&'a RunnerName> {
    let least = options.iter().map(|option| option.in_flight).min()?;
    let acceptable = |option: &&Choice<'a>| option.in_flight <= least + slack;
    let remembered = options
        .iter()
        .filter(acceptable)
        .find(|option| Some(option.runner) == preferred);
    if let Some(option) = remembered {
        return Some(option.runner);
    }
    options
        .iter()
        .filter(acceptable)
        .min_by_key(|option| (!option.local, option.in_flight, option.runner))
        .map(|option| option.runner)
}
