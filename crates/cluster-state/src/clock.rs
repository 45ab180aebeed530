//! The monotonic clock of a process.

use crate::state::Millis;
use tokio::time::Instant;

/// The monotonic clock of this process, in ms since its start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
    rate: f64,
}

impl MonotonicClock {
    /// Starts the clock at 1 ms, so that no reading is 0.
    pub fn start() -> Self {
        MonotonicClock::at_rate(1.0)
    }

    /// Starts a clock that runs at `rate` times real time, to simulate clock drift.
    pub fn at_rate(rate: f64) -> Self {
        MonotonicClock { started: Instant::now(), rate }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        1.0 + self.started.elapsed().as_secs_f64() * 1000.0 * self.rate
    }
}
