//! Tenants' quotas over all limiters: the decision module's counters, owned by the limiters themselves.
//!
//! Each counter has one owner, by its key and the limiters that may be active. Additions for the same owner are sent together.
//! An owner that is gone takes its totals with it: the decision module sees a total below its own last one and counts anew,
//! and meanwhile keeps to its own part.

use crate::counter_owner::owner_of;
use crate::quota_partition::{owns_counters, QuotaPartition};
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{QuotaAdd, QuotaAdds, QuotaTotals};
use oatbank_engine::counters::local::Numbers;
use oatbank_engine::ports::counter::{Call, CallEnd, CallId};
use oatbank_limiter_core::interface::{
    Action, CountName, CustomerId, Draw, Millis, Outcome, Plan, PlanId, QuotaSettings, Verdict,
};
use oatbank_limiter_core::logic::Quotas;
use oatbank_node_runtime::rpc::RpcError;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Additions are gathered for this long.
const GATHER: Duration = Duration::from_millis(25);
/// How long an owner may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of checks for what is due.
const TICK: Duration = Duration::from_millis(50);
/// Interval of syncs of a tenant, ms: a tenth of a window of one second. What a tenant that comes under pressure sends through
/// all limiters between two syncs comes on top of its burst.
const SYNC_INTERVAL: Millis = 100.0;
/// Share of a burst that a limiter leaves untold until then.
const UNTOLD_SHARE: f64 = 0.1;
/// Share of a burst that all limiters together leave untold until then.
const UNTOLD_SHARE_OF_ALL: f64 = 0.6;
/// Less than that share of a burst is told after this, ms: a call to an owner in another region is expensive.
const FLUSH_AFTER: Millis = 3000.0;
/// The longest lifetime of a counter, ms.
const MAX_LIFETIME: Millis = 120_000.0;

/// An owner's answer to additions, still encoded.
pub type CountFuture = Pin<Box<dyn Future<Output = Result<bytes::Bytes, RpcError>>>>;

/// How the other limiters are reached.
pub trait QuotaPeers {
    /// Sends encoded [`QuotaAdds`] to an owner, and waits for [`QuotaTotals`] for so long.
    fn count(&self, owner: SocketAddr, adds: Vec<u8>, within: Duration) -> CountFuture;
}

/// The quotas of all tenants as seen by this limiter.
pub struct QuotaCounter {
    view: Rc<ClusterView>,
    peers: Rc<dyn QuotaPeers>,
    node_name: String,
    quotas: RefCell<Quotas>,
    /// The counters that this limiter owns.
    owned: Numbers,
    /// Additions to send, by the owner's address; `None`: this limiter.
    pending: RefCell<BTreeMap<Option<SocketAddr>, Vec<QuotaAdd>>>,
    is_flush_scheduled: Cell<bool>,
}

impl QuotaCounter {
    /// No tenant yet.
    pub fn new(view: Rc<ClusterView>, peers: Rc<dyn QuotaPeers>, node_name: String, seed: u64) -> Rc<Self> {
        Rc::new(QuotaCounter {
            view,
            peers,
            node_name,
            quotas: RefCell::new(Quotas::new(quota_settings(Vec::new(), 1.0), seed)),
            owned: Numbers::default(),
            pending: RefCell::default(),
            is_flush_scheduled: Cell::new(false),
        })
    }

    /// Which limiters count with this one now.
    pub fn partition(&self) -> QuotaPartition {
        let confirmed_ago = self.view.confirmed_ago();
        self.view.with(|table, now| QuotaPartition::of(&self.node_name, table.members(now), confirmed_ago))
    }

    /// Sets the plans, by tenant, shared by so many limiters.
    pub fn set_plans(&self, plans: Vec<Plan>, limiters: f64) {
        self.quotas.borrow_mut().settle(quota_settings(plans, limiters));
    }

    /// Whether a tenant's request goes on.
    ///
    /// # Errors
    /// If its quota is used up: when to come back, ms.
    pub fn admit(self: &Rc<Self>, customer: CustomerId, plan: PlanId, limiters: f64) -> Result<(), Millis> {
        let now = self.view.cluster_time();
        let mut actions = Vec::new();
        let draw = Draw { customer, plan, units: 1.0, spread: limiters, ..Draw::default() };
        let verdict = {
            let mut quotas = self.quotas.borrow_mut();
            let verdict = quotas.admit(now, draw, &mut actions);
            quotas.record(now, customer, 1.0, !matches!(verdict, Verdict::Refuse { .. }));
            verdict
        };
        self.carry_out(actions);
        match verdict {
            Verdict::Refuse { retry_after } => Err(retry_after),
            _ => Ok(()),
        }
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            let Action::Count { name, add, ttl } = action else { continue };
            let owner = self.owner(name);
            let add = QuotaAdd { name: name.0, add, ttl };
            self.pending.borrow_mut().entry(owner).or_default().push(add);
        }
        if !self.pending.borrow().is_empty() && !self.is_flush_scheduled.replace(true) {
            let counter = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(GATHER).await;
                counter.is_flush_scheduled.set(false);
                counter.flush();
            });
        }
    }

    /// The owner of a counter; `None`: this limiter.
    fn owner(&self, name: CountName) -> Option<SocketAddr> {
        // A limiter that is not in touch counts alone: see `QuotaPartition`.
        if !self.view.in_touch() {
            return None;
        }
        self.view.with(|table, now| {
            let members = || table.members(now).filter(|(row, age)| owns_counters(row, *age));
            let names = members().map(|(row, _)| row.name.as_str());
            let owner = owner_of(name.0, names.chain(std::iter::once(self.node_name.as_str())))?;
            let row = members().find(|(row, _)| row.name == owner && row.name != self.node_name)?.0;
            row.inner.parse().ok()
        })
    }

    fn flush(self: &Rc<Self>) {
        for (owner, adds) in std::mem::take(&mut *self.pending.borrow_mut()) {
            match owner {
                None => {
                    let totals = self.add(&adds);
                    self.on_totals(&adds, &Ok(totals), 0.0);
                }
                Some(address) => {
                    tokio::task::spawn_local(self.clone().send(address, adds));
                }
            }
        }
    }

    async fn send(self: Rc<Self>, address: SocketAddr, adds: Vec<QuotaAdd>) {
        let sent_at = self.view.now();
        let body = QuotaAdds { counts: adds.clone() }.encode_to_vec();
        let response = self.peers.count(address, body, CALL_TIMEOUT).await;
        let took = self.view.now() - sent_at;
        let totals =
            response.map(|bytes| QuotaTotals::decode(bytes).map(|totals| totals.totals).unwrap_or_default());
        self.on_totals(&adds, &totals, took);
    }

    fn on_totals(&self, adds: &[QuotaAdd], totals: &Result<Vec<f64>, RpcError>, took: Millis) {
        let now = self.view.cluster_time();
        let mut quotas = self.quotas.borrow_mut();
        for (add, (outcome, total)) in adds.iter().zip(outcomes_of(adds.len(), totals)) {
            quotas.counted(now, CountName(add.name), outcome, took, total);
        }
    }

    /// Adds to counters that this limiter owns: one total for each, in their order. What cannot be added has none (NaN).
    fn add(&self, adds: &[QuotaAdd]) -> Vec<f64> {
        let now = self.view.now();
        let total = |add: &QuotaAdd| {
            if !add.add.is_finite() {
                return f64::NAN;
            }
            let (name, ttl) = (CountName(add.name), add.ttl.clamp(0.0, MAX_LIFETIME));
            match self.owned.add(now, &Call { id: CallId(0), name, add: add.add, ttl }) {
                CallEnd::Added(total) => total,
                _ => f64::NAN,
            }
        };
        adds.iter().map(total).collect()
    }

    /// Answers another limiter's [`QuotaAdds`].
    pub fn answer(&self, body: bytes::Bytes) -> Vec<u8> {
        match QuotaAdds::decode(body) {
            Ok(adds) => QuotaTotals { totals: self.add(&adds.counts) }.encode_to_vec(),
            Err(_) => Vec::new(),
        }
    }

    /// Sends what is due, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            let mut actions = Vec::new();
            self.quotas.borrow_mut().tick(self.view.cluster_time(), &mut actions);
            self.carry_out(actions);
        }
    }
}

/// What an owner's answer to so many additions says of each: its outcome and total. An addition whose answer was lost may have
/// been made: what a later total does not show of it is sent again, once.
pub fn outcomes_of(adds: usize, answer: &Result<Vec<f64>, RpcError>) -> Vec<(Outcome, f64)> {
    // The owner has no room for a counter whose total is missing.
    let outcome = |total: &f64| if total.is_finite() { (Outcome::Ok, *total) } else { (Outcome::Full, 0.0) };
    match answer {
        Ok(totals) if totals.len() == adds => totals.iter().map(outcome).collect(),
        // Which total belongs to which addition is not known.
        Ok(_) => vec![(Outcome::Reset, 0.0); adds],
        Err(RpcError::Unreachable) => vec![(Outcome::ConnectFailed, 0.0); adds],
        Err(RpcError::Lost) => vec![(Outcome::TimedOut, 0.0); adds],
    }
}

/// The settings of the decision module's quotas, shared by so many limiters.
pub fn quota_settings(plans: Vec<Plan>, limiters: f64) -> QuotaSettings {
    QuotaSettings {
        plans,
        max_units: 1.0,
        counter: true,
        counter_timeout: CALL_TIMEOUT.as_secs_f64() * 1000.0,
        sync_every: SYNC_INTERVAL,
        flush_after: FLUSH_AFTER,
        sync_share: UNTOLD_SHARE.min(UNTOLD_SHARE_OF_ALL / limiters),
    }
}
