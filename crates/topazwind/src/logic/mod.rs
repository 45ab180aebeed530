//! Every decision of a gateway, in the order a request meets them. The vocabulary (settings, events,
//! actions) is in `interface.rs`; the rule and each departure from it are told in `docs/design/limiter.md`.

mod admission;
mod choice;
mod counter;
mod pressure;
mod retries;

use crate::interface::*;
pub use crate::state::Gateway;
use crate::state::*;

/// Shortest time between two syncs of a customer, ms: one bucket.
const SYNC_EVERY: Millis = 250.0;
/// Share of the burst that must be new before a sync: a tenth keeps calls rare and the view useful.
const SYNC_SHARE: f64 = 0.1;
/// Smaller use is told after this, ms, so that nothing stays unsent for long.
const FLUSH_AFTER: Millis = 1000.0;
/// Span of the fast rate that the perceived rate also looks at, ms.
const FAST_SPAN: Millis = 1000.0;
/// Span of one counter name, ms: half of NAME_TTL, so that a name can be closed after its span.
const EPOCH: Millis = 30_000.0;
/// Pace past which the counter is crowded; of a customer last read longer ago than this, ms, the others' use
/// is then unknown.
const CROWDED: f64 = 1.5;
const STALE: Millis = 1.2 * (SYNC_EVERY + FLUSH_AFTER);
/// Period of the housekeeping timer, ms: short beside any aim.
const TICK: Millis = 20.0;
/// Further attempts earned by each first one; RETRY_SAVED is the most that can be saved up.
const RETRY_EARN: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// Attempts a server may start with in the concurrency limit, over all gateways.
const START_LIMIT: f64 = 8.0;
/// The two counts kept for a customer: units sent on, and units declined for whatever reason. The
/// design's observed count is their sum; kept apart, an answer to one alone is never inconsistent.
const ACCEPTED: usize = 0;
const DECLINED: usize = 1;

impl Gateway {
    /// A gateway that knows nothing yet but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let class_mean = set.classes.iter().map(|c| c.aim / 5.0).collect();
        let flow = Flow { retries: RETRY_SAVED, pace: 1.0, part: 1.0, ..Flow::default() };
        Gateway::blank(set, class_mean, flow, seed)
    }

    /// Customers of which something is remembered.
    pub fn remembered(&self) -> usize {
        self.customers.len()
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if !self.flow.started {
            self.flow.started = true;
            self.acts.push(Action::Timer { after: TICK, name: 0 });
            if self.set.list_on_request {
                self.acts.push(Action::Watch);
            }
        }
        match event {
            Event::Servers { update, entries } => self.list(now, update, entries),
            Event::Settings(set) => self.settle(*set),
            Event::Part(part) => {
                // What has grown so far grew at the part before.
                let before = std::mem::replace(&mut self.flow.part, part);
                self.customers.values_mut().for_each(|c| c.age(now, before));
            }
            Event::Request(request) => self.arrive(now, request),
            Event::Spent(id) => _ = self.open.entry(id).and_modify(|o| o.spent = true),
            Event::Uploaded { id, attempt } => self.uploaded(now, id, attempt),
            Event::Ended { id, attempt, server, outcome, complete, took, load, .. } => {
                let outcome = self.ends_early(id, attempt, server, outcome);
                self.learn(now, server, outcome, took, &load);
                self.ended(now, id, attempt, outcome, complete);
            }
            Event::Streaming { id, .. } => _ = self.open.entry(id).and_modify(|o| o.streaming = true),
            Event::Gone(id) => _ = self.close(id, now),
            Event::Timer(_) => self.tick(now),
            Event::Probed { server, load, .. } => self.note_load(now, server, &load),
            Event::Counted { name, outcome, took, total } => self.counted(now, name, outcome, took, total),
        }
        self.serve_held(now);
        actions.append(&mut self.acts);
    }

    /// Takes new settings. What is open keeps the class it came with; what was learnt of a class or a
    /// customer stays with it. A class is new where none stood before.
    fn settle(&mut self, set: Settings) {
        for (i, class) in set.classes.iter().enumerate() {
            let stood = self.set.classes.get(i).is_some_and(|c| c.deadline > 0.0);
            match self.class_mean.get_mut(i) {
                Some(_) if stood => {}
                Some(mean) => *mean = class.aim / 5.0,
                None => self.class_mean.push(class.aim / 5.0),
            }
        }
        for customer in self.customers.values_mut() {
            if let Some(plan) = set.plans.get(customer.of.0) {
                customer.plan = plan.clone();
            }
        }
        self.set = set;
    }

    fn mean(&self, open: &Open) -> Millis {
        self.class_mean.get(open.request.class.0).copied().unwrap_or(0.0)
    }
}
