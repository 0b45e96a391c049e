//! The stages through which the process goes from running to its end.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// A stage of the process; later stages compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The process is ready and accepts requests.
    Running,
    /// The process has received the signal to stop. It reports itself as not ready but still
    /// accepts requests.
    Draining,
    /// Requests that would not end in time are refused, and callers' idle connections are
    /// closed.
    Closing,
}

/// Gives tasks access to the stage of the process and its deadline.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    stage: watch::Receiver<Stage>,
    deadline: Arc<OnceLock<Instant>>,
}

impl Lifecycle {
    /// Creates the lifecycle of a running process, and the sender that changes its stage.
    pub fn running() -> (watch::Sender<Stage>, Self) {
        let (sender, stage) = watch::channel(Stage::Running);
        let deadline = Arc::default();
        (sender, Self { stage, deadline })
    }

    /// Creates a lifecycle that stays in the stage `Running`, for listeners that serve until
    /// the process ends.
    pub fn never_stopped() -> Self {
        Self::running().1
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Sets the time at which the process ends at the latest. Only the first call has an
    /// effect.
    pub fn set_deadline(&self, at: Instant) {
        // A process is stopped once; a second call changes nothing.
        let _ = self.deadline.set(at);
    }

    /// Returns the time until the process ends at the latest; `Duration::MAX` if it is not
    /// being stopped.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.get().map_or(Duration::MAX, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    /// Waits until `stage` or a later one is reached.
    pub async fn wait_for_stage(&self, stage: Stage) {
        let mut receiver = self.stage.clone();
        if receiver.wait_for(|now| *now >= stage).await.is_err() {
            // The sender was dropped, so the stage never changes again.
            std::future::pending::<()>().await;
        }
    }
}

#[cfg(test)]
#[path = "lifecycle_tests.rs"]
mod tests;
