//! This node's entry among the members in the store.

use std::time::Duration;

use barleyspar_catalog::{StoreAnswer, StoreCall, StoreError, Transaction, Write};
use tokio::time::sleep;

use crate::context::Context;
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

/// Registers this node under a lease, and keeps it there.
pub async fn register(store: Store, context: Context) {
    loop {
        match enter(&store, &context).await {
            Some(lease) => renew(&store, lease).await,
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
            key: format!("{MEMBER_PREFIX}{}", context.settings.name),
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

/// Renews until the store says that the lease is over.
async fn renew(store: &Store, lease: u64) {
    loop {
        sleep(RENEWAL).await;
        let call = StoreCall::RenewLease { lease };
        if let Err(StoreError::LeaseGone) = store.call(&call, CALL_TIMEOUT).await {
            return;
        }
    }
}
