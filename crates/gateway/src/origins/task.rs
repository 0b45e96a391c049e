//! The origin task: records origins, tells them to keepers, and asks and answers peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::SoftwareVersion;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::messages::Message;
use crate::origins::messages::OriginMessage;
use crate::origins::table::OriginTable;
use crate::origins::{Command, OriginInbox, StreamKey};
use crate::owners::Owners;
use crate::peers::PeerHandle;
use crate::question_numbers::number_before_first;

/// Time to wait for a keeper's answer before it is asked again: ten times the duration of a
/// message exchange between zones.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// A question of this node that is not answered yet.
struct Pending {
    stream: StreamKey,
    /// Keepers that have not answered.
    unanswered: Vec<Arc<str>>,
    reply: oneshot::Sender<Option<SoftwareVersion>>,
}

/// The origin task: the origins that this node knows, and its unanswered questions.
pub struct OriginTask {
    context: Context,
    peers: PeerHandle,
    owners: Owners,
    table: OriginTable,
    pending: BTreeMap<u64, Pending>,
    last_number: u64,
    /// When the pending questions are repeated.
    retry_at: Instant,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl OriginTask {
    /// Creates the task of the node with this context.
    pub fn new(context: Context, peers: PeerHandle, inbox: OriginInbox) -> Self {
        Self {
            owners: Owners::new(&context.settings),
            context,
            peers,
            table: OriginTable::default(),
            pending: BTreeMap::new(),
            last_number: number_before_first(),
            retry_at: Instant::now(),
            inbox: inbox.0,
        }
    }

    /// Handles commands, and repeats unanswered questions, until the process ends.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = sleep_until(self.retry_at), if !self.pending.is_empty() => self.ask_again(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Began(stream, software) => self.began(stream, software),
            Command::LookUp(stream, reply) => self.look_up(stream, reply),
            Command::PeerMessage(message) => self.handle_message(message),
        }
    }

    fn began(&mut self, stream: StreamKey, software: SoftwareVersion) {
        for keeper in self.other_keepers(stream) {
            let software = software.clone();
            self.send(keeper, OriginMessage::Began { stream, software });
        }
        self.record(stream, software);
    }

    fn look_up(&mut self, stream: StreamKey, reply: oneshot::Sender<Option<SoftwareVersion>>) {
        let known = self.table.origin_of(stream).cloned();
        let unanswered = self.other_keepers(stream);
        if known.is_some() || unanswered.is_empty() {
            // Sending fails if the client has left; then nobody waits for the origin. That
            // holds for all replies of this task.
            let _ = reply.send(known);
            return;
        }
        if self.pending.is_empty() {
            self.retry_at = Instant::now() + RETRY_INTERVAL;
        }
        self.last_number += 1;
        self.ask(self.last_number, stream, &unanswered);
        let pending = Pending {
            stream,
            unanswered,
            reply,
        };
        self.pending.insert(self.last_number, pending);
    }

    fn ask(&self, number: u64, stream: StreamKey, keepers: &[Arc<str>]) {
        for keeper in keepers {
            let question = OriginMessage::Question {
                number,
                node: self.context.settings.name.clone(),
                stream,
            };
            self.send(keeper.clone(), question);
        }
    }

    /// Repeats the questions whose callers still wait, and drops the others.
    fn ask_again(&mut self) {
        self.retry_at = Instant::now() + RETRY_INTERVAL;
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        for (number, pending) in &self.pending {
            self.ask(*number, pending.stream, &pending.unanswered);
        }
    }

    fn handle_message(&mut self, message: OriginMessage) {
        match message {
            OriginMessage::Began { stream, software } => self.record(stream, software),
            OriginMessage::Question {
                number,
                node: asking,
                stream,
            } => {
                let answer = OriginMessage::Answer {
                    number,
                    node: self.context.settings.name.clone(),
                    software: self.table.origin_of(stream).cloned(),
                };
                self.send(asking, answer);
            }
            OriginMessage::Answer {
                number,
                node,
                software,
            } => self.apply_answer(number, &node, software),
        }
    }

    /// Replies to the caller of a question once a keeper knows the origin, or none does.
    fn apply_answer(&mut self, number: u64, node: &str, software: Option<SoftwareVersion>) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.unanswered.retain(|keeper| **keeper != *node);
        if software.is_none() && !pending.unanswered.is_empty() {
            return;
        }
        if let Some(pending) = self.pending.remove(&number) {
            if let Some(software) = &software {
                self.record(pending.stream, software.clone());
            }
            let _ = pending.reply.send(software);
        }
    }

    fn record(&mut self, stream: StreamKey, software: SoftwareVersion) {
        let now = Instant::now().into_std();
        self.table.record(stream, software, now);
    }

    /// Returns the keepers of the stream other than this node.
    fn other_keepers(&mut self, stream: StreamKey) -> Vec<Arc<str>> {
        let nodes = self.context.dispatch.member_count();
        self.owners.refresh_if_due(&self.peers, nodes);
        let mut keepers = self.owners.keepers_of(&stream);
        keepers.retain(|keeper| *keeper != self.context.settings.name);
        keepers
    }

    fn send(&self, to: Arc<str>, message: OriginMessage) {
        self.peers.send_message(to, Message::Origin(message));
    }
}
