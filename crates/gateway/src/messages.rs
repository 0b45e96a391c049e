//! Messages between nodes, in MessagePack.

use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_dispatch::{DemandItem, Inventory, RunnerKey};
use serde::{Deserialize, Serialize};

/// A message between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Attempts in flight by runner.
    Load {
        /// The sender.
        node: Arc<str>,
        /// Where the sender takes messages.
        address: SocketAddr,
        /// Megabits a second of the sender's link.
        capacity: u32,
        /// The counts.
        in_flight: Vec<(RunnerKey, u32)>,
    },
    /// Demand, for the placement leader.
    Demand {
        /// The sender.
        node: Arc<str>,
        /// Its demand.
        items: Vec<DemandItem>,
        /// Runners that it cannot reach.
        unreachable: Vec<RunnerKey>,
    },
    /// What runners hold, from the placement leader.
    Held(Vec<Inventory>),
}

impl Message {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages have only plain data")
    }

    /// Reads a message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
