//! This node's copy of the store, as those that learn of changes write it.

use std::io;
use std::time::Duration;

use barleyspar_catalog::{Event, Item};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::feed::follow::Arrived;
use crate::feed::frame::Content;
use crate::feed::poll::Reading;
use crate::feed::state::{Change, FeedState};
use crate::feed::times::FeedTimes;

/// Time from its start within which a node learns everything from a peer rather
/// than from the store: 295 nodes that all read half a megabyte at once keep the
/// store's link busy for 0.9 s (seen after a loss of power).
const FIRST_PEERS: Duration = Duration::from_millis(600);

/// The copy, with the way to the parts of the node that it concerns.
pub struct FeedCopy {
    state: watch::Sender<FeedState>,
    changes: mpsc::Sender<Change>,
    /// How old the copy may grow.
    pub times: FeedTimes,
    peers_first_until: Instant,
}

impl FeedCopy {
    /// A copy in `state`; `changes` are told what is new.
    pub fn new(
        context: &Context,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        Self {
            state,
            changes,
            times: FeedTimes::new(&context.settings.bounds),
            peers_first_until: context.started + FIRST_PEERS,
        }
    }

    /// Tells of each change of the copy.
    pub fn subscribe(&self) -> watch::Receiver<FeedState> {
        self.state.subscribe()
    }

    /// Until nobody is told any more.
    pub async fn closed(&self) {
        self.changes.closed().await;
    }

    /// The revision that the copy shows.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision()
    }

    /// Whether anything is known.
    pub fn is_known(&self) -> bool {
        self.state.borrow().is_known()
    }

    /// Whether the copy is too old to rely on a parent.
    pub fn is_overdue(&self) -> bool {
        self.state.borrow().is_overdue(&self.times, Instant::now())
    }

    /// When the copy becomes too old to rely on a parent.
    pub fn deadline(&self) -> Instant {
        self.state.borrow().deadline(&self.times, Instant::now())
    }

    /// Until when a node that has just started asks its peers first; `None` if
    /// it knows something, or has asked them long enough.
    pub fn peers_first_until(&self) -> Option<Instant> {
        let asks = !self.is_known() && Instant::now() < self.peers_first_until;
        asks.then_some(self.peers_first_until)
    }

    /// Takes in what the store answered.
    pub async fn take_reading(&self, reading: Reading) {
        match reading {
            Reading::Everything {
                items,
                revision,
                asked,
            } => self.take_everything(items, revision, asked, 0).await,
            Reading::Changes {
                events,
                revision,
                asked,
            } => self.take_events(events, revision, asked, 0).await,
        }
    }

    /// Takes in a parent's frame.
    pub async fn take_frame(&self, arrived: Arrived) -> io::Result<()> {
        let Arrived { frame, complete_at } = arrived;
        let depth = frame.depth + 1;
        match frame.content {
            Content::Everything(packed) => {
                let items = packed.items()?;
                self.take_everything(items, frame.revision, complete_at, depth)
                    .await;
            }
            Content::Events(batches) => {
                let mut events = Vec::new();
                for batch in &batches {
                    events.extend(batch.events()?);
                }
                self.take_events(events, frame.revision, complete_at, depth)
                    .await;
            }
        }
        Ok(())
    }

    /// Passes entries on that do not belong to the copy: enough to know whom to
    /// follow.
    pub async fn tell(&self, items: Vec<Item>) {
        for item in items {
            // Without a listener the feed ends at its next step.
            let _ = self.changes.send(Change::Event(Event::Written(item))).await;
        }
    }

    async fn take_everything(
        &self,
        items: Vec<Item>,
        revision: u64,
        complete_at: Instant,
        depth: u32,
    ) {
        let (mut newer, mut confirmed) = (false, false);
        self.state.send_if_modified(|state| {
            newer = state.take_everything(&items, revision);
            confirmed = state.confirm(revision, complete_at, depth);
            confirmed || newer
        });
        if newer {
            // As above.
            let _ = self.changes.send(Change::Everything(items)).await;
        }
        self.tell_complete(confirmed, complete_at).await;
    }

    async fn take_events(
        &self,
        events: Vec<Event>,
        revision: u64,
        complete_at: Instant,
        depth: u32,
    ) {
        let mut news = Vec::new();
        let mut confirmed = false;
        // Only what is new goes on: two nodes that follow each other while the
        // store serves neither would tell each other the same without end.
        self.state.send_if_modified(|state| {
            news = state.take_events(events, revision);
            confirmed = state.confirm(revision, complete_at, depth);
            confirmed || !news.is_empty()
        });
        for event in news {
            let _ = self.changes.send(Change::Event(event)).await;
        }
        self.tell_complete(confirmed, complete_at).await;
    }

    /// Says, behind the changes themselves, that there were no others.
    async fn tell_complete(&self, confirmed: bool, at: Instant) {
        if confirmed {
            // As above.
            let _ = self.changes.send(Change::CompleteAt(at)).await;
        }
    }
}
