//! Messages between nodes: load, demand, and the models loaded on runners.
//!
//! Messages are datagrams. Load and demand are sent periodically, and each message
//! supersedes the previous one, so losing some does no harm. In a small cluster each
//! node sends to all others; in a large one each sends its load to a relay
//! ([`members`]), which sends back the sum of all nodes' loads ([`relay`]).

mod members;
mod relay;
mod relaying;
mod task;
mod times;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_dispatch::Inventory;
use barleyspar_prefill::PrefillUpdate;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::crashes::CrashNews;
use crate::messages::Message;

pub use members::MemberRecord;
pub use relay::LoadSum;
pub use task::PeerTask;
pub use times::{demand_valid_for, peer_timeout};

enum Command {
    MemberWritten(Arc<str>, MemberRecord),
    MemberRemoved(Arc<str>),
    RetainMembers(Vec<Arc<str>>),
    PublishInventories(Vec<Inventory>),
    PublishPrefillUpdates(Vec<PrefillUpdate>),
    PublishCrashNews(CrashNews),
    Send(Arc<str>, Box<Message>),
}

/// A handle to the peers task.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    commands: mpsc::UnboundedSender<Command>,
    seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
}

impl PeerHandle {
    /// Reports that the store has an entry `value` of the member `name`; logs an
    /// unreadable one.
    pub fn member_written(&self, name: &str, value: &[u8]) {
        match rmp_serde::from_slice(value) {
            Ok(record) => self.send(Command::MemberWritten(name.into(), record)),
            Err(error) => {
                tracing::warn!(event = "object_unreadable", key = name, %error);
            }
        }
    }

    /// Reports that the store has no entry of the member `name` any more.
    pub fn member_removed(&self, name: &str) {
        self.send(Command::MemberRemoved(name.into()));
    }

    /// Reports that only `members` have an entry in the store.
    pub fn retain_members(&self, members: &[&str]) {
        let members = members.iter().map(|name| Arc::from(*name)).collect();
        self.send(Command::RetainMembers(members));
    }

    /// Returns a receiver of the peers, by name, with the time at which each was last
    /// seen.
    pub fn seen_peers(&self) -> watch::Receiver<HashMap<Arc<str>, SeenPeer>> {
        self.seen_peers.clone()
    }

    /// Sends the inventories to all other nodes, through relays if messages go through
    /// them.
    pub fn publish_inventories(&self, inventories: Vec<Inventory>) {
        self.send(Command::PublishInventories(inventories));
    }

    /// Sends a prefill owner's updates to all other nodes, through relays if messages go
    /// through them.
    pub fn publish_prefill_updates(&self, updates: Vec<PrefillUpdate>) {
        self.send(Command::PublishPrefillUpdates(updates));
    }

    /// Sends news of a crash or of answers to all other nodes, through relays if messages go
    /// through them.
    pub fn publish_crash_news(&self, news: CrashNews) {
        self.send(Command::PublishCrashNews(news));
    }

    /// Sends `message` to the node `name` once, without acknowledgement; does nothing
    /// if it is no member.
    pub fn send_message(&self, name: Arc<str>, message: Message) {
        self.send(Command::Send(name, Box::new(message)));
    }

    fn send(&self, command: Command) {
        // Sending fails only once the peers task has ended, which happens only when the
        // process ends.
        let _ = self.commands.send(command);
    }
}

/// When and how a peer was last seen, and how to reach it.
#[derive(Debug, Clone)]
pub struct SeenPeer {
    /// When the last message from the peer arrived at this node or at a relay; without
    /// one, when its entry in the store was first read.
    pub last_seen: Instant,
    /// Whether a message from the peer was received. Otherwise only its entry in the
    /// store is known, which stays there for seconds after the peer's end.
    pub has_sent_message: bool,
    /// The address on which the peer receives messages and accepts followers.
    pub address: SocketAddr,
    /// Speed of the peer's link in megabits per second.
    pub capacity: u32,
    /// Name of the zone in which the peer runs, from the peer's own record. A node's
    /// parent in the feed tree is of the same zone, except for the first node of each
    /// zone.
    pub zone: Arc<str>,
}

/// Creates the handle; [`PeerTask::new`] takes the other end.
pub fn channel() -> (PeerHandle, PeerInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (seen_peers_sender, seen_peers) = watch::channel(HashMap::new());
    (
        PeerHandle {
            commands,
            seen_peers,
        },
        PeerInbox(inbox, seen_peers_sender),
    )
}

/// The receiving end of a [`PeerHandle`].
pub struct PeerInbox(
    mpsc::UnboundedReceiver<Command>,
    watch::Sender<HashMap<Arc<str>, SeenPeer>>,
);
