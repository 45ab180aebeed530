//! Counts client disconnects before the answer and the attempts that they affect.

use oatbank_limiter_core::interface::Millis;

/// An attempt of a repeatable request that ends later than this after its client's disconnect, ms, counts as
/// abandoned. An attempt whose end crosses the disconnect stays within it.
const ABANDONED_AFTER: Millis = 250.0;

/// Counts of client disconnects before the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Clients that disconnected before their answer.
    pub clients: u64,
    /// Attempts that were cancelled because of a disconnect.
    pub cancelled_attempts: u64,
    /// Attempts of repeatable requests that continued after their client's disconnect. Invariant: 0 where
    /// cancellation on disconnect is enabled.
    pub abandoned_attempts: u64,
}

impl Departures {
    /// Records the end of an attempt of a repeatable request whose client disconnected at `abandoned_at`.
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
