//! Tasks that run until the process is told to stop: a gateway that has lost one of them, by
//! a panic for example, would go on serving callers by a configuration that it no longer
//! updates.

use std::future::Future;

use tokio::sync::watch;

use crate::lifecycle::{Lifecycle, Stage};

/// Spawns essential tasks, and tells when one of them has ended too early.
#[derive(Debug)]
pub struct EssentialTasks {
    lifecycle: Lifecycle,
    ended: watch::Sender<Option<&'static str>>,
}

impl EssentialTasks {
    /// Creates a set without tasks for a process with this lifecycle.
    pub fn new(lifecycle: Lifecycle) -> Self {
        Self {
            lifecycle,
            ended: watch::Sender::new(None),
        }
    }

    /// Spawns `future` as the task `name`, and logs its end unless it returns after the
    /// process was told to stop.
    pub fn spawn<Work>(&self, name: &'static str, future: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let task = crate::tasks::spawn(future);
        let ended = self.ended.clone();
        let lifecycle = self.lifecycle.clone();
        crate::tasks::spawn(async move {
            let result = task.await;
            let is_stopping = lifecycle.stage() > Stage::Running;
            let panicked = result.as_ref().is_err_and(|error| error.is_panic());
            let cancelled = result.is_err() && !panicked;
            if cancelled || (is_stopping && !panicked) {
                return;
            }
            tracing::error!(event = "task_ended", task = name, panicked);
            ended.send_replace(Some(name));
        });
    }

    /// Waits until a task has ended and returns its name.
    pub async fn first_ended(&self) -> &'static str {
        let mut ended = self.ended.subscribe();
        let name = ended
            .wait_for(Option::is_some)
            .await
            .expect("self holds a sender");
        name.expect("it was waited for")
    }
}

#[cfg(test)]
#[path = "essential_tasks_tests.rs"]
mod tests;
