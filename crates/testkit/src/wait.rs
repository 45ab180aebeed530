//! Waiting for events.

use std::time::{Duration, Instant};

/// Longest that anything here is waited for.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until something holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
