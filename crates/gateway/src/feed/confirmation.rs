//! Reads the store for those who must know its present state.
//!
//! A copy that a peer keeps current is some time behind the store, and how far cannot be told
//! from what arrived: a frame may have been on its way, or waited to be read, for long. Only an
//! answer to a call that was sent after a moment shows what the store held at that moment.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::feed::copy::FeedCopy;
use crate::feed::poll::read_changes;
use crate::feed::state::Change;
use crate::store::Store;

/// Longest wait for the store's answer, which takes some milliseconds while it is well.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time for which a request waits for the store. It covers a call that was under way when
/// it came and the call that answers it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// A handle by which tasks wait for a read of the store; clones share the reader.
#[derive(Debug, Clone)]
pub struct Confirmations {
    /// The latest time as of which somebody must know the store's state.
    needed_as_of: watch::Sender<Option<Instant>>,
    /// The time of the last call whose answer all parts of the node have applied.
    read_at: watch::Receiver<Option<Instant>>,
}

impl Confirmations {
    /// Creates a handle. `read_at` is to be set by whoever applies [`Change::ReadAt`].
    pub fn new(read_at: watch::Receiver<Option<Instant>>) -> Self {
        Self {
            needed_as_of: watch::Sender::new(None),
            read_at,
        }
    }

    /// Waits until this node knows all that the store held at the time `at`. Returns false if
    /// the store does not answer soon.
    pub async fn confirm(&self, at: Instant) -> bool {
        let is_read = |read_at: &Option<Instant>| read_at.is_some_and(|read_at| read_at >= at);
        self.needed_as_of.send_if_modified(|needed| {
            let is_later = needed.is_none_or(|needed| needed < at);
            if is_later {
                *needed = Some(at);
            }
            is_later
        });
        let mut read_at = self.read_at.clone();
        let confirmed = timeout(REQUEST_TIMEOUT, read_at.wait_for(is_read)).await;
        matches!(confirmed, Ok(Ok(_)))
    }
}

/// Reads the changes of the store whenever somebody needs its present state. All that wait share
/// one call at a time.
pub struct ConfirmationReader<'a> {
    copy: &'a FeedCopy,
    store: Store,
    needed_as_of: watch::Receiver<Option<Instant>>,
}

impl<'a> ConfirmationReader<'a> {
    /// Creates the reader that serves `confirmations`, updates `copy` and calls `store`.
    pub fn new(copy: &'a FeedCopy, store: Store, confirmations: &Confirmations) -> Self {
        Self {
            copy,
            store,
            needed_as_of: confirmations.needed_as_of.subscribe(),
        }
    }

    /// Reads the store as needed until the feed ends and drops this future.
    pub async fn run(mut self) {
        while self.needed_as_of.changed().await.is_ok() {
            // What is needed from here on needs another call.
            self.needed_as_of.mark_unchanged();
            let revision = self.copy.revision();
            let answer = read_changes(&self.store, revision, Duration::ZERO, ANSWER_TIMEOUT);
            match answer.await {
                Ok(read) => {
                    let sent_at = read.sent_at;
                    self.copy.apply_read(read).await;
                    self.copy.publish(Change::ReadAt(sent_at)).await;
                }
                // The store client has logged the failure, and those that wait give up.
                Err(_) => sleep(FAILURE_PAUSE).await,
            }
        }
        std::future::pending().await
    }
}
