//! The write side of this node's copy of the store, used by the reader of the store and
//! the follower of peers.

use std::io;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::feed::parent_stream::ReceivedFrame;
use crate::feed::poll::StoreRead;
use crate::feed::publisher::Publisher;
use crate::feed::state::{Change, FeedState};
use crate::feed::times::FeedTimes;
use crate::store::Store;

/// Time from a node's start during which it reads the full state from a peer rather
/// than from the store: 295 nodes that all read half a megabyte at once keep the
/// store's link busy for 0.9 s.
const PEERS_FIRST_FOR: Duration = Duration::from_millis(600);

/// This node's copy of the store, with the channel that passes its changes to the other
/// parts of the node.
pub struct FeedCopy {
    store: Store,
    publisher: Publisher,
    /// Time limits of the feed, derived from the site's bounds.
    pub times: FeedTimes,
    peers_first_until: Instant,
}

impl FeedCopy {
    /// Creates a copy of `store` that publishes its state in `state` and sends new
    /// changes to `changes`.
    pub fn new(
        context: &Context,
        store: &Store,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        Self {
            store: store.clone(),
            publisher: Publisher::new(state, changes),
            times: FeedTimes::new(&context.settings.bounds),
            peers_first_until: context.started_at + PEERS_FIRST_FOR,
        }
    }

    /// Returns a receiver that is notified of each change of the copy.
    pub fn subscribe(&self) -> watch::Receiver<FeedState> {
        self.publisher.subscribe()
    }

    /// Waits until the receiver of the changes is dropped, which ends the feed.
    pub async fn closed(&self) {
        self.publisher.closed().await;
    }

    /// The store's revision that the copy shows; the default revision while the copy is
    /// empty.
    pub fn revision(&self) -> Revision {
        self.publisher.state().revision()
    }

    /// Whether the copy has been filled from the store or a peer at least once.
    pub fn has_data(&self) -> bool {
        self.publisher.state().has_data()
    }

    /// Whether the copy is too old to rely on a parent, so that the store must be
    /// called.
    pub fn is_stale(&self) -> bool {
        self.publisher.state().is_stale(&self.times, Instant::now())
    }

    /// Returns when the copy becomes stale; the present time if it already is.
    pub fn stale_at(&self) -> Instant {
        self.publisher.state().stale_at(&self.times, Instant::now())
    }

    /// Returns the time until which a newly started node reads the full state only from
    /// peers; `None` once the copy has data or that time has passed.
    pub fn peers_first_until(&self) -> Option<Instant> {
        let reads_from_peers = !self.has_data() && Instant::now() < self.peers_first_until;
        reads_from_peers.then_some(self.peers_first_until)
    }

    /// Applies an answer of the store.
    pub async fn apply_read(&self, read: StoreRead) {
        self.publisher
            .apply(read.update, read.revision, read.sent_at, 0)
            .await;
    }

    /// Applies a frame from a parent; fails if the frame cannot be decoded.
    pub async fn apply_frame(&self, received: ReceivedFrame) -> io::Result<()> {
        let ReceivedFrame { frame, complete_at } = received;
        self.store.observe_era(frame.revision.era);
        let update = frame.content.decode()?;
        self.publisher
            .apply(update, frame.revision, complete_at, frame.depth + 1)
            .await;
        Ok(())
    }

    /// Sends `change` behind all changes of the copy so far.
    pub async fn publish(&self, change: Change) {
        self.publisher.publish(change).await;
    }

    /// Publishes entries that do not become part of the copy: the members' entries,
    /// from which the node learns which peers it can follow.
    pub async fn publish_entries(&self, items: Vec<Item>) {
        for item in items {
            let change = Change::Event(Event::Written(item));
            self.publisher.publish(change).await;
        }
    }
}
