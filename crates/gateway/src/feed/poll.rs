//! Calls of the feed to the store: everything, or what has changed.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_catalog::{Item, Revision, StoreAnswer, StoreCall, StoreError};
use tokio::time::Instant;

use crate::feed::state::News;
use crate::register::MEMBER_PREFIX;
use crate::store::Store;

/// What the store answered.
pub struct Reading {
    /// Everything that it holds, or what has changed.
    pub news: News,
    /// The store's revision; of a whole reading, one from which to follow changes.
    pub revision: Revision,
    /// When the first call was sent.
    pub asked: Instant,
}

/// Reads all items, waiting for each page for `patience` at most. A reading over which the
/// store came back from a copy shows neither what was nor what is.
pub async fn read_everything(store: &Store, patience: Duration) -> Result<Reading, StoreError> {
    let asked = Instant::now();
    let mut items: BTreeMap<String, Item> = BTreeMap::new();
    let mut after = None;
    let mut first_revision = None;
    loop {
        let call = StoreCall::Range {
            prefix: String::new(),
            after: after.clone(),
            stale: false,
        };
        let StoreAnswer::Page {
            items: page,
            more,
            revision,
        } = store.call(&call, patience).await?
        else {
            return Err(StoreError::Malformed("no page".to_owned()));
        };
        // Pages form no snapshot: what changed meanwhile comes again as an event.
        let first = *first_revision.get_or_insert(revision);
        if first.era != revision.era {
            return Err(StoreError::HistoryLost);
        }
        after = page.last().map(|item| item.key.clone());
        items.extend(page.into_iter().map(|item| (item.key.clone(), item)));
        if !more || after.is_none() {
            return Ok(Reading {
                news: News::Everything(items.into_values().collect()),
                revision: first,
                asked,
            });
        }
    }
}

/// Reads the members' entries, which may be seconds old: enough to know whom to
/// follow.
pub async fn read_members(store: &Store, patience: Duration) -> Result<Vec<Item>, StoreError> {
    let call = StoreCall::Range {
        prefix: MEMBER_PREFIX.to_owned(),
        after: None,
        stale: true,
    };
    match store.call(&call, patience).await? {
        StoreAnswer::Page { items, .. } => Ok(items),
        _ => Err(StoreError::Malformed("no page".to_owned())),
    }
}

/// Waits up to `wait` for changes after `revision`, and `patience` longer for
/// the answer to arrive. The history is lost once the store is in another era.
pub async fn read_changes(
    store: &Store,
    revision: Revision,
    wait: Duration,
    patience: Duration,
) -> Result<Reading, StoreError> {
    let asked = Instant::now();
    let call = StoreCall::Watch {
        prefix: String::new(),
        after: revision,
        wait,
    };
    match store.call(&call, wait + patience).await? {
        // A later era gave out the same numbers for other changes.
        StoreAnswer::Events { revision: now, .. } if now.era != revision.era => {
            Err(StoreError::HistoryLost)
        }
        StoreAnswer::Events { events, revision } => Ok(Reading {
            news: News::Events(events),
            revision,
            asked,
        }),
        _ => Err(StoreError::Malformed("no events".to_owned())),
    }
}
