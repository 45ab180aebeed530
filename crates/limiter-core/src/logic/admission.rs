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
const AHEAD: f64 = 0.4;
/// Accepted use, as a fraction of the burst, above which other gateways are assumed to compete for the rest.
const CONTENDED: f64 = 0.5;
/// Maximum deficit, in bursts, from estimated use of others; the next read removes the estimate again.
const DEBT: f64 = 1.5;
/// How long a computed suppression factor is reused, ms.
const FACTOR_CACHE: Millis = 100.0;
/// Idle time after which a customer with full buckets is dropped, ms; its state equals that of a new one.
/// At least an epoch, so that earlier use is not read again under the same counter key. The ten minutes of
/// the design would keep every customer that sends a single request.
const IDLE: Millis = EPOCH;
/// Use is sampled if a gateway's share of the burst, in largest requests, is below this: too little to batch.
const THIN: f64 = 0.5;
/// Sampling threshold of plans with a ceiling, which otherwise would need a call per request.
const THIN_CAPPED: f64 = 2.0;
/// Decay time constant of a sampled customer's last rate, ms; overuse lasts from seconds to hours.
const HABIT: Millis = 30_000.0;
/// Exponent by which the pace is reduced for a customer at its quota.
const NEAR_PACE: f64 = 0.8;
/// Maximum time that a request waits for a counter reply, ms.
const COUNT_WAIT: Millis = 200.0;

impl Customer {
    pub(super) fn new(plan: Plan, spread: f64, most: f64, now: Millis) -> Self {
        let epoch = (now / EPOCH).floor() as i64;
        let tally = Tally { epoch, read_at: epoch as f64 * EPOCH, ..Tally::default() };
        let (tallies, last_sync) = ([tally; 2], now);
        let spread = spread.max(1.0);
        let few = if plan.ceiling_rate > 0.0 { THIN_CAPPED } else { THIN };
        let thin = plan.rate > 0.0 && plan.burst < few * spread * most;
        Customer { plan, spread, touched: now, tallies, last_sync, drained_at: now, thin, ..Self::default() }
    }

    /// Estimated demand of a sampled customer, units per second: the last reading, decaying to 0.9 x rate.
    pub(super) fn habit(&self, now: Millis) -> f64 {
        let usual = self.plan.rate * 0.9;
        self.view.map_or(usual, |(at, rate)| usual + (rate - usual) * (-(now - at) / HABIT).exp())
    }

    /// Updates a sampled customer's rate from the rise of its total, and before the last read from the
    /// estimate.
    pub(super) fn glimpse(&mut self, now: Millis, total: f64, own: f64) {
        let (window, habit) = (self.window(), self.habit(now));
        let tally = &mut self.tallies[ACCEPTED];
        let rise = if total < tally.total { total } else { total - tally.total };
        // The total includes what this call added; counting it would overestimate each read.
        let rise = (rise - own).max(0.0);
        let span = (now - tally.read_at).max(1.0);
        let before = habit * (window - span).max(0.0) / 1000.0;
        (tally.total, tally.read_at) = (total, now);
        self.view = Some((now, (rise * (window / span).min(1.0) + before) * 1000.0 / window));
    }

    /// Drops old window buckets and refills the buckets of quota and ceiling up to `now`.
    pub(super) fn age(&mut self, now: Millis, part: f64) {
        self.counts.drop_before(now - self.window(), BUCKET);
        let past = (now - self.drained_at).max(0.0) / 1000.0;
        self.drained_at = now;
        self.used = (self.used - past * self.plan.rate).max(0.0);
        let part = part / self.spread;
        self.lease = (self.lease + past * self.plan.ceiling_rate * part).min(self.plan.ceiling_burst * part);
    }

    /// Records units at a time within the window, `mine` of them by this gateway.
    pub(super) fn book(&mut self, kind: usize, at: Millis, units: f64, mine: f64) {
        self.counts.add(at, BUCKET, kind, units, mine);
        if kind == ACCEPTED {
            self.used = (self.used + units).min((1.0 + self.plan.debt) * self.plan.burst);
        }
    }

    /// Returns the units of both kinds observed after `from`.
    pub(super) fn observed_since(&self, from: Millis) -> f64 {
        self.counts.since(from, BUCKET)
    }

    /// Returns this gateway's share of the customer's use, smoothed towards 1 / spread for few samples.
    /// Unless `trusted` is `STALE`, it is the share at the last read, because later estimates would bias it.
    pub(super) fn share(&self, trusted: Millis) -> f64 {
        let seen = (self.counts.mine() + 1.0) / (self.accepted() + self.spread);
        let last = self.share.filter(|_| trusted != STALE);
        last.unwrap_or(seen.clamp(1.0 / (4.0 * self.spread), 1.0))
    }

    /// Returns the call pace for this customer; it is lower near the quota, where stale data costs most.
    pub(super) fn pace(&self, now: Millis, pace: f64) -> f64 {
        let asked = match self.thin {
            true => self.view.map_or(0.0, |_| self.habit(now) / self.plan.rate),
            false => self.counts.all() / self.plan.burst,
        };
        pace.powf(1.0 - NEAR_PACE * asked.min(1.0))
    }

    /// Whether demand in the window exceeds the quota.
    pub(super) fn pressed(&self, now: Millis) -> bool {
        self.plan.rate > 0.0 && self.observed_since(now - self.window()) >= self.plan.burst
    }

    fn refuse(&self, units: f64) -> Verdict {
        Verdict::Refuse { retry_after: self.refill(units).max(TICK) }
    }

    /// Whether the customer can be dropped because its state equals that of a new one.
    pub(super) fn forgettable(&self, now: Millis) -> bool {
        let full = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
        let plan = &self.plan;
        let rest = full(plan.burst, plan.rate).max(full(plan.ceiling_burst, plan.ceiling_rate)).max(IDLE);
        now - self.touched >= rest
            && self.open <= 0.0
            && !self.busy()
            && (!self.thin || self.habit(now) < self.plan.rate)
    }

    /// Records a request of this gateway. While demand exceeds the quota, or the counter is unavailable or
    /// too loaded to be read, the others are assumed to use their shares too: otherwise each gateway would
    /// grant the same refill. Traffic that moves between gateways meanwhile is underserved. The next read
    /// removes the estimate; after an outage, the first that can include every gateway's use.
    pub(super) fn record(&mut self, now: Millis, kind: usize, units: f64, trusted: Millis) {
        self.lease -= if kind == ACCEPTED { units } else { 0.0 };
        if self.thin {
            return;
        }
        let blind = now - self.tallies[ACCEPTED].read_at >= trusted;
        let full = trusted == STALE || self.accepted() >= CONTENDED * self.plan.burst;
        let contested = kind == ACCEPTED && full && self.share.is_some() && self.pressed(now);

        let others = if blind || contested { units / self.share(trusted) - units } else { 0.0 };
        self.book(kind, now, units, if kind == ACCEPTED { units } else { 0.0 });
        self.counts.presume(now, BUCKET, kind, others);
        if kind == ACCEPTED {
            let most = if trusted == STALE { 1.0 } else { DEBT };
            self.used = (self.used + others).min(most.max(1.0 + self.plan.debt) * self.plan.burst);
        }
        self.tallies[kind].pending += units;
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
        let tally = &mut self.tallies[kind];
        let sent = tally.in_flight.take().unwrap_or(0.0);
        // A total below the last one plus this add means that the counter restarted empty.
        let base = if total + 0.01 < tally.total + sent { 0.0 } else { tally.total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(tally.doubt);
        // Unconfirmed units that did not arrive are reported once more.
        tally.pending += if base > 0.0 || tally.total == 0.0 { tally.doubt - arrived } else { 0.0 };
        tally.doubt = 0.0;
        tally.total = total;
        let since = std::mem::replace(&mut tally.read_at, now);
        self.even_out(now, kind, rise - arrived, since, settled);
        if kind == ACCEPTED {
            self.share = Some(self.share(STALE));
        }
    }

    /// Spreads others' units evenly over the time since the last read and, if `settled`, drops the estimates.
    pub(super) fn even_out(
        &mut self,
        now: Millis,
        kind: usize,
        mut units: f64,
        since: Millis,
        settled: bool,
    ) {
        let presumed = if settled { self.counts.take_back(kind) } else { 0.0 };
        if kind == ACCEPTED {
            self.used = (self.used - presumed).max(0.0);
        }
        if units <= 0.0 {
            return;
        }
        let from = since.min(now - 1.0);
        let start = from.max(now - self.window());
        units *= (now - start) / (now - from);
        let steps = ((now - start) / BUCKET).ceil().max(1.0);
        for i in 0..steps as i64 {
            self.book(kind, now - (i as f64 + 0.5) * (now - start) / steps, units / steps, 0.0);
        }
    }
}

impl Quotas {
    /// Creates an instance without customers; `seed` determines its random decisions.
    pub fn new(set: QuotaSettings, seed: u64) -> Self {
        Quotas::blank(set, Calling { pace: 1.0, ..Calling::default() }, 1.0, seed)
    }

    /// Applies new settings, also to known customers. Plans keep their indexes.
    pub fn apply_settings(&mut self, set: QuotaSettings) {
        for customer in self.customers.values_mut() {
            if let Some(plan) = set.plans.get(customer.of.0) {
                customer.plan = plan.clone();
            }
        }
        self.set = set;
    }

    /// Sets the fraction of the gateway's own limits that this process uses from now on.
    pub fn set_process_share(&mut self, now: Millis, part: f64) {
        // Refill up to now used the previous share.
        let before = std::mem::replace(&mut self.part, part);
        self.customers.values_mut().for_each(|c| c.age(now, before));
    }

    /// Registers an arriving request: creates its customer if unknown and may start a counter call.
    pub fn register(&mut self, now: Millis, draw: &mut QuotaRequest, actions: &mut Vec<Action>) {
        let plan = self.set.plans.get(draw.plan.0).cloned().unwrap_or_default();
        let most = self.set.max_units.max(1.0);
        let fresh = || Customer { of: draw.plan, ..Customer::new(plan, draw.spread, most, now) };
        self.customers.entry(draw.customer).or_insert_with(fresh).touched = now;
        (draw.arrived, draw.passed) = (now, false);
        draw.asked = self.ask(now, draw, actions);
        self.untold.insert(draw.customer);
    }

    /// Registers and evaluates a request without waiting for the counter, for callers that hold no requests.
    /// On `Wait` the caller decides.
    pub fn admit(&mut self, now: Millis, mut draw: QuotaRequest, actions: &mut Vec<Action>) -> Verdict {
        self.register(now, &mut draw, actions);
        draw.asked = false;
        self.evaluate(now, &mut draw, false)
    }

    /// Records whether a request was sent on within its quota (`sent`) or declined. One sent on beyond the
    /// quota takes no tokens and counts as declined. [`Quotas::tick`] reports it to the counter.
    pub fn record(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) {
        if self.book(now, customer, units, sent) {
            self.untold.insert(customer);
        }
    }

    /// Records a request without scheduling a report; returns false if the customer has no quota.
    pub(super) fn book(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) -> bool {
        let (part, trusted) = (self.part, self.calling.trusted(now));
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0) else { return false };
        c.age(now, part);
        c.record(now, if sent { ACCEPTED } else { DECLINED }, units, trusted);
        true
    }

    /// Decides on a registered request; repeated for one that waits. If the caller has spare capacity
    /// (`calm`), a request beyond the quota may pass where it earns more than it costs.
    pub fn evaluate(&mut self, now: Millis, draw: &mut QuotaRequest, calm: bool) -> Verdict {
        let roll = self.chance();
        let (counter, trusted, part) = (self.set.counter, self.calling.trusted(now), self.part);
        let (units, waited) = (draw.units, now - draw.arrived);
        let unknown = Verdict::Refuse { retry_after: TICK };
        let Some(c) = self.customers.get_mut(&draw.customer) else { return unknown };
        let plan = c.plan.clone();
        if plan.rate > 0.0 {
            c.age(now, part);
        }
        // Each gateway's share of the ceiling is its own and empty at first, so that it holds when gateways
        // are partitioned, restart or lose the counter. Traffic concentrated on one gateway has to wait.
        let short = plan.ceiling_rate > 0.0 && c.lease < units;
        if c.thin {
            if draw.asked && c.tallies[ACCEPTED].in_flight.is_some() && waited < COUNT_WAIT {
                return Verdict::Wait;
            }
            let rate = c.habit(now);
            let within = rate * c.window() / 1000.0 + units <= plan.burst || roll >= 1.0 - plan.rate / rate;
            // A repeat was refused by another gateway, so an unknown customer is probably over its quota.
            let doubtful = draw.repeat && c.view.is_none() && counter;
            draw.passed |= within && !doubtful || plan.over_worth > plan.over_cost && calm;
            return match draw.passed {
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
        let ahead = if trusted.is_finite() { AHEAD * plan.burst } else { 0.0 };
        let kept = (units / c.share(trusted) - units).min(ahead);
        let reserve = if c.pressed(now) { kept.max(RESERVE * plan.burst) } else { 0.0 };
        let units = units + reserve;
        // The window ignores the refill; after a burst, what fits into the token bucket passes as well.
        if plan.debt > 0.0 && c.used > plan.burst {
            return c.refuse(draw.units);
        }
        if plan.rate <= 0.0 || c.accepted().min(c.used) + units <= plan.burst {
            return Verdict::Within;
        }
        if plan.over_worth > plan.over_cost && plan.ceiling_rate <= 0.0 && calm {
            return Verdict::Beyond;
        }
        let past = c.observed_since(now - c.window()) >= plan.burst * HARD_FACTOR;
        if past || roll < c.suppression(now) {
            return c.refuse(draw.units);
        }
        Verdict::Within
    }
}
