//! Waiting for conditions.

use crate::error::ClusterError;
use std::time::{Duration, Instant};

/// Longest that anything is waited for, unless something else is said.
pub const LONG: Duration = Duration::from_secs(15);

/// Waits for so long until something is there.
///
/// # Errors
/// When the time is up.
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

/// Waits for so long until something holds.
///
/// # Errors
/// When the time is up.
pub fn holds(within: Duration, what: &str, mut look: impl FnMut() -> bool) -> Result<(), ClusterError> {
    until(within, what, || look().then_some(()))
}

/// Waits until a moment.
pub fn moment(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
