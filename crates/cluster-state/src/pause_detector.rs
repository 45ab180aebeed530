//! Whether this process has run without a pause. Time is handed in.
//!
//! Who stood still finds in its sockets what was said to it meanwhile, and nothing there says how old it is. So it takes
//! no word for a new one until its sockets have been read. That is seen whichever task runs first after the pause: the
//! next pulse is overdue before anything else can ask.

use crate::state::Millis;

/// Between two pulses, ms.
pub const PULSE: Millis = 200.0;
/// A pulse that comes so late says that the process stood still, ms. What is said to it then is no older than that.
pub const STOOD: Millis = 800.0;
/// Callers wait a second for an answer: who still waits after this has asked since the pause.
pub const SETTLES: Millis = 1000.0;

/// One process's pulse.
#[derive(Clone, Copy, Debug)]
pub struct Awake {
    last: Millis,
    since: Option<Millis>,
}

impl Awake {
    /// Begins now: nobody has said anything to it yet.
    pub fn new(now: Millis) -> Self {
        Awake { last: now, since: None }
    }

    /// It runs; for how long it stood still, if it did.
    pub fn pulse(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - std::mem::replace(&mut self.last, now);
        let stood = gap > STOOD;
        if stood {
            self.since = Some(now);
        }
        stood.then_some(gap)
    }

    /// What is said to it now was said now.
    pub fn is_settled(&self, now: Millis) -> bool {
        now - self.last <= STOOD && self.since.is_none_or(|since| now - since >= SETTLES)
    }
}
