//! Runs and connections that last, counted until they end.

use bytes::Bytes;
use http::HeaderMap;
use tokio::time::Instant;

use crate::runner::{Run, RunnerStandIn};

/// Notes a run, and whether it ended by itself.
pub struct RunGuard {
    runner: RunnerStandIn,
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
        state.running += 1;
        state.runs.push(Run {
            request_id: request_id.to_owned(),
            headers: headers.clone(),
            body: body.clone(),
            begun: Instant::now(),
            whole: false,
        });
        let index = state.runs.len() - 1;
        drop(state);
        Self {
            runner: runner.clone(),
            index,
        }
    }

    /// The run ended by itself.
    pub fn end(&self) {
        self.runner.lock().runs[self.index].whole = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.runner.lock().running -= 1;
    }
}

/// Counts a connection while it is open.
pub(super) struct OpenConnection(RunnerStandIn);

impl OpenConnection {
    pub(super) fn new(runner: &RunnerStandIn) -> Self {
        runner.lock().connections += 1;
        Self(runner.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}
