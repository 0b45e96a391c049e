//! The sums of loads that a relay computes, from the loads of the nodes that it serves
//! and the sums of the other relays. A state machine without I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::RunnerKey;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::peers::members::{NodeKey, node_key};

/// Time between two messages of a node to its relay, of a relay to the others, and of a
/// relay to its nodes. A node's view of the others' load is late by at most three of
/// these intervals, which is less than a stream lasts on known deployments (one to two
/// seconds).
pub const RELAY_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message of a node, or of another relay, after which a relay leaves
/// its load out of the sums: four intervals.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message from a relay after which its nodes choose another one: three
/// intervals.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(750);

/// The time at which a node was last seen, as its relay passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSeen {
    /// Hash of the node's name, as [`node_key`] returns it.
    pub node: NodeKey,
    /// Milliseconds since the node's last message.
    pub age_ms: u16,
}

/// Attempts in flight by runner, summed over several nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Number of attempts in flight, by runner.
    pub in_flight: Vec<(RunnerKey, u32)>,
    /// The nodes whose attempts are counted in `in_flight`; empty in some messages to
    /// save bytes.
    pub nodes: Vec<NodeSeen>,
}

#[derive(Debug)]
struct NodeLoad {
    received_at: Instant,
    in_flight: Vec<(RunnerKey, u32)>,
}

#[derive(Debug)]
struct RelayLoad {
    received_at: Instant,
    sum: LoadSum,
}

/// What this node received as a relay: the loads of the nodes that it serves, and the
/// sums of the other relays. Empty if this node is no relay.
#[derive(Debug, Default)]
pub struct RelayState {
    nodes: BTreeMap<Arc<str>, NodeLoad>,
    relays: BTreeMap<Arc<str>, RelayLoad>,
}

impl RelayState {
    /// Stores a node's load; it replaces the node's previous one.
    pub fn set_node_load(
        &mut self,
        node: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        now: Instant,
    ) {
        let load = NodeLoad {
            received_at: now,
            in_flight,
        };
        self.nodes.insert(node, load);
    }

    /// Stores the load of the nodes that another relay serves; it replaces that relay's
    /// previous sum.
    pub fn set_relay_sum(&mut self, relay: Arc<str>, sum: LoadSum, now: Instant) {
        self.relays.insert(
            relay,
            RelayLoad {
                received_at: now,
                sum,
            },
        );
    }

    /// Drops nodes and relays whose last message is older than [`LOAD_TIMEOUT`].
    pub fn drop_unresponsive(&mut self, now: Instant) {
        let is_recent =
            |received_at: Instant| now.saturating_duration_since(received_at) < LOAD_TIMEOUT;
        self.nodes.retain(|_, load| is_recent(load.received_at));
        self.relays
            .retain(|_, relay_load| is_recent(relay_load.received_at));
    }

    /// Names of the nodes that this relay serves: those whose load it received within
    /// [`LOAD_TIMEOUT`].
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<str>> {
        self.nodes.keys()
    }

    /// Names of the other relays from which this relay received the load of their nodes
    /// within [`LOAD_TIMEOUT`].
    pub fn relays(&self) -> impl Iterator<Item = &Arc<str>> {
        self.relays.keys()
    }

    /// Returns the load of the nodes that this relay serves, to be sent to the other
    /// relays.
    pub fn own_sum(&self, now: Instant) -> LoadSum {
        let loads = self.nodes.values().map(|load| &load.in_flight);
        let nodes = self.nodes.iter().map(|(name, load)| NodeSeen {
            node: node_key(name),
            age_ms: milliseconds_or_max(now.saturating_duration_since(load.received_at)),
        });
        LoadSum {
            in_flight: sum_loads(loads),
            nodes: nodes.collect(),
        }
    }

    /// Returns the load of the nodes of all relays, to be sent to the nodes that this
    /// relay serves.
    pub fn fleet_sum(&self, now: Instant) -> LoadSum {
        let own = self.own_sum(now);
        let others = self
            .relays
            .values()
            .map(|relay_load| &relay_load.sum.in_flight);
        let mut nodes = own.nodes;
        for relay_load in self.relays.values() {
            let sum_age_ms =
                milliseconds_or_max(now.saturating_duration_since(relay_load.received_at));
            nodes.extend(relay_load.sum.nodes.iter().map(|node| NodeSeen {
                node: node.node,
                age_ms: node.age_ms.saturating_add(sum_age_ms),
            }));
        }
        LoadSum {
            in_flight: sum_loads(others.chain([&own.in_flight])),
            nodes,
        }
    }
}

/// Adds up several loads; the result is sorted by the runners' keys.
fn sum_loads<'a>(loads: impl Iterator<Item = &'a Vec<(RunnerKey, u32)>>) -> Vec<(RunnerKey, u32)> {
    let mut sums: HashMap<RunnerKey, u32> = HashMap::new();
    for (key, count) in loads.flatten() {
        *sums.entry(*key).or_default() += count;
    }
    let mut sums: Vec<(RunnerKey, u32)> = sums.into_iter().collect();
    sums.sort_unstable();
    sums
}

/// Subtracts a node's own load from the fleet's, which includes it; leaves out runners
/// without other load.
pub fn subtract_load(
    fleet: Vec<(RunnerKey, u32)>,
    own: &[(RunnerKey, u32)],
) -> Vec<(RunnerKey, u32)> {
    let own: HashMap<RunnerKey, u32> = own.iter().copied().collect();
    fleet
        .into_iter()
        .map(|(key, count)| {
            let own = own.get(&key).copied().unwrap_or(0);
            (key, count.saturating_sub(own))
        })
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn milliseconds_or_max(age: Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
