//! The task that keeps this node's copy current: it follows a peer and, concurrently,
//! calls the store where that is not enough.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::context::Context;
use crate::feed::confirmation::ConfirmationReader;
use crate::feed::copy::FeedCopy;
use crate::feed::follower::Follower;
use crate::feed::poll::read_members;
use crate::feed::staleness::report_staleness;
use crate::feed::state::{Change, FeedState};
use crate::feed::store_reader::StoreReader;
use crate::peers::SeenPeer;
use crate::store::Store;

/// Time limit for reading the members' entries at the start.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for the members' entries to reach the list of peers.
const MEMBERS_APPLY_TIME: Duration = Duration::from_millis(20);

/// Keeps this node's copy of the store current.
pub struct FeedTask {
    context: Context,
    store: Store,
    seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
    copy: FeedCopy,
}

impl FeedTask {
    /// Creates a task that keeps `state` current and sends new changes to `changes`.
    /// `store` must be used by nothing else, so that [`Store::last_answer_at`] covers
    /// the feed's calls only; `seen_peers` is the list of peers to follow.
    pub fn new(
        context: Context,
        store: Store,
        seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        let copy = FeedCopy::new(&context, &store, state, changes);
        Self {
            context,
            store,
            seen_peers,
            copy,
        }
    }

    /// Runs until the receiver of the changes is dropped.
    pub async fn run(mut self) {
        self.load_members().await;
        let copy = &self.copy;
        let (is_watcher_sender, is_watcher) = watch::channel(false);
        let (unreachable_sender, unreachable) = watch::channel(false);
        let confirmation_store = self.store.with_own_connections();
        let confirmations = &self.context.confirmations;
        let confirmation_reader = ConfirmationReader::new(copy, confirmation_store, confirmations);
        let reader = StoreReader::new(copy, self.store, is_watcher, unreachable_sender);
        let follower = Follower::new(
            copy,
            &self.context,
            self.seen_peers,
            is_watcher_sender,
            unreachable,
        );
        tokio::select! {
            () = copy.closed() => {}
            () = reader.run() => {}
            () = follower.run() => {}
            () = confirmation_reader.run() => {}
            () = report_staleness(copy.subscribe(), copy.times, &self.context) => {}
        }
    }

    /// Reads the members' entries from the store, so that the full state can be read
    /// from one of them.
    async fn load_members(&mut self) {
        // The store client logs the failure; the full state is then read from the
        // store.
        let Ok(items) = read_members(&self.store, MEMBERS_TIMEOUT).await else {
            return;
        };
        let has_members = !items.is_empty();
        self.copy.publish_entries(items).await;
        if has_members {
            // No change within `MEMBERS_APPLY_TIME` means that all members were already
            // in the list.
            let _ = timeout(MEMBERS_APPLY_TIME, self.seen_peers.changed()).await;
        }
    }
}
