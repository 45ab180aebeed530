//! Decision logic of a gateway, in the order in which it applies to a request. Settings, events and actions
//! are defined in `interface.rs`; `docs/design/limiter.md` describes the design and each departure from it.

mod admission;
mod choice;
mod counter;
mod pressure;
mod retries;

use crate::interface::*;
use crate::state::*;
pub use crate::state::{Gateway, Quotas};

/// Minimum time between two syncs of a customer, ms; one window bucket.
const SYNC_EVERY: Millis = 250.0;
/// Fraction of the burst that must be unreported before a sync; a tenth balances call rate and accuracy.
const SYNC_SHARE: f64 = 0.1;
/// Time after which smaller use is reported as well, ms.
const FLUSH_AFTER: Millis = 1000.0;
/// Span of the short-term rate, which is part of the perceived rate, ms.
const FAST_SPAN: Millis = 1000.0;
/// Epoch of a counter key, ms; half of KEY_TTL, so that an expired key can still be read once.
const EPOCH: Millis = 30_000.0;
/// Pace above which the counter counts as overloaded.
const OVERLOADED: f64 = 1.5;
/// Age of a read, ms, from which the use of others counts as unknown while the counter is overloaded.
const STALE: Millis = 1.2 * (SYNC_EVERY + FLUSH_AFTER);
/// Period of the timer, ms; short beside any response-time target.
const TICK: Millis = 20.0;
/// Retries that each first attempt adds to the retry budget; RETRY_BURST is the capacity of the budget.
const RETRY_RATIO: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// Initial concurrency limit in attempts per server, over all gateways.
const START_LIMIT: f64 = 8.0;

impl Gateway {
    /// Creates a gateway without servers and requests; `seed` determines its random decisions.
    pub fn new(set: Settings, seed: u64) -> Self {
        let class_mean = set.classes.iter().map(|c| c.target / 5.0).collect();
        let stats = FlowStats { retries: setting_or(set.retry_burst, RETRY_BURST), ..FlowStats::default() };
        let quotas = Quotas::new((&set).into(), seed);
        Gateway::empty(set, quotas, class_mean, stats)
    }

    /// Handles one event and appends the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if !self.stats.started {
            self.stats.started = true;
            self.actions.push(Action::Timer { after: TICK, name: 0 });
            if self.set.list_on_request {
                self.actions.push(Action::Watch);
            }
        }
        match event {
            Event::Servers { update, entries } => self.apply_list(now, update, entries),
            Event::Settings(set) => self.apply_settings(*set),
            Event::ProcessShare(part) => self.quotas.set_process_share(now, part),
            Event::Request(request) => self.arrive(now, request),
            Event::NotReplayable(id) => _ = self.open.entry(id).and_modify(|o| o.not_replayable = true),
            Event::Uploaded { id, attempt } => self.body_sent(now, id, attempt),
            Event::Ended { id, attempt, server, outcome, complete, took, load, .. } => {
                let outcome = self.adjust_early_end(id, attempt, server, outcome);
                self.record_outcome(now, server, outcome, took, &load);
                self.attempt_ended(now, id, attempt, outcome, complete);
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
        actions.append(&mut self.actions);
    }

    /// Applies new settings. Open requests keep their class, and statistics of classes and customers are
    /// kept. A class with deadline 0 does not exist, so one that replaces it starts with new statistics.
    fn apply_settings(&mut self, set: Settings) {
        for (i, class) in set.classes.iter().enumerate() {
            let existed = self.set.classes.get(i).is_some_and(|c| c.deadline > 0.0);
            match self.class_mean.get_mut(i) {
                Some(_) if existed => {}
                Some(mean) => *mean = class.target / 5.0,
                None => self.class_mean.push(class.target / 5.0),
            }
        }
        self.quotas.apply_settings((&set).into());
        self.stats.limit = self.stats.limit.max(set.min_limit);
        self.set = set;
    }

    fn arrive(&mut self, now: Millis, request: Request) {
        let current = || self.set.classes.get(request.class.0).cloned().unwrap_or_default();
        let rules = request.rules.as_ref();
        let class = rules.map_or_else(current, |r| r.class.clone());
        let max_tries = rules.map_or(self.set.max_attempts, |r| r.max_attempts);
        let (id, customer) = (request.id, request.customer);
        let (due_at, ends_at) = (now + class.target.min(request.time_left), now + request.time_left);
        let mut quota = QuotaRequest::from(&request);
        self.quotas.register(now, &mut quota, &mut self.actions);
        let open =
            OpenRequest { request, quota, class, max_tries, due_at, ends_at, ..OpenRequest::default() };
        let too_late = open.due_at - now < self.mean(&open).max(2.0 * TICK) / 2.0;
        self.open.insert(id, open);
        if too_late {
            // It cannot be served in time, and the timer might come too late to refuse it.
            return self.reject(now, id);
        }
        self.decide(now, id);
        self.quotas.sync(now, customer, &mut self.actions);
    }

    /// Admits, holds or refuses a request that has not been sent yet.
    fn decide(&mut self, now: Millis, id: RequestId) {
        let spare = self.stats.out < 0.7 * self.stats.limit && self.held.is_empty();
        let Some(open) = self.open.get_mut(&id) else { return };
        let verdict = self.quotas.evaluate(now, &mut open.quota, spare);
        open.beyond = verdict == Verdict::Beyond;
        let zones = open.request.allowed_zones;
        match verdict {
            Verdict::Refuse { .. } => self.reject(now, id),
            Verdict::Wait => self.hold(id),
            // No allowed server accepts requests, so waiting would only delay the refusal.
            _ if self.ready(zones).next().is_none() && !self.servers.is_empty() => self.reject(now, id),
            _ => {
                if !self.try_send(now, id) {
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

    /// Closes a request: counts it as declined if it was never sent, and cancels its open attempts.
    fn close(&mut self, id: RequestId, now: Millis) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if open.attempts.is_empty() {
            self.quotas.record(now, open.request.customer, open.request.units, false);
        }
        for (i, attempt) in open.attempts.iter().enumerate() {
            if attempt.live && self.set.cancelling && !open.streaming {
                self.actions.push(Action::Cancel { id, attempt: i as u8 });
            }
        }
        open.ends_at = f64::NEG_INFINITY;
        if open.attempts.iter().all(|a| !a.live) {
            self.open.remove(&id);
        }
        true
    }
}
