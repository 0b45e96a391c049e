//! Spawns the tasks of a gateway in a group, so that a run in virtual time with several
//! gateways in one process can end all tasks of one of them at once. In production there is
//! no group, and all tasks end with the process.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

tokio::task_local! {
    static GROUP: TaskGroup;
}

/// A group of tasks that can be ended together.
#[derive(Debug, Clone, Default)]
pub struct TaskGroup {
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl TaskGroup {
    /// Spawns `future` in the group. All tasks that it spawns with `spawn` belong to the
    /// group too.
    pub fn spawn<Work>(&self, future: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let task = tokio::spawn(GROUP.scope(self.clone(), future));
        self.add(task.abort_handle());
    }

    /// Aborts all tasks of the group.
    pub fn kill(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    /// Adds a task, and removes the finished ones so that the list does not grow without bound.
    fn add(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

/// Spawns a task in the group of the current task, if that belongs to one.
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

/// Waits until `at`; for `None` it never returns.
pub async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
