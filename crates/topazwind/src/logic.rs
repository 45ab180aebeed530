//! Every decision of a gateway, in the order a request meets them. The vocabulary (settings, events,
//! actions) is in `interface.rs`; the rule and each departure from it are told in `docs/design/limiter.md`.

use crate::interface::*;
use crate::state::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Width of a window bucket, ms: a sixteenth of a window of seconds, so ageing comes in small steps.
const BUCKET: Millis = 250.0;
/// Shortest time between two syncs of a customer, ms: one bucket.
const SYNC_EVERY: Millis = 250.0;
/// Share of the burst that must be new before a sync: a tenth keeps calls rare and the view useful.
const SYNC_SHARE: f64 = 0.1;
/// Smaller use is told after this, ms, so that nothing stays unsent for long.
const FLUSH_AFTER: Millis = 1000.0;
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
/// Span of the fast rate that the perceived rate also looks at, ms.
const FAST_SPAN: Millis = 1000.0;
/// Customers idle this long are forgotten, ms, once their window is empty and their stores are full: one
/// that returns later starts as it would have stood. An epoch at least, so that what a name holds of before
/// is not read again; the design's ten minutes would keep all who come only once.
const IDLE: Millis = EPOCH;
/// Customers looked at for that in one housekeeping: however many there are, it takes no longer.
const IDLE_BATCH: usize = 32;
/// Span of one counter name, ms: half of NAME_TTL, so that a name can be closed after its span.
const EPOCH: Millis = 30_000.0;
/// Life of a counter name, ms: the longest that counters keep one.
const NAME_TTL: Millis = 60_000.0;
/// A customer is thin at its gateways if one's fair part of the burst is under this share of the largest
/// request: what a gateway sees of it then comes too rarely to be batched.
const THIN: f64 = 0.5;
/// The same under a ceiling, where a call for each request would be needed else.
const THIN_CAPPED: f64 = 2.0;
/// Span of a thin customer's counter name, in windows: long enough to average, short enough to follow spikes.
const THIN_EPOCH: f64 = 1.5;
/// A thin customer's rate read within this, ms, is used as it is; after it, a call is waited for.
const FRESH: Millis = 1000.0;
/// Time constant at which a thin customer's last rate is forgotten, ms: overuse lasts for seconds to hours.
const HABIT: Millis = 30_000.0;
/// Least chance of a thin customer's call, however crowded the counter is.
const CALL_LEAST: f64 = 0.1;
/// A call is slow past this share of its time-out.
const SLOW_CALL: f64 = 0.2;
/// Longest pause between calls to a failing counter, ms: it is noticed again within this.
const MAX_BACKOFF: Millis = 800.0;
/// The counter is silent once calls have failed and none was answered for this long, ms: one that is crowded
/// or loses a connection still answers others.
const SILENT_AFTER: Millis = 1000.0;
/// Pace past which the counter is crowded; of a customer last read longer ago than this, ms, the others' use
/// is then unknown.
const CROWDED: f64 = 1.5;
const STALE: Millis = 1.2 * (SYNC_EVERY + FLUSH_AFTER);
/// After a silence the counter holds what all have used only once each has tried it again and told, ms.
const SETTLE: Millis = MAX_BACKOFF + STALE;
/// Factors of the pace between calls on a failed and on a quick one, and its bound. A counter works on calls
/// that nobody waits for any more, so one that is asked too much answers next to none in time: calls are made
/// rarer and larger until about one in twenty fails.
const PACE_UP: f64 = 1.4;
const PACE_DOWN: f64 = 0.98;
const PACE_MOST: f64 = 50.0;
/// How much of the pace, as an exponent, a customer at its quota is spared.
const NEAR_PACE: f64 = 0.8;
/// Calls fail together: the pace rises once in this time, ms.
const PACE_STEP: Millis = 200.0;
/// Share of the burst, in SYNC_SHAREs, that is never left untold for the pace.
const PACE_SHARE: f64 = 4.0;
/// Period of the housekeeping timer, ms: short beside any aim.
const TICK: Millis = 20.0;
/// A request waiting for the counter is decided without it after this, ms.
const COUNT_WAIT: Millis = 200.0;
/// Weight of a new sample in a server's or class's mean answer time: about the last ten.
const MEAN_GAIN: f64 = 0.1;
/// The same where a server is met every few seconds only: its last three answers are all that counts.
const RARE_GAIN: f64 = 0.3;
/// The same for an attempt that was given up.
const LOST_GAIN: f64 = 0.4;
/// A server not heard of drifts back to the fleet's mean with this time constant, ms, so that a slow
/// spell is not remembered for ever.
const FORGET: Millis = 4000.0;
/// And with so many turns of all servers, where these take less time: one that is avoided is heard of again.
const FORGET_TURNS: f64 = 30.0;
/// A gateway keeps to as many servers as it sends requests in this time, ms, or to the least: so it hears of
/// each every few seconds, however many there are.
const SUBSET_SPAN: Millis = 1500.0;
const SUBSET_LEAST: f64 = 8.0;
/// With a subset, what is known of a server is kept this many times longer; reported crowding its square.
const SPARSE_FORGET: f64 = 3.0;
/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 3;
/// How long answers and failures of a server count, ms: long beside the time in which a gateway meets it.
const FAIL_KEEP: Millis = 20_000.0;
/// Answers that a server is believed to have served well before its first: one failure is no habit yet.
const FAIL_PRIOR: f64 = 2.0;
/// Standard errors within which failures may be an accident, and what each share beyond costs.
const FAIL_SURE: f64 = 1.64;
const FAIL_COST: f64 = 40.0;
/// And the most that they add: one that others cannot stand in for is used all the same.
const FAIL_MOST: f64 = 0.5;
/// First ejection, ms; doubles up to eight times this.
const EJECT_FOR: Millis = 1000.0;
/// A server that turned a request away as full is passed over for this long, ms.
const FULL_PAUSE: Millis = 100.0;
/// That pause is this many times longer where a server is met every few seconds only.
const RARE_PAUSE: f64 = 20.0;
/// Answer times are told apart from here on, ms: below it they are mostly the way there and back.
const LEAST_MEAN: Millis = 1.0;
/// Requests that a server's mean answer time stands on, with MEAN_GAIN: (2 - g) / g.
const SAMPLES: f64 = (2.0 - MEAN_GAIN) / MEAN_GAIN;
/// A server's mean within so many standard errors of the fleet's says nothing of the server.
const NOISE: f64 = 2.0;
/// Cost that a server's last request adds, fading while all others have their turn: equal ones take turns.
/// Less than CROSS_ZONE.
const TURN: f64 = 0.04;
/// A server that was sent nothing for this long, ms, is no dearer for being cold.
const OVERDUE: Millis = 1500.0;
/// The same for chance: gateways are not to take turns in step.
const CHANCE: f64 = 0.06;
/// Cost of another zone beside the near one: a tie-breaker only.
const CROSS_ZONE: f64 = 1.1;
/// Further attempts earned by each first one; RETRY_SAVED is the most that can be saved up.
const RETRY_EARN: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// A second copy goes out once an attempt has run this many mean answer times: so late that it is for
/// lost attempts only.
const HEDGE_AFTER: f64 = 8.0;
/// Mean answer time, as a share of the aim, at which the concurrency limit starts to fall.
const SLOW_MARK: f64 = 0.27;
/// Attempts a server that the concurrency limit never falls below, over all gateways.
const LEAST_LIMIT: f64 = 2.0;
/// Requests held at once, as a share of the concurrency limit; past it the least worthy are refused early.
const HELD_SHARE: f64 = 0.5;
/// Attempts a server may start with in the concurrency limit, over all gateways.
const START_LIMIT: f64 = 8.0;

/// The two counts kept for a customer: units sent on, and units declined for whatever reason. The
/// design's observed count is their sum; kept apart, an answer to one alone is never inconsistent.
const ACCEPTED: usize = 0;
const DECLINED: usize = 1;

impl Customer {
    fn new(plan: Plan, spread: f64, most: f64, now: Millis) -> Self {
        let epoch = (now / EPOCH).floor() as i64;
        let tally = Tally { epoch, read_at: epoch as f64 * EPOCH, ..Tally::default() };
        let (tallies, last_sync) = ([tally; 2], now);
        let spread = spread.max(1.0);
        let few = if plan.ceiling_rate > 0.0 { THIN_CAPPED } else { THIN };
        let thin = plan.rate > 0.0 && plan.burst < few * spread * most;
        Customer { plan, spread, touched: now, tallies, last_sync, drained_at: now, thin, ..Self::default() }
    }

    fn window(&self) -> Millis {
        1000.0 * self.plan.burst / self.plan.rate
    }

    /// The rate a thin customer asks at: the last one read, drifting back to half of its quota.
    fn habit(&self, now: Millis) -> f64 {
        let usual = self.plan.rate * 0.9;
        self.view.map_or(usual, |(at, rate)| usual + (rate - usual) * (-(now - at) / HABIT).exp())
    }

    /// Takes in a thin customer's total: what is asked in the window is the rise since the last read, and
    /// for what of the window lies before that, the habit.
    fn glimpse(&mut self, now: Millis, total: f64, own: f64) {
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
    fn age(&mut self, now: Millis, part: f64) {
        self.counts.drop_before(now - self.window(), BUCKET);
        let past = (now - self.drained_at).max(0.0) / 1000.0;
        self.drained_at = now;
        self.used = (self.used - past * self.plan.rate).max(0.0);
        let part = part / self.spread;
        self.lease = (self.lease + past * self.plan.ceiling_rate * part).min(self.plan.ceiling_burst * part);
    }

    /// Books units at a time within the window.
    fn book(&mut self, kind: usize, at: Millis, units: f64, mine: f64) {
        self.counts.add(at, BUCKET, kind, units, mine);
        if kind == ACCEPTED {
            self.used = (self.used + units).min(self.plan.burst);
        }
    }

    fn accepted(&self) -> f64 {
        self.counts.of(ACCEPTED)
    }

    fn observed_since(&self, from: Millis) -> f64 {
        self.counts.since(from, BUCKET)
    }

    /// This gateway's share of the customer, smoothed towards 1 / spread where little was seen. Where a read
    /// is near or there is none it is that of the last: what is presumed since would draw it there too.
    fn share(&self, trusted: Millis) -> f64 {
        let seen = (self.counts.mine() + 1.0) / (self.accepted() + self.spread);
        let last = self.share.filter(|_| trusted != STALE);
        last.unwrap_or(seen.clamp(1.0 / (4.0 * self.spread), 1.0))
    }

    /// The pace of this customer's calls: one far from its quota gives way to those near it, of which an
    /// old view costs most.
    fn pace(&self, now: Millis, pace: f64) -> f64 {
        let asked = match self.thin {
            true => self.view.map_or(0.0, |_| self.habit(now) / self.plan.rate),
            false => self.counts.all() / self.plan.burst,
        };
        pace.powf(1.0 - NEAR_PACE * asked.min(1.0))
    }

    /// It asks for more than its quota.
    fn pressed(&self, now: Millis) -> bool {
        self.plan.rate > 0.0 && self.observed_since(now - self.window()) >= self.plan.burst
    }

    /// A call to the counter is out.
    fn busy(&self) -> bool {
        self.tallies.iter().any(|t| t.in_flight.is_some() || t.closing.is_some())
    }

    /// Nothing is left to remember of a customer that has not come for so long.
    fn forgettable(&self, now: Millis) -> bool {
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
    fn record(&mut self, now: Millis, kind: usize, units: f64, trusted: Millis) {
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
            self.used = (self.used + others).min(most * self.plan.burst);
        }
        self.tallies[kind].pending += units;
    }

    /// The suppression factor: 1 - rate / perceived rate, kept for a moment.
    fn suppression(&mut self, now: Millis) -> f64 {
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
    fn read(&mut self, now: Millis, kind: usize, total: f64, settled: bool) {
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
        self.spread_out(now, kind, rise - arrived, since, settled);
        if kind == ACCEPTED {
            self.share = Some(self.share(STALE));
        }
    }

    /// Books others' units evenly over the time since the last read, in place of what was presumed of them.
    fn spread_out(&mut self, now: Millis, kind: usize, mut units: f64, since: Millis, settled: bool) {
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

impl Open {
    /// How long an attempt is waited for from now: as long as its answer may earn something.
    fn time_out(&self, now: Millis) -> Millis {
        let until = if self.class.late_worth > 0.0 { self.ends_at } else { self.aim_at };
        (until - now).max(1.0)
    }
}

impl Server {
    /// Answers and failures among them as they count by now.
    fn tried(&self, now: Millis) -> (f64, f64) {
        let left = (-(now - self.tried_at).max(0.0) / FAIL_KEEP).exp();
        (self.tried.0 * left, self.tried.1 * left)
    }

    /// Share of its answers that fail and are no accident: the lower end of Wilson's interval.
    fn failing(&self, now: Millis) -> f64 {
        let (answers, failures) = self.tried(now);
        let (n, z) = (answers + FAIL_PRIOR, FAIL_SURE);
        let share = failures / n;
        let middle = share + z * z / (2.0 * n);
        let off = z * ((share * (1.0 - share) + z * z / (4.0 * n)) / n).sqrt();
        ((middle - off) / (1.0 + z * z / n)).max(0.0)
    }
}

impl Flow {
    /// How old what was read of a customer may be, ms, for the others' use not to be presumed.
    fn trusted(&self, now: Millis) -> Millis {
        match self.silent || now < self.settles_at {
            true => 0.0,
            false if self.pace > CROWDED => STALE,
            false => f64::INFINITY,
        }
    }
}

/// What quota admission says of a request.
#[derive(PartialEq)]
enum Verdict {
    Within,
    Beyond,
    Wait,
    Refuse,
}

/// A server that a request may go to.
struct Able {
    id: ServerId,
    warmth: f64,
    roll: f64,
}

/// One gateway's decision module.
pub struct Gateway {
    set: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    customers: BTreeMap<CustomerId, Customer>,
    /// Customers with something to tell the counter.
    untold: BTreeSet<CustomerId>,
    /// Where the search for customers to forget has come to.
    looked: CustomerId,
    calls: BTreeMap<CountName, (CustomerId, usize)>,
    open: BTreeMap<RequestId, Open>,
    held: Vec<RequestId>,
    class_mean: Vec<Millis>,
    /// The servers in this gateway's own order.
    ranked: Vec<ServerId>,
    salt: u64,
    flow: Flow,
    acts: Vec<Action>,
}

impl Gateway {
    /// A gateway that knows nothing yet but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let (class_mean, flow) = (
            set.classes.iter().map(|c| c.aim / 5.0).collect(),
            Flow { retries: RETRY_SAVED, pace: 1.0, part: 1.0, ..Flow::default() },
        );
        let (servers, customers, calls, open, untold, looked) = Default::default();
        let (mut rng, held, acts) = (Pcg64Mcg::seed_from_u64(seed), Vec::new(), Vec::new());
        let (ranked, salt) = (Vec::new(), rng.next_u64());
        Gateway {
            set,
            rng,
            servers,
            customers,
            untold,
            looked,
            calls,
            open,
            held,
            class_mean,
            ranked,
            salt,
            flow,
            acts,
        }
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

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn mean(&self, open: &Open) -> Millis {
        self.class_mean.get(open.request.class.0).copied().unwrap_or(0.0)
    }

    // ---- 1. Quota admission -------------------------------------------------------------------

    fn arrive(&mut self, now: Millis, request: Request) {
        let of = || self.set.classes.get(request.class.0).cloned().unwrap_or_default();
        let rules = request.rules.as_ref();
        let class = rules.map_or_else(of, |r| r.class.clone());
        let tries = rules.map_or(self.set.max_attempts, |r| r.max_attempts);
        let (id, customer) = (request.id, request.customer);
        let plan = self.set.plans.get(request.plan.0).cloned().unwrap_or_default();
        let entry = self.customers.entry(customer);
        let most = self.set.max_units.max(1.0);
        let fresh = || Customer { of: request.plan, ..Customer::new(plan, request.spread, most, now) };
        entry.or_insert_with(fresh).touched = now;
        let (aim_at, ends_at) = (now + class.aim.min(request.time_left), now + request.time_left);
        let asked = self.ask(now, customer, request.units);
        let open = Open { request, class, tries, arrived: now, aim_at, ends_at, asked, ..Open::default() };
        let hopeless = open.aim_at - now < self.mean(&open).max(2.0 * TICK) / 2.0;
        self.open.insert(id, open);
        self.untold.insert(customer);
        if hopeless {
            // What can no longer be served in time is not started, and would outlast the housekeeping.
            return self.finish(now, id);
        }
        self.decide(now, id);
        self.sync(now, customer);
    }

    /// Admits, holds or refuses a request that has not been sent yet.
    fn decide(&mut self, now: Millis, id: RequestId) {
        match self.admit(now, id) {
            Verdict::Refuse => self.finish(now, id),
            Verdict::Wait => self.hold(id),
            // All that are known have been taken out: waiting would only tell the client later.
            _ if self.flow.ready == 0 && !self.servers.is_empty() => self.finish(now, id),
            verdict => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.beyond = verdict == Verdict::Beyond;
                }
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

    fn admit(&mut self, now: Millis, id: RequestId) -> Verdict {
        let roll = self.chance();
        let calm = self.flow.out < 0.7 * self.flow.limit && self.held.is_empty();
        let (counter, trusted) = (self.set.counter, self.flow.trusted(now));
        let part = self.flow.part;
        let Some(open) = self.open.get_mut(&id) else { return Verdict::Refuse };
        let (units, waited) = (open.request.units, now - open.arrived);
        let Some(c) = self.customers.get_mut(&open.request.customer) else { return Verdict::Refuse };
        let plan = c.plan.clone();
        if plan.rate > 0.0 {
            c.age(now, part);
        }
        // A gateway's part of the ceiling is its own, empty at first: danger is that many do not hear each
        // other, restart, or find the counter down. It hurts traffic gathered on one gateway, which waits.
        let short = plan.ceiling_rate > 0.0 && c.lease < units;
        if c.thin {
            if open.asked && c.tallies[ACCEPTED].in_flight.is_some() && waited < COUNT_WAIT {
                return Verdict::Wait;
            }
            let rate = c.habit(now);
            let within = rate * c.window() / 1000.0 + units <= plan.burst || roll >= 1.0 - plan.rate / rate;
            // A client's repeat was refused elsewhere: with its customer unknown, likely with reason.
            let doubtful = open.request.repeat && c.view.is_none() && counter;
            open.passed |= within && !doubtful || plan.over_worth > plan.over_cost && calm;
            return match open.passed {
                true if short => Verdict::Wait,
                true => Verdict::Within,
                false => Verdict::Refuse,
            };
        }
        if short {
            return Verdict::Wait;
        }
        if plan.max_open > 0.0 {
            // Open cap: each gateway keeps to a fair share, so it holds though no other can be
            // heard. It hurts a customer gathered on one gateway while servers are slow; it waits for a slot.
            if c.open >= (plan.max_open * part / c.spread).floor().max(1.0) {
                return Verdict::Wait;
            }
        }
        // A customer that asks more than its quota gets all of it either way, so a reserve costs it nothing
        // lasting and takes up what the others sent unseen.
        // Where reads are rare all others may meet the same refill unseen, so more of it is kept.
        let kept = if trusted.is_finite() {
            (units / c.share(trusted) - units).min(AHEAD * plan.burst)
        } else {
            0.0
        };
        let reserve = if c.pressed(now) { kept.max(RESERVE * plan.burst) } else { 0.0 };
        let units = units + reserve;
        // Refill: the window forgets that the store refills meanwhile, so after a burst it refuses what
        // the quota still holds. What the same counts leave in the store passes too.
        if plan.rate <= 0.0 || c.accepted().min(c.used) + units <= plan.burst {
            return Verdict::Within;
        }
        if plan.over_worth > plan.over_cost && plan.ceiling_rate <= 0.0 && calm {
            return Verdict::Beyond;
        }
        let past = c.observed_since(now - c.window()) >= plan.burst * HARD_FACTOR;
        if past || roll < c.suppression(now) {
            return Verdict::Refuse;
        }
        Verdict::Within
    }

    /// Ends a request: what was never sent counts as declined, what is still out is called off.
    fn close(&mut self, id: RequestId, now: Millis) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if open.attempts.is_empty() {
            let (customer, trusted) = (open.request.customer, self.flow.trusted(now));
            if let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0) {
                self.untold.insert(customer);
                c.age(now, self.flow.part);
                c.record(now, DECLINED, open.request.units, trusted);
            }
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

    // ---- 2. Counter ---------------------------------------------------------------------------

    /// The stable name of one customer's count of a kind in an epoch.
    fn name(customer: CustomerId, kind: usize, epoch: i64) -> CountName {
        let mut x = customer.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((epoch as u64) << 1 | kind as u64);
        for _ in 0..2 {
            x = (x ^ (x >> 31)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        }
        CountName(x ^ (x >> 32))
    }

    /// Counts a thin customer's request by chance, a call for each tenth of what may be or is asked in a
    /// window: by its answer this request is decided, if what is known is old. The danger is that hundreds
    /// of gateways drown the counter; it covers a slow counter, restarts and new customers, and it hurts
    /// by the noise of what is counted for others.
    fn ask(&mut self, now: Millis, customer: CustomerId, units: f64) -> bool {
        let roll = self.chance();
        let counting = self.set.counter && now >= self.flow.count_after;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.thin && counting) else { return false };
        let span = (THIN_EPOCH * c.window()).min(EPOCH);
        let epoch = (now / span).floor();
        let old = c.view.is_none_or(|(at, _)| now - at > FRESH);
        let most = c.plan.burst.max(c.habit(now) * c.window() / 1000.0);
        let chance =
            (units / (SYNC_SHARE * most)).min(1.0) * (1.0 / c.pace(now, self.flow.pace)).max(CALL_LEAST);
        let t = &mut c.tallies[ACCEPTED];
        if t.in_flight.is_some() {
            t.pending += units;
            return old;
        }
        if roll >= chance {
            return false;
        }
        if t.epoch != epoch as i64 {
            (t.epoch, t.total, t.read_at) = (epoch as i64, 0.0, epoch * span);
        }
        let add = std::mem::take(&mut t.pending) + units / chance;
        t.in_flight = Some(add);
        let name = Self::name(customer, ACCEPTED, t.epoch);
        self.calls.insert(name, (customer, ACCEPTED));
        self.acts.push(Action::Count { name, add, ttl: NAME_TTL });
        old
    }

    /// Tells the counter what is new of a customer, if that is due. The first call also reads what others
    /// have told; while the counter is crowded it waits until the customer's use could matter.
    fn sync(&mut self, now: Millis, customer: CustomerId) {
        if !self.set.counter || now < self.flow.count_after {
            return;
        }
        let epoch = (now / EPOCH).floor() as i64;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0 && !c.thin) else {
            self.untold.remove(&customer);
            return;
        };
        let new = c.tallies[ACCEPTED].pending + c.tallies[DECLINED].pending;
        let (pace, share) = (c.pace(now, self.flow.pace), SYNC_SHARE * c.plan.burst);
        let first = !c.known && c.tallies[ACCEPTED].in_flight.is_none() && new >= (pace - 1.0) * share;
        let waited = now - c.last_sync;
        let flush = waited >= (SYNC_EVERY + FLUSH_AFTER) * pace;
        let least = if flush { 0.0 } else { share * pace.min(PACE_SHARE) };
        let due = new > 0.0 && new >= least && waited >= SYNC_EVERY * pace.min(PACE_SHARE);
        if !(first || due) {
            if new <= 0.0 && !c.busy() {
                self.untold.remove(&customer);
            }
            return;
        }
        // All customers' names end together, so while the counter is crowded only those that may be near
        // their quota are read once more.

        for kind in [ACCEPTED, DECLINED] {
            let t = &mut c.tallies[kind];
            if t.in_flight.is_some() || kind == DECLINED && (t.pending <= 0.0 || t.pending < least || !due) {
                continue;
            }
            if t.epoch != epoch {
                let old = Self::name(customer, kind, t.epoch);
                if !first && t.closing.is_none() && pace <= CROWDED {
                    t.closing = Some((old, t.total));
                    self.calls.insert(old, (customer, kind));
                    self.acts.push(Action::Count { name: old, add: 0.0, ttl: NAME_TTL });
                }
                (t.epoch, t.total, t.doubt) = (epoch, 0.0, 0.0);
            }
            let add = std::mem::take(&mut t.pending);
            t.in_flight = Some(add);
            let name = Self::name(customer, kind, epoch);
            self.calls.insert(name, (customer, kind));
            self.acts.push(Action::Count { name, add, ttl: NAME_TTL });
            c.last_sync = now;
        }
    }

    fn counted(&mut self, now: Millis, name: CountName, outcome: Outcome, took: Millis, total: f64) {
        let ok = outcome == Outcome::Ok;
        let slow = took > SLOW_CALL * self.set.counter_timeout;
        let flow = &mut self.flow;
        if ok {
            if flow.silent && flow.count_ok_at > 0.0 {
                flow.settles_at = now + (now - flow.count_ok_at - SILENT_AFTER).min(SETTLE);
            }
            (flow.count_pause, flow.count_after, flow.count_ok_at, flow.silent) = (0.0, 0.0, now, false);
            flow.pace *= if slow { 1.0 } else { PACE_DOWN };
        } else if outcome != Outcome::Reset && now - flow.paced_at >= PACE_STEP {
            // A call that was lost with its connection tells nothing of how crowded the counter is.
            (flow.pace, flow.paced_at) = (flow.pace * PACE_UP, now);
        }
        flow.pace = flow.pace.clamp(1.0, PACE_MOST);
        if !ok && now - flow.count_ok_at >= SILENT_AFTER {
            flow.silent = true;
            if now >= flow.count_after {
                flow.count_pause = (flow.count_pause * 2.0).max(self.set.counter_timeout).min(MAX_BACKOFF);
                flow.count_after = now + flow.count_pause;
            }
        }
        let settled = now >= flow.settles_at;
        let Some((customer, kind)) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.thin {
            let own = c.tallies[ACCEPTED].in_flight.take().unwrap_or(0.0);
            if ok {
                c.glimpse(now, total, own);
            }
            return;
        }
        self.untold.insert(customer);
        c.age(now, self.flow.part);
        c.known = true;
        if c.tallies[kind].closing.is_some_and(|(n, _)| n == name) {
            let Some((_, last)) = c.tallies[kind].closing.take() else { return };
            if ok {
                let since = c.tallies[kind].read_at;
                c.spread_out(now, kind, (total - last).max(0.0), since, settled);
            }
        } else if ok {
            c.read(now, kind, total, settled);
        } else {
            // Through a silence, what has left the window is nobody's concern any more: told at its end, all
            // that each gateway kept would stand for use of the moment.
            let mine = if kind == ACCEPTED { c.counts.mine() } else { c.counts.of(kind) };
            let kept = if self.flow.silent { mine } else { f64::INFINITY };
            let t = &mut c.tallies[kind];
            let sent = t.in_flight.take().unwrap_or(0.0);
            (t.pending, t.doubt) = (t.pending.min(kept), t.doubt.min(kept));
            let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            *if unsure { &mut t.doubt } else { &mut t.pending } += sent;
        }
    }

    // ---- 4. Server choice ---------------------------------------------------------------------

    fn list(&mut self, now: Millis, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            self.acts.push(Action::Watch);
            return;
        }
        if update != ListUpdate::Delta {
            let named: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
            self.servers.retain(|id, _| named.contains(id));
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let (started, fleet, roll) = (entry.started, self.flow.mean, self.chance());
            let known = self.servers.entry(entry.server).or_default();
            if known.heard == 0.0 || known.entry.started != started {
                // A new process: what was known of the old one is void, but its attempts still end.
                let (out, mean) = (known.out, fleet);
                // Its first token comes to each gateway at another moment: danger is one from all at once.
                *known = Server { out, mean, heard: now, tokens: roll, tokens_at: now, ..Server::default() };
            }
            known.entry = entry;
        }
        self.flow.ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        self.ranked = self.servers.keys().copied().collect();
        let salt = self.salt;
        self.ranked.sort_by_key(|s| (s.0 ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29));
        if self.flow.limit <= 0.0 {
            self.flow.limit = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
        }
    }

    /// Share of its full capacity that a server surely has by now.
    fn warmth(set: &Settings, now: Millis, server: &Server) -> f64 {
        let age = now - server.entry.started;
        if server.entry.started <= 0.0 || age >= set.warm_after {
            return 1.0;
        }
        set.cold_start + (1.0 - set.cold_start) * (age / set.warm_after).max(0.0)
    }

    /// The cheapest server a request may go to: mean answer time times what is out there already.
    fn choose(&mut self, now: Millis, open: &Open) -> Option<ServerId> {
        let ran = open.attempts.iter().find(|a| a.may_have_run).copied();
        let bound = ran.and_then(|a| self.servers.get(&a.server)).map(|s| (s.entry.zone, s.entry.cell));
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        let sound = |s: &Server| s.ejected_until <= now && (s.fails < EJECT_AFTER || s.out < 1.0);
        let healthy = self.servers.values().filter(|s| sound(s)).count();
        // Subsetting: danger is that evidence of each server comes too rarely to act on. Of a subset, in an
        // order of this gateway's own, two are compared: all compared would send many gateways to one server
        // at once. It covers every kind of slowness and hurts by uneven shares, which load reports even out.
        let size = (self.flow.send_rate * SUBSET_SPAN).max(SUBSET_LEAST);
        let subset = size < ready as f64;
        self.flow.subset = subset;
        // Noise decides nothing: danger is that the server which was luckiest so far gets all, and is the
        // only one that is heard of. What lies beyond it counts from there.
        let fleet = self.flow.mean.max(LEAST_MEAN);
        let noise = NOISE * (self.flow.spread / SAMPLES).sqrt();
        let told = |mean: Millis| match mean.max(LEAST_MEAN) - fleet {
            _ if mean <= 0.0 => fleet,
            off => fleet + (off.abs() - noise).max(0.0).copysign(off),
        };
        let round = ready as f64 / self.flow.send_rate.max(1e-6);
        let keep = (FORGET * if subset { SPARSE_FORGET } else { 1.0 }).min(FORGET_TURNS * round);
        self.flow.keep = keep;
        let warm = |s: &&Server| Self::warmth(&self.set, now, s) >= 1.0;
        let all_warm = || self.servers.values().filter(warm).count().max(1) as f64;
        let rate = self.flow.send_rate;
        let rate_to_warm = if subset { rate / size } else { (rate / all_warm()).max(0.0005) };
        let mut able = Vec::new();
        for id in self.ranked.clone() {
            if subset && able.len() as f64 >= size {
                break;
            }
            let roll = self.chance();
            let warmth = Self::warmth(&self.set, now, &self.servers[&id]);
            let Some(s) = self.servers.get_mut(&id) else { continue };
            if s.entry.state != ServerState::Ready || s.paused_until > now {
                continue;
            }
            let allowed = match open.class.repeat {
                Repeat::Keyed { group: Group::Zone, .. } => bound.is_some_and(|b| b.0 == s.entry.zone),
                Repeat::Keyed { group: Group::Cell, .. } => bound.is_some_and(|b| b.1 == s.entry.cell),
                repeat => repeat != Repeat::Unsafe,
            };
            if ran.is_some() && !allowed
                || open.attempts.iter().any(|a| a.server == id && (a.live || ready > 1))
            {
                continue;
            }
            // Ejection holds while half of the fleet is sound; past that, slowness is everyone's and only
            // servers that cannot be reached stay out.
            if !sound(s) && (2 * healthy >= ready || s.unreachable) {
                continue;
            }
            if warmth < 1.0 {
                // Slow start: each gateway sends a cold server no more than its own mean rate to a warm one,
                // scaled by the surely present capacity; danger is toppling it, by a burst or together. Half
                // as much again from each of a hundred gateways toppled one by chance.
                let rate = warmth * rate_to_warm;
                s.tokens = (s.tokens + (now - s.tokens_at).max(0.0) * rate).min(1.0);
                s.tokens_at = now;
                if s.tokens < 1.0 {
                    continue;
                }
            }
            able.push(Able { id, warmth, roll });
        }
        if subset && able.len() > 2 {
            // Cold ones are met as rarely as they are weak: so all gateways together send each its part.
            let first = self.draw(&able);
            let one = able.swap_remove(first);
            let other = able.swap_remove(self.draw(&able));
            able = vec![one, other];
        }
        let slack = if subset { SPARSE_FORGET } else { 1.0 };
        let usual = if subset { self.flow.crowd } else { 0.0 };
        let cost = |able: Able| {
            let s = &self.servers[&able.id];
            let stale = (-(now - s.heard).max(0.0) / keep).exp();
            let mean = fleet + (told(s.mean) - fleet) * stale;
            let fade = (-(now - s.crowd_at).max(0.0) / (FAST_SPAN * slack * slack)).exp();
            let crowd = usual + (s.crowd - usual) * fade;
            let zone = if s.entry.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
            let turn = TURN * (-(now - s.sent_at).max(0.0) / round).exp() + CHANCE * able.roll;
            // An attempt that is out for longer says so before it ends; warmth the draw has weighed. A cold
            // one that may be sent something and has had nothing for long has its turn: its tokens are its
            // guard.
            let (mean, warmth) = match subset {
                true => (mean.max(self.longest_out(now, able.id)), 1.0),
                false if now - s.sent_at > OVERDUE => (mean, 1.0),
                false => (mean, able.warmth),
            };
            let failing = 1.0 + (FAIL_COST * s.failing(now)).min(FAIL_MOST);
            (mean * (1.0 + s.out + crowd) * zone * (1.0 + turn) * failing / warmth, able.id)
        };
        able.into_iter().map(cost).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// How long the oldest attempt that is out at a server has been so.
    fn longest_out(&self, now: Millis, server: ServerId) -> Millis {
        let attempts = self.open.values().flat_map(|o| &o.attempts);
        attempts.filter(|a| a.live && a.server == server).map(|a| now - a.sent).fold(0.0, f64::max)
    }

    /// One of those that may be chosen, by chance, as often as it is warm.
    fn draw(&mut self, able: &[Able]) -> usize {
        let mut left = self.chance() * able.iter().map(|a| a.warmth).sum::<f64>();
        able.iter()
            .position(|a| {
                left -= a.warmth;
                left < 0.0
            })
            .unwrap_or(0)
    }

    fn note_load(&mut self, now: Millis, server: ServerId, load: &[f64]) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (what, value) in self.set.report.iter().zip(load) {
            let crowd = match what {
                Load::InFlight => value - s.out,
                Load::Queue => *value,
                Load::Util => value.min(0.95) / (1.0 - value.min(0.95)),
                Load::Qps => value * s.mean / 1000.0,
                Load::Latency | Load::Other => continue,
            };
            (s.crowd, s.crowd_at) = (crowd.max(0.0) / 2.0, now);
            self.flow.crowd += MEAN_GAIN * (s.crowd - self.flow.crowd);
        }
    }

    /// Takes the end of an attempt as evidence of its server's health.
    fn learn(&mut self, now: Millis, server: ServerId, outcome: Outcome, took: Millis, load: &[f64]) {
        self.note_load(now, server, load);
        let rare = self.flow.subset;
        let warmth = self.servers.get(&server).map_or(1.0, |s| Self::warmth(&self.set, now, s));
        let took = took * warmth;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error) && warmth >= 1.0 {
            let (answers, failures) = s.tried(now);
            s.tried = (answers + 1.0, failures + f64::from(u8::from(outcome != Outcome::Ok)));
            s.tried_at = now;
        }
        match outcome {
            Outcome::Moot => return,
            Outcome::Full => s.paused_until = now + FULL_PAUSE * if rare { RARE_PAUSE } else { 1.0 },
            Outcome::Ok => {
                (s.fails, s.ejections, s.unreachable) = (0, 0, false);
                let off = took - self.flow.mean;
                self.flow.mean += if self.flow.mean > 0.0 { 0.02 * off } else { took };
                self.flow.spread += 0.02 * (off * off - self.flow.spread);
            }
            Outcome::Cancelled => {}
            _ => {
                s.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
                // A server that fails at once looks quick, and one that is silent costs a whole aim. Where
                // each is met rarely, the first such failure has to do, and the ejection to outlast the time
                // between two requests to it.
                s.fails += if rare && outcome != Outcome::Error { EJECT_AFTER } else { 1 };
                if s.fails >= EJECT_AFTER {
                    let span = EJECT_FOR * if rare { SPARSE_FORGET } else { 1.0 };
                    s.ejected_until = now + span * f64::from(1 << s.ejections.min(3));
                    s.ejections += 1;
                }
            }
        }
        // A call that was given up took at least this long; one that ended early tells nothing of speed.
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut)
            || outcome == Outcome::Cancelled && took > s.mean
        {
            // With few samples an attempt that found no end may be the only sign of a slow server.
            let gain = match outcome {
                Outcome::Ok if rare => RARE_GAIN,
                _ if rare => LOST_GAIN,
                _ => MEAN_GAIN,
            };
            // One answer is no more than one: it neither stands alone nor brings back what was forgotten.
            let (fleet, stale) =
                (self.flow.mean, (-(now - s.heard).max(0.0) / self.flow.keep.max(1.0)).exp());
            let known = if s.mean > 0.0 { fleet + (s.mean - fleet) * stale } else { fleet.max(LEAST_MEAN) };
            s.mean = known + gain * (took - known);
            s.heard = now;
        }
    }

    // ---- 5. Pressure --------------------------------------------------------------------------

    /// Sends a request's next attempt if the concurrency limit and some server allow it.
    fn place(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        let free = self.flow.out < self.flow.limit.max(1.0) && now >= self.flow.rest_until;
        let chosen = if free { self.choose(now, &open) } else { None };
        let open = self.open.entry(id).or_insert(open);
        let Some(server) = chosen else { return false };
        // While a body is coming its server does nothing yet: it counts as out, also among its customer's,
        // and its time runs, once it is whole.
        let whole = !open.request.uploading;
        let counts = f64::from(u8::from(whole));
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += counts;
            s.tokens -= 1.0;
            s.sent_at = now;
        }
        let timeout = if whole { open.time_out(now) } else { 0.0 };
        self.acts.push(Action::Send { id, server, timeout });
        let (first, trusted) = (open.attempts.is_empty(), self.flow.trusted(now));
        open.attempts.push(Attempt { server, sent: now, live: true, may_have_run: true, whole });
        if !whole {
            (open.aim_at, open.ends_at) = (f64::INFINITY, f64::INFINITY);
        }
        self.flow.out += counts;
        if let Some(c) = self.customers.get_mut(&open.request.customer) {
            c.open += counts;
            if first && c.plan.rate > 0.0 {
                // What passes beyond the quota takes nothing from the store, so it counts as declined.
                let kind = if open.beyond { DECLINED } else { ACCEPTED };
                c.record(now, kind, open.request.units, trusted);
            }
        }
        if first {
            self.flow.retries = (self.flow.retries + RETRY_EARN).min(RETRY_SAVED);
            let fade = (-(now - self.flow.sent_at).max(0.0) / 2000.0).exp();
            self.flow.send_rate = self.flow.send_rate * fade + 1.0 / 2000.0;
            self.flow.sent_at = now;
        }
        true
    }

    /// Sends what is held, worthiest first, and refuses what can no longer meet its aim.
    fn serve_held(&mut self, now: Millis) {
        let mut order: Vec<(f64, RequestId)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            let Some(open) = self.open.get(&id) else { continue };
            let mean = self.mean(open);
            if open.aim_at - now < 2.0 * mean + 2.0 * TICK {
                self.finish(now, id);
                continue;
            }
            let price = self.set.plans.get(open.request.plan.0).map_or(1.0, |p| p.price);
            let worth = open.class.worth * price * open.request.units / mean.max(1.0);
            // Newer first among equals: under pressure the oldest would only just miss their aim.
            order.push((worth * (1.2 - (now - open.arrived) / (open.aim_at - open.arrived)), id));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        for (place, (_, id)) in order.into_iter().enumerate() {
            if (!self.flow.subset || self.flow.out >= self.flow.limit)
                && place as f64 > HELD_SHARE * self.flow.limit
            {
                self.finish(now, id);
            } else if self.open.get(&id).is_some_and(|o| o.attempts.is_empty()) {
                self.decide(now, id);
            } else if !self.place(now, id) {
                self.hold(id);
            }
        }
    }

    // ---- 6. Further attempts ------------------------------------------------------------------

    /// The last byte of a body goes out: the request's time begins, and its server has something to do.
    fn uploaded(&mut self, now: Millis, id: RequestId, attempt: u8) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.ends_at == f64::INFINITY) else { return };
        let Some(a) = open.attempts.get_mut(usize::from(attempt)).filter(|a| a.live && !a.whole) else {
            return;
        };
        (a.whole, a.sent) = (true, now);
        let server = a.server;
        let left = open.request.time_left;
        (open.aim_at, open.ends_at) = (now + open.class.aim.min(left), now + left);
        let (timeout, customer) = (open.time_out(now), open.request.customer);
        self.acts.push(Action::Await { id, attempt, timeout });
        self.count_out(customer, server);
    }

    /// One more attempt is out: its customer's, its server's and this gateway's.
    fn count_out(&mut self, customer: CustomerId, server: ServerId) {
        if let Some(c) = self.customers.get_mut(&customer) {
            c.open += 1.0;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += 1.0;
        }
        self.flow.out += 1.0;
    }

    /// An attempt that ends before its body was whole never counted as out, has not run whatever brought it
    /// down, and tells nothing of its server's speed.
    fn ends_early(&mut self, id: RequestId, attempt: u8, server: ServerId, outcome: Outcome) -> Outcome {
        let Some(open) = self.open.get(&id) else { return outcome };
        if open.attempts.get(usize::from(attempt)).is_none_or(|a| a.whole || !a.live) {
            return outcome;
        }
        // What follows takes it off again, as it does with any other.
        self.count_out(open.request.customer, server);
        match outcome {
            Outcome::Cancelled | Outcome::TimedOut => Outcome::Moot,
            outcome => outcome,
        }
    }

    fn ended(&mut self, now: Millis, id: RequestId, attempt: u8, outcome: Outcome, complete: bool) {
        self.flow.out = (self.flow.out - 1.0).max(0.0);
        let Some(open) = self.open.get_mut(&id) else { return };
        // A cold server takes long because it is cold: that is no queue, and no reason to send others less.
        let at = open.attempts.get(usize::from(attempt)).and_then(|a| self.servers.get(&a.server));
        let warmth = at.map_or(1.0, |s| Self::warmth(&self.set, now, s));
        let Some(a) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let took = (now - a.sent) * warmth;
        a.live = false;
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        if let Some(c) = self.customers.get_mut(&open.request.customer) {
            c.open = (c.open - 1.0).max(0.0);
        }
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let ratio = (took / open.class.aim.max(1.0)).min(2.0);
            let (gain, step) = if self.flow.subset { (0.1, 0.05) } else { (0.03, 0.01) };
            self.flow.slowness += gain * (ratio - self.flow.slowness);
            if let Some(mean) = self.class_mean.get_mut(open.request.class.0) {
                *mean += 0.03 * (took - *mean);
            }
            if self.flow.slowness > SLOW_MARK {
                // Fewer than this cannot be a queue of ours: slowness then has other causes, and
                // refusing more would only serve less, for ever.
                let floor = LEAST_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
                let floor = if self.flow.subset { floor } else { floor.max(2.0) };
                self.flow.limit = (self.flow.limit * (1.0 - step)).max(floor);
            } else if self.flow.subset && self.flow.out + 1.0 > 0.6 * self.flow.limit {
                let most = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
                self.flow.limit = (self.flow.limit * (1.0 + step)).min(most);
            } else if self.flow.out > 0.6 * self.flow.limit {
                self.flow.limit += 1.0 / self.flow.limit.max(1.0);
            }
            let rest = took * (1.0 / self.flow.limit - 1.0);
            self.flow.rest_until = if rest > 0.0 { now + rest } else { 0.0 };
        }
        let (over, live) = (open.ends_at == f64::NEG_INFINITY, open.attempts.iter().any(|a| a.live));
        if complete || over {
            if !over {
                self.close(id, now);
            } else if !live {
                self.open.remove(&id);
            }
            return;
        }
        if live {
            return;
        }
        // What met no server has loaded none: sent elsewhere it is the first attempt that counts, whatever is
        // saved up. With an old list most first choices may be gone.
        let price = if outcome == Outcome::ConnectFailed { 0.0 } else { 1.0 };
        let again = outcome != Outcome::Cancelled && self.may_repeat(now, id) && self.flow.retries >= price;
        if again && self.place(now, id) {
            self.flow.retries -= price;
            return;
        }
        self.finish(now, id);
    }

    /// Whether another attempt is allowed and could still earn.
    fn may_repeat(&self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let mean = self.mean(open);
        let first_run = open.attempts.iter().filter(|a| a.may_have_run).map(|a| a.sent).next();
        let allowed = match (open.class.repeat, first_run) {
            (_, None) | (Repeat::Safe, _) => true,
            (Repeat::Unsafe, Some(_)) => false,
            (Repeat::Keyed { window, .. }, Some(sent)) => now - sent < window - TICK,
        };
        let tries = open.tries == 0 || (open.attempts.len() as u32) < open.tries;
        allowed && tries && !open.streaming && !open.spent && open.aim_at - now > mean
    }

    /// The final answer: refused where that is true and harmless, else failed.
    fn finish(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let ran = open.attempts.iter().any(|a| a.may_have_run);
        let harmless = match open.class.repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => !ran,
        };
        let retry_after = self.come_back(open);
        self.held.retain(|h| *h != id);
        if self.close(id, now) {
            self.acts.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        }
    }

    /// When a refused client may find room: once its quota has refilled, and no sooner than an answer takes.
    fn come_back(&self, open: &Open) -> Millis {
        // Without a server an answer's time says nothing, and where answers take less than a housekeeping it
        // would say "at once".
        let least = if self.flow.ready == 0 { open.class.aim } else { self.mean(open).max(TICK) };
        let units = open.request.units;
        let refill = self.customers.get(&open.request.customer).filter(|c| c.plan.rate > 0.0).map(|c| {
            let short = if c.thin { units } else { (c.used + units - c.plan.burst).max(0.0) };
            1000.0 * short / c.plan.rate
        });
        refill.unwrap_or(0.0).max(least).min(self.set.max_retry_after)
    }

    /// Forgets customers that have not come for long, some at a time.
    fn forget(&mut self, now: Millis) {
        let batch: Vec<CustomerId> =
            self.customers.range(self.looked..).take(IDLE_BATCH).map(|(id, _)| *id).collect();
        self.looked = CustomerId(batch.last().filter(|_| batch.len() == IDLE_BATCH).map_or(0, |id| id.0 + 1));
        for id in batch {
            if self.customers.get(&id).is_some_and(|c| c.forgettable(now)) {
                self.customers.remove(&id);
                self.untold.remove(&id);
            }
        }
    }

    fn tick(&mut self, now: Millis) {
        self.acts.push(Action::Timer { after: TICK, name: 0 });
        self.forget(now);
        for id in self.untold.iter().copied().collect::<Vec<_>>() {
            self.sync(now, id);
        }
        let calm = self.flow.out < 0.8 * self.flow.limit && self.set.parallel_tries;
        let hedges = self.open.iter().filter(|(_, open)| {
            let late = open.attempts.last().is_some_and(|a| now - a.sent > HEDGE_AFTER * self.mean(open));
            late && !open.request.uploading
                && open.ends_at > now
                && open.attempts.iter().filter(|a| a.live).count() == 1
        });
        let hedges: Vec<RequestId> = hedges.map(|(id, _)| *id).collect();
        for id in hedges {
            let may = calm && self.flow.retries >= 1.0 && self.may_repeat(now, id);
            if may && self.place(now, id) {
                self.flow.retries -= 1.0;
            }
        }
    }
}
