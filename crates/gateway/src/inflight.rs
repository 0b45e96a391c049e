//! Counts callers' requests in flight.

use std::sync::Arc;

use tokio::sync::watch;

/// Counter of the callers' requests that have no complete answer yet.
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

/// While this guard exists, one request counts as in flight.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Counts one more request until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard(self.clone())
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut count = self.count.subscribe();
        // `wait_for` fails only after the sender is dropped, and `self` owns the sender.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.count.send_modify(|count| *count -= 1);
    }
}
