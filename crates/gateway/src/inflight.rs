//! Counts callers' requests in flight.

use std::sync::Arc;

use tokio::sync::watch;

/// Requests in flight.
#[derive(Debug)]
pub struct InFlight {
    count: watch::Sender<usize>,
}

impl Default for InFlight {
    fn default() -> Self {
        Self {
            count: watch::Sender::new(0),
        }
    }
}

/// One request in flight, until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Counts a request.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard(self.clone())
    }

    /// Waits until none is left.
    pub async fn idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.count.send_modify(|count| *count -= 1);
    }
}
