//! Detects pauses of this process. Callers pass in the time.
//!
//! After a pause (frozen, or starved of CPU time) the sockets hold messages that were sent in the meantime and do not carry
//! their age. The process therefore accepts no new information until its sockets have been drained. Any task that runs first
//! after the pause notices it, because the next tick is overdue by then.

use crate::state::Millis;

/// Interval between ticks, ms.
pub const TICK_INTERVAL: Millis = 200.0;
/// A longer gap between two ticks is a pause, ms. Messages that wait during a shorter gap are at most this old.
pub const PAUSE_THRESHOLD: Millis = 800.0;
/// Time after a pause until messages are accepted again, ms. Callers time out after one second, so any call still pending
/// then was made after the pause.
pub const DRAIN_AFTER_PAUSE: Millis = 1000.0;

/// Detects pauses of this process from gaps between ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_tick: Millis,
    paused_until: Option<Millis>,
}

impl PauseDetector {
    /// Creates a detector whose first tick is `now`.
    pub fn new(now: Millis) -> Self {
        PauseDetector { last_tick: now, paused_until: None }
    }

    /// Records a tick. Returns the length in ms of the pause that has just ended, if there was one.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - std::mem::replace(&mut self.last_tick, now);
        let was_paused = gap > PAUSE_THRESHOLD;
        if was_paused {
            self.paused_until = Some(now);
        }
        was_paused.then_some(gap)
    }

    /// Returns whether messages that arrive now are current, and did not wait in a socket during a pause.
    pub fn has_caught_up(&self, now: Millis) -> bool {
        let is_drained = self.paused_until.is_none_or(|until| now - until >= DRAIN_AFTER_PAUSE);
        now - self.last_tick <= PAUSE_THRESHOLD && is_drained
    }
}
