//! What nodes tell each other: load, demand, and what runners hold.
//!
//! Datagrams, repeated: each makes the one before it needless, so losing some
//! does no harm.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{DemandItem, RunnerKey};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::messages::Message;
use crate::network::Datagrams;
use crate::placement::{LeaderRecord, PlacementHandle};

/// Time between two messages to each peer, at the least.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time between messages for each peer: bounds what a node sends at size.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);
/// Time between two messages of demand when requests begin to wait.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a member is counted after the last sign of it.
const COUNTED_FOR: Duration = Duration::from_secs(15);
/// Shortest silence of a peer that may be thought to be gone.
const SHORTEST_SILENCE: Duration = Duration::from_millis(1300);
/// Messages that must have been missed from a peer that may be gone.
const MISSED_MESSAGES: u32 = 3;
/// Messages in whose time the next one must have come: one may be lost, and the
/// next one late.
const BELIEVED_MESSAGES: u32 = 3;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 1200;
/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 64 * 1024;

enum Command {
    Joined(Arc<str>, SocketAddr),
    Left(Arc<str>),
    Retain(Vec<Arc<str>>),
    Broadcast(Message),
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
        if let Ok(address) = rmp_serde::from_slice(value) {
            let _ = self.commands.send(Command::Joined(name.into(), address));
        }
    }

    /// A member no longer stands in the store.
    pub fn left(&self, name: &str) {
        let _ = self.commands.send(Command::Left(name.into()));
    }

    /// Only `members` stand in the store.
    pub fn retain(&self, members: &[&str]) {
        let members = members.iter().map(|name| Arc::from(*name)).collect();
        let _ = self.commands.send(Command::Retain(members));
    }

    /// When each peer was last heard.
    pub fn heard(&self) -> watch::Receiver<HashMap<Arc<str>, Heard>> {
        self.heard.clone()
    }

    /// Sends a message to all peers.
    pub fn broadcast(&self, message: Message) {
        let _ = self.commands.send(Command::Broadcast(message));
    }
}

/// Time between two messages to each of `peers` peers.
pub fn message_interval(peers: u32) -> Duration {
    SHORTEST_INTERVAL.max(INTERVAL_PER_PEER * peers)
}

/// Time for which what one of `peers` peers said is believed: until it must have
/// said it again, one lost message allowed for.
pub fn believed_for(peers: u32) -> Duration {
    message_interval(peers) * BELIEVED_MESSAGES
}

/// Silence after which one of `peers` peers may be thought to be gone.
pub fn longest_silence(peers: u32) -> Duration {
    SHORTEST_SILENCE.max(message_interval(peers) * MISSED_MESSAGES)
}

/// The last sign of a peer.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Where the peer takes messages and followers.
    pub address: SocketAddr,
    /// Megabits a second of the peer's link.
    pub capacity: u32,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    stored: bool,
    seen: Instant,
}

/// The task that owns the socket and the list of members.
pub struct PeerTask {
    context: Context,
    socket: Box<dyn Datagrams>,
    members: BTreeMap<Arc<str>, Member>,
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
            context,
            socket,
            members: BTreeMap::new(),
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
        let mut demand_wanted = false;
        loop {
            let urgent = self.urgent.clone();
            let leader = &mut self.leader;
            tokio::select! {
                received = self.socket.receive(&mut buffer) => {
                    if let Ok(length) = received {
                        self.receive(&buffer[..length]);
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
                    next_load = Instant::now() + self.interval();
                }
                () = tokio::time::sleep_until(next_demand), if demand_wanted => {
                    demand_wanted = false;
                    next_demand = Instant::now() + URGENT_INTERVAL;
                    if let Some(snapshot) = self.context.dispatch.snapshot().await {
                        self.send_demand(snapshot.demand, snapshot.unreachable)
                            .await;
                    }
                }
            }
        }
    }

    fn interval(&self) -> Duration {
        message_interval(self.members.len() as u32)
    }

    fn receive(&mut self, bytes: &[u8]) {
        match Message::decode(bytes) {
            Some(Message::Load {
                node,
                address,
                capacity,
                in_flight,
            }) => {
                self.saw(node.clone(), address);
                let latest = Heard {
                    at: Instant::now(),
                    address,
                    capacity,
                };
                self.heard.send_modify(|heard| {
                    heard.insert(node.clone(), latest);
                });
                let believed_for = believed_for(self.members.len() as u32);
                self.context
                    .dispatch
                    .set_peer_load(node, in_flight, believed_for);
            }
            Some(Message::Demand {
                node,
                items,
                unreachable,
            }) => self.placement.demand(node, items, unreachable),
            Some(Message::Held(inventories)) => {
                for inventory in inventories {
                    self.context.dispatch.update_models(inventory);
                }
            }
            None => tracing::info!(event = "datagram_unreadable", bytes = bytes.len()),
        }
    }

    fn saw(&mut self, node: Arc<str>, address: SocketAddr) {
        if node == self.context.settings.name {
            return;
        }
        let known = self.members.contains_key(&node);
        let member = self.members.entry(node).or_insert(Member {
            address,
            stored: false,
            seen: Instant::now(),
        });
        member.address = address;
        member.seen = Instant::now();
        if !known {
            self.count();
        }
    }

    async fn command(&mut self, command: Command) {
        match command {
            Command::Joined(name, address) => {
                self.saw(name.clone(), address);
                if let Some(member) = self.members.get_mut(&name) {
                    member.stored = true;
                }
            }
            Command::Left(name) => {
                if let Some(member) = self.members.get_mut(&name) {
                    member.stored = false;
                }
            }
            Command::Retain(names) => {
                for (name, member) in &mut self.members {
                    member.stored &= names.contains(name);
                }
            }
            Command::Broadcast(message) => self.send_all(&message).await,
        }
    }

    /// Forgets members without a sign of life and counts the rest.
    fn count(&mut self) {
        self.members
            .retain(|_, member| member.stored || member.seen.elapsed() < COUNTED_FOR);
        self.heard
            .send_modify(|heard| heard.retain(|_, peer| peer.at.elapsed() < COUNTED_FOR));
        let nodes = self.members.len() + 1;
        self.context.metrics.nodes(nodes);
        self.context.dispatch.set_nodes(nodes);
    }

    async fn send_load(&mut self) {
        self.count();
        let Some(snapshot) = self.context.dispatch.snapshot().await else {
            return;
        };
        let message = Message::Load {
            node: self.context.settings.name.clone(),
            address: self.context.settings.peer_address,
            capacity: self.context.settings.limits.link_megabits,
            in_flight: snapshot.load,
        };
        self.send_all(&message).await;
        self.send_demand(snapshot.demand, snapshot.unreachable)
            .await;
    }

    /// Sends demand to the leader, in as many datagrams as it takes.
    async fn send_demand(&mut self, items: Vec<DemandItem>, unreachable: Vec<RunnerKey>) {
        let leader = self.leader.borrow().clone();
        let Some(leader) = leader else {
            return;
        };
        let node = self.context.settings.name.clone();
        if leader.node == node {
            self.placement.demand(node, items, unreachable);
            return;
        }
        let message = Message::Demand {
            node,
            items,
            unreachable,
        };
        self.send(&message, leader.address).await;
    }

    async fn send_all(&self, message: &Message) {
        let bytes = message.encode();
        for member in self.members.values() {
            let _ = self.socket.send(&bytes, member.address).await;
        }
    }

    async fn send(&self, message: &Message, address: SocketAddr) {
        let bytes = message.encode();
        if bytes.len() > DATAGRAM_BYTES {
            tracing::debug!(bytes = bytes.len(), "long datagram");
        }
        let _ = self.socket.send(&bytes, address).await;
    }
}
