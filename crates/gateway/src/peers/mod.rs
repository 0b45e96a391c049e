//! What nodes tell each other: load, demand, and what runners hold.
//!
//! Datagrams, repeated: each makes the one before it needless, so losing some
//! does no harm. Few nodes tell everybody; many tell a relay ([`members`]),
//! which tells the others what all nodes together do ([`relay`]).

mod members;
mod relay;
mod relaying;
mod task;
mod times;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_dispatch::Inventory;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::messages::Message;

pub use members::MemberRecord;
pub use relay::LoadSum;
pub use task::PeerTask;
pub use times::{demand_believed_for, longest_silence};

enum Command {
    Joined(Arc<str>, MemberRecord),
    Left(Arc<str>),
    Retain(Vec<Arc<str>>),
    Publish(Vec<Inventory>),
    Tell(Arc<str>, Box<Message>),
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

    /// Sends `message` to the node `name`, once.
    pub fn tell(&self, name: Arc<str>, message: Message) {
        self.send(Command::Tell(name, Box::new(message)));
    }

    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

/// The last sign of a peer.
#[derive(Debug, Clone)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Whether there was a message; else the peer only stands in the store, where
    /// it stays for seconds after its end.
    pub told: bool,
    /// Where the peer takes messages and followers.
    pub address: SocketAddr,
    /// Megabits a second of the peer's link.
    pub capacity: u32,
    /// The peer's zone.
    pub zone: Arc<str>,
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
