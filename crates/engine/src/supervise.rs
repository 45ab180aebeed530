//! Tasks that are restarted after a panic.

use std::future::Future;
use std::time::Duration;

/// Delay before a panicked task is restarted, so that a task that panics at once does not spin.
const RESTART_PAUSE: Duration = Duration::from_millis(20);

/// Spawns a task on the current local set and restarts it whenever it panics. Aborting the returned handle stops
/// the task and its restarts.
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + 'static) -> tokio::task::AbortHandle
where
    F: Future<Output = ()> + 'static,
{
    let watch = async move {
        // Dropping a `JoinSet` aborts its tasks, so aborting the supervisor aborts the task as well.
        let mut task = tokio::task::JoinSet::new();
        task.spawn_local(start());
        while let Some(Err(e)) = task.join_next().await {
            tracing::error!("{name}: {e}");
            tokio::time::sleep(RESTART_PAUSE).await;
            task.spawn_local(start());
        }
    };
    tokio::task::spawn_local(watch).abort_handle()
}

#[cfg(test)]
mod tests;
