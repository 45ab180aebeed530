//! Counts what becomes of requests whose clients leave before their answer.

use oatbank_limiter_core::interface::Millis;

/// An attempt of a request that may be repeated has ended by this long, ms, after its client has left: so long a server's
/// work for nobody is let pass, and a call that crosses the departure ends within it.
const ABANDONED_AFTER: Millis = 250.0;

/// What became of requests whose clients left before their answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Clients that left before their answer.
    pub clients: u64,
    /// Attempts that were called off for that.
    pub cancelled_attempts: u64,
    /// Attempts of requests that may be repeated which went on for a client that had left. Invariant: 0 where
    /// attempts are called off.
    pub abandoned_attempts: u64,
}

impl Departures {
    /// An attempt of a request that may be repeated has ended, whose client left at that time.
    pub(super) fn on_end(&mut self, now: Millis, abandoned_at: Millis) {
        if now - abandoned_at > ABANDONED_AFTER {
            self.abandoned_attempts += 1;
        }
    }
}

impl std::ops::AddAssign for Departures {
    fn add_assign(&mut self, other: Departures) {
        self.clients += other.clients;
        self.cancelled_attempts += other.cancelled_attempts;
        self.abandoned_attempts += other.abandoned_attempts;
    }
}
