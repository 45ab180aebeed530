//! State of a gateway: data records and simple accessors. The rules that read and update them are in `logic/`.

use crate::interface::*;
use crate::window::Window;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum time between two requests that probe an unhealthy server, ms.
const PROBE_INTERVAL: Millis = 400.0;
/// Share of requests that a returning server gets, relative to a healthy one.
const RETURNING_SHARE: f64 = 0.25;

/// Index of the count of units sent on. Accepted and declined units have separate counters, so that a reply
/// to one of the two calls is consistent by itself; the observed use is their sum.
pub(crate) const ACCEPTED: usize = 0;
/// Index of the count of units declined for any reason.
pub(crate) const DECLINED: usize = 1;

/// Synchronization state of one count of a customer with the counter service.
#[derive(Clone, Copy, Default)]
pub(crate) struct CountSync {
    /// Units not yet sent to the counter.
    pub(crate) pending: f64,
    /// Units added by the outstanding call, if there is one.
    pub(crate) in_flight: Option<f64>,
    /// Units of calls whose result is unknown; they count as added as far as the next total has risen.
    pub(crate) unacked: f64,
    /// Total last read.
    pub(crate) total: f64,
    /// Epoch of the counter key in use.
    pub(crate) epoch: i64,
    /// Time of the last read.
    pub(crate) read_at: Millis,
    /// Key and last total of the previous epoch while its final read is outstanding.
    pub(crate) closing: Option<(CountName, f64)>,
}

/// Quota state of one customer at this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: Plan,
    /// Index of its plan in the settings.
    pub(crate) plan_id: PlanId,
    /// Number of gateways that receive its requests.
    pub(crate) spread: f64,
    /// Time of its last request.
    pub(crate) seen_at: Millis,
    /// Units observed in the sliding window.
    pub(crate) counts: Window,
    pub(crate) syncs: [CountSync; 2],
    /// Time of the last call to the counter.
    pub(crate) last_sync: Millis,
    /// Cached suppression factor and the time of its computation.
    pub(crate) factor: Option<(Millis, f64)>,
    /// This gateway's share of its use, as of the last read.
    pub(crate) share: Option<f64>,

    /// Units missing from the token bucket, as of `drained_at`.
    pub(crate) deficit: f64,
    pub(crate) drained_at: Millis,
    /// Whether the first call has ended, successfully or not.
    pub(crate) was_read: bool,
    /// Tokens in this gateway's share of the ceiling's bucket.
    pub(crate) tokens: f64,
    /// Attempts in progress.
    pub(crate) open: f64,
    /// Whether each gateway sees too few of its requests to batch them, so that use is reported by sampling.
    pub(crate) sampled: bool,
    /// Time and value, in units per second, of the last rate estimate of a sampled customer.
    pub(crate) reading: Option<(Millis, f64)>,
}

impl Server {
    /// Whether the server is in one of these zones, a bit mask in which 0 means all.
    pub(crate) fn is_in(&self, zones: u64) -> bool {
        zones == 0 || self.entry.zone < 64 && zones >> self.entry.zone & 1 == 1
    }
}

impl Customer {
    /// Length of the sliding window: the time in which the rate refills the burst.
    pub(crate) fn window(&self) -> Millis {
        1000.0 * self.plan.burst / self.plan.rate
    }

    /// Accepted units in the window.
    pub(crate) fn accepted(&self) -> f64 {
        self.counts.units(ACCEPTED)
    }

    /// Time until the quota has room for `units`.
    pub(crate) fn refill_time(&self, units: f64) -> Millis {
        let short = if self.sampled { units } else { (self.deficit + units - self.plan.burst).max(0.0) };
        if self.plan.rate > 0.0 {
            1000.0 * short / self.plan.rate
        } else {
            0.0
        }
    }

    /// Whether a call to the counter is outstanding.
    pub(crate) fn call_pending(&self) -> bool {
        self.syncs.iter().any(|t| t.in_flight.is_some() || t.closing.is_some())
    }
}

/// State of one server as this gateway knows it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    /// Attempts in progress.
    pub(crate) out: f64,
    /// Mean response time.
    pub(crate) mean: Millis,
    /// Time of the last response-time sample.
    pub(crate) sampled_at: Millis,
    /// Time at which the last attempt was sent.
    pub(crate) sent_at: Millis,
    /// Load reported by the server, in equivalent concurrent attempts, and the time of the report.
    pub(crate) reported: f64,
    pub(crate) reported_at: Millis,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Exponentially decayed numbers of responses and of failures among them, as of `tried_at`.
    pub(crate) results: (f64, f64),
    pub(crate) results_at: Millis,
    /// Whether the last failure was one of the connection.
    pub(crate) unreachable: bool,
    /// Consecutive ejections.
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Millis,
    pub(crate) paused_until: Millis,
    /// Tokens of the slow-start bucket, one per attempt.
    pub(crate) tokens: f64,
    pub(crate) tokens_at: Millis,
}

/// One attempt of an open request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Millis,
    /// Whether the attempt is in progress.
    pub(crate) live: bool,
    /// Whether the server may have executed it.
    pub(crate) may_have_run: bool,
    /// Whether the body has been sent completely; from then on the attempt counts towards concurrency.
    pub(crate) whole: bool,
}

/// Returns the setting if it is positive, and the default otherwise.
pub(crate) fn setting_or(set: f64, usual: f64) -> f64 {
    match set > 0.0 {
        true => set,
        false => usual,
    }
}

/// A request that has not been answered yet.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) quota: QuotaRequest,
    pub(crate) class: Class,
    /// Maximum attempts; 0: unlimited.
    pub(crate) max_tries: u32,
    /// Time at which the response-time target is missed.
    pub(crate) due_at: Millis,
    /// Time at which the client gives up; negative infinity once the request is closed.
    pub(crate) ends_at: Millis,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) streaming: bool,
    /// Whether the body cannot be sent again.
    pub(crate) not_replayable: bool,
    /// Whether it was admitted beyond the quota.
    pub(crate) beyond: bool,
}

/// Aggregates of the fleet and of this gateway's own traffic.
#[derive(Default)]
pub(crate) struct FlowStats {
    pub(crate) started: bool,
    /// Mean response time of the fleet.
    pub(crate) mean: Millis,
    /// Mean ratio of the response time to the target.
    pub(crate) slowness: f64,
    /// Time constant with which a server's mean response time decays to the fleet's.
    pub(crate) decay: Millis,
    /// Variance of the fleet's response times.
    pub(crate) spread: f64,
    /// Whether this gateway uses only a subset of the fleet.
    pub(crate) subset: bool,
    /// No attempt is sent before this time.
    pub(crate) idle_until: Millis,
    /// Mean reported load of a server.
    pub(crate) reported: f64,
    /// Attempts in progress.
    pub(crate) out: f64,
    /// Concurrency limit.
    pub(crate) limit: f64,
    /// Retry budget, in attempts.
    pub(crate) retries: f64,
    /// Exponentially decayed rate of first attempts per millisecond.
    pub(crate) send_rate: f64,
    pub(crate) sent_at: Millis,
}

/// A server that is eligible for a request.
pub(crate) struct Candidate {
    pub(crate) id: ServerId,
    pub(crate) warmth: f64,
    /// Cost multiplier of its zone.
    pub(crate) zone: f64,
    /// Divisor of its probability to be drawn: the configured zone cost, or 1.
    pub(crate) draw_divisor: f64,
    /// Random number from 0 to 1 that breaks ties.
    pub(crate) random: f64,
}

/// Returns the counter key of a customer's count of one kind in an epoch; equal at all gateways.
pub(crate) fn counter_key(customer: CustomerId, kind: usize, epoch: i64) -> CountName {
    let mut x = customer.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((epoch as u64) << 1 | kind as u64);
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    CountName(x ^ (x >> 32))
}

/// State of the calls to the counter service: backoff, availability and pace.
#[derive(Default)]
pub(crate) struct CounterCaller {
    /// Backoff after failed calls.
    pub(crate) pause: Millis,
    /// Time before which no call is made.
    pub(crate) after: Millis,
    /// Time of the last successful call.
    pub(crate) ok_at: Millis,
    /// Whether the counter is considered unavailable.
    pub(crate) unavailable: bool,
    /// Time by which all gateways have reported their use after the counter was unavailable.
    pub(crate) settled_at: Millis,
    /// Factor by which calls are less frequent than usual.
    pub(crate) pace: f64,
    /// Time at which the pace last rose.
    pub(crate) paced_at: Millis,
}

/// Quota enforcement for all customers of one gateway, coordinated with other gateways through the counter
/// service. A [`Gateway`] contains one; callers that make all other decisions themselves use it alone.
pub struct Quotas {
    pub(crate) set: QuotaSettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// Customers with unreported use.
    pub(crate) unreported: BTreeSet<CustomerId>,
    /// First customer of the next batch that is checked for removal.
    pub(crate) cursor: CustomerId,
    /// Outstanding calls: customer and kind by counter key.
    pub(crate) calls: BTreeMap<CountName, (CustomerId, usize)>,
    /// Fraction of the gateway's own limits that this process uses.
    pub(crate) part: f64,
    pub(crate) caller: CounterCaller,
}

impl Quotas {
    /// Creates an instance that knows no customers.
    pub(crate) fn empty(set: QuotaSettings, caller: CounterCaller, part: f64, seed: u64) -> Self {
        let (rng, (customers, unreported, cursor, calls)) =
            (Pcg64Mcg::seed_from_u64(seed), Default::default());
        Quotas { set, rng, customers, unreported, cursor, calls, part, caller }
    }

    /// Returns a random number from 0 up to but excluding 1.
    pub(crate) fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Number of customers with state at this gateway.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns the customer whose accepted units an outstanding call reports; none for other calls.
    pub fn accepted_by(&self, name: CountName) -> Option<CustomerId> {
        self.calls.get(&name).filter(|(_, kind)| *kind == ACCEPTED).map(|(customer, _)| *customer)
    }

    /// Returns the customer that an outstanding call concerns.
    pub fn customer_of(&self, name: CountName) -> Option<CustomerId> {
        self.calls.get(&name).map(|(customer, _)| *customer)
    }

    /// Whether a customer's use is reported by sampling instead of unit by unit.
    pub fn is_sampled(&self, customer: CustomerId) -> bool {
        self.customers.get(&customer).is_some_and(|c| c.sampled)
    }

    /// Changes the number of a customer's attempts in progress by `more`, which may be negative.
    pub fn adjust_open_attempts(&mut self, customer: CustomerId, more: f64) {
        if let Some(c) = self.customers.get_mut(&customer) {
            c.open = (c.open + more).max(0.0);
        }
    }
}

/// Decision module of one gateway: admission, server selection, concurrency limit and retries.
pub struct Gateway {
    pub(crate) set: Settings,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) quotas: Quotas,
    pub(crate) open: BTreeMap<RequestId, OpenRequest>,
    /// Requests that wait to be sent.
    pub(crate) held: Vec<RequestId>,
    /// Mean response time by class.
    pub(crate) class_mean: Vec<Millis>,
    /// Servers in an order specific to this gateway.
    pub(crate) server_order: Vec<ServerId>,
    /// Seed of that order.
    pub(crate) salt: u64,
    pub(crate) stats: FlowStats,
    /// Actions of the event being handled.
    pub(crate) actions: Vec<Action>,
}

impl Gateway {
    /// Creates a gateway that knows no servers and no requests.
    pub(crate) fn empty(
        set: Settings,
        mut quotas: Quotas,
        class_mean: Vec<Millis>,
        stats: FlowStats,
    ) -> Self {
        let (servers, open, salt) = (BTreeMap::new(), BTreeMap::new(), quotas.rng.next_u64());
        let (held, server_order, actions) = Default::default();
        Gateway { set, servers, quotas, open, held, class_mean, server_order, salt, stats, actions }
    }

    /// Returns a random number from 0 up to but excluding 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.quotas.chance()
    }

    /// Number of customers with state at this gateway.
    pub fn customer_count(&self) -> usize {
        self.quotas.customer_count()
    }

    /// Returns the servers in these zones that accept requests.
    pub(crate) fn ready(&self, zones: u64) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |s| s.entry.state == ServerState::Ready && s.is_in(zones))
    }

    /// Returns the mean response time of a request's class.
    pub(crate) fn mean(&self, open: &OpenRequest) -> Millis {
        self.class_mean.get(open.request.class.0).copied().unwrap_or(0.0)
    }

    /// Filters the eligible servers by health. Non-idempotent requests use healthy servers only; idempotent ones
    /// also use returning servers, with a reduced weight. If no such server is left, all candidates are kept, so
    /// that health alone never leaves a request without a server. A gateway that probes an unhealthy server
    /// occasionally sends it a first attempt.
    pub(crate) fn filter_by_health(
        &self,
        now: Millis,
        open: &OpenRequest,
        mut candidates: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let standing = |a: &Candidate| self.servers.get(&a.id).map_or(Standing::Well, |s| s.entry.standing);
        if candidates.iter().all(|a| standing(a) == Standing::Well) {
            return candidates;
        }
        let idempotent = open.class.repeat == Repeat::Safe;
        let due = |a: &Candidate| self.servers.get(&a.id).is_some_and(|s| now - s.sent_at > PROBE_INTERVAL);
        if idempotent && open.attempts.is_empty() {
            if let Some(at) = candidates.iter().position(|a| standing(a) == Standing::Tried && due(a)) {
                return vec![candidates.swap_remove(at)];
            }
        }
        let eligible =
            |a: &Candidate| standing(a) == Standing::Well || idempotent && standing(a) == Standing::Returning;
        if candidates.iter().any(eligible) {
            candidates.retain(eligible);
        }
        for a in &mut candidates {
            a.warmth *= if standing(a) == Standing::Returning { RETURNING_SHARE } else { 1.0 };
        }
        candidates
    }

    /// Returns the age of the oldest attempt in progress at a server, or 0.
    pub(crate) fn longest_out(&self, now: Millis, server: ServerId) -> Millis {
        let attempts = self.open.values().flat_map(|o| &o.attempts);
        attempts.filter(|a| a.live && a.server == server).map(|a| now - a.sent).fold(0.0, f64::max)
    }
}
