//! What nodes tell each other: load, demand, and what runners hold.
//!
//! Datagrams, repeated: each makes the one before it needless, so losing some
//! does no harm. Few nodes tell everybody; many tell a relay ([`members`]),
//! which tells the others what all nodes together do ([`relay`]).

mod members;
mod relay;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{Inventory, RunnerKey};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::messages::Message;
use crate::network::Datagrams;
use crate::placement::{LeaderRecord, PlacementHandle};

pub use members::MemberRecord;
pub use relay::LoadSum;

use members::{MESH_NODES, Members, NodeKey};
use relay::{RELAY_INTERVAL, RELAY_SILENCE, RelayState, without};

/// Time between two messages to each peer, and between two messages of demand
/// to the leader, at the least.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two messages of demand for each node: the leader takes in at most
/// 300 a second, a percent of a core.
const DEMAND_INTERVAL_PER_NODE: Duration = Duration::from_micros(3400);
/// Time between two messages of demand when requests begin to wait.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a member is counted after the last sign of it.
pub const COUNTED_FOR: Duration = Duration::from_secs(15);
/// Silence of a peer that may be thought to be gone, where all tell all: three
/// messages.
const MESH_SILENCE: Duration = Duration::from_millis(1300);
/// The same where signs of peers come over relays: what is known of one is up to
/// 0.75 s old, with two messages lost 1.5 s.
const RELAYED_SILENCE: Duration = Duration::from_millis(1600);
/// Messages in whose time the next one must have come: one may be lost, and the
/// next one late.
const BELIEVED_MESSAGES: u32 = 3;
/// Messages of a relay to its nodes of which one names the nodes heard.
const SIGNS_EVERY: u32 = 2;
/// Time for which a silent relay is not chosen again.
const RELAY_AVOIDED_FOR: Duration = Duration::from_secs(2);
/// Name under which the dispatcher keeps what relays say.
const FLEET: &str = "fleet";
/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 64 * 1024;

enum Command {
    Joined(Arc<str>, MemberRecord),
    Left(Arc<str>),
    Retain(Vec<Arc<str>>),
    Publish(Vec<Inventory>),
}

/// A handle to the peers task.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    commands: mpsc::UnboundedSender<Command>,
    heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
}

impl PeerHandle {
    /// A member stands in the store.
    pub fn joined(&self, name: &str, value: &[u8]) {
        match rmp_serde::from_slice(value) {
            Ok(record) => self.send(Command::Joined(name.into(), record)),
            Err(error) => {
                tracing::warn!(event = "object_unreadable", key = name, %error);
            }
        }
    }

    /// A member no longer stands in the store.
    pub fn left(&self, name: &str) {
        self.send(Command::Left(name.into()));
    }

    /// Only `members` stand in the store.
    pub fn retain(&self, members: &[&str]) {
        let members = members.iter().map(|name| Arc::from(*name)).collect();
        self.send(Command::Retain(members));
    }

    /// When each peer was last heard.
    pub fn heard(&self) -> watch::Receiver<HashMap<Arc<str>, Heard>> {
        self.heard.clone()
    }

    /// Tells all nodes what runners hold.
    pub fn publish(&self, inventories: Vec<Inventory>) {
        self.send(Command::Publish(inventories));
    }

    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

/// Time between two messages of demand to the leader among `nodes` nodes.
pub fn demand_interval(nodes: u32) -> Duration {
    SHORTEST_INTERVAL.max(DEMAND_INTERVAL_PER_NODE * nodes)
}

/// Time for which the leader believes the demand of one of `nodes` nodes.
pub fn demand_believed_for(nodes: u32) -> Duration {
    demand_interval(nodes) * BELIEVED_MESSAGES
}

/// Silence after which one of `nodes` nodes may be thought to be gone.
pub fn longest_silence(nodes: u32) -> Duration {
    if nodes as usize > MESH_NODES {
        RELAYED_SILENCE
    } else {
        MESH_SILENCE
    }
}

/// The last sign of a peer.
#[derive(Debug, Clone)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Where the peer takes messages and followers.
    pub address: SocketAddr,
    /// Megabits a second of the peer's link.
    pub capacity: u32,
    /// The peer's zone.
    pub zone: Arc<str>,
}

/// The relay that this node tells its load.
#[derive(Debug)]
struct ChosenRelay {
    name: Arc<str>,
    /// When it was told first, or told us last.
    heard: Instant,
}

/// The task that owns the socket and the list of members.
pub struct PeerTask {
    context: Context,
    socket: Box<dyn Datagrams>,
    own: MemberRecord,
    members: Members,
    relay: RelayState,
    chosen: Option<ChosenRelay>,
    avoided: BTreeMap<Arc<str>, Instant>,
    /// What this node told its relay last.
    told: Vec<(RunnerKey, u32)>,
    /// Messages of this relay to its nodes so far.
    rounds: u32,
    leader: watch::Receiver<Option<LeaderRecord>>,
    placement: PlacementHandle,
    urgent: Arc<Notify>,
    commands: mpsc::UnboundedReceiver<Command>,
    heard: watch::Sender<HashMap<Arc<str>, Heard>>,
}

/// Creates the handle; [`PeerTask::new`] takes the other end.
pub fn channel() -> (PeerHandle, PeerInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (heard_sender, heard) = watch::channel(HashMap::new());
    (
        PeerHandle { commands, heard },
        PeerInbox(inbox, heard_sender),
    )
}

/// The receiving end of a [`PeerHandle`].
pub struct PeerInbox(
    mpsc::UnboundedReceiver<Command>,
    watch::Sender<HashMap<Arc<str>, Heard>>,
);

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
            context,
            socket,
            members: Members::default(),
            relay: RelayState::default(),
            chosen: None,
            avoided: BTreeMap::new(),
            told: Vec::new(),
            rounds: 0,
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
            }) => self.receive_load(node, record, in_flight),
            Some(Message::RelaySum { relay, sum }) => self.receive_sum(relay, sum),
            Some(Message::Fleet { relay, sum }) => self.receive_fleet(&relay, sum),
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
            None => tracing::info!(event = "datagram_unreadable", bytes = bytes.len()),
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

    fn receive_sum(&mut self, relay: Arc<str>, sum: LoadSum) {
        let now = Instant::now();
        let signs = self.signs(&sum, now);
        self.hear(signs);
        self.hear([(relay.clone(), now)]);
        self.relay.summed(relay, sum, now);
    }

    fn receive_fleet(&mut self, relay: &Arc<str>, sum: LoadSum) {
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
    fn take_fleet(&self, sum: LoadSum) {
        let others = without(sum.in_flight, &self.told);
        self.context.dispatch.set_peer_load(
            FLEET.into(),
            others,
            RELAY_INTERVAL * BELIEVED_MESSAGES * 2,
        );
    }

    /// When the nodes that `sum` counts gave their last signs.
    fn signs(&self, sum: &LoadSum, now: Instant) -> Vec<(Arc<str>, Instant)> {
        let at = |age_ms: u16| now.checked_sub(Duration::from_millis(age_ms.into()));
        let known = |node: NodeKey| Some(self.members.by_key(node)?.0.clone());
        sum.nodes
            .iter()
            .filter_map(|sign| Some((known(sign.node)?, at(sign.age_ms)?)))
            .collect()
    }

    /// Notes when members were heard last.
    fn hear(&self, signs: impl IntoIterator<Item = (Arc<str>, Instant)>) {
        let members = &self.members;
        self.heard.send_modify(|heard| {
            for (name, at) in signs {
                let Some(member) = members.get(&name) else {
                    continue;
                };
                let latest = heard.get(&name).map_or(at, |known| known.at.max(at));
                let sign = Heard {
                    at: latest,
                    address: member.record.address,
                    capacity: member.record.capacity,
                    zone: member.record.zone.clone(),
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
            self.hear([(name, Instant::now())]);
            self.count();
        }
    }

    /// Forgets members without a sign of life and counts the rest.
    fn count(&mut self) {
        self.members.forget_silent();
        self.heard
            .send_modify(|heard| heard.retain(|_, peer| peer.at.elapsed() < COUNTED_FOR));
        let nodes = self.nodes() as usize;
        self.context.metrics.nodes(nodes);
        self.context.dispatch.set_nodes(nodes);
    }

    async fn send_load(&mut self) {
        self.count();
        let Some(snapshot) = self.context.dispatch.snapshot().await else {
            return;
        };
        if !self.members.is_relayed() {
            let everybody = self.members.iter().map(|(name, _)| name.clone()).collect();
            return self.tell_load(snapshot.load, everybody).await;
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
            self.tell_relay(snapshot.load, now).await;
        }
        self.relay_loads(relays, now).await;
    }

    async fn tell_load(&mut self, in_flight: Vec<(RunnerKey, u32)>, to: Vec<Arc<str>>) {
        let message = Message::Load {
            node: self.context.settings.name.clone(),
            record: self.own.clone(),
            in_flight,
        };
        self.send_to(&message, to.iter()).await;
    }

    /// Tells this node's load its relay; another one if that one is silent.
    async fn tell_relay(&mut self, in_flight: Vec<(RunnerKey, u32)>, now: Instant) {
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
        self.tell_load(in_flight, vec![name]).await;
    }

    /// As a relay: tells other relays what this one's nodes have in flight, and
    /// these nodes what all have.
    async fn relay_loads(&mut self, relays: Vec<Arc<str>>, now: Instant) {
        if self.relay.nodes().next().is_none() {
            return;
        }
        let name = self.context.settings.name.clone();
        let others: BTreeSet<Arc<str>> = relays
            .into_iter()
            .chain(self.relay.relays().cloned())
            .filter(|relay| *relay != name)
            .collect();
        let sum = self.relay.own_sum(now);
        let relay = name.clone();
        self.send_to(&Message::RelaySum { relay, sum }, others.iter())
            .await;
        let mut sum = self.relay.whole_sum(now);
        let is_relay = self.relay.nodes().any(|node| *node == name);
        if is_relay {
            self.take_fleet(sum.clone());
        }
        self.rounds = self.rounds.wrapping_add(1);
        if !self.rounds.is_multiple_of(SIGNS_EVERY) {
            sum.nodes.clear();
        }
        let message = Message::Fleet { relay: name, sum };
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_to(&message, nodes.iter()).await;
    }

    /// Sends what runners hold to all nodes, over relays if there are any.
    async fn publish(&mut self, inventories: Vec<Inventory>) {
        if !self.members.is_relayed() {
            let everybody: Vec<Arc<str>> =
                self.members.iter().map(|(name, _)| name.clone()).collect();
            return self.send_held(inventories, true, &everybody).await;
        }
        let own = (&self.context.settings.name, &self.own);
        let relays: BTreeSet<Arc<str>> = self
            .members
            .relays(own)
            .into_iter()
            .chain(self.relay.relays().cloned())
            .collect();
        let relays: Vec<Arc<str>> = relays.into_iter().collect();
        self.send_held(inventories.clone(), false, &relays).await;
        self.pass_on(inventories).await;
    }

    /// As a relay: sends what runners hold to this one's nodes.
    async fn pass_on(&mut self, inventories: Vec<Inventory>) {
        let nodes: Vec<Arc<str>> = self.relay.nodes().cloned().collect();
        self.send_held(inventories, true, &nodes).await;
    }

    async fn send_held(&self, inventories: Vec<Inventory>, passed_on: bool, to: &[Arc<str>]) {
        let message = Message::Held {
            inventories,
            passed_on,
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

    async fn send_to(&self, message: &Message, names: impl Iterator<Item = &Arc<str>>) {
        let bytes = message.encode();
        for member in names.filter_map(|name| self.members.get(name)) {
            // As above: a lost datagram does no harm.
            let _ = self.socket.send(&bytes, member.record.address).await;
        }
    }
}
