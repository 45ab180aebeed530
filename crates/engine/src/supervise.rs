//! Tasks that must outlive a panic.

use std::future::Future;
use std::time::Duration;

/// Pause before a task that has panicked is started anew, so that one that panics at once does not spin.
const RESTART_PAUSE: Duration = Duration::from_millis(20);

/// Runs a task that the limiter needs for its whole life, and starts it anew should it panic.
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + 'static) -> tokio::task::AbortHandle
where
    F: Future<Output = ()> + 'static,
{
    let watch = async move {
        // A set, so that calling off the watch calls off the task as well.
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
