//! The newest configuration, kept in the store while it shows an older one.
//!
//! A store that comes back from a copy may lack a configuration that is in force. Nodes
//! that knew it go by it; one that starts before the operators have written it again reads
//! it under a key of the system's own.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Item, Revision, StoreCall, Transaction, Write};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::context::Context;
use crate::peers::Heard;
use crate::store::Store;
use crate::turns::pause_until_turn;

/// Key under which the configuration is kept.
pub const KEPT_CONFIGURATION_KEY: &str = "barleyspar/configuration";
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Keeps configurations in the store.
pub struct ConfigurationKeeper {
    /// What all parts share.
    pub context: Context,
    /// The store.
    pub store: Store,
    /// When each peer was last heard.
    pub heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
    /// The newest version that the store shows, wherever it stands.
    pub shown: watch::Sender<u64>,
}

impl ConfigurationKeeper {
    /// Begins another reading of everything.
    pub fn begin_reading(&self) {
        self.shown.send_replace(0);
    }

    /// The store shows the configuration `version`.
    pub fn shows(&self, version: u64) {
        self.shown.send_modify(|shown| *shown = version.max(*shown));
    }

    /// Keeps `item`, the configuration `version` that is in force, if the store still
    /// shows an older one when it is this node's turn. `kept` is the revision of what is
    /// kept now.
    pub fn keep(&self, item: Item, version: u64, kept: Option<Revision>) {
        if *self.shown.borrow() >= version {
            return;
        }
        let store = self.store.clone();
        let shown = self.shown.subscribe();
        let turn = pause_until_turn(&self.context, &self.heard.borrow());
        crate::tasks::spawn(async move {
            sleep(turn).await;
            let in_store = *shown.borrow();
            if in_store >= version {
                return;
            }
            tracing::warn!(event = "configuration_kept", version, in_store);
            // A failure is logged by the store's client; where another node was quicker,
            // nothing is left to do.
            let _ = store.call(&call(&item, kept), CALL_TIMEOUT).await;
        });
    }
}

fn call(item: &Item, kept: Option<Revision>) -> StoreCall {
    let value = rmp_serde::to_vec(item).expect("an item is plain data");
    StoreCall::Commit(Transaction {
        conditions: vec![(KEPT_CONFIGURATION_KEY.to_owned(), kept)],
        writes: vec![Write {
            key: KEPT_CONFIGURATION_KEY.to_owned(),
            value: value.into(),
            lease: 0,
        }],
        removes: Vec::new(),
    })
}

/// The item that is kept as `value`; `None` if that cannot be read, which the log tells.
pub fn decode(value: &[u8]) -> Option<Item> {
    let item = rmp_serde::from_slice(value);
    item.inspect_err(|error| {
        tracing::warn!(event = "object_unreadable", key = KEPT_CONFIGURATION_KEY, %error);
    })
    .ok()
}
