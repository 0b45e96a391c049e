//! This node's entry among the members in the store.

use std::time::Duration;

use barleyspar_catalog::{StoreAnswer, StoreCall, StoreError, Transaction, Write};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::context::Context;
use crate::feed::FeedState;
use crate::peers::MemberRecord;
use crate::store::Store;

/// Prefix of the members' keys in the store; the node's name follows.
pub const MEMBER_PREFIX: &str = "barleyspar/node/";
/// Time after which the entry expires unless it is renewed.
const TIME_TO_LIVE: Duration = Duration::from_secs(12);
/// Time between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_secs(4);
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed attempt to write the entry.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

fn member_value(record: &MemberRecord) -> Vec<u8> {
    rmp_serde::to_vec(record).expect("a record is serializable")
}

fn member_key(context: &Context) -> String {
    format!("{MEMBER_PREFIX}{}", context.settings.name)
}

/// Writes this node's entry under a lease and keeps it in the store for as long as the
/// process runs; `state` is this node's copy of the store.
pub async fn register(store: Store, context: Context, state: watch::Receiver<FeedState>) {
    let key = member_key(&context);
    loop {
        match write_entry(&store, &context).await {
            Some(lease) => keep_renewed(&store, lease, &key, state.clone()).await,
            None => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Writes the entry under a new lease and returns the lease; `None` on a failure.
async fn write_entry(store: &Store, context: &Context) -> Option<u64> {
    let grant = StoreCall::GrantLease {
        time_to_live: TIME_TO_LIVE,
    };
    let answer = store.call(&grant, CALL_TIMEOUT).await.ok()?;
    let StoreAnswer::Lease { lease, .. } = answer else {
        return None;
    };
    let commit = StoreCall::Commit(Transaction {
        writes: vec![Write {
            key: member_key(context),
            value: member_value(&MemberRecord::of(&context.settings)).into(),
            lease,
        }],
        ..Transaction::default()
    });
    if matches!(
        store.call(&commit, CALL_TIMEOUT).await,
        Ok(StoreAnswer::Committed { .. })
    ) {
        return Some(lease);
    }
    // The entry may still be written; the store drops it once its lease has ended.
    let _ = store
        .call(&StoreCall::EndLease { lease }, CALL_TIMEOUT)
        .await;
    None
}

/// Renews the lease until the store reports the lease's end or, restored from a backup,
/// lacks the entry under `key`.
async fn keep_renewed(store: &Store, lease: u64, key: &str, mut state: watch::Receiver<FeedState>) {
    let mut era_watch = store.watch_era();
    let mut era = era_watch.borrow_and_update().number;
    loop {
        // A store that is restored from a backup may have lost the lease or the entry,
        // so a new era causes an immediate renewal.
        let _ = timeout(RENEWAL_PERIOD, era_watch.changed()).await;
        let call = StoreCall::RenewLease { lease };
        if let Err(StoreError::LeaseGone) = store.call(&call, CALL_TIMEOUT).await {
            return;
        }
        let current_era = era_watch.borrow_and_update().number;
        if current_era > era {
            era = current_era;
            if !is_entry_shown(&mut state, key, era).await {
                return;
            }
        }
    }
}

/// Whether the store shows an entry under `key` in `era`; waits until the copy shows
/// that era.
async fn is_entry_shown(state: &mut watch::Receiver<FeedState>, key: &str, era: u32) -> bool {
    let shows_era = |copy: &FeedState| copy.revision().era >= era;
    // Waiting fails only once the feed has ended, which happens only when the process
    // ends.
    state
        .wait_for(shows_era)
        .await
        .is_ok_and(|copy| copy.has_key(key))
}
