//! Staggered delays for actions that only one node needs to take, such as acquiring the
//! placement lease: nodes try in order, so that the others see the success of the first one
//! and need not try.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::feed::{OwnNode, count_preceding_peers};
use crate::peers::{SeenPeer, peer_timeout};

/// Delay for each node ahead in the order, up to [`FIRST_POSITIONS`] nodes.
const POSITION_DELAY: Duration = Duration::from_millis(120);
/// Number of first positions with the full delay between them. One of these nodes acts,
/// unless all of them are gone at once.
const FIRST_POSITIONS: usize = 12;
/// Delay for each node ahead beyond [`FIRST_POSITIONS`]. In a cluster of hundreds of nodes it
/// takes a second until all know that one has acted; the calls of each node that tries within
/// this time are useless.
const LATER_POSITION_DELAY: Duration = Duration::from_millis(40);

/// Returns the time that this node waits before it tries. `seen_peers`: the other nodes and
/// when they were last seen. Nodes with a faster link come first; unresponsive nodes don't
/// count.
pub fn staggered_delay(context: &Context, seen_peers: &HashMap<Arc<str>, SeenPeer>) -> Duration {
    let timeout = peer_timeout(context.dispatch.member_count());
    let own_node = OwnNode::of(&context.settings);
    let nodes_ahead = count_preceding_peers(&own_node, seen_peers, timeout);
    let beyond_first = nodes_ahead.saturating_sub(FIRST_POSITIONS) as u32;
    POSITION_DELAY * nodes_ahead.min(FIRST_POSITIONS) as u32 + LATER_POSITION_DELAY * beyond_first
}
