//! Asks the store: the watcher for what changes, any node for what it may have
//! missed. Peers are asked at the same time, elsewhere: waiting for a silent store
//! must not keep a node from what its peers know, nor the other way round.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use barleyspar_catalog::{Revision, StoreError};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::feed::copy::FeedCopy;
use crate::feed::patience::Patience;
use crate::feed::poll::{Reading, read_changes, read_everything};
use crate::feed::state::{FeedState, News};
use crate::store::Store;
use crate::tasks::sleep_until_some;

/// Time after a whole reading until the next call: with what it has read a node finds
/// whom to follow, and most need not ask again.
const PARENT_FOUND_IN: Duration = Duration::from_millis(20);

/// A call to the store that is open.
type Call = Pin<Box<dyn Future<Output = Ended> + Send>>;

/// A call's end.
struct Ended {
    answer: Result<Reading, StoreError>,
    /// Whether the call lasted as long as it might.
    timed_out: bool,
}

/// Asks the store when this node needs it.
pub struct Asker<'a> {
    copy: &'a FeedCopy,
    /// A client that nothing else uses: it tells when the store was last heard.
    store: Store,
    state: watch::Receiver<FeedState>,
    /// Whether this node is the one that watches the store for others.
    watches: watch::Receiver<bool>,
    /// Whether the store leaves this node's calls without an answer.
    unserved: watch::Sender<bool>,
    patience: Patience,
    open: FuturesUnordered<Call>,
    not_before: Instant,
    /// When the oldest call since the last answer was sent.
    silent_since: Option<Instant>,
    /// Whether changes since the known revision cannot be had any more.
    history_lost: bool,
}

impl<'a> Asker<'a> {
    /// Asks `store` on behalf of `copy`, steadily while `watches` is set.
    pub fn new(
        copy: &'a FeedCopy,
        store: Store,
        watches: watch::Receiver<bool>,
        unserved: watch::Sender<bool>,
    ) -> Self {
        Self {
            copy,
            store,
            state: copy.subscribe(),
            watches,
            unserved,
            patience: Patience::new(copy.times.ask_period),
            open: FuturesUnordered::new(),
            not_before: Instant::now(),
            silent_since: None,
            history_lost: false,
        }
    }

    /// Runs until the feed ends.
    pub async fn run(mut self) {
        loop {
            self.give_up_needless_calls();
            let next_call = self.next_call();
            let unserved_at = self.unserved_at();
            tokio::select! {
                Some(ended) = self.open.next() => self.ended(ended).await,
                () = sleep_until(next_call) => self.send(),
                () = sleep_until_some(unserved_at) => {
                    self.unserved.send_replace(true);
                }
                Ok(()) = self.state.changed() => {}
                Ok(()) = self.watches.changed() => {}
            }
        }
    }

    /// Whether this node needs the store's answer now.
    fn is_needed(&self) -> bool {
        let overdue = self.copy.is_overdue() && self.copy.peers_first_until().is_none();
        overdue || *self.watches.borrow()
    }

    fn give_up_needless_calls(&mut self) {
        if !self.is_needed() {
            self.start_anew();
        }
    }

    /// Forgets the calls that are open, and what they showed of the store.
    fn start_anew(&mut self) {
        self.open.clear();
        self.patience.start_anew();
        self.silent_since = None;
        self.history_lost = false;
        self.unserved
            .send_if_modified(|unserved| std::mem::replace(unserved, false));
    }

    /// When the next call is to be sent, unless something changes before.
    fn next_call(&self) -> Instant {
        if !self.is_needed() {
            return self
                .copy
                .peers_first_until()
                .unwrap_or_else(|| self.copy.deadline());
        }
        if self.open.is_empty() {
            return self.not_before;
        }
        if !self.copy.is_overdue() {
            return self.copy.deadline();
        }
        self.not_before.max(self.arriving_until())
    }

    /// Until when the answer to an open call may be on its way: the answer is
    /// waited for from part to part, since the next one would be no shorter.
    fn arriving_until(&self) -> Instant {
        let heard = self
            .store
            .last_heard()
            .filter(|heard| self.silent_since < Some(*heard));
        heard.map_or(self.not_before, |heard| heard + self.patience.period())
    }

    fn unserved_at(&self) -> Option<Instant> {
        let since = self.silent_since.filter(|_| !*self.unserved.borrow())?;
        Some(since + self.copy.times.unserved_after)
    }

    fn send(&mut self) {
        let now = Instant::now();
        // An answer may have begun to arrive meanwhile.
        if !self.is_needed() || now < self.next_call() {
            return;
        }
        let overdue = self.copy.is_overdue();
        self.not_before = now;
        if overdue {
            self.not_before += self.patience.period();
            self.silent_since.get_or_insert(now);
        }
        let call = self.call(overdue);
        self.open.push(call);
    }

    /// The next call. One that may take longer than a period asks for the present
    /// state: that stays the same size while the changes missed only grow.
    fn call(&mut self, overdue: bool) -> Call {
        let patience = self.patience.next_call();
        let long = patience > self.patience.period();
        if long || self.history_lost || !self.copy.is_known() {
            return self.whole_reading(patience);
        }
        let wait = if overdue {
            Duration::ZERO
        } else {
            self.copy.times.poll
        };
        self.poll(wait, patience)
    }

    fn whole_reading(&self, patience: Duration) -> Call {
        let store = self.store.clone();
        let limit = Instant::now() + patience;
        Box::pin(async move {
            let answer = read_everything(&store, patience).await;
            Ended::at(limit, answer)
        })
    }

    fn poll(&self, wait: Duration, patience: Duration) -> Call {
        let store = self.store.clone();
        let revision = self.copy.revision();
        let limit = Instant::now() + wait + patience;
        Box::pin(async move {
            let answer = read_changes(&store, revision, wait, patience).await;
            Ended::at(limit, answer)
        })
    }

    async fn ended(&mut self, ended: Ended) {
        match ended.answer {
            Ok(reading) => self.take(reading).await,
            Err(StoreError::HistoryLost) => {
                self.start_anew();
                self.history_lost = true;
                self.not_before = Instant::now();
            }
            // The client has told the log; the next call follows in its time.
            Err(_) if ended.timed_out => {}
            Err(_) => {
                let pause = self.patience.refused(self.copy.is_known());
                self.not_before = Instant::now() + pause;
                self.unserved.send_replace(true);
            }
        }
    }

    async fn take(&mut self, reading: Reading) {
        self.start_anew();
        let pause = match &reading.news {
            News::Everything(_) => {
                let Revision { era, number } = reading.revision;
                tracing::info!(event = "store_read", era, revision = number);
                PARENT_FOUND_IN
            }
            // Changes come in batches.
            News::Events(events) if !events.is_empty() => self.copy.times.batch_pause,
            News::Events(_) => Duration::ZERO,
        };
        self.copy.take_reading(reading).await;
        self.not_before = Instant::now() + pause;
    }
}

impl Ended {
    /// An end now, of a call that might last until `limit`.
    fn at(limit: Instant, answer: Result<Reading, StoreError>) -> Self {
        Self {
            answer,
            timed_out: Instant::now() >= limit,
        }
    }
}
