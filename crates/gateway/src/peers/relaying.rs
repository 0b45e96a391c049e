//! The part of the peers task that goes over relays: telling one, and being one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{Inventory, RunnerKey};
use tokio::time::Instant;

use crate::messages::{Message, News};
use crate::peers::LoadSum;
use crate::peers::members::NodeKey;
use crate::peers::relay::{RELAY_INTERVAL, RELAY_SILENCE, without};
use crate::peers::task::{ChosenRelay, PeerTask};
use crate::peers::times::{BELIEVED_MESSAGES, RELAY_AVOIDED_FOR, SIGNS_EVERY};

/// Name under which the dispatcher keeps what relays say.
const FLEET: &str = "fleet";
/// Time for which what relays say of the whole fleet is believed: twice that of
/// one message's way, so that a change of relay leaves no gap.
const FLEET_BELIEVED_FOR: Duration = RELAY_INTERVAL.saturating_mul(2 * BELIEVED_MESSAGES);

impl PeerTask {
    pub(super) fn receive_sum(&mut self, relay: Arc<str>, sum: LoadSum) {
        let now = Instant::now();
        let signs = self.signs(&sum, now);
        self.hear(signs);
        self.hear([(relay.clone(), now)]);
        self.relay.summed(relay, sum, now);
    }

    pub(super) fn receive_fleet(&mut self, relay: &Arc<str>, sum: LoadSum) {
        let now = Instant::now();
        let Some(chosen) = self.chosen.as_mut().filter(|chosen| chosen.name == *relay) else {
            return;
        };
        chosen.heard = now;
        let signs = self.signs(&sum, now);
        self.hear(signs);
        self.hear([(relay.clone(), now)]);
        self.take_fleet(sum);
    }

    /// Takes in what all nodes together have in flight.
    pub(super) fn take_fleet(&self, sum: LoadSum) {
        let others = without(sum.in_flight, &self.told);
        self.context
            .dispatch
            .set_peer_load(FLEET.into(), others, FLEET_BELIEVED_FOR);
    }

    /// When the nodes that `sum` counts gave their last signs.
    pub(super) fn signs(&self, sum: &LoadSum, now: Instant) -> Vec<(Arc<str>, Instant)> {
        let at = |age_ms: u16| now.checked_sub(Duration::from_millis(age_ms.into()));
        let known = |node: NodeKey| Some(self.members.by_key(node)?.0.clone());
        sum.nodes
            .iter()
            .filter_map(|sign| Some((known(sign.node)?, at(sign.age_ms)?)))
            .collect()
    }

    /// Tells this node's load its relay; another one if that one is silent.
    pub(super) async fn tell_relay(
        &mut self,
        in_flight: Vec<(RunnerKey, u32)>,
        news: News,
        now: Instant,
    ) {
        self.avoided.retain(|_, until| now < *until);
        if let Some(chosen) = &self.chosen
            && now.saturating_duration_since(chosen.heard) > RELAY_SILENCE
        {
            tracing::info!(event = "relay_silent", relay = &*chosen.name);
            let until = now + RELAY_AVOIDED_FOR;
            self.avoided.insert(chosen.name.clone(), until);
        }
        let own = (&self.context.settings.name, &self.own);
        let avoided = |name: &str| self.avoided.contains_key(name);
        let Some(name) = self.members.relay_of(own, avoided) else {
            return;
        };
        if self
            .chosen
            .as_ref()
            .is_none_or(|chosen| chosen.name != name)
        {
            tracing::info!(event = "relay_chosen", relay = &*name);
            let name = name.clone();
            self.chosen = Some(ChosenRelay { name, heard: now });
        }
        self.told = in_flight.clone();
        self.tell_load(in_flight, news, vec![name]).await;
    }

    /// As a relay: tells other relays what this one's nodes have in flight, and
    /// these nodes what all have.
    pub(super) async fn relay_loads(&mut self, relays: &[Arc<str>], news: News, now: Instant) {
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
            news: news.clone(),
        };
        self.send_to(&message, others.iter()).await;
        let mut sum = self.relay.whole_sum(now);
        let is_relay = self.relay.nodes().any(|node| *node == name);
        if is_relay {
            self.take_fleet(sum.clone());
        }
        self.rounds = self.rounds.wrapping_add(1);
        if !self.rounds.is_multiple_of(SIGNS_EVERY) {
            sum.nodes.clear();
        }
        let message = Message::Fleet {
            relay: name,
            sum,
            news,
        };
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_to(&message, nodes.iter()).await;
    }

    /// Sends what runners hold to all nodes, over relays if there are any.
    pub(super) async fn publish(&mut self, inventories: Vec<Inventory>) {
        if !self.members.is_relayed() {
            let everybody: Vec<Arc<str>> = self.members.names().cloned().collect();
            return self.send_held(inventories, true, &everybody).await;
        }
        let own = (&self.context.settings.name, &self.own);
        let relays: BTreeSet<Arc<str>> = self
            .members
            .relays(own)
            .iter()
            .chain(self.relay.relays())
            .cloned()
            .collect();
        let relays: Vec<Arc<str>> = relays.into_iter().collect();
        self.send_held(inventories.clone(), false, &relays).await;
        self.pass_on(inventories).await;
    }

    /// As a relay: sends what runners hold to this one's nodes.
    pub(super) async fn pass_on(&mut self, inventories: Vec<Inventory>) {
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_held(inventories, true, &nodes).await;
    }

    pub(super) async fn send_held(
        &self,
        inventories: Vec<Inventory>,
        passed_on: bool,
        to: &[Arc<str>],
    ) {
        let message = Message::Held {
            inventories,
            passed_on,
        };
        self.send_to(&message, to.iter()).await;
    }
}
