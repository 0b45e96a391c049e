//! Intervals and timeouts of the messages between nodes, including all that depend on
//! the number of nodes.

use std::time::Duration;

use crate::peers::members::MESH_NODES;

/// Minimum time between two load messages to each peer, and between two regular demand
/// messages to the leader.
pub const MIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two demand messages of a node, per node of the fleet: the leader
/// handles at most 300 a second, a percent of a core.
const DEMAND_INTERVAL_PER_NODE: Duration = Duration::from_micros(3400);
/// Minimum time between two demand messages while requests begin to wait.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a member that was not seen and has no entry in the store is
/// dropped.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without a message after which a peer may be gone, where all nodes send to all:
/// long enough for three messages.
const MESH_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time without a message after which a peer may be gone, where messages go through
/// relays: the last-seen time of a peer is up to 0.75 s old, or 1.5 s if two messages
/// are lost.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(1600);
/// Number of intervals for which a message is valid: the next one may be lost, and the
/// one after it late.
pub const VALID_INTERVALS: u32 = 3;
/// One in this many load messages from a relay to its nodes lists the nodes whose load
/// it contains.
pub const NODE_LIST_EVERY: u32 = 2;
/// Time for which an unresponsive relay is not chosen again.
pub const RELAY_AVOIDED_FOR: Duration = Duration::from_secs(2);

/// Returns the time between two demand messages of a node to the leader, if there are
/// `nodes` nodes.
pub fn demand_interval(nodes: u32) -> Duration {
    MIN_INTERVAL.max(DEMAND_INTERVAL_PER_NODE * nodes)
}

/// Returns the time for which the leader uses a demand message, if there are `nodes`
/// nodes.
pub fn demand_valid_for(nodes: u32) -> Duration {
    demand_interval(nodes) * VALID_INTERVALS
}

/// Returns the time without a message after which a node may be considered gone, if
/// there are `nodes` nodes.
pub fn peer_timeout(nodes: u32) -> Duration {
    if nodes as usize > MESH_NODES {
        RELAYED_TIMEOUT
    } else {
        MESH_TIMEOUT
    }
}
