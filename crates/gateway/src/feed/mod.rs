//! The feed: keeps every node's copy of the store current with few calls to the store.
//!
//! Nodes form a tree, which each node computes from the peers that it has seen. The
//! root watches the store; every other node follows its parent over one stream and
//! passes changes on to its own followers. Each frame carries the age of the sender's
//! copy, so a node knows at any moment for how long it may have missed a change. When
//! that time reaches its limit, the node calls the store itself. A wrong or missing
//! parent thus costs additional calls to the store but does not make a copy older than
//! the limit.

mod call_schedule;
mod confirmation;
mod copy;
mod follower;
mod frame;
mod frame_gaps;
mod parent_stream;
mod poll;
mod publisher;
mod serve;
mod snapshot;
mod staleness;
mod state;
mod store_reader;
mod task;
mod times;
mod tree;

#[cfg(test)]
#[path = "consistency_tests.rs"]
mod consistency_tests;
#[cfg(test)]
#[path = "state_tests.rs"]
mod state_tests;
#[cfg(test)]
#[path = "tree_tests.rs"]
mod tree_tests;

pub use confirmation::Confirmations;
pub use serve::serve;
pub use snapshot::{CopySnapshot, read_copy};
pub use state::{Change, FeedState};
pub use task::FeedTask;
pub use tree::{OwnNode, count_preceding_peers};
