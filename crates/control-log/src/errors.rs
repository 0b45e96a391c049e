//! Errors of the control log.

use barleyspar_domain::ObjectKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a proposal does not fit the state it meets.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "conflict")]
pub enum Conflict {
    /// Somebody changed the object since the proposer read it.
    #[error(
        "{object} was changed by {author} at log position {changed_at}, you read position {read_at}"
    )]
    Changed {
        /// The object.
        object: ObjectKey,
        /// Who changed it.
        author: String,
        /// Position of that change.
        changed_at: u64,
        /// Position at which the proposer read.
        read_at: u64,
    },
    /// The object refers to one that does not exist.
    #[error("{object}: {field}: {missing} does not exist")]
    MissingReference {
        /// The object.
        object: ObjectKey,
        /// The field that refers.
        field: String,
        /// What it refers to.
        missing: ObjectKey,
    },
    /// The object can not be deleted while another refers to it.
    #[error("{object} is still referred to by {referrer}")]
    StillReferred {
        /// The object.
        object: ObjectKey,
        /// Who refers to it.
        referrer: ObjectKey,
    },
    /// The object to delete does not exist.
    #[error("{object} does not exist")]
    Absent {
        /// The object.
        object: ObjectKey,
    },
    /// A model and an adapter would share a name.
    #[error("{object}: name: is also the name of {other}")]
    NameTaken {
        /// The object.
        object: ObjectKey,
        /// The other object.
        other: ObjectKey,
    },
}

/// Why an append gave no position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The proposal does not fit; nothing was appended.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// The key-value service was out of reach; nothing was appended.
    #[error("nothing was changed: {0}")]
    NotAppended(String),
    /// It is not known whether the entry was appended; its change id tells later.
    #[error("it is not known whether change {change} took effect: {cause}")]
    Unknown {
        /// Id of the change.
        change: String,
        /// What happened.
        cause: String,
    },
}
