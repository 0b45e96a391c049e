//! How many nodes share budgets: those that are members, and those that were until a while ago.
//!
//! A node that stands still or is cut off leaves the members, but goes on with its own share once
//! it can. If the others took that over at once, the shares would add up to more than the budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a node that is no member any more keeps its share.
const SHARE_KEPT_FOR: Duration = Duration::from_secs(60);

/// A number of members.
#[derive(Debug)]
struct Count {
    nodes: usize,
    /// Until when the shares are computed for at least so many nodes; `None` for the present
    /// number.
    kept_until: Option<Instant>,
}

/// The number of nodes that share budgets.
#[derive(Debug, Default)]
pub struct SharingNodes {
    counts: VecDeque<Count>,
}

impl SharingNodes {
    /// Records that there are `nodes` members from `now` on.
    pub fn set(&mut self, nodes: usize, now: Instant) {
        self.counts.retain(|count| count.is_kept(now));
        if let Some(present) = self.counts.back_mut() {
            present.kept_until = Some(now + SHARE_KEPT_FOR);
        }
        self.counts.push_back(Count {
            nodes,
            kept_until: None,
        });
    }

    /// Returns the number of nodes that share budgets at `now`, at least 1.
    pub fn count(&self, now: Instant) -> usize {
        let kept = self.counts.iter().filter(|count| count.is_kept(now));
        kept.map(|count| count.nodes).max().unwrap_or(0).max(1)
    }
}

impl Count {
    fn is_kept(&self, now: Instant) -> bool {
        self.kept_until.is_none_or(|until| now < until)
    }
}

#[cfg(test)]
#[path = "sharing_nodes_tests.rs"]
mod tests;
