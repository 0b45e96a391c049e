//! The task that owns the socket and the list of members.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Quarantine;
use barleyspar_dispatch::{LeavingNews, LimitNews, RunnerKey};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::messages::{Message, News};
use crate::network::Datagrams;
use crate::peers::members::Members;
use crate::peers::relay::{RELAY_INTERVAL, RelayState};
use crate::peers::times::{
    BELIEVED_MESSAGES, COUNTED_FOR, SHORTEST_INTERVAL, URGENT_INTERVAL, demand_interval,
};
use crate::peers::{Command, Heard, MemberRecord, PeerInbox};
use crate::placement::{LeaderRecord, PlacementHandle};

/// Time after which others are told of a request in quarantine, so that one message tells
/// of several.
const QUARANTINE_TOLD_AFTER: Duration = Duration::from_millis(10);
/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 64 * 1024;

/// The relay that this node tells its load.
#[derive(Debug)]
pub(super) struct ChosenRelay {
    pub(super) name: Arc<str>,
    /// When it was told first, or told us last.
    pub(super) heard: Instant,
}

/// The task that owns the socket and the list of members.
pub struct PeerTask {
    pub(super) context: Context,
    socket: Box<dyn Datagrams>,
    pub(super) own: MemberRecord,
    pub(super) members: Members,
    /// The members' changes when the others were told of them last.
    counted: Option<u64>,
    pub(super) relay: RelayState,
    pub(super) chosen: Option<ChosenRelay>,
    pub(super) avoided: BTreeMap<Arc<str>, Instant>,
    /// What this node told its relay last.
    pub(super) told: Vec<(RunnerKey, u32)>,
    /// Messages of this relay to its nodes so far.
    pub(super) rounds: u32,
    /// Messages with news of this node so far.
    news_round: usize,
    quarantine: watch::Receiver<Quarantine>,
    leader: watch::Receiver<Option<LeaderRecord>>,
    placement: PlacementHandle,
    urgent: Arc<Notify>,
    commands: mpsc::UnboundedReceiver<Command>,
    heard: watch::Sender<HashMap<Arc<str>, Heard>>,
}

impl PeerTask {
    /// A task on `socket`.
    pub fn new(
        context: Context,
        socket: Box<dyn Datagrams>,
        inbox: PeerInbox,
        leader: watch::Receiver<Option<LeaderRecord>>,
        placement: PlacementHandle,
        urgent: Arc<Notify>,
    ) -> Self {
        Self {
            own: MemberRecord::of(&context.settings),
            quarantine: context.crashes.quarantine(),
            context,
            socket,
            members: Members::default(),
            counted: None,
            relay: RelayState::default(),
            chosen: None,
            avoided: BTreeMap::new(),
            told: Vec::new(),
            rounds: 0,
            news_round: 0,
            leader,
            placement,
            urgent,
            commands: inbox.0,
            heard: inbox.1,
        }
    }

    /// Sends and receives until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; RECEIVE_BYTES];
        let mut next_load = Instant::now();
        let mut next_demand = Instant::now();
        let mut next_urgent = Instant::now();
        let mut demand_wanted = false;
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
                    Some(command) => self.command(command).await,
                    None => return,
                },
                () = urgent.notified() => demand_wanted = true,
                // A new leader knows of no demand yet.
                Ok(()) = leader.changed() => demand_wanted = true,
                // What crashes runners comes again at another node within a moment.
                Ok(()) = quarantine.changed() => {
                    next_load = next_load.min(Instant::now() + QUARANTINE_TOLD_AFTER);
                }
                () = tokio::time::sleep_until(next_load) => {
                    self.send_load().await;
                    next_load = Instant::now() + self.load_interval();
                }
                () = tokio::time::sleep_until(next_demand) => {
                    self.send_demand().await;
                    next_demand = Instant::now() + demand_interval(self.nodes());
                }
                () = tokio::time::sleep_until(next_urgent), if demand_wanted => {
                    demand_wanted = false;
                    self.send_demand().await;
                    next_urgent = Instant::now() + URGENT_INTERVAL;
                }
            }
        }
    }

    fn nodes(&self) -> u32 {
        self.members.len() as u32 + 1
    }

    fn load_interval(&self) -> Duration {
        if self.members.is_relayed() {
            RELAY_INTERVAL
        } else {
            SHORTEST_INTERVAL
        }
    }

    async fn receive(&mut self, bytes: &[u8]) {
        match Message::decode(bytes) {
            Some(Message::Load {
                node,
                record,
                in_flight,
                news,
            }) => {
                self.hear_news(news);
                self.receive_load(node, record, in_flight);
            }
            Some(Message::RelaySum { relay, sum, news }) => {
                self.hear_news(news);
                self.receive_sum(relay, sum);
            }
            Some(Message::Fleet { relay, sum, news }) => {
                self.hear_news(news);
                self.receive_fleet(&relay, sum);
            }
            Some(Message::Demand {
                node,
                items,
                unreachable,
            }) => self.placement.demand(node, items, unreachable),
            Some(Message::Held {
                inventories,
                passed_on,
            }) => {
                if !passed_on {
                    self.pass_on(inventories.clone()).await;
                }
                for inventory in inventories {
                    self.context.dispatch.update_models(inventory);
                }
            }
            Some(Message::QuotaRequest(request)) => self.context.quota.asked(request),
            Some(Message::QuotaAnswer { number, answer }) => {
                self.context.quota.answered(number, answer);
            }
            None => tracing::info!(event = "datagram_unreadable", bytes = bytes.len()),
        }
    }

    fn hear_news(&self, news: News) {
        self.context.dispatch.hear_limits(news.limits);
        self.context.dispatch.hear_leaving_news(news.leaving);
        self.context.crashes.hear(news.quarantined);
    }

    /// What this node tells on in its next message.
    fn news(&mut self, limits: Vec<LimitNews>, leaving: Vec<LeavingNews>) -> News {
        self.news_round = self.news_round.wrapping_add(1);
        let now = Instant::now().into_std();
        News {
            limits,
            leaving,
            quarantined: self.quarantine.borrow().news(self.news_round, now),
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
        if self.members.saw(node.clone(), record, false) {
            self.count();
        }
        let now = Instant::now();
        self.hear([(node.clone(), now)]);
        if self.members.is_relayed() {
            self.relay.told(node, in_flight, now);
        } else {
            let believed_for = SHORTEST_INTERVAL * BELIEVED_MESSAGES;
            self.context
                .dispatch
                .set_peer_load(node, in_flight, believed_for);
        }
    }

    /// Notes when members were heard last.
    pub(super) fn hear(&mut self, signs: impl IntoIterator<Item = (Arc<str>, Instant)>) {
        self.note(signs, true);
    }

    /// Notes signs of members: messages (`told`), or entries in the store.
    fn note(&mut self, signs: impl IntoIterator<Item = (Arc<str>, Instant)>, told: bool) {
        let members = &mut self.members;
        self.heard.send_modify(|heard| {
            for (name, at) in signs {
                let Some(record) = members.heard(&name, at) else {
                    continue;
                };
                let known = heard.get(&name);
                let sign = Heard {
                    at: known.map_or(at, |known| known.at.max(at)),
                    told: told || known.is_some_and(|known| known.told),
                    address: record.address,
                    capacity: record.capacity,
                    zone: record.zone.clone(),
                };
                heard.insert(name, sign);
            }
        });
    }

    async fn command(&mut self, command: Command) {
        match command {
            Command::Joined(name, record) => self.joined(name, record),
            Command::Left(name) => self.members.left(&name),
            Command::Retain(names) => self.members.retain_stored(&names),
            Command::Publish(inventories) => self.publish(inventories).await,
            Command::Tell(name, message) => self.send_to(&message, [name].iter()).await,
        }
    }

    /// Takes in a member's entry in the store. One that was unknown counts as
    /// heard: at a start of all nodes, each then knows whom to follow and who is
    /// to lead before the first messages have come.
    fn joined(&mut self, name: Arc<str>, record: MemberRecord) {
        if name == self.context.settings.name {
            return;
        }
        if self.members.saw(name.clone(), record, true) {
            self.note([(name, Instant::now())], false);
            self.count();
        }
    }

    /// Forgets members without a sign of life and counts the rest.
    fn count(&mut self) {
        self.members.forget_silent();
        self.heard
            .send_modify(|heard| heard.retain(|_, peer| peer.at.elapsed() < COUNTED_FOR));
        if self.counted == Some(self.members.changes()) {
            return;
        }
        self.counted = Some(self.members.changes());
        let own = self.context.settings.name.clone();
        let members: Vec<Arc<str>> = self.members.names().cloned().chain([own]).collect();
        self.context.metrics.nodes(members.len());
        self.context.dispatch.set_members(members);
    }

    async fn send_load(&mut self) {
        self.count();
        let Some(snapshot) = self.context.dispatch.snapshot().await else {
            return;
        };
        let news = self.news(snapshot.limits, snapshot.leaving);
        if !self.members.is_relayed() {
            let everybody = self.members.names().cloned().collect();
            return self.tell_load(snapshot.load, news, everybody).await;
        }
        let now = Instant::now();
        self.relay.forget_silent(now);
        let relays = self
            .members
            .relays((&self.context.settings.name, &self.own));
        if relays.contains(&self.context.settings.name) {
            let name = self.context.settings.name.clone();
            self.relay.told(name, snapshot.load.clone(), now);
            self.told = snapshot.load;
        } else {
            self.tell_relay(snapshot.load, news.clone(), now).await;
        }
        self.relay_loads(&relays, news, now).await;
    }

    pub(super) async fn tell_load(
        &mut self,
        in_flight: Vec<(RunnerKey, u32)>,
        news: News,
        to: Vec<Arc<str>>,
    ) {
        let message = Message::Load {
            node: self.context.settings.name.clone(),
            record: self.own.clone(),
            in_flight,
            news,
        };
        self.send_to(&message, to.iter()).await;
    }

    /// Sends demand to the leader.
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
                .demand(node, snapshot.demand, snapshot.unreachable);
            return;
        }
        let message = Message::Demand {
            node,
            items: snapshot.demand,
            unreachable: snapshot.unreachable,
        };
        // A datagram that cannot be sent is one that is lost: the next one
        // makes it needless.
        let _ = self.socket.send(&message.encode(), leader.address).await;
    }

    pub(super) async fn send_to(&self, message: &Message, names: impl Iterator<Item = &Arc<str>>) {
        let bytes = message.encode();
        for member in names.filter_map(|name| self.members.get(name)) {
            // As above: a lost datagram does no harm.
            let _ = self.socket.send(&bytes, member.record.address).await;
        }
    }
}
