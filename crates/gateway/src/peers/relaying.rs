//! The part of the peers task that uses relays: sending this node's load to one, and
//! acting as one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{BrittleUpdate, Inventory, RunnerKey};
use barleyspar_prefill::{PrefillMessage, PrefillUpdate};
use tokio::time::Instant;

use crate::crashes::CrashNews;
use crate::messages::{ClusterUpdates, Message};
use crate::peers::LoadSum;
use crate::peers::members::NodeKey;
use crate::peers::relay::{RELAY_INTERVAL, RELAY_TIMEOUT, subtract_load};
use crate::peers::task::{ChosenRelay, PeerTask};
use crate::peers::times::{NODE_LIST_EVERY, RELAY_AVOIDED_FOR, VALID_INTERVALS};

/// Name under which the dispatcher stores the load that relays report.
const FLEET: &str = "fleet";
/// Time for which the fleet's load from a relay is valid: twice that of a single
/// message, so that a change of relay leaves no gap.
const FLEET_VALID_FOR: Duration = RELAY_INTERVAL.saturating_mul(2 * VALID_INTERVALS);

impl PeerTask {
    /// As a relay: stores `sum`, the load of the nodes that another relay serves, as
    /// part of the fleet's load.
    pub(super) fn receive_relay_sum(&mut self, relay: Arc<str>, sum: LoadSum) {
        let now = Instant::now();
        let seen = self.seen_nodes(&sum, now);
        self.record_messages(seen);
        self.record_messages([(relay.clone(), now)]);
        self.relay.set_relay_sum(relay, sum, now);
    }

    /// Applies the fleet's load from `relay`; ignores it unless it is this node's relay.
    pub(super) fn receive_fleet_load(&mut self, relay: &Arc<str>, sum: LoadSum) {
        let now = Instant::now();
        let Some(chosen) = self
            .chosen_relay
            .as_mut()
            .filter(|chosen| chosen.name == *relay)
        else {
            return;
        };
        chosen.last_message_at = now;
        let seen = self.seen_nodes(&sum, now);
        self.record_messages(seen);
        self.record_messages([(relay.clone(), now)]);
        self.apply_fleet_load(sum);
    }

    /// Passes the attempts in flight of all nodes, without this node's own, to the
    /// dispatcher.
    pub(super) fn apply_fleet_load(&self, sum: LoadSum) {
        let others = subtract_load(sum.in_flight, &self.sent_load);
        self.context
            .dispatch
            .set_peer_load(FLEET.into(), others, FLEET_VALID_FOR);
    }

    /// Returns the members included in `sum`, with the time at which each was last
    /// seen.
    pub(super) fn seen_nodes(&self, sum: &LoadSum, now: Instant) -> Vec<(Arc<str>, Instant)> {
        let seen_at = |age_ms: u16| now.checked_sub(Duration::from_millis(age_ms.into()));
        let name_of = |node: NodeKey| Some(self.members.by_key(node)?.0.clone());
        sum.nodes
            .iter()
            .filter_map(|node| Some((name_of(node.node)?, seen_at(node.age_ms)?)))
            .collect()
    }

    /// Sends this node's load to its relay; chooses another relay if that one is
    /// unresponsive.
    pub(super) async fn send_load_to_relay(
        &mut self,
        in_flight: Vec<(RunnerKey, u32)>,
        updates: ClusterUpdates,
        now: Instant,
    ) {
        self.avoided_relays.retain(|_, until| now < *until);
        if let Some(chosen) = &self.chosen_relay
            && now.saturating_duration_since(chosen.last_message_at) > RELAY_TIMEOUT
        {
            tracing::info!(event = "relay_silent", relay = &*chosen.name);
            let until = now + RELAY_AVOIDED_FOR;
            self.avoided_relays.insert(chosen.name.clone(), until);
        }
        let own = (&self.context.settings.name, &self.own_record);
        let is_avoided = |name: &str| self.avoided_relays.contains_key(name);
        let Some(name) = self.members.choose_relay(own, is_avoided) else {
            return;
        };
        if self
            .chosen_relay
            .as_ref()
            .is_none_or(|chosen| chosen.name != name)
        {
            tracing::info!(event = "relay_chosen", relay = &*name);
            let name = name.clone();
            self.chosen_relay = Some(ChosenRelay {
                name,
                last_message_at: now,
            });
        }
        self.sent_load = in_flight.clone();
        self.send_load_to(in_flight, updates, vec![name]).await;
    }

    /// As a relay: sends the attempts in flight of this relay's nodes, added up by
    /// runner, to the other relays, and those of all nodes to this relay's nodes.
    pub(super) async fn send_relay_sums(
        &mut self,
        relays: &[Arc<str>],
        updates: ClusterUpdates,
        now: Instant,
    ) {
        if self.relay.nodes().next().is_none() {
            return;
        }
        let name = self.context.settings.name.clone();
        let others: BTreeSet<Arc<str>> = relays
            .iter()
            .chain(self.relay.relays())
            .filter(|relay| **relay != name)
            .cloned()
            .collect();
        let sum = self.relay.own_sum(now);
        let relay = name.clone();
        let message = Message::RelaySum {
            relay,
            sum,
            updates: updates.clone(),
        };
        self.send_to(&message, others.iter()).await;
        let mut sum = self.relay.fleet_sum(now);
        let is_relay = self.relay.nodes().any(|node| *node == name);
        if is_relay {
            self.apply_fleet_load(sum.clone());
        }
        self.rounds = self.rounds.wrapping_add(1);
        if !self.rounds.is_multiple_of(NODE_LIST_EVERY) {
            sum.nodes.clear();
        }
        let message = Message::Fleet {
            relay: name,
            sum,
            updates,
        };
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_to(&message, nodes.iter()).await;
    }

    /// Sends a message to all other nodes, through relays if messages go through them.
    /// `message` builds it; its argument says whether receivers must not forward it.
    pub(super) async fn publish(&mut self, message: impl Fn(bool) -> Message) {
        let last_hop = message(true);
        if !self.members.is_relayed() {
            let others: Vec<Arc<str>> = self.members.names().cloned().collect();
            return self.send_to(&last_hop, others.iter()).await;
        }
        let own = (&self.context.settings.name, &self.own_record);
        let relays: BTreeSet<Arc<str>> = self
            .members
            .relays(own)
            .iter()
            .chain(self.relay.relays())
            .cloned()
            .collect();
        self.send_to(&message(false), relays.iter()).await;
        self.forward(&last_hop).await;
    }

    /// Sends what this node knows of brittle services to all other nodes; if messages go through
    /// relays, to its relay, or as a relay to the other relays and to its nodes. Each of them
    /// sends what it knows in the same way.
    pub(super) async fn send_brittle(&mut self, updates: Vec<BrittleUpdate>) {
        if updates.is_empty() {
            return;
        }
        let message = Message::Brittle(updates);
        if !self.members.is_relayed() {
            return self.send_to(&message, self.members.names()).await;
        }
        let own = (&self.context.settings.name, &self.own_record);
        let relays = self.members.relays(own);
        let receivers: BTreeSet<Arc<str>> = if relays.contains(own.0) {
            relays.iter().chain(self.relay.nodes()).cloned().collect()
        } else {
            let chosen = self.chosen_relay.iter();
            chosen.map(|relay| relay.name.clone()).collect()
        };
        self.send_to(&message, receivers.iter()).await;
    }

    /// As a relay: sends a message to this relay's nodes.
    pub(super) async fn forward(&mut self, message: &Message) {
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_to(message, nodes.iter()).await;
    }
}

/// Returns the message of loaded models; `passed_on` tells receivers not to forward it.
pub(super) fn held(inventories: Vec<Inventory>, passed_on: bool) -> Message {
    Message::Held {
        inventories,
        passed_on,
    }
}

/// Returns the message of a prefill owner's updates; `passed_on` tells receivers not to
/// forward it.
pub(super) fn prefill_updates(updates: Vec<PrefillUpdate>, passed_on: bool) -> Message {
    Message::Prefill(PrefillMessage::Updates { updates, passed_on })
}

/// Returns the message of news of crashes; `passed_on` tells receivers not to forward it.
pub(super) fn crash_news(news: CrashNews, passed_on: bool) -> Message {
    Message::Crashes { news, passed_on }
}
