//! Reads the speeds at which runners read prompts from the dispatcher, for the planner.

use std::time::Duration;

use tokio::time::Instant;

use crate::dispatch::DispatchHandle;
use crate::placement::{Command, PlacementHandle};

/// Time between two reads: a speed changes with several prompts at the earliest.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// When the speeds were last read from the dispatcher.
#[derive(Debug, Default)]
pub struct ReadingSpeedsReader {
    requested_at: Option<Instant>,
}

impl ReadingSpeedsReader {
    /// Requests the speeds, unless they were requested lately. `placement` receives them.
    pub fn read_if_due(&mut self, dispatch: &DispatchHandle, placement: &PlacementHandle) {
        let is_recent = |at: Instant| at.elapsed() < READ_INTERVAL;
        if self.requested_at.is_some_and(is_recent) {
            return;
        }
        self.requested_at = Some(Instant::now());
        let (dispatch, placement) = (dispatch.clone(), placement.clone());
        crate::tasks::spawn(async move {
            // Without an answer the process is ending.
            if let Some(speeds) = dispatch.reading_speeds().await {
                placement.send(Command::ReadingSpeeds(speeds));
            }
        });
    }
}
