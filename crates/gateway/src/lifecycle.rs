//! The stages through which the process goes from running to its end.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::tasks::sleep_until_some;

/// Time before the process ends at which requests that are not answered yet get an answer of the
/// gateway's own, so that it reaches their callers.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(150);

/// A stage of the process; later stages compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The process is ready and accepts requests.
    Running,
    /// The process has received the signal to stop. It reports itself as not ready but still
    /// accepts requests.
    Draining,
    /// Requests whose time may outlast the process are refused unless they run already, and
    /// callers' idle connections are closed.
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

    /// Returns whether a request with this deadline may begin to run now. From the stage `Closing`
    /// on, one that may still run when the process ends must not: it would be cut off.
    pub fn may_begin(&self, deadline: Instant) -> bool {
        self.stage() < Stage::Closing || self.last_answers_at().is_none_or(|at| deadline <= at)
    }

    /// Waits until a request with this deadline must not begin to run any more.
    pub async fn wait_until_too_late(&self, deadline: Instant) {
        self.wait_for_stage(Stage::Closing).await;
        if self.may_begin(deadline) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the process ends so soon that each request must be answered now.
    pub async fn wait_for_last_answers(&self) {
        self.wait_for_stage(Stage::Closing).await;
        sleep_until_some(self.last_answers_at()).await;
    }

    /// Returns when requests get their last answers; `None` if the process is not being stopped.
    fn last_answers_at(&self) -> Option<Instant> {
        let ends_at = *self.deadline.get()?;
        ends_at.checked_sub(LAST_ANSWERS_MARGIN)
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
