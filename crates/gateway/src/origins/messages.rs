//! Messages between nodes about the origins of streams.

use std::sync::Arc;

use barleyspar_catalog::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::origins::StreamKey;

/// A message about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Tells a keeper which software version began a stream.
    Began {
        /// The stream.
        stream: StreamKey,
        /// The version that wrote its first event.
        software: SoftwareVersion,
    },
    /// Asks a keeper for the origin of a stream.
    Question {
        /// Number that the asking node gave to its question.
        number: u64,
        /// Name of the asking node.
        node: Arc<str>,
        /// The stream.
        stream: StreamKey,
    },
    /// Answers a [`OriginMessage::Question`].
    Answer {
        /// Number of the question.
        number: u64,
        /// Name of the answering node.
        node: Arc<str>,
        /// The version that began the stream; `None` if the node does not know it.
        software: Option<SoftwareVersion>,
    },
}
