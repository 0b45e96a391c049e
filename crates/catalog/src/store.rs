//! Calls to the key-value store, their answers and errors.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::Revision;

/// An entry of the store: a key, its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item, unique in the store.
    pub key: String,
    /// Value of the item as stored, not parsed.
    pub value: Bytes,
    /// Revision of the last change of the item.
    pub revision: Revision,
}

/// A change of one key, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The key was created or its value was replaced.
    Written(Item),
    /// The key was removed.
    Removed {
        /// Key that the store removed, by a transaction or at the end of the key's lease.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Event {
    /// Key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// A write of one key within a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key to create or replace.
    pub key: String,
    /// Value that the key gets, which the store does not interpret.
    pub value: Bytes,
    /// Id of the lease at whose end the store removes the key; 0 for none.
    pub lease: u64,
}

/// An atomic change of several keys, made only if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions: keys with the revision that each must have; `None` if the key must not
    /// exist.
    pub conditions: Vec<(String, Option<Revision>)>,
    /// Keys to create or replace.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads one page of the items whose keys have a prefix.
    Range {
        /// Prefix of the keys; empty for all keys.
        prefix: String,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
        /// Whether the store may answer with items that are seconds old, at a lower cost.
        stale: bool,
    },
    /// Waits for changes, after a revision, of keys that have a prefix.
    Watch {
        /// Prefix of the keys; empty for all keys.
        prefix: String,
        /// Revision after which changes are to be reported.
        after: Revision,
        /// Maximum time that the store waits for a change before it answers.
        wait: Duration,
    },
    /// Executes a transaction.
    Commit(Transaction),
    /// Acquires a new lease.
    GrantLease {
        /// Time until the lease ends unless it is renewed, as requested.
        time_to_live: Duration,
    },
    /// Extends a lease by its time to live.
    RenewLease {
        /// Id of the lease to renew, from [`StoreAnswer::Lease`].
        lease: u64,
    },
    /// Ends a lease before its time.
    EndLease {
        /// Id of the lease to end, from [`StoreAnswer::Lease`].
        lease: u64,
    },
}

impl StoreCall {
    /// Returns the name of the call in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Range { .. } => "range",
            Self::Watch { .. } => "watch",
            Self::Commit(_) => "commit",
            Self::GrantLease { .. } => "grant_lease",
            Self::RenewLease { .. } => "renew_lease",
            Self::EndLease { .. } => "end_lease",
        }
    }
}

/// A successful answer of the store to a call, or a transaction conflict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// Answer to [`StoreCall::Range`]: one page of items.
    Page {
        /// Items of the page, in the order of their keys.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store at which the page was read.
        revision: Revision,
    },
    /// Answer to [`StoreCall::Watch`]: all changes up to `revision`.
    Events {
        /// Changes in the order of their revisions; empty if none came in time.
        events: Vec<Event>,
        /// Revision after which the next watch is to continue.
        revision: Revision,
    },
    /// Answer to [`StoreCall::Commit`]: the transaction was executed.
    Committed {
        /// Revision of the transaction's changes.
        revision: Revision,
    },
    /// Answer to [`StoreCall::Commit`]: a condition did not hold and nothing was changed.
    Conflict,
    /// Answer to [`StoreCall::GrantLease`]: the lease was granted.
    Lease {
        /// Id that the store gave the new lease, by which later calls and writes refer to
        /// it.
        lease: u64,
        /// Time until the lease ends unless it is renewed, as granted.
        time_to_live: Duration,
    },
    /// Answer to [`StoreCall::RenewLease`]: the lease ends later than it would have without
    /// the call.
    Renewed {
        /// Time until the lease ends unless it is renewed again, counted from the arrival of
        /// the call at the store.
        time_to_live: Duration,
    },
    /// Answer to [`StoreCall::EndLease`]: the lease was ended.
    Ended,
}

/// Reason why a call to the store has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store has deleted the changes after the requested revision, so that all items
    /// must be read again.
    #[error("the store no longer has the requested history")]
    HistoryLost,
    /// The lease does not exist: it has expired or was ended.
    #[error("the lease does not exist")]
    LeaseGone,
    /// The store refused the call because of its rate limit; nothing was changed.
    #[error("the store refused the call because of its rate limit")]
    Throttled,
    /// The store does not serve calls at present; nothing was changed.
    #[error("the store is unavailable")]
    Unavailable,
    /// No answer arrived. The store may have executed the call or may execute it later.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The answer has an unexpected HTTP status, which is given here.
    #[error("the store answered with status {0}")]
    UnexpectedStatus(u16),
    /// The answer cannot be parsed, for the given reason.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}
