//! The task that keeps this node's copy current: it follows a peer and, at the
//! same time, asks the store where that is not enough.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::context::Context;
use crate::feed::age::tell_of_age;
use crate::feed::asker::Asker;
use crate::feed::copy::FeedCopy;
use crate::feed::follower::Follower;
use crate::feed::poll::read_members;
use crate::feed::state::{Change, FeedState};
use crate::peers::Heard;
use crate::store::Store;

/// Time for the members' entries to come, at the start.
const MEMBERS_PATIENCE: Duration = Duration::from_millis(250);
/// Time for these to reach the list of peers heard.
const MEMBERS_TAKEN_IN: Duration = Duration::from_millis(20);

/// The task.
pub struct FeedTask {
    context: Context,
    store: Store,
    heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
    copy: FeedCopy,
}

impl FeedTask {
    /// A task that keeps `state` current and tells `changes` what is new; nothing
    /// else uses `store`.
    pub fn new(
        context: Context,
        store: Store,
        heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
        state: watch::Sender<FeedState>,
        changes: mpsc::Sender<Change>,
    ) -> Self {
        let copy = FeedCopy::new(&context, &store, state, changes);
        Self {
            context,
            store,
            heard,
            copy,
        }
    }

    /// Runs until nobody listens any more.
    pub async fn run(mut self) {
        self.learn_members().await;
        let copy = &self.copy;
        let (says_watch, watches) = watch::channel(false);
        let (says_unserved, unserved) = watch::channel(false);
        let asker = Asker::new(copy, self.store, watches, says_unserved);
        let follower = Follower::new(copy, &self.context, self.heard, says_watch, unserved);
        let metrics = self.context.metrics.clone();
        tokio::select! {
            () = copy.closed() => {}
            () = asker.run() => {}
            () = follower.run() => {}
            () = tell_of_age(copy.subscribe(), copy.times, metrics) => {}
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
        self.copy.tell_entries(items).await;
        if any {
            // Nothing new within that time: all members were known.
            let _ = timeout(MEMBERS_TAKEN_IN, self.heard.changed()).await;
        }
    }
}
