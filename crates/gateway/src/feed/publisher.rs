//! Changes this node's copy of the store and passes the changes on.

use tokio::sync::{Mutex, mpsc, watch};
use tokio::time::Instant;

use barleyspar_catalog::Revision;

use crate::feed::state::{Change, FeedState, Update};

/// Publishes the state of the copy, and its changes in the store's order.
pub struct Publisher {
    state: watch::Sender<FeedState>,
    changes: mpsc::Sender<Change>,
    /// Held while an update is published. The reader of the store and the follower apply
    /// updates concurrently: without it, changes of the later update could pass those of
    /// the earlier one whenever the channel is full.
    turn: Mutex<()>,
}

impl Publisher {
    /// Creates a publisher of the copy's state to `state` and of its changes to
    /// `changes`.
    pub fn new(state: watch::Sender<FeedState>, changes: mpsc::Sender<Change>) -> Self {
        Self {
            state,
            changes,
            turn: Mutex::default(),
        }
    }

    /// Returns a receiver that is notified of each change of the copy.
    pub fn subscribe(&self) -> watch::Receiver<FeedState> {
        self.state.subscribe()
    }

    /// The present state of the copy.
    pub fn state(&self) -> watch::Ref<'_, FeedState> {
        self.state.borrow()
    }

    /// Waits until the receiver of the changes is dropped.
    pub async fn closed(&self) {
        self.changes.closed().await;
    }

    /// Applies `update`, which brings the copy to `revision` and contains all changes
    /// made before `complete_at`. `depth` is the number of feed connections that the
    /// update has passed through; 0 if the store itself sent it.
    pub async fn apply(
        &self,
        update: Update,
        revision: Revision,
        complete_at: Instant,
        depth: u32,
    ) {
        let _turn = self.turn.lock().await;
        let mut changes = Vec::new();
        let mut confirmed = false;
        // Followers are notified only if the update or its confirmation is new: two
        // nodes that follow each other while the store is unreachable from both would
        // otherwise send each other the same frames without end.
        self.state.send_if_modified(|state| {
            changes = apply_update(state, update, revision);
            confirmed = state.confirm(revision, complete_at, depth);
            confirmed || !changes.is_empty()
        });
        for change in changes {
            self.publish(change).await;
        }
        // The confirmation follows the changes: up to `complete_at` there were no
        // others.
        if confirmed {
            self.publish(Change::CompleteAt(complete_at)).await;
        }
    }

    /// Sends `change` without changing the copy.
    pub async fn publish(&self, change: Change) {
        // Fails only without a receiver, in which case the feed ends.
        let _ = self.changes.send(change).await;
    }
}

/// Applies `update` to `state` and returns the changes that were not known before.
pub fn apply_update(state: &mut FeedState, update: Update, revision: Revision) -> Vec<Change> {
    match update {
        Update::Everything(items) => {
            let is_newer = state.replace_all(&items, revision);
            is_newer
                .then_some(Change::Everything(items, revision.era))
                .into_iter()
                .collect()
        }
        Update::Events(events) => state
            .apply_events(events, revision)
            .into_iter()
            .map(Change::Event)
            .collect(),
    }
}

#[cfg(test)]
#[path = "publisher_tests.rs"]
mod tests;
