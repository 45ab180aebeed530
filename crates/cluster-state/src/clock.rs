//! The clock by which a process measures durations.

use crate::state::Millis;
use tokio::time::Instant;

/// The monotonic clock of this process, in ms since its start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
    rate: f64,
}

impl MonotonicClock {
    /// Starts now, a little above 0: no moment is 0.
    pub fn start() -> Self {
        MonotonicClock::at_rate(1.0)
    }

    /// The clock of a machine that runs at another rate than it should, for simulations.
    pub fn at_rate(rate: f64) -> Self {
        MonotonicClock { started: Instant::now(), rate }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        1.0 + self.started.elapsed().as_secs_f64() * 1000.0 * self.rate
    }
}
