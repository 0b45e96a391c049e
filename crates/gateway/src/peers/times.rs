//! How often nodes tell each other what, and how long it is believed.
//!
//! All that depends on the number of nodes is worked out here.

use std::time::Duration;

use crate::peers::members::MESH_NODES;

/// Time between two messages to each peer, and between two messages of demand
/// to the leader, at the least.
pub const SHORTEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two messages of demand for each node: the leader takes in at most
/// 300 a second, a percent of a core.
const DEMAND_INTERVAL_PER_NODE: Duration = Duration::from_micros(3400);
/// Time between two messages of demand when requests begin to wait.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a member is counted after the last sign of it.
pub const COUNTED_FOR: Duration = Duration::from_secs(15);
/// Silence of a peer that may be thought to be gone, where all tell all: three
/// messages.
const MESH_SILENCE: Duration = Duration::from_millis(1300);
/// The same where signs of peers come over relays: what is known of one is up to
/// 0.75 s old, with two messages lost 1.5 s.
const RELAYED_SILENCE: Duration = Duration::from_millis(1600);
/// Messages in whose time the next one must have come: one may be lost, and the
/// next one late.
pub const BELIEVED_MESSAGES: u32 = 3;
/// Messages of a relay to its nodes of which one names the nodes heard.
pub const SIGNS_EVERY: u32 = 2;
/// Time for which a silent relay is not chosen again.
pub const RELAY_AVOIDED_FOR: Duration = Duration::from_secs(2);

/// Time between two messages of demand to the leader among `nodes` nodes.
pub fn demand_interval(nodes: u32) -> Duration {
    SHORTEST_INTERVAL.max(DEMAND_INTERVAL_PER_NODE * nodes)
}

/// Time for which the leader believes the demand of one of `nodes` nodes.
pub fn demand_believed_for(nodes: u32) -> Duration {
    demand_interval(nodes) * BELIEVED_MESSAGES
}

/// Silence after which one of `nodes` nodes may be thought to be gone.
pub fn longest_silence(nodes: u32) -> Duration {
    if nodes as usize > MESH_NODES {
        RELAYED_SILENCE
    } else {
        MESH_SILENCE
    }
}
