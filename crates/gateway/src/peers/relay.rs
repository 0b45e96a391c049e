//! What a relay sums up: the loads that nodes of its zone tell it, and the sums
//! of other relays. A state machine without I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::RunnerKey;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::peers::members::{NodeKey, node_key};

/// Time between two messages of a node to its relay, of a relay to the others,
/// and of a relay to its nodes: what a node knows of the others' load is older
/// than the load itself by at most three of these. A stream lasts for one to
/// two seconds on the users' deployments.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of a node from which on its relay counts it no longer: four messages.
pub const RELAYED_FOR: Duration = Duration::from_secs(1);
/// Silence of a relay after which its nodes look for another: three messages.
pub const RELAY_SILENCE: Duration = Duration::from_millis(750);

/// When a node was heard by its relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// The node.
    pub node: NodeKey,
    /// Milliseconds since then.
    pub age_ms: u16,
}

/// Attempts in flight by runner, and the nodes whose they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// The counts, by runner.
    pub in_flight: Vec<(RunnerKey, u32)>,
    /// The nodes counted.
    pub nodes: Vec<Sign>,
}

#[derive(Debug)]
struct Told {
    at: Instant,
    in_flight: Vec<(RunnerKey, u32)>,
}

#[derive(Debug)]
struct Summed {
    at: Instant,
    sum: LoadSum,
}

/// The state of a node as a relay of others.
#[derive(Debug, Default)]
pub struct RelayState {
    nodes: BTreeMap<Arc<str>, Told>,
    relays: BTreeMap<Arc<str>, Summed>,
}

impl RelayState {
    /// Takes in what a node tells of its load.
    pub fn told(&mut self, node: Arc<str>, in_flight: Vec<(RunnerKey, u32)>, now: Instant) {
        let told = Told { at: now, in_flight };
        self.nodes.insert(node, told);
    }

    /// Takes in the sum of another relay.
    pub fn summed(&mut self, relay: Arc<str>, sum: LoadSum, now: Instant) {
        self.relays.insert(relay, Summed { at: now, sum });
    }

    /// Forgets nodes and relays that fell silent.
    pub fn forget_silent(&mut self, now: Instant) {
        let lately = |at: Instant| now.saturating_duration_since(at) < RELAYED_FOR;
        self.nodes.retain(|_, told| lately(told.at));
        self.relays.retain(|_, summed| lately(summed.at));
    }

    /// Nodes that this one relays for.
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<str>> {
        self.nodes.keys()
    }

    /// Relays that told their sums lately.
    pub fn relays(&self) -> impl Iterator<Item = &Arc<str>> {
        self.relays.keys()
    }

    /// The sum over the nodes that this one relays for.
    pub fn own_sum(&self, now: Instant) -> LoadSum {
        let loads = self.nodes.values().map(|told| &told.in_flight);
        let signs = self.nodes.iter().map(|(name, told)| Sign {
            node: node_key(name),
            age_ms: whole_milliseconds(now.saturating_duration_since(told.at)),
        });
        LoadSum {
            in_flight: add(loads),
            nodes: signs.collect(),
        }
    }

    /// The sum over all nodes of all relays.
    pub fn whole_sum(&self, now: Instant) -> LoadSum {
        let own = self.own_sum(now);
        let others = self.relays.values().map(|summed| &summed.sum.in_flight);
        let mut nodes = own.nodes;
        for summed in self.relays.values() {
            let since = whole_milliseconds(now.saturating_duration_since(summed.at));
            nodes.extend(summed.sum.nodes.iter().map(|sign| Sign {
                node: sign.node,
                age_ms: sign.age_ms.saturating_add(since),
            }));
        }
        LoadSum {
            in_flight: add(others.chain([&own.in_flight])),
            nodes,
        }
    }
}

/// The sum of several loads, in the order of the runners' keys.
fn add<'a>(loads: impl Iterator<Item = &'a Vec<(RunnerKey, u32)>>) -> Vec<(RunnerKey, u32)> {
    let mut sums: HashMap<RunnerKey, u32> = HashMap::new();
    for (key, count) in loads.flatten() {
        *sums.entry(*key).or_default() += count;
    }
    let mut sums: Vec<(RunnerKey, u32)> = sums.into_iter().collect();
    sums.sort_unstable();
    sums
}

/// `whole` without what this node itself told before.
pub fn without(whole: Vec<(RunnerKey, u32)>, own: &[(RunnerKey, u32)]) -> Vec<(RunnerKey, u32)> {
    let own: HashMap<RunnerKey, u32> = own.iter().copied().collect();
    whole
        .into_iter()
        .map(|(key, count)| {
            let own = own.get(&key).copied().unwrap_or(0);
            (key, count.saturating_sub(own))
        })
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn whole_milliseconds(age: Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
