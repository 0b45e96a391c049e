//! Where streams began: the software version of the runner that wrote a stream's first event,
//! known to whichever gateway the client asks to take the stream up again.
//!
//! The gateway that sends a first event records the stream's origin and tells it to the
//! stream's keepers: a few nodes, in different zones where that is possible, which all nodes
//! choose by the same function of the stream's key. A gateway that is asked to resume a stream
//! looks into its own records and asks the keepers. The records are in memory: if all nodes
//! that had one are gone, the origin is unknown.

mod messages;
mod table;
mod task;

use std::time::Duration;

use barleyspar_callers::Fingerprint;
use barleyspar_catalog::SoftwareVersion;
use barleyspar_domain::rendezvous_weight;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

pub use messages::OriginMessage;
pub use task::OriginTask;

/// Longest wait for the keepers of a stream. It covers two repeats of the question.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(130);

/// Identifies a stream over all tries of its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that the client's attempt `began_as` began. `request`:
    /// the fingerprint that all tries have in common, so that an id means nothing to requests
    /// of other callers.
    pub fn new(request: Fingerprint, began_as: &str) -> Self {
        Self(rendezvous_weight(&request, began_as))
    }
}

enum Command {
    Began(StreamKey, SoftwareVersion),
    LookUp(StreamKey, oneshot::Sender<Option<SoftwareVersion>>),
    PeerMessage(OriginMessage),
}

/// A handle to the task that keeps the origins of streams; clones share the task.
#[derive(Debug, Clone)]
pub struct OriginHandle {
    // The queue has no limit of its own. Its length is bounded by the streams of this node and
    // the messages of peers, since the task handles each command immediately.
    commands: mpsc::UnboundedSender<Command>,
}

impl OriginHandle {
    /// Records that a runner with this software version wrote the first event of a stream.
    pub fn record(&self, stream: StreamKey, software: SoftwareVersion) {
        self.send(Command::Began(stream, software));
    }

    /// Returns the software version that began the stream; `None` if neither this node nor a
    /// keeper that answers in time knows it.
    pub async fn look_up(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::LookUp(stream, reply));
        timeout(LOOKUP_TIMEOUT, answer).await.ok()?.ok()?
    }

    /// Passes on a message of a peer.
    pub fn handle_message(&self, message: OriginMessage) {
        self.send(Command::PeerMessage(message));
    }

    fn send(&self, command: Command) {
        // The task ends only with the process, so the command is always received.
        let _ = self.commands.send(command);
    }
}

/// The receiving end of an [`OriginHandle`]; consumed by the task.
pub struct OriginInbox(mpsc::UnboundedReceiver<Command>);

/// Creates a handle and its receiving end, which [`OriginTask::new`] takes.
pub fn channel() -> (OriginHandle, OriginInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    (OriginHandle { commands }, OriginInbox(inbox))
}
