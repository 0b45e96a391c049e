//! Spawns and supervises the tasks of a node, and shuts them down in order.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::{BusyTime, Gate, Registry, StopHandle, StopSignal};

/// Pause before a service that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Finished tasks are forgotten once this many handles have gathered.
const HANDLE_SWEEP: usize = 1024;

/// Shutdown stages, stopped in this order. A stage is stopped only after the
/// tasks of the earlier ones have ended or their time is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Listeners: nothing new is taken in.
    Front,
    /// Requests in flight and their queues.
    Work,
    /// Keepers, configuration and membership.
    Control,
}

const STAGES: usize = 3;

#[derive(Default)]
struct StageTasks {
    stop: StopHandle,
    tracker: TaskTracker,
    busy: BusyTime,
}

#[derive(Default)]
struct Inner {
    registry: Registry,
    gate: Gate,
    stages: [StageTasks; STAGES],
    handles: Mutex<Vec<AbortHandle>>,
}

/// Handle to the kernel of one node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Kernel {
    inner: Arc<Inner>,
}

impl Kernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// The name service.
    pub fn registry(&self) -> &Registry {
        &self.inner.registry
    }

    /// The gate behind which all tasks of this node run.
    pub fn gate(&self) -> &Gate {
        &self.inner.gate
    }

    /// Processor time that the tasks of `stage` took so far.
    pub fn busy(&self, stage: Stage) -> Duration {
        self.stage(stage).busy.total()
    }

    /// The stop signal of `stage`.
    pub fn stop_signal(&self, stage: Stage) -> StopSignal {
        self.stage(stage).stop.signal()
    }

    /// Spawns a task that ends by itself or when its stage is stopped.
    pub fn spawn<F>(&self, stage: Stage, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let busy = self.stage(stage).busy.clone();
        let guarded = self.inner.gate.guard(task, busy);
        let handle = self.stage(stage).tracker.spawn(guarded).abort_handle();
        let mut handles = self.inner.handles.lock().unwrap_or_else(|e| e.into_inner());
        if handles.len() >= HANDLE_SWEEP && handles.len().is_power_of_two() {
            handles.retain(|handle| !handle.is_finished());
        }
        handles.push(handle);
    }

    /// Spawns a service: `start` makes its future, and makes it again after a panic.
    pub fn supervise<F, Run>(&self, stage: Stage, name: &'static str, start: F)
    where
        F: Fn() -> Run + Send + 'static,
        Run: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop_signal(stage);
        self.spawn(stage, async move {
            loop {
                let attempt = std::panic::AssertUnwindSafe(start()).catch_unwind();
                let Err(_panic) = attempt.await else { return };
                tracing::error!(service = name, "service panicked and is started again");
                if stop.is_raised() {
                    return;
                }
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }

    /// Stops one stage and waits at most `limit` for its tasks.
    /// Returns the number of tasks still running then.
    pub async fn shut_down_stage(&self, stage: Stage, limit: Duration) -> usize {
        let tasks = self.stage(stage);
        tasks.stop.stop();
        tasks.tracker.close();
        let ended = tokio::time::timeout(limit, tasks.tracker.wait()).await;
        if ended.is_ok() {
            return 0;
        }
        tasks.tracker.len()
    }

    /// Ends every task at once, as the death of the process would.
    pub fn abort_all(&self) {
        let handles = self.inner.handles.lock().unwrap_or_else(|e| e.into_inner());
        handles.iter().for_each(AbortHandle::abort);
    }

    fn stage(&self, stage: Stage) -> &StageTasks {
        &self.inner.stages[stage as usize]
    }
}
