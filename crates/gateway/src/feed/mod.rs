//! The feed: every node's copy of what the store holds, kept current with few
//! calls to the store.
//!
//! Nodes form a tree, computed by each node from the peers that it hears. The
//! root follows the store by watch; every other node follows its parent over one
//! stream, and passes on what comes. Each frame says how old the knowledge in
//! it is, so a node knows at any moment for how long it may have missed a
//! change; before that grows too long it asks the store itself. A wrong or
//! missing parent thus costs calls to the store, never a bound.

mod age;
mod asker;
mod copy;
mod follow;
mod follower;
mod frame;
mod patience;
mod poll;
mod serve;
mod state;
mod task;
mod times;
mod tree;

#[cfg(test)]
#[path = "state_tests.rs"]
mod state_tests;
#[cfg(test)]
#[path = "tree_tests.rs"]
mod tree_tests;

pub use serve::serve;
pub use state::{Change, FeedState};
pub use task::FeedTask;
pub use tree::{Myself, position};
