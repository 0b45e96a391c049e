//! Tasks that run as long as the process: a gateway that has lost one of them, by a panic
//! for example, would go on serving callers by a configuration that it no longer updates.

use std::future::Future;

use tokio::sync::watch;

/// Spawns essential tasks, and tells when one of them has ended. Clones share the tasks.
#[derive(Debug, Clone)]
pub struct EssentialTasks {
    ended: watch::Sender<Option<&'static str>>,
}

impl EssentialTasks {
    /// Creates a set without tasks.
    pub fn new() -> Self {
        Self {
            ended: watch::Sender::new(None),
        }
    }

    /// Spawns `future` as the task `name`, and logs its end.
    pub fn spawn<Work>(&self, name: &'static str, future: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let task = crate::tasks::spawn(future);
        let ended = self.ended.clone();
        crate::tasks::spawn(async move {
            let result = task.await;
            if result.as_ref().is_err_and(|error| error.is_cancelled()) {
                return;
            }
            let panicked = result.is_err();
            tracing::error!(event = "task_ended", task = name, panicked);
            ended.send_replace(Some(name));
        });
    }

    /// Waits until a task has ended and returns its name.
    pub async fn first_ended(&self) -> &'static str {
        let mut ended = self.ended.subscribe();
        loop {
            if let Some(name) = *ended.borrow_and_update() {
                return name;
            }
            if ended.changed().await.is_err() {
                // Not reached: `self` holds a sender.
                std::future::pending::<()>().await;
            }
        }
    }
}

#[cfg(test)]
#[path = "essential_tasks_tests.rs"]
mod tests;
