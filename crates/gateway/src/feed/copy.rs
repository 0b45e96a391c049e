//! This node's copy of the store, as those that learn of changes write it.

use std::io;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::feed::follow::Arrived;
use crate::feed::poll::Reading;
use crate::feed::state::{Change, FeedState, News};
use crate::feed::times::FeedTimes;
use crate::store::Store;

/// Time from its start within which a node learns everything from a peer rather
/// than from the store: 295 nodes that all read half a megabyte at once keep the
/// store's link busy for 0.9 s.
const FIRST_PEERS: Duration = Duration::from_millis(600);

/// The copy, with the way to the parts of the node that it concerns.
pub struct FeedCopy {
    store: Store,
    state: watch::Sender<FeedState>,
    changes: mpsc::Sender<Change>,
    /// How old the copy may grow.
    pub times: FeedTimes,
    peers_first_until: Instant,
}

impl FeedCopy {
    /// A copy of `store` in `state`; `changes` are told what is new.
    pub fn new(
        context: &Context,
        store: &Store,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        Self {
            store: store.clone(),
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
    pub fn revision(&self) -> Revision {
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
        self.take(reading.news, reading.revision, reading.asked, 0)
            .await;
    }

    /// Takes in a parent's frame.
    pub async fn take_frame(&self, arrived: Arrived) -> io::Result<()> {
        let Arrived { frame, complete_at } = arrived;
        self.store.note_era(frame.revision.era);
        let news = frame.content.news()?;
        self.take(news, frame.revision, complete_at, frame.depth + 1)
            .await;
        Ok(())
    }

    /// Passes entries on that do not belong to the copy: enough to know whom to
    /// follow.
    pub async fn tell_entries(&self, items: Vec<Item>) {
        for item in items {
            self.tell(Change::Event(Event::Written(item))).await;
        }
    }

    /// Takes in `news` up to `revision`, complete at `complete_at`, as known over
    /// `depth` steps.
    async fn take(&self, news: News, revision: Revision, complete_at: Instant, depth: u32) {
        let mut changes = Vec::new();
        let mut confirmed = false;
        // Only what is new goes on: two nodes that follow each other while the
        // store serves neither would tell each other the same without end.
        self.state.send_if_modified(|state| {
            changes = changes_by(state, news, revision);
            confirmed = state.confirm(revision, complete_at, depth);
            confirmed || !changes.is_empty()
        });
        for change in changes {
            self.tell(change).await;
        }
        // Behind the changes themselves, that there were no others.
        if confirmed {
            self.tell(Change::CompleteAt(complete_at)).await;
        }
    }

    async fn tell(&self, change: Change) {
        // Without a listener the feed ends at its next step.
        let _ = self.changes.send(change).await;
    }
}

/// Takes `news` into `state`; what was not known before.
fn changes_by(state: &mut FeedState, news: News, revision: Revision) -> Vec<Change> {
    match news {
        News::Everything(items) => {
            let newer = state.take_everything(&items, revision);
            newer
                .then_some(Change::Everything(items, revision.era))
                .into_iter()
                .collect()
        }
        News::Events(events) => state
            .take_events(events, revision)
            .into_iter()
            .map(Change::Event)
            .collect(),
    }
}
