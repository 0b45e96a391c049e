//! Processor time that the tasks of a node took, for its control budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time spent in the tasks of one stage. Cheap to clone; clones share it.
#[derive(Debug, Clone, Default)]
pub struct BusyTime {
    nanoseconds: Arc<AtomicU64>,
}

impl BusyTime {
    /// Runs `work` and adds the time it takes. The clock is the machine's, also
    /// in virtual-time runs.
    pub fn measure<T>(&self, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        let spent = start.elapsed().as_nanos() as u64;
        self.nanoseconds.fetch_add(spent, Ordering::Relaxed);
        result
    }

    /// Time so far.
    pub fn total(&self) -> Duration {
        Duration::from_nanos(self.nanoseconds.load(Ordering::Relaxed))
    }
}
