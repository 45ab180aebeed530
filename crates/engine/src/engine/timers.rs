//! What is to come due, earliest first.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;
use topazwind::interface::Millis;

/// A time in whole microseconds, which can be ordered.
type Micros = u64;

fn micros(at: Millis) -> Micros {
    (at * 1000.0).max(0.0) as Micros
}

/// Dues by time; those of one time come in their own order.
pub(super) struct Timers<D: Ord> {
    heap: RefCell<BinaryHeap<Reverse<(Micros, D)>>>,
    /// Told when an earlier due than all before has been set.
    pub(super) sooner: Notify,
}

impl<D: Ord> Timers<D> {
    pub(super) fn new() -> Self {
        Timers { heap: RefCell::new(BinaryHeap::new()), sooner: Notify::new() }
    }

    pub(super) fn arm(&self, at: Millis, due: D) {
        let at = micros(at);
        let mut heap = self.heap.borrow_mut();
        if heap.peek().is_none_or(|Reverse((first, _))| at < *first) {
            self.sooner.notify_one();
        }
        heap.push(Reverse((at, due)));
    }

    /// When the next is due; it may be past.
    pub(super) fn next(&self) -> Option<Millis> {
        self.heap.borrow().peek().map(|Reverse((at, _))| *at as Millis / 1000.0)
    }

    /// Takes out the next if it is due.
    pub(super) fn pop(&self, now: Millis) -> Option<D> {
        let mut heap = self.heap.borrow_mut();
        heap.peek().filter(|Reverse((at, _))| *at <= micros(now))?;
        heap.pop().map(|Reverse((_, due))| due)
    }
}
