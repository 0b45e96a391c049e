//! Why a call to another node gave no answer.

use thiserror::Error;

/// An error of a call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection: the call was not delivered.
    #[error("peer unreachable: {0}")]
    Unreachable(String),
    /// The call may have been handled, but its answer did not come in time.
    #[error("answer of the peer was lost: {0}")]
    Lost(String),
    /// The peer has no such service or could not handle the call.
    #[error("peer refuses the call: {0}")]
    Refused(String),
    /// A body could not be encoded or decoded.
    #[error("malformed body: {0}")]
    Malformed(String),
}
