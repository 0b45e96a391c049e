//! Messages between nodes, in MessagePack.

use std::sync::Arc;

use barleyspar_callers::{QuarantineNews, QuotaAnswer, QuotaRequest};
use barleyspar_dispatch::{DemandItem, Inventory, LeavingNews, LimitNews, RunnerKey};
use serde::{Deserialize, Serialize};

use crate::peers::{LoadSum, MemberRecord};

/// What each node tells on, whoever found it out.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct News {
    /// What runners said of their limits.
    pub limits: Vec<LimitNews>,
    /// Runners that said that they leave.
    pub leaving: Vec<LeavingNews>,
    /// Requests that are sent to no runner.
    pub quarantined: Vec<QuarantineNews>,
}

/// A message between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Attempts of one node in flight: for all nodes, or for its relay.
    Load {
        /// The sender.
        node: Arc<str>,
        /// What the sender tells of itself.
        record: MemberRecord,
        /// The counts, by runner.
        in_flight: Vec<(RunnerKey, u32)>,
        /// What the sender knows.
        news: News,
    },
    /// What a relay's nodes have in flight, for other relays.
    RelaySum {
        /// The relay.
        relay: Arc<str>,
        /// The sum over its nodes.
        sum: LoadSum,
        /// What the relay knows.
        news: News,
    },
    /// What all nodes have in flight, from a relay to its nodes.
    Fleet {
        /// The relay.
        relay: Arc<str>,
        /// The sum over all nodes.
        sum: LoadSum,
        /// What the relay knows.
        news: News,
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
    Held {
        /// The runners.
        inventories: Vec<Inventory>,
        /// Whether a relay has passed it on: it goes no further.
        passed_on: bool,
    },
    /// A node asks the owner of a limit for a permit.
    QuotaRequest(QuotaRequest),
    /// The owner's answer.
    QuotaAnswer {
        /// The asking node's number for it.
        number: u64,
        /// What it says.
        answer: QuotaAnswer,
    },
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
