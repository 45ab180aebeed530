//! Polling for conditions with a timeout.

use std::time::{Duration, Instant};

/// Default timeout.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits up to [`PATIENCE`] until a condition holds. Panics on timeout.
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    within(PATIENCE, what, holds);
}

/// Waits up to `patience` until a condition holds. Panics on timeout.
pub fn within(patience: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
