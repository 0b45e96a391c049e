//! Stop signals: one handle per shutdown stage, many listeners.

use tokio_util::sync::CancellationToken;

/// Raises a stop signal.
#[derive(Debug, Clone, Default)]
pub struct StopHandle {
    token: CancellationToken,
}

impl StopHandle {
    /// A listener of this handle.
    pub fn signal(&self) -> StopSignal {
        StopSignal {
            token: self.token.clone(),
        }
    }

    /// Raises the signal. Idempotent.
    pub fn stop(&self) {
        self.token.cancel();
    }
}

/// Tells a task that its stage is being shut down.
#[derive(Debug, Clone)]
pub struct StopSignal {
    token: CancellationToken,
}

impl StopSignal {
    /// Completes once the signal is raised.
    pub async fn raised(&self) {
        self.token.cancelled().await;
    }

    /// Whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.token.is_cancelled()
    }
}
