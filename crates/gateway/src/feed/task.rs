//! The task that keeps this node's copy current.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, StoreError};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::context::Context;
use crate::feed::age::tell_of_age;
use crate::feed::follow::{Arrived, Following};
use crate::feed::frame::Content;
use crate::feed::patience::Patience;
use crate::feed::poll::{read_changes, read_everything, read_members};
use crate::feed::state::{Change, FeedState};
use crate::feed::times::FeedTimes;
use crate::feed::tree::{self, Myself, Parent};
use crate::peers::{Heard, longest_silence};
use crate::store::Store;

/// Pause after a failed call, doubled with each further failure.
const SHORTEST_RETRY_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(1200);
/// Longest pause of a node that knows nothing yet.
const LONGEST_FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a parent whose knowledge grew too old is not followed.
const STALE_AVOIDED_FOR: Duration = Duration::from_secs(5);
/// Time for which a parent that cannot be reached is not followed.
const BROKEN_AVOIDED_FOR: Duration = Duration::from_secs(2);
/// Time for a peer to show newer knowledge when the store serves us none.
const PEER_TRIAL: Duration = Duration::from_millis(1000);
/// Time from its start within which a node learns everything from a peer rather
/// than from the store: 295 nodes that all read half a megabyte at once keep the
/// store's link busy for 0.9 s (seen after a loss of power).
const FIRST_PEERS: Duration = Duration::from_millis(600);
/// Time for the members' entries to come, at the start.
const MEMBERS_PATIENCE: Duration = Duration::from_millis(250);
/// Time for these to reach the list of peers heard.
const MEMBERS_TAKEN_IN: Duration = Duration::from_millis(20);
/// Time for which another parent must be the right one before it is followed.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Whom to ask next.
enum Source {
    Store,
    Peer(Parent),
}

/// The task.
pub struct FeedTask {
    context: Context,
    store: Store,
    heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
    state: watch::Sender<FeedState>,
    changes: mpsc::Sender<Change>,
    times: FeedTimes,
    avoided: HashMap<Arc<str>, Instant>,
    patience: Patience,
    store_failures: u32,
    /// Whether a peer is asked before the store, which failed last.
    peer_is_next: bool,
    /// Whether changes since the known revision cannot be had any more.
    reads_anew: bool,
}

impl FeedTask {
    /// A task that keeps `state` current and tells `changes` what is new.
    pub fn new(
        context: Context,
        store: Store,
        heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        let times = FeedTimes::new(&context.settings.bounds);
        Self {
            context,
            store,
            heard,
            state,
            changes,
            times,
            avoided: HashMap::new(),
            patience: Patience::default(),
            store_failures: 0,
            peer_is_next: false,
            reads_anew: false,
        }
    }

    /// Runs until nobody listens any more.
    pub async fn run(mut self) {
        crate::tasks::spawn(tell_of_age(
            self.state.subscribe(),
            self.times,
            self.context.metrics.clone(),
        ));
        self.learn_members().await;
        while !self.changes.is_closed() {
            match self.next_source() {
                Source::Store => self.ask_store().await,
                Source::Peer(parent) => self.follow(parent).await,
            }
        }
    }

    /// Learns from the store who else is there, to ask them for the rest.
    async fn learn_members(&mut self) {
        // A failure is logged by the store's client; then the store is asked
        // for everything.
        let Ok(items) = read_members(&self.store, MEMBERS_PATIENCE).await else {
            return;
        };
        let any = !items.is_empty();
        for item in items {
            // Without a listener the task ends at its next step.
            let _ = self.changes.send(Change::Event(Event::Written(item))).await;
        }
        if any {
            let _ = timeout(MEMBERS_TAKEN_IN, self.heard.changed()).await;
        }
    }

    /// Whether this node has just started and is to ask its peers first.
    fn asks_peers_first(&self) -> bool {
        !self.state.borrow().is_known() && self.context.started.elapsed() < FIRST_PEERS
    }

    fn next_source(&mut self) -> Source {
        let now = Instant::now();
        self.avoided.retain(|_, until| now < *until);
        let avoided = |name: &str| self.avoided.contains_key(name);
        let heard = self.heard.borrow();
        let overdue = self.is_overdue(now) && !self.asks_peers_first();
        if overdue || self.reads_anew {
            let peer = self
                .peer_is_next
                .then(|| tree::any_peer(&heard, avoided))
                .flatten();
            return peer.map_or(Source::Store, Source::Peer);
        }
        let silence = longest_silence(self.context.dispatch.nodes());
        match tree::parent(
            &Myself::of(&self.context.settings),
            &heard,
            silence,
            avoided,
        ) {
            Some(parent) => Source::Peer(parent),
            None => Source::Store,
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.state.borrow().is_overdue(&self.times, now)
    }

    /// When this node's knowledge is too old to rely on a parent.
    fn deadline(&self) -> Instant {
        self.state.borrow().deadline(&self.times, Instant::now())
    }

    async fn ask_store(&mut self) {
        let known = self.state.borrow().is_known() && !self.reads_anew;
        let result = if known {
            self.ask_for_changes().await
        } else {
            self.ask_for_everything().await
        };
        match result {
            Ok(()) => self.store_failures = 0,
            Err(StoreError::HistoryLost) => self.reads_anew = true,
            Err(_) => {
                let doublings = self.store_failures.min(8);
                self.store_failures += 1;
                self.peer_is_next = true;
                let pause = SHORTEST_RETRY_PAUSE * 2_u32.pow(doublings);
                // A node that knows nothing serves nobody.
                let longest = if known {
                    LONGEST_RETRY_PAUSE
                } else {
                    LONGEST_FIRST_PAUSE
                };
                sleep(pause.min(longest)).await;
            }
        }
    }

    async fn ask_for_changes(&mut self) -> Result<(), StoreError> {
        let wait = if self.is_overdue(Instant::now()) {
            Duration::ZERO
        } else {
            self.times.poll
        };
        let revision = self.state.borrow().revision();
        let answer = read_changes(&self.store, revision, wait, self.patience.poll()).await;
        if matches!(answer, Err(StoreError::Unanswered(_))) {
            self.reads_anew |= self.patience.poll_was_late();
        }
        let answer = answer?;
        self.patience.answered();
        let any = !answer.events.is_empty();
        self.take_events(answer.events, answer.revision, answer.asked, 0)
            .await;
        if any {
            sleep(self.times.batch_pause).await;
        }
        Ok(())
    }

    async fn ask_for_everything(&mut self) -> Result<(), StoreError> {
        let answer = read_everything(&self.store, self.patience.page()).await;
        if matches!(answer, Err(StoreError::Unanswered(_))) {
            self.patience.page_was_late();
        }
        let answer = answer?;
        self.patience.answered();
        self.reads_anew = false;
        tracing::info!(event = "store_read", revision = answer.revision);
        self.take_everything(answer.items, answer.revision, answer.asked, 0)
            .await;
        Ok(())
    }

    /// Follows `parent` until it is of no more use or not the right one.
    async fn follow(&mut self, parent: Parent) {
        self.peer_is_next = false;
        let name = parent.name.clone();
        let trial = if self.asks_peers_first() {
            self.context.started + FIRST_PEERS
        } else {
            Instant::now() + PEER_TRIAL
        };
        let overdue = self.is_overdue(Instant::now());
        let revision = self.state.borrow().revision();
        let begun = Following::begin(&*self.context.network, &parent, revision).await;
        let mut following = match begun {
            Ok(following) => following,
            Err(error) => return self.avoid(name, BROKEN_AVOIDED_FOR, &error.to_string()),
        };
        tracing::info!(event = "feed_followed", parent = &*name, revision);
        let mut unsettled_since = None;
        loop {
            let until = if overdue {
                self.deadline().max(trial)
            } else {
                self.deadline()
            };
            match timeout_at(until, following.next()).await {
                Err(_) => {
                    return self.avoid(name, STALE_AVOIDED_FOR, "its knowledge is old");
                }
                Ok(Err(error)) => {
                    return self.avoid(name, BROKEN_AVOIDED_FOR, &error.to_string());
                }
                Ok(Ok(arrived)) => {
                    if let Err(error) = self.take(arrived).await {
                        return self.avoid(name, STALE_AVOIDED_FOR, &error.to_string());
                    }
                }
            }
            if self.has_settled_elsewhere(&name, &mut unsettled_since) {
                return;
            }
        }
    }

    fn avoid(&mut self, name: Arc<str>, time: Duration, cause: &str) {
        tracing::info!(event = "feed_left", parent = &*name, cause);
        self.avoided.insert(name, Instant::now() + time);
    }

    /// Whether another parent than `followed` has been the right one for a while.
    fn has_settled_elsewhere(&mut self, followed: &str, since: &mut Option<Instant>) -> bool {
        let right = matches!(self.next_source(), Source::Peer(parent) if &*parent.name == followed);
        if right {
            *since = None;
            return false;
        }
        since.get_or_insert_with(Instant::now).elapsed() > SETTLED_AFTER
    }

    async fn take(&mut self, arrived: Arrived) -> io::Result<()> {
        let Arrived { frame, complete_at } = arrived;
        let depth = frame.depth + 1;
        match frame.content {
            Content::Everything(packed) => {
                let items = packed.items()?;
                self.take_everything(items, frame.revision, complete_at, depth)
                    .await;
                self.reads_anew = false;
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
            // Without a listener the task ends at its next step.
            let _ = self.changes.send(Change::Everything(items)).await;
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
}
