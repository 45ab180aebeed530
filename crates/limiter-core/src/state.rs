//! What a gateway remembers: plain records and what can be read off them, without a rule or a value of their
//! own. Who sets and reads them, and why, is in `logic/`.

use crate::interface::*;
use crate::window::Window;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// One that tries an ill server sends it something this often, ms, at most.
const TRY_EVERY: Millis = 400.0;
/// What a returning server gets beside a well one.
const TRICKLE: f64 = 0.25;

/// The two counts kept for a customer: units sent on, and units declined for whatever reason. The
/// design's observed count is their sum; kept apart, an answer to one alone is never inconsistent.
pub(crate) const ACCEPTED: usize = 0;
pub(crate) const DECLINED: usize = 1;

/// What this gateway has told the counter under one kind, and what it last read.
#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) pending: f64,
    pub(crate) in_flight: Option<f64>,
    /// Added without an answer: taken as arrived as far as the next total has risen.
    pub(crate) doubt: f64,
    pub(crate) total: f64,
    pub(crate) epoch: i64,
    pub(crate) read_at: Millis,
    /// The last epoch's name and total, while its closing read is out.
    pub(crate) closing: Option<(CountName, f64)>,
}

/// What is known of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: Plan,
    /// Where its plan stands in the settings.
    pub(crate) of: PlanId,
    pub(crate) spread: f64,
    pub(crate) touched: Millis,
    pub(crate) counts: Window,
    pub(crate) tallies: [Tally; 2],
    pub(crate) last_sync: Millis,
    pub(crate) factor: Option<(Millis, f64)>,
    /// This gateway's part of it, as of the last read.
    pub(crate) share: Option<f64>,

    /// Units missing from the store, as of `drained_at`.
    pub(crate) used: f64,
    pub(crate) drained_at: Millis,
    /// The first read is answered, or the counter has failed it.
    pub(crate) known: bool,
    /// This gateway's own part of the ceiling's store.
    pub(crate) lease: f64,
    pub(crate) open: f64,
    /// Each gateway sees too little of it to batch; its rate last read, units a second, and when.
    pub(crate) thin: bool,
    pub(crate) view: Option<(Millis, f64)>,
}

impl Server {
    /// It stands in one of these zones.
    pub(crate) fn within(&self, zones: u64) -> bool {
        zones == 0 || self.entry.zone < 64 && zones >> self.entry.zone & 1 == 1
    }
}

impl Customer {
    pub(crate) fn window(&self) -> Millis {
        1000.0 * self.plan.burst / self.plan.rate
    }

    pub(crate) fn accepted(&self) -> f64 {
        self.counts.of(ACCEPTED)
    }

    /// How long it takes for its quota to have room for so much.
    pub(crate) fn refill(&self, units: f64) -> Millis {
        let short = if self.thin { units } else { (self.used + units - self.plan.burst).max(0.0) };
        if self.plan.rate > 0.0 {
            1000.0 * short / self.plan.rate
        } else {
            0.0
        }
    }

    /// A call to the counter is out.
    pub(crate) fn busy(&self) -> bool {
        self.tallies.iter().any(|t| t.in_flight.is_some() || t.closing.is_some())
    }
}

/// What is known of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) out: f64,
    pub(crate) mean: Millis,
    pub(crate) heard: Millis,
    /// When it was last sent an attempt.
    pub(crate) sent_at: Millis,
    pub(crate) crowd: f64,
    pub(crate) crowd_at: Millis,
    pub(crate) fails: u32,
    /// Answers and failures among them, fading, as of `tried_at`.
    pub(crate) tried: (f64, f64),
    pub(crate) tried_at: Millis,
    pub(crate) unreachable: bool,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Millis,
    pub(crate) paused_until: Millis,
    /// Attempts that a cold server may be sent now.
    pub(crate) tokens: f64,
    pub(crate) tokens_at: Millis,
}

/// One attempt of an open request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Millis,
    pub(crate) live: bool,
    /// It is not proven that it never ran.
    pub(crate) may_have_run: bool,
    /// Its body has gone out, and it counts as out.
    pub(crate) whole: bool,
}

/// A setting, or what holds where it is left at nothing.
pub(crate) fn given(set: f64, usual: f64) -> f64 {
    match set > 0.0 {
        true => set,
        false => usual,
    }
}

/// A request that is owed an answer.
#[derive(Default)]
pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) draw: QuotaRequest,
    pub(crate) class: Class,
    /// Attempts it may have; 0: no limit.
    pub(crate) tries: u32,
    pub(crate) due_at: Millis,
    pub(crate) ends_at: Millis,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) streaming: bool,
    /// Its body cannot be sent again.
    pub(crate) spent: bool,
    pub(crate) beyond: bool,
}

/// What is known of the fleet and this gateway's own traffic as a whole.
#[derive(Default)]
pub(crate) struct Flow {
    pub(crate) started: bool,
    /// Mean answer time of the fleet, and its ratio to the aims.
    pub(crate) mean: Millis,
    pub(crate) slowness: f64,
    /// How long what is known of a server's answer time is kept.
    pub(crate) keep: Millis,
    /// Variance of the fleet's answer times.
    pub(crate) spread: f64,
    /// This gateway keeps to a part of the fleet.
    pub(crate) subset: bool,
    /// Nothing is sent before this.
    pub(crate) rest_until: Millis,
    /// Mean reported crowding.
    pub(crate) crowd: f64,
    pub(crate) out: f64,
    pub(crate) limit: f64,
    pub(crate) retries: f64,   // further attempts saved up
    pub(crate) send_rate: f64, // first sends a millisecond, decaying
    pub(crate) sent_at: Millis,
}

/// A server that a request may go to.
pub(crate) struct Able {
    pub(crate) id: ServerId,
    pub(crate) warmth: f64,
    /// What its zone costs, and by how much it is met the less for that: only where costs are set.
    pub(crate) zone: f64,
    pub(crate) rarer: f64,
    pub(crate) roll: f64,
}

/// The stable name of one customer's count of a kind in an epoch.
pub(crate) fn count_name(customer: CustomerId, kind: usize, epoch: i64) -> CountName {
    let mut x = customer.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((epoch as u64) << 1 | kind as u64);
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    CountName(x ^ (x >> 32))
}

/// How calls to the counter fare.
#[derive(Default)]
pub(crate) struct Calling {
    /// Pause after failed calls.
    pub(crate) pause: Millis,
    pub(crate) after: Millis,
    /// When a call was last answered; the counter has been silent since.
    pub(crate) ok_at: Millis,
    pub(crate) silent: bool,
    /// After a silence others have not all told yet; they have by then.
    pub(crate) settles_at: Millis,
    /// How many times rarer than usual calls are made, and when that last rose.
    pub(crate) pace: f64,
    pub(crate) paced_at: Millis,
}

/// The customers' quotas as one gateway keeps them, together with all others through the counter. A
/// [`Gateway`] has its own; alone it serves callers that decide all else themselves.
pub struct Quotas {
    pub(crate) set: QuotaSettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// Customers with something to tell the counter.
    pub(crate) untold: BTreeSet<CustomerId>,
    /// Where the search for customers to forget has come to.
    pub(crate) looked: CustomerId,
    pub(crate) calls: BTreeMap<CountName, (CustomerId, usize)>,
    /// The part that this process uses of what is a gateway's own.
    pub(crate) part: f64,
    pub(crate) calling: Calling,
}

impl Quotas {
    /// The record of one that has met nobody yet.
    pub(crate) fn blank(set: QuotaSettings, calling: Calling, part: f64, seed: u64) -> Self {
        let (rng, (customers, untold, looked, calls)) = (Pcg64Mcg::seed_from_u64(seed), Default::default());
        Quotas { set, rng, customers, untold, looked, calls, part, calling }
    }

    /// A random number from 0 up to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Customers of which something is remembered.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// The customer of whose accepted use a call to the counter tells, while the call is out.
    pub fn accepted_by(&self, name: CountName) -> Option<CustomerId> {
        self.calls.get(&name).filter(|(_, kind)| *kind == ACCEPTED).map(|(customer, _)| *customer)
    }

    /// The customer of whom a call to the counter tells, while the call is out.
    pub fn customer_of(&self, name: CountName) -> Option<CustomerId> {
        self.calls.get(&name).map(|(customer, _)| *customer)
    }

    /// Whether a customer's use is told by samples, not one for one.
    pub fn is_sampled(&self, customer: CustomerId) -> bool {
        self.customers.get(&customer).is_some_and(|c| c.thin)
    }

    /// So many more of a customer's attempts are out, or fewer.
    pub fn adjust_open_attempts(&mut self, customer: CustomerId, more: f64) {
        if let Some(c) = self.customers.get_mut(&customer) {
            c.open = (c.open + more).max(0.0);
        }
    }
}

/// One gateway's decision module.
pub struct Gateway {
    pub(crate) set: Settings,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) quotas: Quotas,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) class_mean: Vec<Millis>,
    /// The servers in this gateway's own order.
    pub(crate) ranked: Vec<ServerId>,
    pub(crate) salt: u64,
    pub(crate) flow: Flow,
    pub(crate) acts: Vec<Action>,
}

impl Gateway {
    /// The record of one that has met nothing yet.
    pub(crate) fn blank(set: Settings, mut quotas: Quotas, class_mean: Vec<Millis>, flow: Flow) -> Self {
        let (servers, open, salt) = (BTreeMap::new(), BTreeMap::new(), quotas.rng.next_u64());
        let (held, ranked, acts) = Default::default();
        Gateway { set, servers, quotas, open, held, class_mean, ranked, salt, flow, acts }
    }

    /// A random number from 0 up to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.quotas.chance()
    }

    /// Customers of which something is remembered.
    pub fn customer_count(&self) -> usize {
        self.quotas.customer_count()
    }

    /// Servers in these zones that take requests.
    pub(crate) fn ready(&self, zones: u64) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |s| s.entry.state == ServerState::Ready && s.within(zones))
    }

    /// Mean answer time of a request's class.
    pub(crate) fn mean(&self, open: &Open) -> Millis {
        self.class_mean.get(open.request.class.0).copied().unwrap_or(0.0)
    }

    /// Of the servers that a request may go to those that stand best: what may run but once goes to well ones
    /// only, what may run again to returning ones too, more rarely. Where there are none of these, all stay:
    /// a request is never left without a server. Who is to try one that is ill sends it a first attempt now
    /// and then.
    pub(crate) fn heed(&self, now: Millis, open: &Open, mut able: Vec<Able>) -> Vec<Able> {
        let of = |a: &Able| self.servers.get(&a.id).map_or(Standing::Well, |s| s.entry.standing);
        if able.iter().all(|a| of(a) == Standing::Well) {
            return able;
        }
        let again = open.class.repeat == Repeat::Safe;
        let due = |a: &Able| self.servers.get(&a.id).is_some_and(|s| now - s.sent_at > TRY_EVERY);
        if again && open.attempts.is_empty() {
            if let Some(at) = able.iter().position(|a| of(a) == Standing::Probing && due(a)) {
                return vec![able.swap_remove(at)];
            }
        }
        let fits = |a: &Able| of(a) == Standing::Well || again && of(a) == Standing::Returning;
        if able.iter().any(fits) {
            able.retain(fits);
        }
        for a in &mut able {
            a.warmth *= if of(a) == Standing::Returning { TRICKLE } else { 1.0 };
        }
        able
    }

    /// How long the oldest attempt that is out at a server has been so.
    pub(crate) fn longest_out(&self, now: Millis, server: ServerId) -> Millis {
        let attempts = self.open.values().flat_map(|o| &o.attempts);
        attempts.filter(|a| a.live && a.server == server).map(|a| now - a.sent).fold(0.0, f64::max)
    }
}
