//! Connections to runners through other nodes, for a node that has lost its own links to them.
//!
//! A node may be partitioned from runners that its peers reach. It then opens a connection
//! to a peer ([`open`]), which connects to the runner and copies bytes in both directions
//! ([`serve`]). The connection carries one request: what goes through a peer is the peer's call
//! in the runner's eyes, so the peer checks each time whether it may call the runner.
//!
//! Decisions stay with the node that has the request: it chooses the runner, counts the attempt
//! and knows which bytes it sent. The peer neither reads the bytes nor repeats anything. Orders
//! never go through a peer, since runners tell the holders of the placement lease apart by their
//! address.

mod connect;
mod framed;
mod open;
mod protocol;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use crate::peers::SeenPeer;

pub use connect::{connect, verify_reach};
pub use open::report_pause;
pub use serve::serve;

/// The peers through which this node may reach runners.
#[derive(Debug, Clone)]
pub struct TunnelPeers {
    seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
    /// Port on which the nodes of the site accept tunnels, the same at all of them.
    port: u16,
}

impl TunnelPeers {
    /// Creates the list from the peers that this node sees. `port`: on which nodes accept
    /// tunnels.
    pub fn new(seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>, port: u16) -> Self {
        Self { seen_peers, port }
    }
}

/// A peer that may open a tunnel.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TunnelPeer {
    name: Arc<str>,
    /// Address on which the peer accepts tunnels.
    address: SocketAddr,
}
