//! The record of the software versions that served lately, kept in the store, so that it outlasts
//! all nodes.
//!
//! One key for each version of a service, under a lease that the leader renews while there are
//! runners of that version. The store drops the key a while after the last of them has left.
//! A node that has just started learns so whether a stream that it is asked to take up may have
//! begun at another version than the present one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{SoftwareVersion, StoreAnswer, StoreCall, StoreError, Transaction, Write};
use barleyspar_dispatch::VersionsByService;
use barleyspar_loading::Lease;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::store::Store;

/// Prefix of the record's keys; service and version follow, separated by a slash.
pub const SOFTWARE_PREFIX: &str = "barleyspar/software/";
/// Time for which a version stays on record after its last renewal. With the time between two
/// renewals taken off, it is longer than any client takes a stream up again.
const TIME_TO_LIVE: Duration = Duration::from_secs(120);
/// Time between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_secs(30);
/// Interval at which it is looked for new versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A version of a service that the store has on record, and the lease of its key.
pub type RecordedVersions = BTreeMap<(Arc<str>, SoftwareVersion), u64>;

/// Reads an item of the record; `None` if its key or value is malformed.
pub fn decode(key: &str, value: &[u8]) -> Option<((Arc<str>, SoftwareVersion), u64)> {
    let lease = rmp_serde::from_slice(value).ok()?;
    Some((decode_key(key)?, lease))
}

/// Reads a key of the record; `None` if it is malformed.
pub fn decode_key(key: &str) -> Option<(Arc<str>, SoftwareVersion)> {
    let (service, version) = key.strip_prefix(SOFTWARE_PREFIX)?.split_once('/')?;
    Some((service.into(), SoftwareVersion::new(version)))
}

fn encode_key(service: &str, version: &SoftwareVersion) -> String {
    format!("{SOFTWARE_PREFIX}{service}/{}", version.as_str())
}

/// Returns the recorded versions by service.
pub fn versions_by_service(recorded: &RecordedVersions) -> VersionsByService {
    let mut versions = VersionsByService::new();
    for (service, version) in recorded.keys() {
        let known = versions.entry(service.clone()).or_default();
        known.insert(version.clone());
    }
    versions
}

/// Keeps the record while this node leads.
pub struct SoftwareRecorder {
    /// The node's dispatcher and other shared state.
    pub context: Context,
    /// The client of the store that holds the record.
    pub store: Store,
    /// The lease to lead, while this node has it.
    pub lease: watch::Receiver<Option<Lease>>,
    /// What the store has on record, as this node knows it.
    pub recorded: watch::Receiver<RecordedVersions>,
}

impl SoftwareRecorder {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut renewed_at: BTreeMap<(Arc<str>, SoftwareVersion), Instant> = BTreeMap::new();
        loop {
            sleep(CHECK_INTERVAL).await;
            if self.lease.borrow().is_none() {
                renewed_at.clear();
                continue;
            }
            let Some(present) = self.context.dispatch.present_software().await else {
                return;
            };
            for (service, versions) in present {
                for version in versions {
                    let key = (service.clone(), version);
                    let is_due = renewed_at
                        .get(&key)
                        .is_none_or(|at| at.elapsed() >= RENEWAL_PERIOD);
                    if is_due && self.renew(&key).await {
                        renewed_at.insert(key, Instant::now());
                    }
                }
            }
        }
    }

    /// Renews the record of a version, or writes it if the store has none. Returns whether that
    /// succeeded; the store client logs a failure.
    async fn renew(&self, key: &(Arc<str>, SoftwareVersion)) -> bool {
        let lease = self.recorded.borrow().get(key).copied();
        if let Some(lease) = lease {
            let renewed = self.call(StoreCall::RenewLease { lease }).await;
            if !matches!(renewed, Err(StoreError::LeaseGone)) {
                return renewed.is_ok();
            }
        }
        self.write(key).await
    }

    async fn write(&self, (service, version): &(Arc<str>, SoftwareVersion)) -> bool {
        let grant = StoreCall::GrantLease {
            time_to_live: TIME_TO_LIVE,
        };
        let Ok(StoreAnswer::Lease { lease, .. }) = self.call(grant).await else {
            return false;
        };
        let value = rmp_serde::to_vec(&lease).expect("a number is serializable");
        let commit = StoreCall::Commit(Transaction {
            writes: vec![Write {
                key: encode_key(service, version),
                value: value.into(),
                lease,
            }],
            ..Transaction::default()
        });
        let written = self.call(commit).await.is_ok();
        if written {
            tracing::info!(
                event = "software_recorded",
                service = &**service,
                software = version.as_str()
            );
        }
        written
    }

    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, StoreError> {
        self.store.call(&call, CALL_TIMEOUT).await
    }
}
