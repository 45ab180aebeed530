//! The clock of the engine and its ports.

use super::LocalFuture;
use oatbank_limiter_core::interface::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock with timers.
///
/// An implementation guarantees that
/// - [`Clock::now`] never runs backwards, and counts ms since the Unix epoch: the names of
///   shared counters contain the time, so limiters that share a counter must agree on it within a few hundred ms;
/// - the future of [`Clock::until`] completes no earlier than `now` has reached the time, and on a loaded
///   machine as soon after as the runtime can.
pub trait Clock {
    /// Unix time in ms.
    fn now(&self) -> Millis;
    /// Completes once `now` has reached `at`.
    fn until(&self, at: Millis) -> LocalFuture<()>;
}

/// Unix time at creation, advanced by the runtime's monotonic clock.
///
/// A system clock that is set back does not affect it. It stands still while the runtime's time is paused.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    unix: Millis,
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at the system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        SystemClock::starting_at(unix.as_secs_f64() * 1000.0)
    }

    /// Creates a clock that shows `unix` ms now.
    pub fn starting_at(unix: Millis) -> Self {
        SystemClock { unix, start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        self.unix + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn until(&self, at: Millis) -> LocalFuture<()> {
        let at = self.start + Duration::from_secs_f64(((at - self.unix) / 1000.0).max(0.0));
        Box::pin(tokio::time::sleep_until(at))
    }
}
