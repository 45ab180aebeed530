//! Implementations of the counter port.

pub mod local;
pub mod text;

use crate::config::CounterKind;
use crate::ports::clock::Clock;
use crate::ports::counter::{CallEndSink, Counter};
use local::{CounterTotals, LocalCounter};
use std::rc::Rc;
use text::TextCounter;

/// Starts the configured counter on the engine's local set, or returns `None` if there is none. `numbers` holds the
/// totals of [`CounterKind::Local`] and is unused otherwise.
pub fn start(
    kind: CounterKind,
    numbers: CounterTotals,
    clock: Rc<dyn Clock>,
    ends: CallEndSink,
) -> Option<Rc<dyn Counter>> {
    match kind {
        CounterKind::None => None,
        CounterKind::Local => Some(LocalCounter::start(numbers, clock, ends)),
        CounterKind::Text(address) => Some(TextCounter::start(Some(address), clock, ends)),
    }
}
