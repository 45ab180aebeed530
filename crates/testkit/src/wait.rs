//! Waiting for events.

use std::time::{Duration, Instant};

/// Longest that anything here is waited for.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until something holds.
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    within(PATIENCE, what, holds);
}

/// Waits for so long until something holds.
pub fn within(patience: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
