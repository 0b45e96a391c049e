//! The record of the sizes under which models were loaded, kept in the store, so that it
//! outlasts all nodes.
//!
//! A leader orders no load of a model before a size as large as the model's is on record. A
//! later leader thus never counts a copy as smaller than it is, even if it never saw the
//! configuration under which the copy was loaded.

use std::time::Duration;

use barleyspar_catalog::{Item, Revision, StoreAnswer, StoreCall, Transaction, Write};
use barleyspar_loading::{Lease, ModelSizes};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::placement::{LEADER_KEY, LeaderRecord};
use crate::store::Store;

/// Key of the record in the store.
pub const MODEL_SIZES_KEY: &str = "barleyspar/placement/sizes";
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed attempt to write the record.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time within which this node's copy of the store should show a record that was written.
const SHOWN_WITHIN: Duration = Duration::from_secs(2);

/// The record as this node's copy of the store shows it.
#[derive(Debug, Clone, Default)]
pub struct RecordedSizes {
    /// The era of the store that shows the record.
    pub era: u32,
    /// The record's revision; `None` if the store has none.
    pub revision: Option<Revision>,
    /// The recorded sizes; none if the store has no record or a malformed one.
    pub sizes: ModelSizes,
}

impl RecordedSizes {
    /// Reads the record's item. A malformed value is logged and counts as an empty record,
    /// which the leader replaces.
    pub fn decode(item: &Item) -> Self {
        let sizes = rmp_serde::from_slice(&item.value);
        let sizes = sizes.unwrap_or_else(|error| {
            tracing::warn!(event = "object_unreadable", key = MODEL_SIZES_KEY, %error);
            ModelSizes::default()
        });
        Self {
            era: item.revision.era,
            revision: Some(item.revision),
            sizes,
        }
    }

    /// Returns the state of a store in `era` that has no record.
    pub fn missing(era: u32) -> Self {
        Self {
            era,
            ..Self::default()
        }
    }
}

/// Writes the record while this node leads.
pub struct SizeRecorder {
    /// The client of the store that holds the record.
    pub store: Store,
    /// The lease to lead, while this node has it.
    pub lease: watch::Receiver<Option<Lease>>,
    /// The leader according to this node's copy of the store.
    pub leader: watch::Receiver<Option<LeaderRecord>>,
    /// What the store has on record, as this node knows it.
    pub recorded: watch::Receiver<RecordedSizes>,
    /// The sizes that this node, as the leader, wants on record; `None` while it does not lead.
    pub wanted: watch::Receiver<Option<ModelSizes>>,
}

impl SizeRecorder {
    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let change = self.change();
            let changed = tokio::select! {
                changed = self.wanted.changed() => changed,
                changed = self.recorded.changed() => changed,
                changed = self.leader.changed() => changed,
                () = sleep(RETRY_PAUSE), if change.is_some() => Ok(()),
            };
            if changed.is_err() {
                return;
            }
            if let Some(change) = self.change() {
                self.write(change).await;
            }
        }
    }

    /// Returns the write that puts the wanted sizes on record; `None` if they are, or if the
    /// store does not show this node as the leader.
    fn change(&self) -> Option<Transaction> {
        let wanted = self.wanted.borrow().clone()?;
        let recorded = self.recorded.borrow();
        if recorded.sizes == wanted {
            return None;
        }
        let token = self.lease.borrow().as_ref()?.fencing_token;
        let leader = self.leader.borrow();
        let leader = leader.as_ref().filter(|leader| leader.token == token)?;
        let value = rmp_serde::to_vec(&wanted).expect("names and numbers are serializable");
        Some(Transaction {
            // A former leader must not replace what its successor wrote.
            conditions: vec![
                (LEADER_KEY.to_owned(), Some(leader.revision)),
                (MODEL_SIZES_KEY.to_owned(), recorded.revision),
            ],
            writes: vec![Write {
                key: MODEL_SIZES_KEY.to_owned(),
                value: value.into(),
                lease: 0,
            }],
            removes: Vec::new(),
        })
    }

    /// Executes the write and waits until the copy of the store shows it. The store client logs
    /// a failure.
    async fn write(&mut self, change: Transaction) {
        let call = StoreCall::Commit(change);
        let answer = self.store.call(&call, CALL_TIMEOUT).await;
        if let Ok(StoreAnswer::Committed { revision }) = answer {
            tracing::info!(
                event = "model_sizes_recorded",
                era = revision.era,
                revision = revision.number
            );
            // A copy that does not show the record by then is behind; the write that follows
            // changes nothing, since the record has another revision.
            let _ = timeout(SHOWN_WITHIN, self.recorded.changed()).await;
        }
    }
}
