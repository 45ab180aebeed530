//! A counter within the process, for one limiter alone or for several in one process.

use crate::ports::clock::Clock;
use crate::ports::counter::{Call, CallEnd, CallEndSink, CallId, Counter};
use oatbank_limiter_core::interface::{CountName, Millis};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

/// Names kept at most. Past it calls with new names are turned away until others have had their time:
/// bounds the memory that a flood of names takes. At two names an account, half a million accounts.
const MOST_NAMES: usize = 1 << 20;
/// Names are looked through for those that have had their time this often, ms.
const PURGE_EVERY: Millis = 5000.0;

#[derive(Debug, Default)]
struct Sums {
    /// Total, and when it is forgotten.
    sums: HashMap<CountName, (f64, Millis)>,
    purged: Millis,
}

impl Sums {
    fn add(&mut self, now: Millis, call: &Call) -> CallEnd {
        if now - self.purged >= PURGE_EVERY {
            self.purged = now;
            self.sums.retain(|_, (_, ends)| *ends > now);
        }
        let full = self.sums.len() >= MOST_NAMES;
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

/// The numbers themselves; engines of one process may share them.
#[derive(Clone, Debug, Default)]
pub struct CounterTotals(Arc<Mutex<Sums>>);

impl CounterTotals {
    /// Adds to a number, and tells its total.
    pub fn add(&self, now: Millis, call: &Call) -> CallEnd {
        // A sum is changed in one step, so one that panicked beside it left nothing half done.
        self.0.lock().unwrap_or_else(PoisonError::into_inner).add(now, call)
    }

    /// All names that live, with their totals; in the order of the names.
    pub fn snapshot(&self, now: Millis) -> Vec<(CountName, f64)> {
        let sums = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let living = sums.sums.iter().filter(|(_, (_, ends))| *ends > now);
        let mut book: Vec<_> = living.map(|(name, (total, _))| (*name, *total)).collect();
        book.sort_by_key(|(name, _)| *name);
        book
    }
}

/// One engine's way to them. Every call is answered on the next turn of the event loop.
pub struct LocalCounter {
    numbers: CounterTotals,
    clock: Rc<dyn Clock>,
    answers: UnboundedSender<(CallId, CallEnd)>,
}

impl LocalCounter {
    /// Begins to answer, for as long as the engine's tasks run.
    pub fn start(numbers: CounterTotals, clock: Rc<dyn Clock>, ends: CallEndSink) -> Rc<Self> {
        // Holds no more than the engine has calls out: one a name at most.
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
        // Should nobody read any more, the engine's time-out ends the call.
        let _ = self.answers.send((call.id, end));
        Ok(())
    }
}

#[cfg(test)]
mod tests;
