//! The task that owns the datagram socket and the list of members.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Quarantine;
use barleyspar_dispatch::{DrainingUpdate, LimitUpdate, RunnerKey};
use barleyspar_prefill::PrefillMessage;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::messages::{ClusterUpdates, Message};
use crate::network::Datagrams;
use crate::peers::members::Members;
use crate::peers::relay::{RELAY_INTERVAL, RelayState};
use crate::peers::relaying::{crash_news, held, prefill_updates};
use crate::peers::times::{
    MEMBER_TIMEOUT, MIN_INTERVAL, URGENT_INTERVAL, VALID_INTERVALS, demand_interval,
};
use crate::peers::{Command, MemberRecord, PeerInbox, SeenPeer};
use crate::placement::{LeaderRecord, PlacementHandle};

/// Delay before other nodes are notified of a quarantined request, so that one message
/// covers several.
const QUARANTINE_DELAY: Duration = Duration::from_millis(10);
/// Buffer size in bytes for a received datagram.
const RECEIVE_BYTES: usize = 64 * 1024;

/// The relay to which this node sends its load.
#[derive(Debug)]
pub(super) struct ChosenRelay {
    pub(super) name: Arc<str>,
    /// When the relay last sent a message; before its first one, when it was chosen.
    pub(super) last_message_at: Instant,
}

/// Owns the datagram socket and the list of members; sends and receives the messages
/// between nodes.
pub struct PeerTask {
    pub(super) context: Context,
    socket: Box<dyn Datagrams>,
    pub(super) own_record: MemberRecord,
    pub(super) members: Members,
    /// The members' change count at which the dispatcher and the metrics were last
    /// updated; `None` before the first time.
    published_changes: Option<u64>,
    pub(super) relay: RelayState,
    pub(super) chosen_relay: Option<ChosenRelay>,
    pub(super) avoided_relays: BTreeMap<Arc<str>, Instant>,
    /// This node's load as it was last sent to its relay. The fleet's load from the
    /// relay includes it.
    pub(super) sent_load: Vec<(RunnerKey, u32)>,
    /// Number of times that this node, as a relay, sent the fleet's load to its nodes;
    /// wraps around.
    pub(super) rounds: u32,
    /// Number of times that this node sent updates; selects which quarantined requests
    /// the next message names. Wraps around.
    update_round: usize,
    quarantine: watch::Receiver<Quarantine>,
    leader: watch::Receiver<Option<LeaderRecord>>,
    placement: PlacementHandle,
    urgent: Arc<Notify>,
    commands: mpsc::UnboundedReceiver<Command>,
    seen_peers: watch::Sender<HashMap<Arc<str>, SeenPeer>>,
}

impl PeerTask {
    /// Creates a task that uses `socket`. It sends demand to the leader, or to
    /// `placement` if this node leads; `urgent` is notified when demand is to be sent
    /// at once.
    pub fn new(
        context: Context,
        socket: Box<dyn Datagrams>,
        inbox: PeerInbox,
        leader: watch::Receiver<Option<LeaderRecord>>,
        placement: PlacementHandle,
        urgent: Arc<Notify>,
    ) -> Self {
        Self {
            own_record: MemberRecord::of(&context.settings),
            quarantine: context.crashes.watch_quarantine(),
            context,
            socket,
            members: Members::default(),
            published_changes: None,
            relay: RelayState::default(),
            chosen_relay: None,
            avoided_relays: BTreeMap::new(),
            sent_load: Vec::new(),
            rounds: 0,
            update_round: 0,
            leader,
            placement,
            urgent,
            commands: inbox.0,
            seen_peers: inbox.1,
        }
    }

    /// Sends and receives until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; RECEIVE_BYTES];
        let mut next_load = Instant::now();
        let mut next_demand = Instant::now();
        let mut next_urgent = Instant::now();
        let mut demand_due = false;
        loop {
            let urgent = self.urgent.clone();
            let leader = &mut self.leader;
            let quarantine = &mut self.quarantine;
            tokio::select! {
                received = self.socket.receive(&mut buffer) => {
                    if let Ok(length) = received {
                        self.receive(&buffer[..length]).await;
                    }
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                () = urgent.notified() => demand_due = true,
                // A new leader has received no demand yet.
                Ok(()) = leader.changed() => demand_due = true,
                // Clients soon repeat a request that crashes runners, through other
                // nodes too, so these are notified without waiting for the next interval.
                Ok(()) = quarantine.changed() => {
                    next_load = next_load.min(Instant::now() + QUARANTINE_DELAY);
                }
                () = tokio::time::sleep_until(next_load) => {
                    self.send_load().await;
                    next_load = Instant::now() + self.load_interval();
                }
                () = tokio::time::sleep_until(next_demand) => {
                    self.send_demand().await;
                    next_demand = Instant::now() + demand_interval(self.node_count());
                }
                () = tokio::time::sleep_until(next_urgent), if demand_due => {
                    demand_due = false;
                    self.send_demand().await;
                    next_urgent = Instant::now() + URGENT_INTERVAL;
                }
            }
        }
    }

    fn node_count(&self) -> u32 {
        self.members.len() as u32 + 1
    }

    fn load_interval(&self) -> Duration {
        if self.members.is_relayed() {
            RELAY_INTERVAL
        } else {
            MIN_INTERVAL
        }
    }

    async fn receive(&mut self, bytes: &[u8]) {
        match Message::decode(bytes) {
            Some(Message::Load {
                node,
                record,
                in_flight,
                updates,
            }) => {
                self.apply_updates(updates);
                self.receive_load(node, record, in_flight);
            }
            Some(Message::RelaySum {
                relay,
                sum,
                updates,
            }) => {
                self.apply_updates(updates);
                self.receive_relay_sum(relay, sum);
            }
            Some(Message::Fleet {
                relay,
                sum,
                updates,
            }) => {
                self.apply_updates(updates);
                self.receive_fleet_load(&relay, sum);
            }
            Some(Message::Demand {
                node,
                items,
                unreachable,
            }) => self.placement.report_demand(node, items, unreachable),
            Some(Message::PromptDemand { node, items }) => {
                self.placement.report_prompts(node, items);
            }
            Some(Message::StreamDemand { node, items }) => {
                self.placement.report_streams(node, items);
            }
            Some(Message::Held {
                inventories,
                passed_on,
            }) => {
                if !passed_on {
                    self.forward(&held(inventories.clone(), true)).await;
                }
                self.placement.note_inventories(inventories.clone());
                for inventory in inventories {
                    self.context.dispatch.apply_inventory(inventory);
                }
            }
            Some(Message::QuotaRequest(request)) => self.context.quota.handle_peer_request(request),
            Some(Message::QuotaAnswer { number, answer }) => {
                self.context.quota.handle_owner_answer(number, answer);
            }
            Some(Message::Brittle(updates)) => {
                self.context.dispatch.apply_brittle_updates(updates);
            }
            Some(Message::Crashes { news, passed_on }) => {
                if !passed_on {
                    self.forward(&crash_news(news.clone(), true)).await;
                }
                self.context.crashes.apply_news(news);
            }
            Some(Message::Origin(message)) => self.context.origins.handle_message(message),
            Some(Message::Prefill(message)) => self.receive_prefill(message).await,
            None => tracing::info!(event = "datagram_unreadable", bytes = bytes.len()),
        }
    }

    async fn receive_prefill(&mut self, message: PrefillMessage) {
        if let PrefillMessage::Updates { updates, passed_on } = message {
            if !passed_on {
                self.forward(&prefill_updates(updates.clone(), true)).await;
            }
            self.context.dispatch.apply_prefill_updates(updates);
        } else if let Some(prefill) = &self.context.prefill {
            prefill.handle_message(message);
        }
    }

    fn apply_updates(&self, updates: ClusterUpdates) {
        self.context.dispatch.apply_limit_updates(updates.limits);
        self.context
            .dispatch
            .apply_draining_updates(updates.draining);
        self.context
            .crashes
            .apply_quarantine_updates(updates.quarantined);
    }

    /// Returns the updates for this node's next message.
    fn next_updates(
        &mut self,
        limits: Vec<LimitUpdate>,
        draining: Vec<DrainingUpdate>,
    ) -> ClusterUpdates {
        self.update_round = self.update_round.wrapping_add(1);
        let now = Instant::now().into_std();
        ClusterUpdates {
            limits,
            draining,
            quarantined: self
                .quarantine
                .borrow()
                .updates_for_round(self.update_round, now),
        }
    }

    fn receive_load(
        &mut self,
        node: Arc<str>,
        record: MemberRecord,
        in_flight: Vec<(RunnerKey, u32)>,
    ) {
        if node == self.context.settings.name {
            return;
        }
        if self.members.record_seen(node.clone(), record, false) {
            self.refresh_members();
        }
        let now = Instant::now();
        self.record_messages([(node.clone(), now)]);
        if self.members.is_relayed() {
            self.relay.set_node_load(node, in_flight, now);
        } else {
            let valid_for = MIN_INTERVAL * VALID_INTERVALS;
            self.context
                .dispatch
                .set_peer_load(node, in_flight, valid_for);
        }
    }

    /// Records when members sent their last messages.
    pub(super) fn record_messages(&mut self, seen: impl IntoIterator<Item = (Arc<str>, Instant)>) {
        self.record_seen(seen, true);
    }

    /// Records when members were last seen, in messages (`by_message`) or by their
    /// entries in the store.
    fn record_seen(
        &mut self,
        seen: impl IntoIterator<Item = (Arc<str>, Instant)>,
        by_message: bool,
    ) {
        let members = &mut self.members;
        self.seen_peers.send_modify(|seen_peers| {
            for (name, at) in seen {
                let Some(record) = members.mark_seen(&name, at) else {
                    continue;
                };
                let known = seen_peers.get(&name);
                let peer = SeenPeer {
                    last_seen: known.map_or(at, |known| known.last_seen.max(at)),
                    has_sent_message: by_message
                        || known.is_some_and(|known| known.has_sent_message),
                    address: record.address,
                    capacity: record.capacity,
                    zone: record.zone.clone(),
                };
                seen_peers.insert(name, peer);
            }
        });
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::MemberWritten(name, record) => self.member_written(name, record),
            Command::MemberRemoved(name) => self.members.mark_removed(&name),
            Command::RetainMembers(names) => self.members.retain_in_store(&names),
            Command::PublishInventories(inventories) => {
                self.publish(|passed_on| held(inventories.clone(), passed_on))
                    .await;
            }
            Command::PublishPrefillUpdates(updates) => {
                self.publish(|passed_on| prefill_updates(updates.clone(), passed_on))
                    .await;
            }
            Command::PublishCrashNews(news) => {
                self.publish(|passed_on| crash_news(news.clone(), passed_on))
                    .await;
            }
            Command::Send(name, message) => self.send_to(&message, [name].iter()).await,
        }
    }

    /// Records the entry of the member `name` in the store. A new member counts as seen
    /// now: when all nodes start, each then knows which peer to follow and who may lead
    /// before the first messages arrive.
    fn member_written(&mut self, name: Arc<str>, record: MemberRecord) {
        if name == self.context.settings.name {
            return;
        }
        if self.members.record_seen(name.clone(), record, true) {
            self.record_seen([(name, Instant::now())], false);
            self.refresh_members();
        }
    }

    /// Drops members that timed out, and updates the dispatcher and the metrics if the
    /// members changed.
    fn refresh_members(&mut self) {
        self.members.drop_unresponsive();
        self.seen_peers.send_modify(|seen_peers| {
            seen_peers.retain(|_, peer| peer.last_seen.elapsed() < MEMBER_TIMEOUT)
        });
        if self.published_changes == Some(self.members.changes()) {
            return;
        }
        self.published_changes = Some(self.members.changes());
        let own_name = self.context.settings.name.clone();
        let members: Vec<Arc<str>> = self.members.names().cloned().chain([own_name]).collect();
        self.context.metrics.set_member_count(members.len());
        self.context.dispatch.set_members(members);
    }

    async fn send_load(&mut self) {
        self.refresh_members();
        let Some(snapshot) = self.context.dispatch.snapshot().await else {
            return;
        };
        let updates = self.next_updates(snapshot.limits, snapshot.draining);
        self.send_brittle(snapshot.brittle).await;
        if !self.members.is_relayed() {
            let others = self.members.names().cloned().collect();
            return self.send_load_to(snapshot.load, updates, others).await;
        }
        let now = Instant::now();
        self.relay.drop_unresponsive(now);
        let relays = self
            .members
            .relays((&self.context.settings.name, &self.own_record));
        if relays.contains(&self.context.settings.name) {
            let name = self.context.settings.name.clone();
            self.relay.set_node_load(name, snapshot.load.clone(), now);
            self.sent_load = snapshot.load;
        } else {
            self.send_load_to_relay(snapshot.load, updates.clone(), now)
                .await;
        }
        self.send_relay_sums(&relays, updates, now).await;
    }

    pub(super) async fn send_load_to(
        &mut self,
        in_flight: Vec<(RunnerKey, u32)>,
        updates: ClusterUpdates,
        to: Vec<Arc<str>>,
    ) {
        let message = Message::Load {
            node: self.context.settings.name.clone(),
            record: self.own_record.clone(),
            in_flight,
            updates,
        };
        self.send_to(&message, to.iter()).await;
    }

    /// Sends this node's demand to the leader; if this node leads, to its placement
    /// task.
    async fn send_demand(&mut self) {
        let leader = self.leader.borrow().clone();
        let Some(leader) = leader else {
            return;
        };
        let Some(snapshot) = self.context.dispatch.snapshot().await else {
            return;
        };
        let node = self.context.settings.name.clone();
        if leader.node == node {
            self.placement
                .report_demand(node.clone(), snapshot.demand, snapshot.unreachable);
            self.placement
                .report_prompts(node.clone(), snapshot.prompts);
            self.placement.report_streams(node, snapshot.streams);
            return;
        }
        let message = Message::Demand {
            node: node.clone(),
            items: snapshot.demand,
            unreachable: snapshot.unreachable,
        };
        // A datagram that cannot be sent counts as lost; the next one supersedes it.
        let _ = self.socket.send(&message.encode(), leader.address).await;
        if !snapshot.prompts.is_empty() {
            let message = Message::PromptDemand {
                node: node.clone(),
                items: snapshot.prompts,
            };
            let _ = self.socket.send(&message.encode(), leader.address).await;
        }
        if !snapshot.streams.is_empty() {
            let items = snapshot.streams;
            let message = Message::StreamDemand { node, items };
            let _ = self.socket.send(&message.encode(), leader.address).await;
        }
    }

    pub(super) async fn send_to(&self, message: &Message, names: impl Iterator<Item = &Arc<str>>) {
        let bytes = message.encode();
        for member in names.filter_map(|name| self.members.get(name)) {
            // A datagram that cannot be sent counts as lost.
            let _ = self.socket.send(&bytes, member.record.address).await;
        }
    }
}
