//! Whether the process runs or is being stopped.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// A stage in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It takes requests.
    Running,
    /// It was told to stop: not ready, but still takes requests.
    Draining,
    /// Requests that would not end in time are refused, and connections are
    /// closed when they rest.
    Closing,
}

/// A handle to the stage.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    stage: watch::Receiver<Stage>,
    ends_at: Arc<OnceLock<Instant>>,
}

impl Lifecycle {
    /// A running process, and the sender that ends it.
    pub fn running() -> (watch::Sender<Stage>, Self) {
        let (sender, stage) = watch::channel(Stage::Running);
        let ends_at = Arc::default();
        (sender, Self { stage, ends_at })
    }

    /// A process that is never stopped.
    pub fn forever() -> Self {
        Self::running().1
    }

    /// The stage now.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Sets when the process ends at the latest.
    pub fn end_at(&self, at: Instant) {
        // A process is stopped once; a second request changes nothing.
        let _ = self.ends_at.set(at);
    }

    /// Time until the process ends at the latest.
    pub fn time_left(&self) -> Duration {
        self.ends_at.get().map_or(Duration::MAX, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    /// Waits until `stage` is reached.
    pub async fn reached(&self, stage: Stage) {
        let mut receiver = self.stage.clone();
        if receiver.wait_for(|now| *now >= stage).await.is_err() {
            // Nobody is left who could end the process.
            std::future::pending::<()>().await;
        }
    }
}

#[cfg(test)]
#[path = "lifecycle_tests.rs"]
mod tests;
