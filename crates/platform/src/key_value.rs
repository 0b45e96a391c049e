//! The platform's key-value service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use thiserror::Error;

/// Why an operation gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// The operation did not take effect.
    #[error("key-value service unavailable: {0}")]
    Unavailable(String),
    /// The service asks its callers to slow down; nothing took effect.
    #[error("key-value service asks to wait {0:?}")]
    RateLimited(Duration),
    /// The answer was lost: the operation may or may not have taken effect.
    #[error("answer of the key-value service was lost: {0}")]
    Unknown(String),
}

/// A value and the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// Revision of the whole store at the write.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub versioned: VersionedValue,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written at this revision.
    Applied(u64),
    /// The key was not at the expected revision; what it holds instead.
    Conflict(Option<VersionedValue>),
}

/// What a compare-and-swap writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// Revision the key must be at; `None` if it must be absent.
    pub expected: Option<u64>,
    /// The new value.
    pub value: Bytes,
    /// The key is deleted this long after the write; `None` keeps it.
    pub time_to_live: Option<Duration>,
}

/// The key-value service. Every operation is linearizable.
#[async_trait]
pub trait KeyValue: Send + Sync {
    /// The value of `key`.
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueError>;

    /// At most `limit` keys greater than `after` that start with `prefix`, in order.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyEntry>, KeyValueError>;

    /// Waits at most `wait` until a key greater than `after` with `prefix`
    /// exists, and lists as [`Self::list`] does.
    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<Vec<KeyEntry>, KeyValueError>;

    /// Compare-and-swap of one key.
    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError>;

    /// Deletes a key, whatever it holds.
    async fn delete(&self, key: &str) -> Result<(), KeyValueError>;
}
