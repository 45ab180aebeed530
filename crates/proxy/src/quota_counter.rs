//! Tenants' quotas over all limiters: the decision module's counters, owned by the limiters themselves.
//!
//! Each counter has one owner, by its key and the limiters that may be active. Additions for the same owner are sent together.
//! An owner that is gone takes its totals with it: the decision module sees a total below its own last one and counts anew,
//! and meanwhile keeps to its own part.
//!
//! Totals say how much of a quota was used, and late: beneath them [`crate::quota_credit`] bounds what this limiter admits before the
//! owner has answered, and [`crate::quota_backlog`] what an owner takes to be left. One owner has all counters of a tenant, and
//! the reports that the decision module sends serve both.

use crate::counter_owner::{owner_address, owner_names, owners_fingerprint, ALONE};
use crate::quota_backlog::{OwnedBacklogs, QuotaBounds};
use crate::quota_credit::{CreditVerdict, Report, TenantCredit, TenantCredits};
use crate::quota_partition::QuotaPartition;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{QuotaAdd, QuotaAdds, QuotaTotals, Table};
use oatbank_engine::counters::local::Numbers;
use oatbank_engine::ports::counter::{Call, CallEnd, CallId};
use oatbank_limiter_core::interface::{
    Action, CountName, CustomerId, Millis, Outcome, Plan, PlanId, QuotaRequest, QuotaSettings, Verdict,
};
use oatbank_limiter_core::logic::Quotas;
use oatbank_node_runtime::log;
use oatbank_node_runtime::rpc::RpcError;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Additions are gathered for this long.
const GATHER: Duration = Duration::from_millis(25);
/// The same where a request waits for the owner.
const GATHER_ASKED: Duration = Duration::from_millis(4);
/// How long an owner may take to answer: on a tenth of a core and in another region, 400 ms are not rare.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// A call is slow for the decision module beyond a part of this, ms, and it pauses for as long after failures.
const COUNTER_TIMEOUT: Millis = 400.0;
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

/// A request waits for the answer of an owner for this long at most: a part of what its client waits for.
const OWNER_WAIT: Duration = Duration::from_millis(400);
/// One that was rejected after that may come again after this, ms.
const RETRY_AFTER_WAIT: Millis = 100.0;
/// Interval of checks which limiters own counters.
const OWNERS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of log lines on requests that were rejected for want of an owner's answer.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// The name of an addition that only reports admissions.
const NO_COUNTER: u64 = 0;

/// How admissions have fared beneath the decision module, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct CreditCounts {
    /// Requests that waited for an owner's answer.
    pub waited: u64,
    /// Of these, those that were rejected.
    pub given_up: u64,
    /// Requests that were rejected as the owner's backlog was full.
    pub used_up: u64,
    /// Reports without an answer.
    pub unanswered_reports: u64,
}

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
    /// When it is to be sent.
    flush_due: Cell<Option<Instant>>,
    credits: RefCell<TenantCredits>,
    /// The buckets of the tenants that this limiter owns.
    backlogs: RefCell<OwnedBacklogs>,
    /// Of the limiters that owned counters when last looked at, and whether this one counted with them.
    owners_fingerprint: Cell<Option<u64>>,
    /// An owner has answered.
    answered: Notify,
    counts: Cell<CreditCounts>,
    random: Cell<u64>,
}

impl QuotaCounter {
    /// No tenant yet.
    pub fn new(view: Rc<ClusterView>, peers: Rc<dyn QuotaPeers>, node_name: String, seed: u64) -> Rc<Self> {
        let credits = RefCell::new(TenantCredits::new(view.now()));
        let backlogs = RefCell::new(OwnedBacklogs::new(view.now(), node_name.clone()));
        Rc::new(QuotaCounter {
            view,
            peers,
            node_name,
            quotas: RefCell::new(Quotas::new(quota_settings(Vec::new(), 1.0), seed)),
            owned: Numbers::default(),
            pending: RefCell::default(),
            flush_due: Cell::default(),
            credits,
            backlogs,
            owners_fingerprint: Cell::default(),
            answered: Notify::new(),
            counts: Cell::default(),
            random: Cell::new(seed),
        })
    }

    /// Which limiters count with this one now.
    pub fn partition(&self) -> QuotaPartition {
        let confirmed_ago = self.view.confirmed_ago();
        self.view.with(|table, now| QuotaPartition::of(&self.node_name, table.members(now), confirmed_ago))
    }

    /// Sets the plans, and what bounds each tenant, shared by so many limiters.
    pub fn set_plans(&self, plans: Vec<Plan>, bounds: HashMap<CustomerId, QuotaBounds>, limiters: f64) {
        self.quotas.borrow_mut().apply_settings(quota_settings(plans, limiters));
        self.credits.borrow_mut().set_bounds(bounds);
    }

    /// Whether a tenant's request goes on. If its credit is used up, it waits a moment for the owner's answer.
    ///
    /// # Errors
    /// If its quota is used up: when to come back, ms.
    pub async fn admit(
        self: &Rc<Self>,
        customer: CustomerId,
        plan: PlanId,
        limiters: f64,
    ) -> Result<(), Millis> {
        let draw = QuotaRequest { customer, plan, units: 1.0, spread: limiters, ..QuotaRequest::default() };
        let deadline = Instant::now() + OWNER_WAIT;
        let mut has_asked = false;
        loop {
            let answered = self.answered.notified();
            let credit = self.credits.borrow_mut().check(self.view.now(), customer, || self.draw_rounding());
            match credit {
                CreditVerdict::Granted => return self.decide(draw, None),
                CreditVerdict::UsedUp(wait) => {
                    self.count(|counts| counts.used_up += 1);
                    return self.decide(draw, Some(wait));
                }
                CreditVerdict::AskOwner => {}
            }
            if !std::mem::replace(&mut has_asked, true) {
                self.count(|counts| counts.waited += 1);
                self.with_credit(customer, TenantCredit::want);
                self.report_now(customer, GATHER_ASKED);
            }
            if tokio::time::timeout_at(deadline, answered).await.is_err() {
                self.count(|counts| counts.given_up += 1);
                return self.decide(draw, Some(RETRY_AFTER_WAIT));
            }
        }
    }

    /// A random number from 0 to 1.
    fn draw_rounding(&self) -> f64 {
        let next = self.random.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.random.set(next);
        (next >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What the decision module says of a request, which is to be rejected in any case if it is to come back `later`.
    fn decide(self: &Rc<Self>, draw: QuotaRequest, later: Option<Millis>) -> Result<(), Millis> {
        let (now, customer) = (self.view.cluster_time(), draw.customer);
        let mut actions = Vec::new();
        let (result, is_sampled) = {
            let mut quotas = self.quotas.borrow_mut();
            let verdict = quotas.admit(now, draw, &mut actions);
            let result = match (later, verdict) {
                (Some(wait), _) | (None, Verdict::Refuse { retry_after: wait }) => Err(wait),
                _ => Ok(()),
            };
            quotas.record(now, customer, 1.0, result.is_ok());
            (result, quotas.is_sampled(customer))
        };
        let is_report_due = result.is_ok() && self.credits.borrow_mut().spend(customer);
        self.carry_out(actions);
        if is_report_due || is_sampled && result.is_ok() {
            self.report_now(customer, GATHER);
        }
        result
    }

    fn with_credit<T>(&self, customer: CustomerId, then: impl FnOnce(&mut TenantCredit) -> T) -> Option<T> {
        self.credits.borrow_mut().of(customer).map(then)
    }

    /// Reports what was admitted of a tenant, without waiting for the decision module to tell its counter.
    fn report_now(self: &Rc<Self>, customer: CustomerId, gather: Duration) {
        if self.with_credit(customer, |credit| credit.has_report()) == Some(true) {
            self.queue(customer, QuotaAdd { name: NO_COUNTER, ..QuotaAdd::default() }, true);
            self.schedule_flush(gather);
        }
    }

    fn count(&self, change: impl FnOnce(&mut CreditCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            let Action::Count { name, add, ttl } = action else { continue };
            let (customer, reports) = {
                let quotas = self.quotas.borrow();
                let Some(customer) = quotas.customer_of(name) else { continue };
                (customer, quotas.accepted_by(name).is_some())
            };
            self.queue(customer, QuotaAdd { name: name.0, add, ttl, ..QuotaAdd::default() }, reports);
        }
        self.schedule_flush(GATHER);
    }

    /// Sends what is queued after `gather`, or sooner if that is planned.
    fn schedule_flush(self: &Rc<Self>, gather: Duration) {
        let due = Instant::now() + gather;
        let is_planned = self.flush_due.get().is_some_and(|planned| planned <= due);
        if self.pending.borrow().is_empty() || is_planned {
            return;
        }
        self.flush_due.set(Some(due));
        let counter = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(due).await;
            if counter.flush_due.get() == Some(due) {
                counter.flush_due.set(None);
                counter.flush();
            }
        });
    }

    /// Queues an addition to a tenant's counter, for its owner, and with it the report of what was admitted.
    fn queue(&self, customer: CustomerId, mut add: QuotaAdd, reports: bool) {
        let owner = owner_address(&self.view, &self.node_name, customer.0);
        let now = self.view.now();
        if reports {
            if let Some(report) = self.with_credit(customer, |credit| credit.take_report(now)) {
                add.tenant = customer.0;
                (add.admitted, add.wanted, add.backlog) = (report.admitted, report.wanted, report.backlog);
            }
        }
        self.pending.borrow_mut().entry(owner).or_default().push(add);
    }

    /// Takes in which limiters own counters now.
    fn check_owners(&self) {
        let fingerprint = owners_fingerprint(&self.view, &self.node_name);
        let before = self.owners_fingerprint.replace(Some(fingerprint));
        if before == Some(fingerprint) {
            return;
        }
        if before.is_some_and(|before| (before == ALONE) != (fingerprint == ALONE)) {
            let whom = if fingerprint == ALONE { "alone, by its own part" } else { "with the others" };
            log::info!("quotas: counts {}", whom);
        }
        let owners = owner_names(&self.view, &self.node_name);
        self.backlogs.borrow_mut().set_owners(self.view.now(), owners);
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
        let totals = response.map(|bytes| QuotaTotals::decode(bytes).unwrap_or_default());
        self.on_totals(&adds, &totals, took);
    }

    fn on_totals(&self, adds: &[QuotaAdd], answer: &Result<QuotaTotals, RpcError>, took: Millis) {
        let now = self.view.cluster_time();
        {
            let mut quotas = self.quotas.borrow_mut();
            for (add, (outcome, total)) in adds.iter().zip(outcomes_of(adds.len(), answer)) {
                if add.name != NO_COUNTER {
                    quotas.handle_reply(now, CountName(add.name), outcome, took, total);
                }
            }
        }
        self.settle_reports(adds, answer, took);
        self.answered.notify_waiters();
    }

    /// Gives back the credit of what an owner has answered to.
    fn settle_reports(&self, adds: &[QuotaAdd], answer: &Result<QuotaTotals, RpcError>, took: Millis) {
        let now = self.view.now();
        let reports: Vec<&QuotaAdd> = adds.iter().filter(|add| add.tenant != 0).collect();
        let is_whole = |totals: &QuotaTotals| {
            totals.backlogs.len() == reports.len() && totals.granted.len() == reports.len()
        };
        let (backlogs, granted) = match answer {
            Ok(totals) if is_whole(totals) => (totals.backlogs.as_slice(), totals.granted.as_slice()),
            // It answers as an older version does: there is nothing to wait for.
            Ok(totals) if totals.backlogs.is_empty() && totals.totals.len() == adds.len() => {
                (&[][..], &[][..])
            }
            _ => {
                let was_sent = *answer != Err(RpcError::Unreachable);
                self.count(|counts| counts.unanswered_reports += reports.len() as u64);
                for add in reports {
                    let report = report_of(add);
                    self.with_credit(CustomerId(add.tenant), |credit| match was_sent {
                        true => credit.on_lost(report),
                        false => credit.on_not_sent(report),
                    });
                }
                return;
            }
        };
        for (place, add) in reports.into_iter().enumerate() {
            let backlog = backlogs.get(place).and_then(|backlog| backlog.checked_sub(1)).map(f64::from);
            let granted = granted.get(place).copied().unwrap_or(add.wanted);
            self.with_credit(CustomerId(add.tenant), |credit| {
                credit.on_answer(now, took, report_of(add), backlog, granted);
            });
        }
    }

    /// Adds to counters that this limiter owns: one total for each, in their order. What cannot be added has none (NaN).
    fn add(&self, adds: &[QuotaAdd]) -> QuotaTotals {
        let now = self.view.now();
        let total = |add: &QuotaAdd| {
            if !add.add.is_finite() {
                return f64::NAN;
            }
            if add.name == NO_COUNTER {
                return 0.0;
            }
            let (name, ttl) = (CountName(add.name), add.ttl.clamp(0.0, MAX_LIFETIME));
            match self.owned.add(now, &Call { id: CallId(0), name, add: add.add, ttl }) {
                CallEnd::Added(total) => total,
                _ => f64::NAN,
            }
        };
        let totals = adds.iter().map(total).collect();
        let reports = adds.iter().filter(|add| add.tenant != 0);
        let (backlogs, granted) = reports.map(|add| self.take_in_report(now, add)).unzip();
        QuotaTotals { totals, backlogs, granted }
    }

    /// Takes in a report of admissions. The backlog and 1, or 0 if the tenant is not known here; and how much is granted.
    fn take_in_report(&self, now: Millis, add: &QuotaAdd) -> (u32, u32) {
        let tenant = CustomerId(add.tenant);
        let Some(bounds) = self.credits.borrow().bounds(tenant) else { return (0, add.wanted) };
        // A limiter that counted alone until now has to forget that first, and one that is met for the first time may be new here.
        let has_counted_alone = self.owners_fingerprint.get() == Some(ALONE) && self.view.in_touch();
        if has_counted_alone || !self.backlogs.borrow().has(tenant) {
            self.check_owners();
        }
        let (backlog, granted) = self.backlogs.borrow_mut().report(now, tenant, report_of(add), &bounds);
        (1 + backlog.ceil() as u32, granted)
    }

    /// Answers another limiter's [`QuotaAdds`].
    pub fn answer(&self, body: bytes::Bytes) -> Vec<u8> {
        match QuotaAdds::decode(body) {
            // One that counts alone gives out its own part, and nobody else's: see `QuotaPartition`.
            Ok(_) if !self.view.in_touch() => Vec::new(),
            Ok(adds) => self.add(&adds.counts).encode_to_vec(),
            Err(_) => Vec::new(),
        }
    }

    /// How many admissions were reported to this limiter beyond what may run in a window, of the tenants that it owns.
    pub fn overrun(&self) -> u64 {
        self.backlogs.borrow().overrun().ceil() as u64
    }

    /// The table of what bounds quotas here.
    pub fn table(&self) -> Table {
        let counts = self.counts.get();
        let (credits, backlogs) = (self.credits.borrow(), self.backlogs.borrow());
        let row = |name: &str, value: String| vec![name.to_owned(), value];
        let rows = vec![
            row("admitted, not answered to", format!("{:.1}", credits.outstanding())),
            row("waited for an owner", counts.waited.to_string()),
            row("rejected after waiting", counts.given_up.to_string()),
            row("rejected, quota used up", counts.used_up.to_string()),
            row("reports without an answer", counts.unanswered_reports.to_string()),
            row("tenants owned", backlogs.len().to_string()),
            row("reported beyond a quota", self.overrun().to_string()),
        ];
        table("quotas, since the start", &["what", "how many"], rows)
    }

    /// Logs how many requests were rejected for want of an owner's answer, if there are more than `logged` by now.
    fn log_rejected(&self, logged: u64) -> u64 {
        let counts = self.counts.get();
        if counts.given_up > logged {
            log::warn!(
                "quotas: {} requests rejected by now as no owner answered; {} have waited, {} reports had no answer, {} \
                 found their quota used up",
                counts.given_up,
                counts.waited,
                counts.unanswered_reports,
                counts.used_up
            );
        }
        counts.given_up
    }

    /// Sends what is due, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        let mut owners_due = Instant::now();
        let mut log_due = Instant::now() + LOG_INTERVAL;
        let mut logged = 0;
        loop {
            if Instant::now() >= log_due {
                log_due = Instant::now() + LOG_INTERVAL;
                logged = self.log_rejected(logged);
            }
            if Instant::now() >= owners_due {
                owners_due = Instant::now() + OWNERS_INTERVAL;
                self.check_owners();
            }
            tokio::time::sleep(TICK).await;
            let mut actions = Vec::new();
            self.quotas.borrow_mut().tick(self.view.cluster_time(), &mut actions);
            self.carry_out(actions);
        }
    }
}

/// The report that goes with an addition.
fn report_of(add: &QuotaAdd) -> Report {
    Report { admitted: add.admitted, wanted: add.wanted, backlog: add.backlog }
}

/// What an owner's answer to so many additions says of each: its outcome and total. An addition whose answer was lost may have
/// been made: what a later total does not show of it is sent again, once.
pub fn outcomes_of(adds: usize, answer: &Result<QuotaTotals, RpcError>) -> Vec<(Outcome, f64)> {
    // The owner has no room for a counter whose total is missing.
    let outcome = |total: &f64| if total.is_finite() { (Outcome::Ok, *total) } else { (Outcome::Full, 0.0) };
    match answer {
        Ok(answer) if answer.totals.len() == adds => answer.totals.iter().map(outcome).collect(),
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
        counter_timeout: COUNTER_TIMEOUT,
        sync_every: SYNC_INTERVAL,
        flush_after: FLUSH_AFTER,
        sync_share: UNTOLD_SHARE.min(UNTOLD_SHARE_OF_ALL / limiters),
    }
}
