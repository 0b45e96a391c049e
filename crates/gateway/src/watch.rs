//! Follows the store: configuration, runners, members, the placement lease.
//!
//! One long poll follows everything in the store's one order of revisions.
//! Polls are short and their answers awaited briefly, so that a poll which was
//! lost with its connection is repeated well within the bounds for
//! configurations and leaving runners.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, StoreAnswer, StoreCall, StoreError};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::store::Store;

/// Longest time that the store holds a poll.
const POLL: Duration = Duration::from_millis(1500);
/// Time beyond that until the answer must be there.
const POLL_SLACK: Duration = Duration::from_millis(600);
/// Time for one page of a range at first. It doubles while pages take longer:
/// when all nodes start at once, the store's link is busy for seconds.
const SHORTEST_RANGE_TIMEOUT: Duration = Duration::from_millis(1000);
const LONGEST_RANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause between polls, so that changes come in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// What the watch tells.
#[derive(Debug)]
pub enum Change {
    /// Everything there is, read anew.
    Everything(Vec<Item>),
    /// One change.
    Event(Event),
}

/// Follows the store until nobody listens any more.
pub async fn follow(store: Store, changes: mpsc::Sender<Change>) {
    let mut pages = 0_u64;
    let mut patience = SHORTEST_RANGE_TIMEOUT;
    loop {
        let started = Instant::now();
        let Some(revision) = read_everything(&store, &changes, patience).await else {
            if changes.is_closed() {
                return;
            }
            if started.elapsed() >= patience {
                patience = (patience * 2).min(LONGEST_RANGE_TIMEOUT);
            }
            sleep(RETRY_PAUSE).await;
            continue;
        };
        patience = SHORTEST_RANGE_TIMEOUT;
        pages += 1;
        tracing::info!(event = "store_read", revision, times = pages);
        if follow_from(&store, revision, &changes).await.is_none() {
            return;
        }
    }
}

/// Reads all items; the revision from which to watch.
async fn read_everything(
    store: &Store,
    changes: &mpsc::Sender<Change>,
    patience: Duration,
) -> Option<u64> {
    let mut items: BTreeMap<String, Item> = BTreeMap::new();
    let mut after = None;
    let mut first_revision = None;
    loop {
        let call = StoreCall::Range {
            prefix: String::new(),
            after: after.clone(),
        };
        let answer = store.call(&call, patience).await.ok()?;
        let StoreAnswer::Page {
            items: page,
            more,
            revision,
        } = answer
        else {
            return None;
        };
        first_revision.get_or_insert(revision);
        after = page.last().map(|item| item.key.clone());
        items.extend(page.into_iter().map(|item| (item.key.clone(), item)));
        if !more || after.is_none() {
            break;
        }
    }
    let items = items.into_values().collect();
    changes.send(Change::Everything(items)).await.ok()?;
    first_revision
}

/// Watches from `revision`; `Some` when everything must be read anew, `None`
/// when nobody listens.
async fn follow_from(
    store: &Store,
    mut revision: u64,
    changes: &mpsc::Sender<Change>,
) -> Option<()> {
    loop {
        let call = StoreCall::Watch {
            prefix: String::new(),
            after: revision,
            wait: POLL,
        };
        match store.call(&call, POLL + POLL_SLACK).await {
            Ok(StoreAnswer::Events {
                events,
                revision: seen,
            }) => {
                let any = !events.is_empty();
                for event in events {
                    changes.send(Change::Event(event)).await.ok()?;
                }
                revision = revision.max(seen);
                if any {
                    sleep(BATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryLost) => return Some(()),
            Ok(_) | Err(_) => sleep(RETRY_PAUSE).await,
        }
        if changes.is_closed() {
            return None;
        }
    }
}
