//! Staggered delays for writes to the store that only one node needs to make, such as
//! acquiring the placement lease. Each node waits longer than the nodes ahead of it in the
//! order by link speed. If one of them makes the write, the nodes behind it can see this
//! before their own delay ends, and need not attempt it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::feed::{OwnNode, count_preceding_peers};
use crate::peers::{SeenPeer, peer_timeout};

/// Delay of a node for each node ahead of it in the order, for up to [`FIRST_POSITIONS`]
/// nodes.
const POSITION_DELAY: Duration = Duration::from_millis(120);
/// Number of nodes at the start of the order that each delay the later ones by
/// [`POSITION_DELAY`]. One of these nodes makes the write, unless all of them are gone at
/// once.
const FIRST_POSITIONS: usize = 12;
/// Delay of a node for each further node ahead of it, after the first [`FIRST_POSITIONS`]. In
/// a cluster of hundreds of nodes it takes a second until all nodes know that one has made the
/// write; calls to the store by which other nodes attempt the same write within this second
/// are useless.
const LATER_POSITION_DELAY: Duration = Duration::from_millis(40);

/// Returns the time that this node waits before it attempts the write. `seen_peers`: the other
/// nodes and when they were last seen. Nodes with a faster link come first in the order;
/// unresponsive nodes are left out.
pub fn staggered_delay(context: &Context, seen_peers: &HashMap<Arc<str>, SeenPeer>) -> Duration {
    let timeout = peer_timeout(context.dispatch.member_count());
    let own_node = OwnNode::of(&context.settings);
    let nodes_ahead = count_preceding_peers(&own_node, seen_peers, timeout);
    let beyond_first = nodes_ahead.saturating_sub(FIRST_POSITIONS) as u32;
    POSITION_DELAY * nodes_ahead.min(FIRST_POSITIONS) as u32 + LATER_POSITION_DELAY * beyond_first
}
