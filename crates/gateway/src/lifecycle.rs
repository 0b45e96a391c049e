//! Whether the process runs or is being stopped.

use tokio::sync::watch;

/// A stage in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It takes requests.
    Running,
    /// It was told to stop: not ready, but still takes requests.
    Draining,
    /// No more requests are expected: connections are closed when they rest.
    Closing,
}

/// A handle to the stage.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    stage: watch::Receiver<Stage>,
}

impl Lifecycle {
    /// A running process, and the sender that ends it.
    pub fn running() -> (watch::Sender<Stage>, Self) {
        let (sender, stage) = watch::channel(Stage::Running);
        (sender, Self { stage })
    }

    /// The stage now.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until `stage` is reached.
    pub async fn reached(&self, stage: Stage) {
        let mut receiver = self.stage.clone();
        // The sender lives as long as the process.
        let _ = receiver.wait_for(|now| *now >= stage).await;
    }
}
