//! The feed's calls to the store: full reads, reads of the members, and polls for
//! changes.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_catalog::{Item, Revision, StoreAnswer, StoreCall, StoreError};
use tokio::time::Instant;

use crate::feed::state::Update;
use crate::register::MEMBER_PREFIX;
use crate::store::Store;

/// The result of reading the store.
pub struct StoreRead {
    /// The full state of the store, or the changes since a revision.
    pub update: Update,
    /// The store's revision that the update leads to. For a full read it is the
    /// revision of the first page, from which changes are to be followed.
    pub revision: Revision,
    /// When the first call was sent; the update is complete as of this time.
    pub sent_at: Instant,
}

/// Reads all items, page by page, waiting for each page for at most `answer_timeout`.
/// Fails with [`StoreError::HistoryLost`] if the store is restored from a backup
/// between two pages, since these would mix two eras.
pub async fn read_all(store: &Store, answer_timeout: Duration) -> Result<StoreRead, StoreError> {
    let sent_at = Instant::now();
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
        } = store.call(&call, answer_timeout).await?
        else {
            return Err(StoreError::Malformed("expected a page of items".to_owned()));
        };
        // The pages are no consistent snapshot: changes made during the read are
        // delivered again as events after the first page's revision.
        let first = *first_revision.get_or_insert(revision);
        if first.era != revision.era {
            return Err(StoreError::HistoryLost);
        }
        after = page.last().map(|item| item.key.clone());
        items.extend(page.into_iter().map(|item| (item.key.clone(), item)));
        if !more || after.is_none() {
            return Ok(StoreRead {
                update: Update::Everything(items.into_values().collect()),
                revision: first,
                sent_at,
            });
        }
    }
}

/// Reads the members' entries, which may be seconds old: that is enough to choose a
/// parent.
pub async fn read_members(
    store: &Store,
    answer_timeout: Duration,
) -> Result<Vec<Item>, StoreError> {
    let call = StoreCall::Range {
        prefix: MEMBER_PREFIX.to_owned(),
        after: None,
        stale: true,
    };
    match store.call(&call, answer_timeout).await? {
        StoreAnswer::Page { items, .. } => Ok(items),
        _ => Err(StoreError::Malformed("expected a page of items".to_owned())),
    }
}

/// Polls for changes after `revision`. The store holds the poll for up to `wait`; the
/// answer may take `answer_timeout` longer. Fails with [`StoreError::HistoryLost`] if
/// the store has entered another era.
pub async fn read_changes(
    store: &Store,
    revision: Revision,
    wait: Duration,
    answer_timeout: Duration,
) -> Result<StoreRead, StoreError> {
    let sent_at = Instant::now();
    let call = StoreCall::Watch {
        prefix: String::new(),
        after: revision,
        wait,
    };
    match store.call(&call, wait + answer_timeout).await? {
        // In another era, the same revision numbers denote other changes.
        StoreAnswer::Events { revision: now, .. } if now.era != revision.era => {
            Err(StoreError::HistoryLost)
        }
        StoreAnswer::Events { events, revision } => Ok(StoreRead {
            update: Update::Events(events),
            revision,
            sent_at,
        }),
        _ => Err(StoreError::Malformed("expected events".to_owned())),
    }
}
