//! Quota admission: tracks the use of each customer and decides on its requests.

use super::*;

/// Width of a window bucket, ms; small beside a window of seconds, so that counts age in small steps.
const BUCKET: Millis = 250.0;
/// Observed use, as a multiple of the burst, above which every request is refused. It is close to 1, since
/// requests that pass beyond the quota by chance earn nothing and load the servers.
const HARD_FACTOR: f64 = 1.05;
/// Fraction of the burst reserved for unreported use of other gateways while demand exceeds the quota.
const RESERVE: f64 = 0.15;
/// Maximum reserve, as a fraction of the burst, while reads of the counter are rare.
const MAX_RESERVE: f64 = 0.4;
/// Accepted use, as a fraction of the burst, above which other gateways are assumed to compete for the rest.
const CONTENTION_SHARE: f64 = 0.5;
/// Maximum deficit, in bursts, from estimated use of others; the next read removes the estimate again.
const MAX_DEFICIT: f64 = 1.5;
/// How long a computed suppression factor is reused, ms.
const FACTOR_CACHE: Millis = 100.0;
/// Idle time after which a customer with full buckets is dropped, ms; its state equals that of a new one.
/// At least an epoch, so that earlier use is not read again under the same counter key. The ten minutes of
/// the design would keep every customer that sends a single request.
const IDLE: Millis = EPOCH;
/// Use is sampled if a gateway's share of the burst, in largest requests, is below this: too little to batch.
const SAMPLING_LIMIT: f64 = 0.5;
/// Sampling threshold of plans with a ceiling, which otherwise would need a call per request.
const CEILING_SAMPLING_LIMIT: f64 = 2.0;
/// Decay time constant of a sampled customer's last rate, ms; overuse lasts from seconds to hours.
const DEMAND_DECAY: Millis = 30_000.0;
/// Exponent by which the pace is reduced for a customer at its quota.
const NEAR_QUOTA_RELIEF: f64 = 0.8;
/// Maximum time that a request waits for a counter reply, ms.
const COUNT_WAIT: Millis = 200.0;

impl Customer {
    pub(super) fn new(plan: Plan, spread: f64, most: f64, now: Millis) -> Self {
        let epoch = (now / EPOCH).floor() as i64;
        let sync = CountSync { epoch, read_at: epoch as f64 * EPOCH, ..CountSync::default() };
        let (syncs, last_sync) = ([sync; 2], now);
        let spread = spread.max(1.0);
        let few = if plan.ceiling_rate > 0.0 { CEILING_SAMPLING_LIMIT } else { SAMPLING_LIMIT };
        let sampled = plan.rate > 0.0 && plan.burst < few * spread * most;
        Customer { plan, spread, seen_at: now, syncs, last_sync, drained_at: now, sampled, ..Self::default() }
    }

    /// Estimated demand of a sampled customer, units per second: the last reading, decaying to 0.9 x rate.
    pub(super) fn demand(&self, now: Millis) -> f64 {
        let usual = self.plan.rate * 0.9;
        self.reading.map_or(usual, |(at, rate)| usual + (rate - usual) * (-(now - at) / DEMAND_DECAY).exp())
    }

    /// Updates a sampled customer's rate from the rise of its total, and before the last read from the
    /// estimate.
    pub(super) fn apply_sample(&mut self, now: Millis, total: f64, own: f64) {
        let (window, demand) = (self.window(), self.demand(now));
        let sync = &mut self.syncs[ACCEPTED];
        let rise = if total < sync.total { total } else { total - sync.total };
        // The total includes what this call added; counting it would overestimate each read.
        let rise = (rise - own).max(0.0);
        let span = (now - sync.read_at).max(1.0);
        let before = demand * (window - span).max(0.0) / 1000.0;
        (sync.total, sync.read_at) = (total, now);
        self.reading = Some((now, (rise * (window / span).min(1.0) + before) * 1000.0 / window));
    }

    /// Drops old window buckets and refills the buckets of quota and ceiling up to `now`.
    pub(super) fn advance(&mut self, now: Millis, part: f64) {
        self.counts.drop_before(now - self.window(), BUCKET);
        let past = (now - self.drained_at).max(0.0) / 1000.0;
        self.drained_at = now;
        self.deficit = (self.deficit - past * self.plan.rate).max(0.0);
        let part = part / self.spread;
        self.tokens =
            (self.tokens + past * self.plan.ceiling_rate * part).min(self.plan.ceiling_burst * part);
    }

    /// Records units at a time within the window, `own` of them by this gateway.
    pub(super) fn add(&mut self, kind: usize, at: Millis, units: f64, own: f64) {
        self.counts.add(at, BUCKET, kind, units, own);
        if kind == ACCEPTED {
            self.deficit = (self.deficit + units).min((1.0 + self.plan.debt) * self.plan.burst);
        }
    }

    /// Returns the units of both kinds observed after `from`.
    pub(super) fn observed_since(&self, from: Millis) -> f64 {
        self.counts.since(from, BUCKET)
    }

    /// Returns this gateway's share of the customer's use, smoothed towards 1 / spread for few samples.
    /// Unless `max_age` is `STALE`, the share at the last read is used, as later estimates would bias it.
    pub(super) fn share(&self, max_age: Millis) -> f64 {
        let seen = (self.counts.own() + 1.0) / (self.accepted() + self.spread);
        let last = self.share.filter(|_| max_age != STALE);
        last.unwrap_or(seen.clamp(1.0 / (4.0 * self.spread), 1.0))
    }

    /// Returns the call pace for this customer; it is lower near the quota, where stale data costs most.
    pub(super) fn pace(&self, now: Millis, pace: f64) -> f64 {
        let asked = match self.sampled {
            true => self.reading.map_or(0.0, |_| self.demand(now) / self.plan.rate),
            false => self.counts.total() / self.plan.burst,
        };
        pace.powf(1.0 - NEAR_QUOTA_RELIEF * asked.min(1.0))
    }

    /// Whether demand in the window exceeds the quota.
    pub(super) fn over_quota(&self, now: Millis) -> bool {
        self.plan.rate > 0.0 && self.observed_since(now - self.window()) >= self.plan.burst
    }

    fn refuse(&self, units: f64) -> Verdict {
        Verdict::Refuse { retry_after: self.refill_time(units).max(TICK) }
    }

    /// Whether the customer can be dropped because its state equals that of a new one.
    pub(super) fn is_idle(&self, now: Millis) -> bool {
        let full = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
        let plan = &self.plan;
        let rest = full(plan.burst, plan.rate).max(full(plan.ceiling_burst, plan.ceiling_rate)).max(IDLE);
        now - self.seen_at >= rest
            && self.open <= 0.0
            && !self.call_pending()
            && (!self.sampled || self.demand(now) < self.plan.rate)
    }

    /// Records a request of this gateway. While demand exceeds the quota, or the counter is unavailable or
    /// too loaded to be read, the others are assumed to use their shares too: otherwise each gateway would
    /// grant the same refill. Traffic that moves between gateways meanwhile is underserved. The next read
    /// removes the estimate; after an outage, the first that can include every gateway's use.
    pub(super) fn record(&mut self, now: Millis, kind: usize, units: f64, max_age: Millis) {
        self.tokens -= if kind == ACCEPTED { units } else { 0.0 };
        if self.sampled {
            return;
        }
        let blind = now - self.syncs[ACCEPTED].read_at >= max_age;
        let full = max_age == STALE || self.accepted() >= CONTENTION_SHARE * self.plan.burst;
        let contested = kind == ACCEPTED && full && self.share.is_some() && self.over_quota(now);

        let others = if blind || contested { units / self.share(max_age) - units } else { 0.0 };
        self.add(kind, now, units, if kind == ACCEPTED { units } else { 0.0 });
        self.counts.add_estimate(now, BUCKET, kind, others);
        if kind == ACCEPTED {
            let most = if max_age == STALE { 1.0 } else { MAX_DEFICIT };
            self.deficit = (self.deficit + others).min(most.max(1.0 + self.plan.debt) * self.plan.burst);
        }
        self.syncs[kind].pending += units;
    }

    /// Returns the suppression factor, 1 - rate / perceived rate, from the cache if it is recent.
    pub(super) fn suppression(&mut self, now: Millis) -> f64 {
        if let Some((_, factor)) = self.factor.filter(|f| now - f.0 < FACTOR_CACHE) {
            return factor;
        }
        let average = self.observed_since(now - self.window()) * 1000.0 / self.window();
        let fast = self.observed_since(now - FAST_SPAN) * 1000.0 / FAST_SPAN;
        let factor = (1.0 - self.plan.rate / average.max(fast)).clamp(0.0, 1.0);
        self.factor = Some((now, factor));
        factor
    }

    /// Applies a total read for `kind`: its rise beyond this gateway's own adds is the use of others.
    pub(super) fn read(&mut self, now: Millis, kind: usize, total: f64, settled: bool) {
        let sync = &mut self.syncs[kind];
        let sent = sync.in_flight.take().unwrap_or(0.0);
        // A total below the last one plus this add means that the counter restarted empty.
        let base = if total + 0.01 < sync.total + sent { 0.0 } else { sync.total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(sync.unacked);
        // Unconfirmed units that did not arrive are reported once more.
        sync.pending += if base > 0.0 || sync.total == 0.0 { sync.unacked - arrived } else { 0.0 };
        sync.unacked = 0.0;
        sync.total = total;
        let since = std::mem::replace(&mut sync.read_at, now);
        self.spread_rise(now, kind, rise - arrived, since, settled);
        if kind == ACCEPTED {
            self.share = Some(self.share(STALE));
        }
    }

    /// Spreads others' units evenly over the time since the last read and, if `settled`, drops the estimates.
    pub(super) fn spread_rise(
        &mut self,
        now: Millis,
        kind: usize,
        mut units: f64,
        since: Millis,
        settled: bool,
    ) {
        let estimated = if settled { self.counts.remove_estimates(kind) } else { 0.0 };
        if kind == ACCEPTED {
            self.deficit = (self.deficit - estimated).max(0.0);
        }
        if units <= 0.0 {
            return;
        }
        let from = since.min(now - 1.0);
        let start = from.max(now - self.window());
        units *= (now - start) / (now - from);
        let steps = ((now - start) / BUCKET).ceil().max(1.0);
        for i in 0..steps as i64 {
            self.add(kind, now - (i as f64 + 0.5) * (now - start) / steps, units / steps, 0.0);
        }
    }
}

impl Quotas {
    /// Creates an instance without customers; `seed` determines its random decisions.
    pub fn new(set: QuotaSettings, seed: u64) -> Self {
        Quotas::empty(set, CounterCaller { pace: 1.0, ..CounterCaller::default() }, 1.0, seed)
    }

    /// Applies new settings, also to known customers. Plans keep their indexes.
    pub fn apply_settings(&mut self, set: QuotaSettings) {
        for customer in self.customers.values_mut() {
            if let Some(plan) = set.plans.get(customer.plan_id.0) {
                customer.plan = plan.clone();
            }
        }
        self.set = set;
    }

    /// Sets the fraction of the gateway's own limits that this process uses from now on.
    pub fn set_process_share(&mut self, now: Millis, part: f64) {
        // Refill up to now used the previous share.
        let before = std::mem::replace(&mut self.part, part);
        self.customers.values_mut().for_each(|c| c.advance(now, before));
    }

    /// Registers an arriving request: creates its customer if unknown and may start a counter call.
    pub fn register(&mut self, now: Millis, request: &mut QuotaRequest, actions: &mut Vec<Action>) {
        let plan = self.set.plans.get(request.plan.0).cloned().unwrap_or_default();
        let most = self.set.max_units.max(1.0);
        let create = || Customer { plan_id: request.plan, ..Customer::new(plan, request.spread, most, now) };
        self.customers.entry(request.customer).or_insert_with(create).seen_at = now;
        (request.arrived, request.admitted) = (now, false);
        request.awaits_reply = self.sample(now, request, actions);
        self.unreported.insert(request.customer);
    }

    /// Registers and evaluates a request without waiting for the counter, for callers that hold no requests.
    /// On `Wait` the caller decides.
    pub fn admit(&mut self, now: Millis, mut request: QuotaRequest, actions: &mut Vec<Action>) -> Verdict {
        self.register(now, &mut request, actions);
        request.awaits_reply = false;
        self.evaluate(now, &mut request, false)
    }

    /// Records whether a request was sent on within its quota (`sent`) or declined. One sent on beyond the
    /// quota takes no tokens and counts as declined. [`Quotas::tick`] reports it to the counter.
    pub fn record(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) {
        if self.add(now, customer, units, sent) {
            self.unreported.insert(customer);
        }
    }

    /// Records a request without scheduling a report; returns false if the customer has no quota.
    pub(super) fn add(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) -> bool {
        let (part, max_age) = (self.part, self.caller.max_age(now));
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0) else { return false };
        c.advance(now, part);
        c.record(now, if sent { ACCEPTED } else { DECLINED }, units, max_age);
        true
    }

    /// Decides on a registered request; repeated for one that waits. If the caller has spare capacity
    /// (`calm`), a request beyond the quota may pass where it earns more than it costs.
    pub fn evaluate(&mut self, now: Millis, request: &mut QuotaRequest, spare: bool) -> Verdict {
        let random = self.chance();
        let (counter, max_age, part) = (self.set.counter, self.caller.max_age(now), self.part);
        let (units, waited) = (request.units, now - request.arrived);
        let unknown = Verdict::Refuse { retry_after: TICK };
        let Some(c) = self.customers.get_mut(&request.customer) else { return unknown };
        let plan = c.plan.clone();
        if plan.rate > 0.0 {
            c.advance(now, part);
        }
        // Each gateway's share of the ceiling is its own and empty at first, so that it holds when gateways
        // are partitioned, restart or lose the counter. Traffic concentrated on one gateway has to wait.
        let short = plan.ceiling_rate > 0.0 && c.tokens < units;
        if c.sampled {
            if request.awaits_reply && c.syncs[ACCEPTED].in_flight.is_some() && waited < COUNT_WAIT {
                return Verdict::Wait;
            }
            let rate = c.demand(now);
            let within = rate * c.window() / 1000.0 + units <= plan.burst || random >= 1.0 - plan.rate / rate;
            // A repeat was refused by another gateway, so an unknown customer is probably over its quota.
            let doubtful = request.repeat && c.reading.is_none() && counter;
            request.admitted |= within && !doubtful || plan.over_worth > plan.over_cost && spare;
            return match request.admitted {
                true if short => Verdict::Wait,
                true => Verdict::Within,
                false => c.refuse(units),
            };
        }
        if short {
            return Verdict::Wait;
        }
        // Concurrency quota: each gateway enforces a fair share, so it holds without communication. A
        // customer concentrated on one gateway waits for a slot while servers are slow.
        if plan.max_open > 0.0 && c.open >= (plan.max_open * part / c.spread).floor().max(1.0) {
            return Verdict::Wait;
        }
        // A customer over its quota gets all of it either way, so the reserve costs it nothing lasting and
        // covers unreported use of others. Rare reads need more, as all may grant the same refill.
        let ahead = if max_age.is_finite() { MAX_RESERVE * plan.burst } else { 0.0 };
        let kept = (units / c.share(max_age) - units).min(ahead);
        let reserve = if c.over_quota(now) { kept.max(RESERVE * plan.burst) } else { 0.0 };
        let units = units + reserve;
        // The window ignores the refill; after a burst, what fits into the token bucket passes as well.
        if plan.debt > 0.0 && c.deficit > plan.burst {
            return c.refuse(request.units);
        }
        if plan.rate <= 0.0 || c.accepted().min(c.deficit) + units <= plan.burst {
            return Verdict::Within;
        }
        if plan.over_worth > plan.over_cost && plan.ceiling_rate <= 0.0 && spare {
            return Verdict::Beyond;
        }
        let past = c.observed_since(now - c.window()) >= plan.burst * HARD_FACTOR;
        if past || random < c.suppression(now) {
            return c.refuse(request.units);
        }
        Verdict::Within
    }
}
