//! In-process counter, used by a single limiter or shared by several limiters of one process.

use crate::ports::clock::Clock;
use crate::ports::counter::{Call, CallEnd, CallEndSink, CallId, Counter};
use oatbank_limiter_core::interface::{CountName, Millis};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

/// Most counter names kept; beyond it calls with new names end as busy until others expire. Bounds the memory that a
/// flood of names takes. Suffices for half a million accounts with two names each.
const MAX_NAMES: usize = 1 << 20;
/// Interval between purges of expired names, ms.
const PURGE_INTERVAL: Millis = 5000.0;

#[derive(Debug, Default)]
struct Sums {
    /// Total and expiry time of each name.
    sums: HashMap<CountName, (f64, Millis)>,
    purged: Millis,
}

impl Sums {
    fn add(&mut self, now: Millis, call: &Call) -> CallEnd {
        if now - self.purged >= PURGE_INTERVAL {
            self.purged = now;
            self.sums.retain(|_, (_, ends)| *ends > now);
        }
        let full = self.sums.len() >= MAX_NAMES;
        match self.sums.get_mut(&call.name) {
            Some((total, ends)) if *ends > now => {
                *total += call.add;
                CallEnd::Added(*total)
            }
            None if full => CallEnd::Busy,
            _ => {
                self.sums.insert(call.name, (call.add, now + call.ttl));
                CallEnd::Added(call.add)
            }
        }
    }
}

/// The totals of an in-process counter; clones share them, also between engines.
#[derive(Clone, Debug, Default)]
pub struct CounterTotals(Arc<Mutex<Sums>>);

impl CounterTotals {
    /// Adds to a total and returns the new total, or [`CallEnd::Busy`] for a new name when [`MAX_NAMES`] are kept.
    pub fn add(&self, now: Millis, call: &Call) -> CallEnd {
        // Each total is changed in one step, so a poisoned lock holds consistent totals.
        self.0.lock().unwrap_or_else(PoisonError::into_inner).add(now, call)
    }

    /// Returns all unexpired names with their totals, sorted by name.
    pub fn snapshot(&self, now: Millis) -> Vec<(CountName, f64)> {
        let sums = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let unexpired = sums.sums.iter().filter(|(_, (_, ends))| *ends > now);
        let mut totals: Vec<_> = unexpired.map(|(name, (total, _))| (*name, *total)).collect();
        totals.sort_by_key(|(name, _)| *name);
        totals
    }
}

/// One engine's access to [`CounterTotals`]. A call's result arrives on the next turn of the event loop.
pub struct LocalCounter {
    numbers: CounterTotals,
    clock: Rc<dyn Clock>,
    answers: UnboundedSender<(CallId, CallEnd)>,
}

impl LocalCounter {
    /// Spawns the task that delivers results to `ends`, on the current local set.
    pub fn start(numbers: CounterTotals, clock: Rc<dyn Clock>, ends: CallEndSink) -> Rc<Self> {
        // Bounded by the engine's open calls: at most one for each name.
        let (answers, mut due) = unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Some((call, end)) = due.recv().await {
                ends(call, end);
            }
        });
        Rc::new(LocalCounter { numbers, clock, answers })
    }
}

impl Counter for LocalCounter {
    fn begin(&self, call: Call) -> Result<(), CallEnd> {
        let end = self.numbers.add(self.clock.now(), &call);
        if matches!(end, CallEnd::Busy) {
            return Err(end);
        }
        // If the receiving task has ended, the engine's timeout ends the call.
        let _ = self.answers.send((call.id, end));
        Ok(())
    }
}

#[cfg(test)]
mod tests;
