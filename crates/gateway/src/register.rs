//! This node's entry among the members in the store.

use std::time::Duration;

use barleyspar_catalog::{StoreAnswer, StoreCall, StoreError, Transaction, Write};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::context::Context;
use crate::feed::FeedState;
use crate::peers::MemberRecord;
use crate::store::Store;

/// Prefix of the members' keys in the store.
pub const MEMBER_PREFIX: &str = "barleyspar/node/";
/// Time after which the entry goes unless it is renewed.
const TIME_TO_LIVE: Duration = Duration::from_secs(12);
/// Time between renewals.
const RENEWAL: Duration = Duration::from_secs(4);
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed try.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The value of this node's key in the store.
fn member_value(record: &MemberRecord) -> Vec<u8> {
    rmp_serde::to_vec(record).expect("a record is plain data")
}

fn member_key(context: &Context) -> String {
    format!("{MEMBER_PREFIX}{}", context.settings.name)
}

/// Registers this node under a lease, and keeps it there; `seen` is what the store shows.
pub async fn register(store: Store, context: Context, seen: watch::Receiver<FeedState>) {
    let key = member_key(&context);
    loop {
        match enter(&store, &context).await {
            Some(lease) => renew(&store, lease, &key, seen.clone()).await,
            None => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Writes the entry; its lease.
async fn enter(store: &Store, context: &Context) -> Option<u64> {
    let grant = StoreCall::GrantLease {
        time_to_live: TIME_TO_LIVE,
    };
    let answer = store.call(&grant, CALL_TIMEOUT).await.ok()?;
    let StoreAnswer::Lease { lease, .. } = answer else {
        return None;
    };
    let put = StoreCall::Commit(Transaction {
        writes: vec![Write {
            key: member_key(context),
            value: member_value(&MemberRecord::of(&context.settings)).into(),
            lease,
        }],
        ..Transaction::default()
    });
    if matches!(
        store.call(&put, CALL_TIMEOUT).await,
        Ok(StoreAnswer::Committed { .. })
    ) {
        return Some(lease);
    }
    // The entry may be written yet; without its lease it cannot stay.
    let _ = store
        .call(&StoreCall::EndLease { lease }, CALL_TIMEOUT)
        .await;
    None
}

/// Renews until the store says that the lease is over, or has lost the entry.
async fn renew(store: &Store, lease: u64, key: &str, mut seen: watch::Receiver<FeedState>) {
    let mut eras = store.era();
    let mut era = eras.borrow_and_update().number;
    loop {
        // A store that comes back from a copy may have lost lease and entry.
        let _ = timeout(RENEWAL, eras.changed()).await;
        let call = StoreCall::RenewLease { lease };
        if let Err(StoreError::LeaseGone) = store.call(&call, CALL_TIMEOUT).await {
            return;
        }
        let now = eras.borrow_and_update().number;
        if now > era {
            era = now;
            if !is_shown(&mut seen, key, era).await {
                return;
            }
        }
    }
}

/// Whether the store shows an entry under `key` in `era`.
async fn is_shown(seen: &mut watch::Receiver<FeedState>, key: &str, era: u32) -> bool {
    let of_era = |state: &FeedState| state.revision().era >= era;
    // The feed ends only with the process.
    seen.wait_for(of_era)
        .await
        .is_ok_and(|state| state.has_key(key))
}
