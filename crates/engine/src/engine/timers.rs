//! A timer queue, earliest first.

use oatbank_limiter_core::interface::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time in whole microseconds; unlike `Millis` it has a total order.
type Micros = u64;

fn micros(at: Millis) -> Micros {
    (at * 1000.0).max(0.0) as Micros
}

/// Timers ordered by time, then by their own order.
pub(super) struct Timers<D: Ord> {
    heap: BinaryHeap<Reverse<(Micros, D)>>,
}

impl<D: Ord> Timers<D> {
    pub(super) fn new() -> Self {
        Timers { heap: BinaryHeap::new() }
    }

    pub(super) fn arm(&mut self, at: Millis, due: D) {
        self.heap.push(Reverse((micros(at), due)));
    }

    /// Time of the earliest timer, which may be in the past.
    pub(super) fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((at, _))| *at as Millis / 1000.0)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(super) fn pop(&mut self, now: Millis) -> Option<D> {
        self.heap.peek().filter(|Reverse((at, _))| *at <= micros(now))?;
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
