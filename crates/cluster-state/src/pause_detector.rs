//! Whether this process has run without a pause. The time is handed in.
//!
//! A process that was paused (frozen, or starved of processor time) finds in its sockets what was sent to it meanwhile, and
//! nothing there says how old it is. So it believes nothing new until its sockets have been drained. Whichever task runs first
//! after the pause notices it: the next tick is overdue before anything else can ask.

use crate::state::Millis;

/// Interval of ticks, ms.
pub const TICK_INTERVAL: Millis = 200.0;
/// A gap of this length between two ticks is a pause, ms. What arrives during a shorter one is no older than that.
pub const PAUSE_THRESHOLD: Millis = 800.0;
/// Callers wait a second for a response: whoever still waits this long after a pause, ms, has called since.
pub const DRAIN_AFTER_PAUSE: Millis = 1000.0;

/// Notices pauses of this process.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_tick: Millis,
    paused_until: Option<Millis>,
}

impl PauseDetector {
    /// Starts now: nothing can have arrived yet.
    pub fn new(now: Millis) -> Self {
        PauseDetector { last_tick: now, paused_until: None }
    }

    /// The process runs; the length of the pause that has just ended, if there was one.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - std::mem::replace(&mut self.last_tick, now);
        let was_paused = gap > PAUSE_THRESHOLD;
        if was_paused {
            self.paused_until = Some(now);
        }
        was_paused.then_some(gap)
    }

    /// Whether what arrives now was sent now, and did not wait in a socket during a pause.
    pub fn has_caught_up(&self, now: Millis) -> bool {
        let is_drained = self.paused_until.is_none_or(|until| now - until >= DRAIN_AFTER_PAUSE);
        now - self.last_tick <= PAUSE_THRESHOLD && is_drained
    }
}
