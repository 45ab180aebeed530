//! Quota admission: what is known of a customer, and what that says of a request.

use super::*;

/// Width of a window bucket, ms: a sixteenth of a window of seconds, so ageing comes in small steps.
const BUCKET: Millis = 250.0;
/// Multiple of the capacity in observed use past which all is refused; near 1: what the chance lets
/// through beyond the quota earns nothing and loads the servers.
const HARD_FACTOR: f64 = 1.05;
/// Share of the burst kept in reserve for what others have sent unseen, once more than the quota is asked.
const RESERVE: f64 = 0.15;
/// The most of that share that is kept for what all others may send on the same refill.
const AHEAD: f64 = 0.4;
/// Share of the quota sent on from which on others are presumed to want the rest too.
const CONTENDED: f64 = 0.5;
/// Most bursts that the store may lack by what is presumed of others: what a near read takes back was booked.
const DEBT: f64 = 1.5;
/// How long a suppression factor is used before it is computed anew, ms.
const FACTOR_CACHE: Millis = 100.0;
/// Customers idle this long are forgotten, ms, once their window is empty and their stores are full: one
/// that returns later starts as it would have stood. An epoch at least, so that what a name holds of before
/// is not read again; the design's ten minutes would keep all who come only once.
const IDLE: Millis = EPOCH;
/// A customer is thin at its gateways if one's fair part of the burst is under this share of the largest
/// request: what a gateway sees of it then comes too rarely to be batched.
const THIN: f64 = 0.5;
/// The same under a ceiling, where a call for each request would be needed else.
const THIN_CAPPED: f64 = 2.0;
/// Time constant at which a thin customer's last rate is forgotten, ms: overuse lasts for seconds to hours.
const HABIT: Millis = 30_000.0;
/// How much of the pace, as an exponent, a customer at its quota is spared.
const NEAR_PACE: f64 = 0.8;
/// A request waiting for the counter is decided without it after this, ms.
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

    /// The rate a thin customer asks at: the last one read, drifting back to half of its quota.
    pub(super) fn habit(&self, now: Millis) -> f64 {
        let usual = self.plan.rate * 0.9;
        self.view.map_or(usual, |(at, rate)| usual + (rate - usual) * (-(now - at) / HABIT).exp())
    }

    /// Takes in a thin customer's total: what is asked in the window is the rise since the last read, and
    /// for what of the window lies before that, the habit.
    pub(super) fn glimpse(&mut self, now: Millis, total: f64, own: f64) {
        let (window, habit) = (self.window(), self.habit(now));
        let tally = &mut self.tallies[ACCEPTED];
        let rise = if total < tally.total { total } else { total - tally.total };
        // What this call added itself stands in every total: counted, each read would see that much too much.
        let rise = (rise - own).max(0.0);
        let span = (now - tally.read_at).max(1.0);
        let before = habit * (window - span).max(0.0) / 1000.0;
        (tally.total, tally.read_at) = (total, now);
        self.view = Some((now, (rise * (window / span).min(1.0) + before) * 1000.0 / window));
    }

    /// Lets buckets age out and both stores refill.
    pub(super) fn age(&mut self, now: Millis, part: f64) {
        self.counts.drop_before(now - self.window(), BUCKET);
        let past = (now - self.drained_at).max(0.0) / 1000.0;
        self.drained_at = now;
        self.used = (self.used - past * self.plan.rate).max(0.0);
        let part = part / self.spread;
        self.lease = (self.lease + past * self.plan.ceiling_rate * part).min(self.plan.ceiling_burst * part);
    }

    /// Books units at a time within the window.
    pub(super) fn book(&mut self, kind: usize, at: Millis, units: f64, mine: f64) {
        self.counts.add(at, BUCKET, kind, units, mine);
        if kind == ACCEPTED {
            self.used = (self.used + units).min((1.0 + self.plan.debt) * self.plan.burst);
        }
    }

    pub(super) fn observed_since(&self, from: Millis) -> f64 {
        self.counts.since(from, BUCKET)
    }

    /// This gateway's share of the customer, smoothed towards 1 / spread where little was seen. Where a read
    /// is near or there is none it is that of the last: what is presumed since would draw it there too.
    pub(super) fn share(&self, trusted: Millis) -> f64 {
        let seen = (self.counts.mine() + 1.0) / (self.accepted() + self.spread);
        let last = self.share.filter(|_| trusted != STALE);
        last.unwrap_or(seen.clamp(1.0 / (4.0 * self.spread), 1.0))
    }

    /// The pace of this customer's calls: one far from its quota gives way to those near it, of which an
    /// old view costs most.
    pub(super) fn pace(&self, now: Millis, pace: f64) -> f64 {
        let asked = match self.thin {
            true => self.view.map_or(0.0, |_| self.habit(now) / self.plan.rate),
            false => self.counts.all() / self.plan.burst,
        };
        pace.powf(1.0 - NEAR_PACE * asked.min(1.0))
    }

    /// It asks for more than its quota.
    pub(super) fn pressed(&self, now: Millis) -> bool {
        self.plan.rate > 0.0 && self.observed_since(now - self.window()) >= self.plan.burst
    }

    fn refuse(&self, units: f64) -> Verdict {
        Verdict::Refuse { retry_after: self.refill(units).max(TICK) }
    }

    /// Nothing is left to remember of a customer that has not come for so long.
    pub(super) fn forgettable(&self, now: Millis) -> bool {
        let full = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
        let plan = &self.plan;
        let rest = full(plan.burst, plan.rate).max(full(plan.ceiling_burst, plan.ceiling_rate)).max(IDLE);
        now - self.touched >= rest
            && self.open <= 0.0
            && !self.busy()
            && (!self.thin || self.habit(now) < self.plan.rate)
    }

    /// Books a request of this gateway. While the customer asks for more than its quota, and while the
    /// counter is silent or too crowded for it to be read, the others are presumed to use their share at the
    /// same time: danger is one refill granted by each gateway, and it hurts where traffic moves meanwhile.
    /// The next read takes it back; after a silence, the first that may hold what all have told.
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

    /// The suppression factor: 1 - rate / perceived rate, kept for a moment.
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

    /// Takes in a total read under `kind`: what rose beyond this gateway's own adds is the others' use.
    pub(super) fn read(&mut self, now: Millis, kind: usize, total: f64, settled: bool) {
        let tally = &mut self.tallies[kind];
        let sent = tally.in_flight.take().unwrap_or(0.0);
        // A total below the last one plus this add: the counter came back empty and counts anew.
        let base = if total + 0.01 < tally.total + sent { 0.0 } else { tally.total };
        let rise = (total - base - sent).max(0.0);
        let arrived = rise.min(tally.doubt);
        // What was in doubt and did not arrive is told again, once.
        tally.pending += if base > 0.0 || tally.total == 0.0 { tally.doubt - arrived } else { 0.0 };
        tally.doubt = 0.0;
        tally.total = total;
        let since = std::mem::replace(&mut tally.read_at, now);
        self.even_out(now, kind, rise - arrived, since, settled);
        if kind == ACCEPTED {
            self.share = Some(self.share(STALE));
        }
    }

    /// Books others' units evenly over the time since the last read, in place of what was presumed of them.
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
    /// A keeper that knows nothing yet but its settings.
    pub fn new(set: QuotaSettings, seed: u64) -> Self {
        Quotas::blank(set, Calling { pace: 1.0, ..Calling::default() }, 1.0, seed)
    }

    /// Takes new settings. Plans stand where they stood before.
    pub fn apply_settings(&mut self, set: QuotaSettings) {
        for customer in self.customers.values_mut() {
            if let Some(plan) = set.plans.get(customer.of.0) {
                customer.plan = plan.clone();
            }
        }
        self.set = set;
    }

    /// From now on this process uses this part of what is a gateway's own.
    pub fn set_process_share(&mut self, now: Millis, part: f64) {
        // What has grown so far grew at the part before.
        let before = std::mem::replace(&mut self.part, part);
        self.customers.values_mut().for_each(|c| c.age(now, before));
    }

    /// A request has come in: its customer is known from here on, and its count may be asked for.
    pub fn register(&mut self, now: Millis, draw: &mut QuotaRequest, actions: &mut Vec<Action>) {
        let plan = self.set.plans.get(draw.plan.0).cloned().unwrap_or_default();
        let most = self.set.max_units.max(1.0);
        let fresh = || Customer { of: draw.plan, ..Customer::new(plan, draw.spread, most, now) };
        self.customers.entry(draw.customer).or_insert_with(fresh).touched = now;
        (draw.arrived, draw.passed) = (now, false);
        draw.asked = self.ask(now, draw, actions);
        self.untold.insert(draw.customer);
    }

    /// Meets and weighs at once, for a caller that holds nothing: no count is waited for. A `Wait` is then
    /// the caller's to decide.
    pub fn admit(&mut self, now: Millis, mut draw: QuotaRequest, actions: &mut Vec<Action>) -> Verdict {
        self.register(now, &mut draw, actions);
        draw.asked = false;
        self.evaluate(now, &mut draw, false)
    }

    /// Books what became of a request: sent on within its quota, or declined for whatever reason. What is
    /// sent on beyond takes nothing from the store, so it counts as declined. [`Quotas::tick`] tells it.
    pub fn record(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) {
        if self.book(now, customer, units, sent) {
            self.untold.insert(customer);
        }
    }

    /// The same where the customer is told of anyway; false if it has no quota.
    pub(super) fn book(&mut self, now: Millis, customer: CustomerId, units: f64, sent: bool) -> bool {
        let (part, trusted) = (self.part, self.calling.trusted(now));
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0) else { return false };
        c.age(now, part);
        c.record(now, if sent { ACCEPTED } else { DECLINED }, units, trusted);
        true
    }

    /// What its quota says of a request that was met, again for one that waits. While the caller is calm,
    /// one beyond the quota may go on where that earns more than it costs.
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
        // A gateway's part of the ceiling is its own, empty at first: danger is that many do not hear each
        // other, restart, or find the counter down. It hurts traffic gathered on one gateway, which waits.
        let short = plan.ceiling_rate > 0.0 && c.lease < units;
        if c.thin {
            if draw.asked && c.tallies[ACCEPTED].in_flight.is_some() && waited < COUNT_WAIT {
                return Verdict::Wait;
            }
            let rate = c.habit(now);
            let within = rate * c.window() / 1000.0 + units <= plan.burst || roll >= 1.0 - plan.rate / rate;
            // A client's repeat was refused elsewhere: with its customer unknown, likely with reason.
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
        // Open cap: each gateway keeps to a fair share, so it holds though no other can be
        // heard. It hurts a customer gathered on one gateway while servers are slow; it waits for a slot.
        if plan.max_open > 0.0 && c.open >= (plan.max_open * part / c.spread).floor().max(1.0) {
            return Verdict::Wait;
        }
        // A customer that asks more than its quota gets all of it either way, so a reserve costs it nothing
        // lasting and takes up what the others sent unseen.
        // Where reads are rare all others may meet the same refill unseen, so more of it is kept.
        let ahead = if trusted.is_finite() { AHEAD * plan.burst } else { 0.0 };
        let kept = (units / c.share(trusted) - units).min(ahead);
        let reserve = if c.pressed(now) { kept.max(RESERVE * plan.burst) } else { 0.0 };
        let units = units + reserve;
        // Refill: the window forgets that the store refills meanwhile, so after a burst it refuses what
        // the quota still holds. What the same counts leave in the store passes too.
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
