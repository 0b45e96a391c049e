//! Spawning of a gateway's tasks, so that a run in virtual time can kill one
//! gateway of several as a whole. In production all tasks end with the process.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

tokio::task_local! {
    static GROUP: TaskGroup;
}

/// Tasks that end together.
#[derive(Debug, Clone, Default)]
pub struct TaskGroup {
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl TaskGroup {
    /// Runs `future` and all that it spawns within the group.
    pub fn spawn<Work>(&self, future: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let task = tokio::spawn(GROUP.scope(self.clone(), future));
        self.add(task.abort_handle());
    }

    /// Ends all tasks at once.
    pub fn kill(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    fn add(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

/// Spawns a task, within the current group if there is one.
pub fn spawn<Work>(future: Work) -> JoinHandle<Work::Output>
where
    Work: Future + Send + 'static,
    Work::Output: Send + 'static,
{
    match GROUP.try_with(Clone::clone) {
        Ok(group) => {
            let task = tokio::spawn(GROUP.scope(group.clone(), future));
            group.add(task.abort_handle());
            task
        }
        Err(_) => tokio::spawn(future),
    }
}

/// Waits until `at`; for ever if there is no such time.
pub async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
