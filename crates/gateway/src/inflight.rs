//! Counts what must end before the process does: callers' requests in flight, and connections on
//! which callers still read answers.

use std::sync::Arc;

use tokio::sync::watch;

/// Counter of things that are under way.
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

/// While this guard exists, one thing counts as under way.
#[derive(Debug)]
pub struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    /// Counts one more until the returned guard is dropped.
    pub fn start_one(self: &Arc<Self>) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard(self.clone())
    }

    /// Waits until nothing is under way.
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
