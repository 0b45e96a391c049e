//! Spawns the tasks of a gateway in a group, so that a run in virtual time with several
//! gateways in one process can end or pause all tasks of one of them at once. In production
//! there is no group: all tasks end and stand still with the process.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};

use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

tokio::task_local! {
    static GROUP: TaskGroup;
}

/// A group of tasks that can be ended or paused together.
#[derive(Debug, Clone, Default)]
pub struct TaskGroup {
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
    pause: Arc<Mutex<Pause>>,
}

/// Whether a group is paused, and what wakes its tasks that were to run meanwhile.
#[derive(Debug, Default)]
struct Pause {
    is_paused: bool,
    wakers: Vec<Waker>,
}

impl TaskGroup {
    /// Spawns `future` in the group. All tasks that it spawns with `spawn` belong to the
    /// group too.
    pub fn spawn<Work>(&self, future: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let task = self.start(future);
        self.add(task.abort_handle());
    }

    /// Pauses all tasks of the group until [`Self::resume`], as a signal that stops the process
    /// does: they do nothing, while time goes on and bytes arrive.
    pub fn pause(&self) {
        self.lock_pause().is_paused = true;
    }

    /// Lets all tasks of the group go on, what arrived last first: the order in which a process
    /// finds what arrived while it stood still is open.
    pub fn resume(&self) {
        let wakers = {
            let mut pause = self.lock_pause();
            pause.is_paused = false;
            std::mem::take(&mut pause.wakers)
        };
        wakers.into_iter().rev().for_each(Waker::wake);
    }

    fn lock_pause(&self) -> MutexGuard<'_, Pause> {
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns `future` so that it knows of its group and stands still while that is paused.
    fn start<Work>(&self, future: Work) -> JoinHandle<Work::Output>
    where
        Work: Future + Send + 'static,
        Work::Output: Send + 'static,
    {
        let group = self.clone();
        let pausable = async move {
            let mut future = pin!(future);
            poll_fn(|context| {
                let mut pause = group.lock_pause();
                if pause.is_paused {
                    pause.wakers.push(context.waker().clone());
                    return Poll::Pending;
                }
                drop(pause);
                future.as_mut().poll(context)
            })
            .await
        };
        tokio::spawn(GROUP.scope(self.clone(), pausable))
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
            let task = group.start(future);
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
