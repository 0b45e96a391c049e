//! Calls to the key-value store and their answers.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::Revision;

/// A value under a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
}

/// A change that a watch shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// A key to be written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Bytes,
    /// Lease with which the key goes; 0 for none.
    pub lease: u64,
}

/// A change of several keys under conditions: all of it or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Keys with the revision that each must have; `None` for absent.
    pub conditions: Vec<(String, Option<Revision>)>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads the items under a prefix, a page at a time.
    Range {
        /// Beginning of the keys.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
        /// Whether items that are seconds old will do, at a lower price.
        stale: bool,
    },
    /// Waits for changes after a revision.
    Watch {
        /// Beginning of the keys.
        prefix: String,
        /// The last revision known.
        after: Revision,
        /// Longest time to wait for a change.
        wait: Duration,
    },
    /// Changes keys.
    Commit(Transaction),
    /// Takes a lease.
    GrantLease {
        /// Time until it ends unless it is renewed.
        time_to_live: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    EndLease {
        /// The lease.
        lease: u64,
    },
}

impl StoreCall {
    /// The call's name in logs and metrics.
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

/// The store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// A page of items; `revision` is the store's when it was read.
    Page {
        /// The items.
        items: Vec<Item>,
        /// Whether more pages follow.
        more: bool,
        /// The store's revision.
        revision: Revision,
    },
    /// Changes up to `revision`.
    Events {
        /// The changes, in order.
        events: Vec<Event>,
        /// The store's revision.
        revision: Revision,
    },
    /// The transaction was done at `revision`.
    Committed {
        /// The revision.
        revision: Revision,
    },
    /// A condition did not hold; nothing was done.
    Conflict,
    /// A lease was granted.
    Lease {
        /// The lease.
        lease: u64,
        /// Time until it ends unless it is renewed.
        time_to_live: Duration,
    },
    /// The lease was renewed.
    Renewed {
        /// Time until it ends, from the call's arrival.
        time_to_live: Duration,
    },
    /// The lease was ended.
    Ended,
}

/// Why a call to the store gave no answer of use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The history after the revision is gone; everything must be read anew.
    #[error("the store's history is gone")]
    HistoryLost,
    /// The lease is over.
    #[error("the lease is over")]
    LeaseGone,
    /// Too many calls; nothing was done.
    #[error("the store refuses for its rate limit")]
    Throttled,
    /// The store does not serve; nothing was done.
    #[error("the store is unavailable")]
    Unavailable,
    /// There was no answer; the call may have been done or may be done later.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The answer has an unexpected status.
    #[error("the store answered with status {0}")]
    UnexpectedStatus(u16),
    /// The answer cannot be read.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}
