//! Keeps the newest configuration in the store while the store shows an older one.
//!
//! A store that is restored from a backup may lack the configuration in force. Nodes
//! that knew it go on using it; a node that starts before the operators have written it
//! again reads it under a key of barleyspar's own.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Item, Revision, StoreCall, Transaction, Write};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::context::Context;
use crate::peers::SeenPeer;
use crate::stagger::staggered_delay;
use crate::store::Store;

/// Key under which the newest configuration is kept.
pub const KEPT_CONFIGURATION_KEY: &str = "barleyspar/configuration";
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Writes the configuration in force to the store where the store shows an older one.
pub struct ConfigurationKeeper {
    /// The node's settings, dispatcher and other shared state.
    pub context: Context,
    /// The client of the store that the configuration is written to.
    pub store: Store,
    /// When each peer was last seen.
    pub seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
    /// The newest configuration version that the store shows, under the operators' key
    /// or [`KEPT_CONFIGURATION_KEY`]; 0 if none.
    pub shown_version: watch::Sender<u64>,
}

impl ConfigurationKeeper {
    /// Sets `shown_version` to 0. Called before the items of a full read are applied,
    /// since a store restored from a backup may lack the version that it showed before.
    pub fn reset_shown_version(&self) {
        self.shown_version.send_replace(0);
    }

    /// Records that the store shows a configuration with this version.
    pub fn record_shown_version(&self, version: u64) {
        self.shown_version
            .send_modify(|shown| *shown = version.max(*shown));
    }

    /// Writes `item`, the configuration `version` that is in force, under
    /// [`KEPT_CONFIGURATION_KEY`], unless the store shows that version by the end of
    /// this node's staggered delay. `kept_revision` is the revision of the present item
    /// under that key, `None` if there is none.
    pub fn keep(&self, item: Item, version: u64, kept_revision: Option<Revision>) {
        if *self.shown_version.borrow() >= version {
            return;
        }
        let store = self.store.clone();
        let shown = self.shown_version.subscribe();
        let delay = staggered_delay(&self.context, &self.seen_peers.borrow());
        crate::tasks::spawn(async move {
            sleep(delay).await;
            let in_store = *shown.borrow();
            if in_store >= version {
                return;
            }
            tracing::warn!(event = "configuration_kept", version, in_store);
            // A failure is logged by the store client; a conflict means that another
            // node was faster.
            let _ = store
                .call(&write_call(&item, kept_revision), CALL_TIMEOUT)
                .await;
        });
    }
}

fn write_call(item: &Item, kept_revision: Option<Revision>) -> StoreCall {
    let value = rmp_serde::to_vec(item).expect("an item is serializable");
    StoreCall::Commit(Transaction {
        conditions: vec![(KEPT_CONFIGURATION_KEY.to_owned(), kept_revision)],
        writes: vec![Write {
            key: KEPT_CONFIGURATION_KEY.to_owned(),
            value: value.into(),
            lease: 0,
        }],
        removes: Vec::new(),
    })
}

/// Decodes the value under [`KEPT_CONFIGURATION_KEY`] to the configuration's item; logs
/// a malformed one and returns `None`.
pub fn decode(value: &[u8]) -> Option<Item> {
    let item = rmp_serde::from_slice(value);
    item.inspect_err(|error| {
        tracing::warn!(event = "object_unreadable", key = KEPT_CONFIGURATION_KEY, %error);
    })
    .ok()
}
