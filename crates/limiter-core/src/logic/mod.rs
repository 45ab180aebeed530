//! Every decision of a gateway, in the order a request meets them. The vocabulary (settings, events,
//! actions) is in `interface.rs`; the rule and each departure from it are told in `docs/design/limiter.md`.

mod admission;
mod choice;
mod counter;
mod pressure;
mod retries;

use crate::interface::*;
use crate::state::*;
pub use crate::state::{Gateway, Quotas};

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

impl Gateway {
    /// A gateway that knows nothing yet but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let class_mean = set.classes.iter().map(|c| c.target / 5.0).collect();
        let flow = Flow { retries: given(set.retry_burst, RETRY_SAVED), ..Flow::default() };
        let quotas = Quotas::new((&set).into(), seed);
        Gateway::blank(set, quotas, class_mean, flow)
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
            Event::Settings(set) => self.apply_settings(*set),
            Event::ProcessShare(part) => self.quotas.set_process_share(now, part),
            Event::Request(request) => self.arrive(now, request),
            Event::NotReplayable(id) => _ = self.open.entry(id).and_modify(|o| o.spent = true),
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
            Event::Counted { name, outcome, took, total } => {
                self.quotas.handle_reply(now, name, outcome, took, total);
            }
        }
        self.serve_held(now);
        actions.append(&mut self.acts);
    }

    /// Takes new settings. What is open keeps the class it came with; what was learnt of a class or a
    /// customer stays with it. A class is new where none stood before.
    fn apply_settings(&mut self, set: Settings) {
        for (i, class) in set.classes.iter().enumerate() {
            let stood = self.set.classes.get(i).is_some_and(|c| c.deadline > 0.0);
            match self.class_mean.get_mut(i) {
                Some(_) if stood => {}
                Some(mean) => *mean = class.target / 5.0,
                None => self.class_mean.push(class.target / 5.0),
            }
        }
        self.quotas.apply_settings((&set).into());
        self.flow.limit = self.flow.limit.max(set.min_limit);
        self.set = set;
    }

    fn arrive(&mut self, now: Millis, request: Request) {
        let of = || self.set.classes.get(request.class.0).cloned().unwrap_or_default();
        let rules = request.rules.as_ref();
        let class = rules.map_or_else(of, |r| r.class.clone());
        let tries = rules.map_or(self.set.max_attempts, |r| r.max_attempts);
        let (id, customer) = (request.id, request.customer);
        let (due_at, ends_at) = (now + class.target.min(request.time_left), now + request.time_left);
        let mut draw = QuotaRequest::from(&request);
        self.quotas.register(now, &mut draw, &mut self.acts);
        let open = Open { request, draw, class, tries, due_at, ends_at, ..Open::default() };
        let hopeless = open.due_at - now < self.mean(&open).max(2.0 * TICK) / 2.0;
        self.open.insert(id, open);
        if hopeless {
            // What can no longer be served in time is not started, and would outlast the housekeeping.
            return self.finish(now, id);
        }
        self.decide(now, id);
        self.quotas.sync(now, customer, &mut self.acts);
    }

    /// Admits, holds or refuses a request that has not been sent yet.
    fn decide(&mut self, now: Millis, id: RequestId) {
        let calm = self.flow.out < 0.7 * self.flow.limit && self.held.is_empty();
        let Some(open) = self.open.get_mut(&id) else { return };
        let verdict = self.quotas.evaluate(now, &mut open.draw, calm);
        open.beyond = verdict == Verdict::Beyond;
        let within = open.request.within;
        match verdict {
            Verdict::Refuse { .. } => self.finish(now, id),
            Verdict::Wait => self.hold(id),
            // All that it may go to have been taken out: waiting would only tell the client later.
            _ if self.ready(within).next().is_none() && !self.servers.is_empty() => self.finish(now, id),
            _ => {
                if !self.place(now, id) {
                    self.hold(id);
                }
            }
        }
    }

    fn hold(&mut self, id: RequestId) {
        if !self.held.contains(&id) {
            self.held.push(id);
        }
    }

    /// Ends a request: what was never sent counts as declined, what is still out is called off.
    fn close(&mut self, id: RequestId, now: Millis) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if open.attempts.is_empty() {
            self.quotas.record(now, open.request.customer, open.request.units, false);
        }
        for (i, attempt) in open.attempts.iter().enumerate() {
            if attempt.live && self.set.cancelling && !open.streaming {
                self.acts.push(Action::Cancel { id, attempt: i as u8 });
            }
        }
        open.ends_at = f64::NEG_INFINITY;
        if open.attempts.iter().all(|a| !a.live) {
            self.open.remove(&id);
        }
        true
    }
}
