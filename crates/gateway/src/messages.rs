//! Messages between nodes, encoded as MessagePack datagrams.

use std::sync::Arc;

use barleyspar_callers::{QuarantineUpdate, QuotaAnswer, QuotaRequest};
use barleyspar_dispatch::{
    BrittleUpdate, DemandItem, DrainingUpdate, Inventory, LimitUpdate, PromptDemandItem, RunnerKey,
    StreamDemandItem,
};
use barleyspar_prefill::PrefillMessage;
use serde::{Deserialize, Serialize};

use crate::crashes::CrashNews;
use crate::origins::OriginMessage;
use crate::peers::{LoadSum, MemberRecord};

/// Updates on runners and requests that each node passes on, whether it made the
/// observation itself or received it from another node.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClusterUpdates {
    /// Rate limits that runners advertised.
    pub limits: Vec<LimitUpdate>,
    /// Runners that signalled that they are draining.
    pub draining: Vec<DrainingUpdate>,
    /// Requests that must not be sent to any runner because they crash runners.
    pub quarantined: Vec<QuarantineUpdate>,
}

/// A message from one node to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Attempts in flight of one node. It goes to all nodes, or in large clusters only to
    /// the node's relay.
    Load {
        /// Name of the sending node.
        node: Arc<str>,
        /// What the sender states about itself: its address for messages, the speed of its
        /// link and its zone.
        record: MemberRecord,
        /// The sender's attempts in flight, by runner.
        in_flight: Vec<(RunnerKey, u32)>,
        /// Updates on runners and requests that the sender passes on.
        updates: ClusterUpdates,
    },
    /// Attempts in flight of all nodes that send their load to one relay, sent by it to the
    /// other relays.
    RelaySum {
        /// Name of the sending relay.
        relay: Arc<str>,
        /// Attempts in flight by runner, summed over the nodes that send their load to the
        /// relay.
        sum: LoadSum,
        /// Updates on runners and requests that the relay passes on.
        updates: ClusterUpdates,
    },
    /// Attempts in flight of all nodes, sent by a relay to its nodes.
    Fleet {
        /// Name of the sending relay.
        relay: Arc<str>,
        /// Attempts in flight by runner, summed over all nodes: those that send their load to
        /// the sending relay and those that send it to another.
        sum: LoadSum,
        /// Updates on runners and requests that the relay passes on.
        updates: ClusterUpdates,
    },
    /// One node's demand for models, sent to the placement leader.
    Demand {
        /// Name of the sending node.
        node: Arc<str>,
        /// The sender's demand by model.
        items: Vec<DemandItem>,
        /// Runners that the sender cannot reach.
        unreachable: Vec<RunnerKey>,
    },
    /// Prompt tokens asked at one node, sent to the placement leader. Apart from the demand,
    /// so that nodes of builds that do not know this message still read that.
    PromptDemand {
        /// Name of the sending node.
        node: Arc<str>,
        /// Prompt tokens asked at the sender, by model.
        items: Vec<PromptDemandItem>,
    },
    /// Streams that wait for a model at one software version, sent to the placement leader.
    /// Apart from the demand, for the same reason as [`Message::PromptDemand`].
    StreamDemand {
        /// Name of the sending node.
        node: Arc<str>,
        /// Streams that wait at the sender, by model and version.
        items: Vec<StreamDemandItem>,
    },
    /// Models and adapters that are loaded on runners, sent by the placement leader.
    Held {
        /// Loaded models and adapters, and the changes in progress by orders; one item for
        /// each runner.
        inventories: Vec<Inventory>,
        /// Whether a relay has forwarded the message already, so that the receiver does
        /// not forward it again.
        passed_on: bool,
    },
    /// A node's request to a limit owner for a permit.
    QuotaRequest(QuotaRequest),
    /// The limit owner's answer to a [`Message::QuotaRequest`].
    QuotaAnswer {
        /// The number that the requesting node gave to its request.
        number: u64,
        /// Whether the limit owner grants the permit, and the reserve that the requesting node
        /// may use while the owner does not answer.
        answer: QuotaAnswer,
    },
    /// A message about permits to send prompts to runners.
    Prefill(PrefillMessage),
    /// Services whose runners are brittle, or were until a moment ago. Apart from the load, so
    /// that nodes of builds that do not know this message still read that.
    Brittle(Vec<BrittleUpdate>),
    /// A message about the software version that began a stream.
    Origin(OriginMessage),
    /// News by which nodes find the parts of prompts that crash runners.
    Crashes {
        /// A crash, or answers that began.
        news: CrashNews,
        /// Whether a relay has forwarded the message already, so that the receiver does
        /// not forward it again.
        passed_on: bool,
    },
}

impl Message {
    /// Encodes the message for a datagram.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages contain only serializable data")
    }

    /// Decodes a message; `None` if `bytes` are not a message of this version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

#[cfg(test)]
#[path = "messages_tests.rs"]
mod tests;
