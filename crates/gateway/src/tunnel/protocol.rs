//! The messages at the start of a connection between two nodes on the tunnel port.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The first message, from the node that opens the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRequest {
    /// Connect to a runner and copy bytes in both directions. The peer answers with a
    /// [`TunnelAnswer`]; after [`TunnelAnswer::Opened`] the connection is one to the runner.
    Open {
        /// Id of the runner's incarnation.
        runner: Arc<str>,
    },
    /// A runner requested a pause in an answer that came through the peer, so that it asks the
    /// peer for the pause. There is no answer.
    Pause {
        /// Id of the runner's incarnation.
        runner: Arc<str>,
        /// Length of the pause in milliseconds.
        pause_ms: u64,
    },
}

/// The peer's answer to [`TunnelRequest::Open`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelAnswer {
    /// The peer has connected to the runner.
    Opened,
    /// The runner refused the peer's connection: nothing listens at its address.
    Refused,
    /// The peer got no connection to the runner in time.
    Unreachable,
    /// The peer does not try: it may not call the runner now, has lost its own links, or has
    /// too many tunnels. This tells nothing about the runner.
    Unavailable,
}

impl TunnelAnswer {
    /// Returns the answer's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
        }
    }
}
