//! Why a node could not start or serve.

use thiserror::Error;

/// An error that ends the node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener could not be opened or failed.
    #[error("{what} at {address}: {source}")]
    Listen {
        /// Which listener.
        what: &'static str,
        /// Its address.
        address: String,
        /// What happened.
        source: std::io::Error,
    },
    /// An HTTP client could not be built.
    #[error("HTTP client: {0}")]
    Client(String),
}
