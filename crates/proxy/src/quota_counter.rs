//! Tenants' quotas over all limiters: the decision module's counter, kept by the limiters themselves.
//!
//! A number is kept by one limiter, drawn by key over those that may act. Adds for the same keeper go out together. A keeper
//! that is gone takes its totals with it: the module sees a total below its own last one and counts anew, and meanwhile
//! holds to its part.

use crate::counter_owner::keeper;
use crate::quota_partition::{self, Reach};
use crate::session::Links;
use oatbank_cluster_state::messages::{call, Count, Counts, Totals};
use oatbank_cluster_state::replication::Knowledge;
use oatbank_engine::counters::local::Numbers;
use oatbank_engine::ports::counter::{Call, CallEnd, CallId};
use oatbank_limiter_core::interface::{
    Action, CountName, CustomerId, Draw, Millis, Outcome, Plan, PlanId, QuotaSettings, Verdict,
};
use oatbank_limiter_core::logic::Quotas;
use oatbank_node_runtime::rpc::LinkError;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Adds are gathered for so long.
const GATHER: Duration = Duration::from_millis(25);
/// A keeper is waited for so long.
const WITHIN: Duration = Duration::from_millis(400);
/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// The quotas of all tenants as seen here.
pub struct Counter {
    known: Rc<Knowledge>,
    links: Rc<Links>,
    name: String,
    quotas: RefCell<Quotas>,
    numbers: Numbers,
    waiting: RefCell<BTreeMap<Option<SocketAddr>, Vec<Count>>>,
    flushing: Cell<bool>,
}

impl Counter {
    /// No tenant yet.
    pub fn new(known: Rc<Knowledge>, links: Rc<Links>, name: String, seed: u64) -> Rc<Self> {
        let quotas = RefCell::new(Quotas::new(quota_settings(Vec::new(), 1.0), seed));
        let (numbers, waiting, flushing) = (Numbers::default(), RefCell::default(), Cell::new(false));
        Rc::new(Counter { known, links, name, quotas, numbers, waiting, flushing })
    }

    /// Who counts with this limiter now.
    pub fn reach(&self) -> Reach {
        let fresh_ago = self.known.fresh_ago();
        self.known.with(|book, now| Reach::of(&self.name, book.members(now), fresh_ago))
    }

    /// Plans from now on, by tenant, before so many limiters.
    pub fn settle(&self, plans: Vec<Plan>, limiters: f64) {
        self.quotas.borrow_mut().settle(quota_settings(plans, limiters));
    }

    /// Whether a tenant's request goes on. What does not is told how long to stay away, ms.
    pub fn admit(self: &Rc<Self>, customer: CustomerId, plan: PlanId, limiters: f64) -> Result<(), Millis> {
        let now = self.known.time();
        let mut acts = Vec::new();
        let draw = Draw { customer, plan, units: 1.0, spread: limiters, ..Draw::default() };
        let verdict = {
            let mut quotas = self.quotas.borrow_mut();
            let verdict = quotas.admit(now, draw, &mut acts);
            quotas.record(now, customer, 1.0, !matches!(verdict, Verdict::Refuse { .. }));
            verdict
        };
        self.carry_out(acts);
        match verdict {
            Verdict::Refuse { retry_after } => Err(retry_after),
            _ => Ok(()),
        }
    }

    fn carry_out(self: &Rc<Self>, acts: Vec<Action>) {
        for act in acts {
            let Action::Count { name, add, ttl } = act else { continue };
            let to = self.keeper(name);
            let count = Count { name: name.0, add, ttl };
            self.waiting.borrow_mut().entry(to).or_default().push(count);
        }
        if !self.waiting.borrow().is_empty() && !self.flushing.replace(true) {
            let counter = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(GATHER).await;
                counter.flushing.set(false);
                counter.flush();
            });
        }
    }

    /// Who keeps a number; none: this limiter.
    fn keeper(&self, name: CountName) -> Option<SocketAddr> {
        // Who counts alone: see `Reach`.
        if !self.known.in_touch() {
            return None;
        }
        self.known.with(|book, now| {
            let members = || book.members(now).filter(|(row, ago)| quota_partition::counts(row, *ago));
            let names =
                members().map(|(row, _)| row.name.as_str()).chain(std::iter::once(self.name.as_str()));
            let drawn = keeper(name.0, names)?;
            let row = members().find(|(row, _)| row.name == drawn && row.name != self.name)?.0;
            row.inner.parse().ok()
        })
    }

    fn flush(self: &Rc<Self>) {
        for (to, counts) in std::mem::take(&mut *self.waiting.borrow_mut()) {
            let counter = self.clone();
            match to {
                None => {
                    let totals = counter.add(&counts);
                    counter.counted(&counts, Ok(totals), 0.0);
                }
                Some(to) => {
                    let link = self.links.to(to);
                    tokio::task::spawn_local(async move {
                        let asked = counter.known.now();
                        let body = Counts { counts: counts.clone() }.encode_to_vec();
                        let answer = link.call(call::COUNT, body, WITHIN).await;
                        let took = counter.known.now() - asked;
                        let totals = answer.map(|b| Totals::decode(b).map(|t| t.totals).unwrap_or_default());
                        counter.counted(&counts, totals, took);
                    });
                }
            }
        }
    }

    fn counted(self: &Rc<Self>, counts: &[Count], totals: Result<Vec<f64>, LinkError>, took: Millis) {
        let now = self.known.time();
        {
            let mut quotas = self.quotas.borrow_mut();
            for (count, (outcome, total)) in counts.iter().zip(read(counts.len(), &totals)) {
                quotas.counted(now, CountName(count.name), outcome, took, total);
            }
        }
    }

    fn add(&self, counts: &[Count]) -> Vec<f64> {
        let now = self.known.now();
        let add = |count: &Count| {
            let (name, add, ttl) = (CountName(count.name), count.add, count.ttl.clamp(0.0, LONGEST));
            match self.numbers.add(now, &Call { id: CallId(0), name, add, ttl }) {
                CallEnd::Added(total) => total,
                _ => f64::NAN,
            }
        };
        // One for each, in their order: what cannot be added has no total.
        counts.iter().map(|c| if c.add.is_finite() { add(c) } else { f64::NAN }).collect()
    }

    /// Answers another limiter's adds.
    pub fn answer(&self, body: bytes::Bytes) -> Vec<u8> {
        match Counts::decode(body) {
            Ok(counts) => Totals { totals: self.add(&counts.counts) }.encode_to_vec(),
            Err(_) => Vec::new(),
        }
    }

    /// Tells what is due, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            let mut acts = Vec::new();
            {
                let mut quotas = self.quotas.borrow_mut();
                quotas.tick(self.known.time(), &mut acts);
            }
            self.carry_out(acts);
        }
    }
}

/// What a keeper's answer to so many adds says of each. An add whose answer was lost may have been made: what a later total
/// does not show of it is told again, once.
pub fn read(adds: usize, answer: &Result<Vec<f64>, LinkError>) -> Vec<(Outcome, f64)> {
    let one = |total: &f64| match total.is_finite() {
        true => (Outcome::Ok, *total),
        // The keeper has no room for the name.
        false => (Outcome::Full, 0.0),
    };
    match answer {
        Ok(totals) if totals.len() == adds => totals.iter().map(one).collect(),
        // Which total belongs to which add is not known.
        Ok(_) => vec![(Outcome::Reset, 0.0); adds],
        Err(LinkError::Unreachable) => vec![(Outcome::ConnectFailed, 0.0); adds],
        Err(LinkError::Lost) => vec![(Outcome::TimedOut, 0.0); adds],
    }
}

/// What the decision module's quotas are told before so many limiters.
pub fn quota_settings(plans: Vec<Plan>, limiters: f64) -> QuotaSettings {
    let counter_timeout = WITHIN.as_secs_f64() * 1000.0;
    QuotaSettings {
        plans,
        max_units: 1.0,
        counter: true,
        counter_timeout,
        sync_every: SYNC_EVERY,
        flush_after: FLUSH_AFTER,
        sync_share: UNTOLD.min(UNTOLD_BY_ALL / limiters),
    }
}

/// Between two syncs of a tenant, ms: a tenth of a window of one second. What a tenant that begins to press sends through all
/// limiters between two syncs comes on top of its burst.
const SYNC_EVERY: Millis = 100.0;
/// Share of a burst that a limiter, and that all together, leave untold until then.
const UNTOLD: f64 = 0.1;
const UNTOLD_BY_ALL: f64 = 0.6;
/// What is less than that share of a burst is told so late, ms: the way to a keeper in another region is dear.
const FLUSH_AFTER: Millis = 3000.0;
/// Longest that a number is kept, ms.
const LONGEST: Millis = 120_000.0;
