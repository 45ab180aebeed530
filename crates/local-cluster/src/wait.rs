//! Waiting for conditions with a timeout.

use crate::error::ClusterError;
use std::time::{Duration, Instant};

/// Default timeout.
pub const LONG: Duration = Duration::from_secs(15);

/// Calls `look` every 5 ms until it returns a value, and returns that value.
///
/// # Errors
/// Returns [`ClusterError::Never`] with the text `what` if the timeout `within` expires.
pub fn until<T>(
    within: Duration,
    what: &str,
    mut look: impl FnMut() -> Option<T>,
) -> Result<T, ClusterError> {
    let end = Instant::now() + within;
    loop {
        if let Some(found) = look() {
            return Ok(found);
        }
        if Instant::now() >= end {
            return Err(ClusterError::Never(what.into()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Calls `look` every 5 ms until it returns true.
///
/// # Errors
/// Returns [`ClusterError::Never`] with the text `what` if the timeout `within` expires.
pub fn holds(within: Duration, what: &str, mut look: impl FnMut() -> bool) -> Result<(), ClusterError> {
    until(within, what, || look().then_some(()))
}

/// Sleeps until the given time; returns at once if it has passed.
pub fn moment(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
