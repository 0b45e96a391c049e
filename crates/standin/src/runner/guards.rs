//! Guards that count runs and connections of a runner until they are dropped.

use bytes::Bytes;
use http::HeaderMap;
use tokio::time::Instant;

use crate::runner::{Run, RunnerStandIn};

/// Records a run of a request; the run is counted as running until the guard is dropped.
pub struct RunGuard {
    runner: RunnerStandIn,
    /// Position of the run in the runner's list of runs.
    index: usize,
}

impl RunGuard {
    pub(super) fn begin(
        runner: &RunnerStandIn,
        request_id: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Self {
        let mut state = runner.lock();
        state.running_requests += 1;
        state.runs.push(Run {
            request_id: request_id.to_owned(),
            headers: headers.clone(),
            body: body.clone(),
            started_at: Instant::now(),
            complete: false,
        });
        let index = state.runs.len() - 1;
        drop(state);
        Self {
            runner: runner.clone(),
            index,
        }
    }

    /// Records that the run ended by itself and was not cancelled.
    pub fn complete(&self) {
        self.runner.lock().runs[self.index].complete = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.runner.lock().running_requests -= 1;
    }
}

/// Counts a connection of the runner until the guard is dropped.
pub(super) struct OpenConnection(RunnerStandIn);

impl OpenConnection {
    pub(super) fn new(runner: &RunnerStandIn) -> Self {
        runner.lock().open_connections += 1;
        Self(runner.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().open_connections -= 1;
    }
}
