//! The shared counter: named numbers that limiters add to and read.

use oatbank_limiter_core::interface::{CountName, Millis};
use std::rc::Rc;

/// Identifies a call of one engine; never reused by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request to add `add` to the number `name` and return its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call.
    pub id: CallId,
    /// Name of the number.
    pub name: CountName,
    /// Amount to add; 0 only reads.
    pub add: f64,
    /// Lifetime of the number from its first call, ms.
    pub ttl: Millis,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// The amount was added once; the total right after the addition.
    Added(f64),
    /// Rejected by a reachable counter; nothing was or will be added.
    Busy,
    /// The counter is unreachable; nothing was or will be added.
    Unreachable,
    /// The answer was lost: the amount may have been or may still be added, at most once.
    Unknown,
}

/// Callback through which a counter reports the ends of calls.
pub type CallEndSink = Rc<dyn Fn(CallId, CallEnd)>;

/// A client of a shared counter.
///
/// An implementation guarantees that
/// - a call's amount is added at most once: the implementation never retries a call;
/// - [`CallEnd::Busy`] and [`CallEnd::Unreachable`] are reported only if it is certain that nothing was or will
///   be added; otherwise the end is [`CallEnd::Unknown`];
/// - calls for one name reach the counter in the order in which they began, as long as the connection is kept;
/// - a call ends at most once and may never end: the engine applies timeouts and drops later ends;
/// - neither method blocks nor calls into [`CallEndSink`] before it has returned.
pub trait Counter {
    /// Begins a call. If it is certain at once that nothing will be added, the end is returned as an error.
    ///
    /// # Errors
    /// [`CallEnd::Busy`] or [`CallEnd::Unreachable`]; nothing was or will be added, and no end is reported.
    fn begin(&self, call: Call) -> Result<(), CallEnd>;

    /// Called about twice a second to maintain connections.
    fn upkeep(&self, _now: Millis) {}
}
