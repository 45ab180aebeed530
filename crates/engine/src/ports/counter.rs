//! The shared counter: numbers by name, to which limiters add and whose totals they learn.

use oatbank_limiter_core::interface::{CountName, Millis};
use std::rc::Rc;

/// Names one call of one engine; never used twice in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Add `add` to the number `name` and tell its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The call.
    pub id: CallId,
    /// The number.
    pub name: CountName,
    /// The amount; 0 only reads.
    pub add: f64,
    /// A name that is new is forgotten this long after its first call, ms.
    pub ttl: Millis,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// The amount was added once; this is the total right after.
    Added(f64),
    /// Turned away by a counter that can be reached; nothing was added, nor will be.
    Busy,
    /// The counter cannot be reached; nothing was added, nor will be.
    Unreachable,
    /// Lost on the way: the amount may have been added, or may yet be, but no more than once.
    Unknown,
}

/// Where a counter tells the ends of calls.
pub type CallEndSink = Rc<dyn Fn(CallId, CallEnd)>;

/// A way to a counter.
///
/// An implementation guarantees that
/// - a call's amount is added at most once, whatever is lost: it never makes a call again by itself;
/// - [`CallEnd::Busy`] and [`CallEnd::Unreachable`] are told only where it is certain that nothing was or will
///   be added; in doubt the end is [`CallEnd::Unknown`];
/// - calls of one name reach the counter in the order in which they were begun, while one connection stands;
/// - a call ends at most once. It may end never: time-outs are the engine's, which drops ends that come
///   after;
/// - neither method blocks nor calls into [`CallEndSink`] before it has returned.
pub trait Counter {
    /// Begins a call. Where it can be told at once that nothing will be added, the end comes back.
    ///
    /// # Errors
    /// [`CallEnd::Busy`] or [`CallEnd::Unreachable`]; nothing was added, nor will be, and no end follows.
    fn begin(&self, call: Call) -> Result<(), CallEnd>;

    /// Called about twice a second: for looking after connections.
    fn upkeep(&self, _now: Millis) {}
}
