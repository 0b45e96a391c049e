//! Reads from the store: on the watching node all changes, on any other node what it
//! may have missed.
//!
//! Peers are followed concurrently by [`crate::feed::follower`]: waiting for an
//! unresponsive store must not delay updates from peers, nor the other way round.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use barleyspar_catalog::{Revision, StoreError};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::feed::call_schedule::CallSchedule;
use crate::feed::copy::FeedCopy;
use crate::feed::poll::{StoreRead, read_all, read_changes};
use crate::feed::state::{FeedState, Update};
use crate::store::Store;
use crate::tasks::sleep_until_some;

/// Delay between a full read and the next call to the store. The full read shows the
/// node its possible parents, and a node that finds a parent in this time need not call
/// again.
const PARENT_CHOICE_TIME: Duration = Duration::from_millis(20);

/// A call to the store that is in progress.
type Call = Pin<Box<dyn Future<Output = EndedCall> + Send>>;

/// A call to the store that has ended, with the answer or the failure.
struct EndedCall {
    answer: Result<StoreRead, StoreError>,
    /// Whether the call ended because its time limit was reached.
    timed_out: bool,
}

/// Calls the store whenever this node needs its answer.
pub struct StoreReader<'a> {
    copy: &'a FeedCopy,
    /// A client used by nothing else, so that its [`Store::last_answer_at`] covers
    /// these calls only.
    store: Store,
    state: watch::Receiver<FeedState>,
    /// Whether this node watches the store on behalf of the other nodes.
    is_watcher: watch::Receiver<bool>,
    /// Set to true while the store is unreachable from this node.
    unreachable: watch::Sender<bool>,
    schedule: CallSchedule,
    open_calls: FuturesUnordered<Call>,
    /// Earliest time at which the next call may be sent.
    not_before: Instant,
    /// When the answer to the oldest call since the store's last answer was due, in the future
    /// for a poll that the store may still hold; `None` if there was no call.
    overdue_since: Option<Instant>,
    /// Whether the store has dropped the changes since the copy's revision, so that a
    /// full read is needed.
    history_lost: bool,
}

impl<'a> StoreReader<'a> {
    /// Creates a reader that updates `copy` from `store`. It calls the store steadily
    /// while `is_watcher` is set and otherwise only when the copy is stale; it reports
    /// in `unreachable` whether the store leaves its calls unanswered.
    pub fn new(
        copy: &'a FeedCopy,
        store: Store,
        is_watcher: watch::Receiver<bool>,
        unreachable: watch::Sender<bool>,
    ) -> Self {
        Self {
            copy,
            store,
            state: copy.subscribe(),
            is_watcher,
            unreachable,
            schedule: CallSchedule::new(copy.times.call_period, copy.times.unreachable_after),
            open_calls: FuturesUnordered::new(),
            not_before: Instant::now(),
            overdue_since: None,
            history_lost: false,
        }
    }

    /// Calls the store as needed until the feed ends and drops this future.
    pub async fn run(mut self) {
        loop {
            self.cancel_unneeded_calls();
            let next_call_at = self.next_call_at();
            let unreachable_at = self.unreachable_at();
            tokio::select! {
                Some(ended) = self.open_calls.next() => self.handle_ended_call(ended).await,
                () = sleep_until(next_call_at) => self.send_call_if_due(),
                () = sleep_until_some(unreachable_at) => {
                    self.unreachable.send_replace(true);
                }
                Ok(()) = self.state.changed() => {}
                Ok(()) = self.is_watcher.changed() => {}
            }
        }
    }

    /// Whether this node needs an answer from the store now: it watches the store for
    /// the others, or its copy is stale.
    fn is_needed(&self) -> bool {
        let needs_read = self.copy.is_stale() && self.copy.peers_first_until().is_none();
        needs_read || *self.is_watcher.borrow()
    }

    fn cancel_unneeded_calls(&mut self) {
        if !self.is_needed() {
            self.reset();
        }
    }

    /// Drops the open calls and resets the state that depends on earlier calls:
    /// timeouts, lost history and unreachability.
    fn reset(&mut self) {
        self.open_calls.clear();
        self.schedule.reset();
        self.overdue_since = None;
        self.history_lost = false;
        self.unreachable
            .send_if_modified(|unreachable| std::mem::replace(unreachable, false));
    }

    /// Returns when the next call is due if neither the copy nor the watcher role
    /// changes before.
    fn next_call_at(&self) -> Instant {
        if !self.is_needed() {
            return self
                .copy
                .peers_first_until()
                .unwrap_or_else(|| self.copy.stale_at());
        }
        if self.open_calls.is_empty() {
            return self.not_before;
        }
        if !self.copy.is_stale() {
            return self.copy.stale_at();
        }
        self.not_before.max(self.answer_arriving_until())
    }

    /// Returns until when the answer to an open call may still be arriving. While parts
    /// of an answer keep coming no further call is sent, since its answer would be just
    /// as long.
    fn answer_arriving_until(&self) -> Instant {
        let last_answer_at = self
            .store
            .last_answer_at()
            .filter(|last_answer_at| self.overdue_since < Some(*last_answer_at));
        last_answer_at.map_or(self.not_before, |last_answer_at| {
            last_answer_at + self.schedule.period()
        })
    }

    fn unreachable_at(&self) -> Option<Instant> {
        let since = self.overdue_since.filter(|_| !*self.unreachable.borrow())?;
        Some(since + self.copy.times.unreachable_after)
    }

    fn send_call_if_due(&mut self) {
        let now = Instant::now();
        // The next call is put off while an answer keeps arriving, which may have begun
        // after this call was scheduled.
        if !self.is_needed() || now < self.next_call_at() {
            return;
        }
        let stale = self.copy.is_stale();
        let call = self.create_call(stale);
        self.open_calls.push(call);
        self.not_before = now;
        if stale {
            self.not_before += self.schedule.pause_after_call();
        }
        let answer_due_at = now + self.poll_wait(stale);
        self.overdue_since.get_or_insert(answer_due_at);
    }

    /// Creates the next call. A call with a timeout above one period reads the full
    /// state: its size stays the same, while the list of missed changes keeps growing.
    fn create_call(&mut self, stale: bool) -> Call {
        let timeout = self.schedule.next_timeout();
        let is_long = timeout > self.schedule.period();
        if is_long || self.history_lost || !self.copy.has_data() {
            return self.full_read(timeout);
        }
        self.poll(self.poll_wait(stale), timeout)
    }

    /// Time for which the store holds a poll without changes.
    fn poll_wait(&self, stale: bool) -> Duration {
        if stale {
            Duration::ZERO
        } else {
            self.copy.times.poll_wait
        }
    }

    fn full_read(&self, timeout: Duration) -> Call {
        let store = self.store.clone();
        let deadline = Instant::now() + timeout;
        Box::pin(async move {
            let answer = read_all(&store, timeout).await;
            EndedCall::ended_now(deadline, answer)
        })
    }

    fn poll(&self, wait: Duration, timeout: Duration) -> Call {
        let store = self.store.clone();
        let revision = self.copy.revision();
        let deadline = Instant::now() + wait + timeout;
        Box::pin(async move {
            let answer = read_changes(&store, revision, wait, timeout).await;
            EndedCall::ended_now(deadline, answer)
        })
    }

    async fn handle_ended_call(&mut self, ended: EndedCall) {
        match ended.answer {
            Ok(read) => self.apply_read(read).await,
            Err(StoreError::HistoryLost) => {
                self.reset();
                self.history_lost = true;
                self.not_before = Instant::now();
            }
            // The store client has logged the timeout; the next call follows on
            // schedule.
            Err(_) if ended.timed_out => {}
            Err(_) => {
                let pause = self.schedule.pause_after_refusal(self.copy.has_data());
                self.not_before = Instant::now() + pause;
                self.unreachable.send_replace(true);
            }
        }
    }

    async fn apply_read(&mut self, read: StoreRead) {
        self.reset();
        let pause = match &read.update {
            Update::Everything(_) => {
                let Revision { era, number } = read.revision;
                tracing::info!(event = "store_read", era, revision = number);
                PARENT_CHOICE_TIME
            }
            // Delays the next poll, so that it returns the next changes as a batch.
            Update::Events(events) if !events.is_empty() => self.copy.times.batch_pause,
            Update::Events(_) => Duration::ZERO,
        };
        self.copy.apply_read(read).await;
        self.not_before = Instant::now() + pause;
    }
}

impl EndedCall {
    /// Creates the result of a call that ends now; it timed out if `deadline` has
    /// passed.
    fn ended_now(deadline: Instant, answer: Result<StoreRead, StoreError>) -> Self {
        Self {
            answer,
            timed_out: Instant::now() >= deadline,
        }
    }
}
