//! Enforces tenants' quotas across all limiters with counters that the limiters own themselves.
//!
//! Each counter has one owner, determined by its key and the limiters that may be active. Additions for the same owner are
//! batched. Totals are lost with their owner: the decision module sees a total below its previous one, starts counting again,
//! and meanwhile keeps to its own share.
//!
//! Totals reflect usage with a delay, so two stricter bounds apply: [`crate::quota_credit`] limits what this limiter admits
//! before the owner has answered, and [`crate::quota_backlog`] is the owner's record of what is left. All counters of a tenant
//! have the same owner, and the reports that the decision module sends serve both.

use crate::counter_owner::{owner_address, owner_names, owners_fingerprint, ALONE};
use crate::quota_backlog::{OwnedBacklogs, QuotaBounds};
use crate::quota_credit::{CreditVerdict, Report, TenantCredit, TenantCredits};
use crate::quota_partition::QuotaPartition;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{QuotaAdd, QuotaAdds, QuotaTotals, Table};
use oatbank_engine::counters::local::CounterTotals;
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

/// How long additions are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// How long additions are batched while a request waits for the owner.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(4);
/// Timeout of a call to an owner. An owner in another region that has a tenth of a CPU core often takes 400 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Counter timeout of the decision module, ms: a call is slow beyond a fraction of it, and it is the pause after failures.
const COUNTER_TIMEOUT: Millis = 400.0;
/// Interval at which the decision module's timers run.
const TICK: Duration = Duration::from_millis(50);
/// Interval between reports of a tenant's usage, ms: a tenth of a window of one second. Requests that an overloading tenant
/// sends through all limiters between two reports come on top of its burst.
const SYNC_INTERVAL: Millis = 100.0;
/// Share of a burst that one limiter may leave unreported until the next interval.
const UNREPORTED_SHARE: f64 = 0.1;
/// Share of a burst that all limiters together may leave unreported until the next interval.
const TOTAL_UNREPORTED_SHARE: f64 = 0.6;
/// Delay after which usage below the unreported share is sent, ms: a call to an owner in another region is expensive.
const FLUSH_AFTER: Millis = 3000.0;
/// The longest lifetime of a counter, ms.
const MAX_LIFETIME: Millis = 120_000.0;

/// Longest wait of a request for an owner's answer; shorter than clients wait for an answer.
const OWNER_WAIT: Duration = Duration::from_millis(400);
/// `Retry-After` of a request that was rejected after [`OWNER_WAIT`], ms.
const RETRY_AFTER_WAIT: Millis = 100.0;
/// Interval of checks for changes among the limiters that own counters.
const OWNERS_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between log lines on requests rejected because no owner answered.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Counter name of an addition that only carries a report of admissions.
const NO_COUNTER: u64 = 0;

/// Counts of requests that were delayed or rejected by the credit bounds since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct CreditCounts {
    /// Requests that waited for an owner's answer.
    pub waited: u64,
    /// Requests that were rejected after waiting.
    pub given_up: u64,
    /// Requests that were rejected because the owner's backlog was full.
    pub used_up: u64,
    /// Reports to owners that were not answered.
    pub unanswered_reports: u64,
}

/// Future of an owner's encoded [`QuotaTotals`].
pub type CountFuture = Pin<Box<dyn Future<Output = Result<bytes::Bytes, RpcError>>>>;

/// Transport for calls to counter owners.
pub trait QuotaPeers {
    /// Sends encoded [`QuotaAdds`] to an owner and waits for [`QuotaTotals`], at most for `within`.
    fn count(&self, owner: SocketAddr, adds: Vec<u8>, within: Duration) -> CountFuture;
}

/// The quotas of all tenants as seen by this limiter.
pub struct QuotaCounter {
    view: Rc<ClusterView>,
    peers: Rc<dyn QuotaPeers>,
    node_name: String,
    quotas: RefCell<Quotas>,
    /// The counters that this limiter owns.
    owned: CounterTotals,
    /// Additions to send, by the owner's address; `None` stands for this limiter.
    pending: RefCell<BTreeMap<Option<SocketAddr>, Vec<QuotaAdd>>>,
    /// When `pending` is to be sent.
    flush_due: Cell<Option<Instant>>,
    credits: RefCell<TenantCredits>,
    /// Buckets of the tenants whose counters this limiter owns.
    backlogs: RefCell<OwnedBacklogs>,
    /// Fingerprint of the limiters that owned counters at the last check; [`ALONE`] if this one counted alone.
    owners_fingerprint: Cell<Option<u64>>,
    /// Notified when an owner has answered.
    answered: Notify,
    counts: Cell<CreditCounts>,
    random: Cell<u64>,
}

impl QuotaCounter {
    /// Creates a counter without plans; `seed` seeds the decision module and the rounding of credit.
    pub fn new(view: Rc<ClusterView>, peers: Rc<dyn QuotaPeers>, node_name: String, seed: u64) -> Rc<Self> {
        let credits = RefCell::new(TenantCredits::new(view.now()));
        let backlogs = RefCell::new(OwnedBacklogs::new(view.now(), node_name.clone()));
        Rc::new(QuotaCounter {
            view,
            peers,
            node_name,
            quotas: RefCell::new(Quotas::new(quota_settings(Vec::new(), 1.0), seed)),
            owned: CounterTotals::default(),
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

    /// The current partition: which limiters count together with this one.
    pub fn partition(&self) -> QuotaPartition {
        let confirmed_ago = self.view.confirmed_ago();
        self.view.with(|table, now| QuotaPartition::of(&self.node_name, table.members(now), confirmed_ago))
    }

    /// Sets the plans and each tenant's bounds, for quotas shared by this number of limiters.
    pub fn set_plans(&self, plans: Vec<Plan>, bounds: HashMap<CustomerId, QuotaBounds>, limiters: f64) {
        self.quotas.borrow_mut().apply_settings(quota_settings(plans, limiters));
        self.credits.borrow_mut().set_bounds(bounds);
    }

    /// Admits a tenant's request or rejects it. A request without credit waits for the owner's answer, at most for
    /// [`OWNER_WAIT`].
    ///
    /// # Errors
    /// If the quota is used up or no owner has answered: the time after which to retry, ms.
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
                self.with_credit(customer, TenantCredit::request_grant);
                self.report_now(customer, URGENT_BATCH_DELAY);
            }
            if tokio::time::timeout_at(deadline, answered).await.is_err() {
                self.count(|counts| counts.given_up += 1);
                return self.decide(draw, Some(RETRY_AFTER_WAIT));
            }
        }
    }

    /// Next pseudorandom number in [0, 1).
    fn draw_rounding(&self) -> f64 {
        let next = self.random.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.random.set(next);
        (next >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Passes a request to the decision module and returns its verdict. If `retry_after` is set, the request is rejected with
    /// that retry time whatever the verdict.
    fn decide(self: &Rc<Self>, draw: QuotaRequest, retry_after: Option<Millis>) -> Result<(), Millis> {
        let (now, customer) = (self.view.cluster_time(), draw.customer);
        let mut actions = Vec::new();
        let (result, is_sampled) = {
            let mut quotas = self.quotas.borrow_mut();
            let verdict = quotas.admit(now, draw, &mut actions);
            let result = match (retry_after, verdict) {
                (Some(wait), _) | (None, Verdict::Refuse { retry_after: wait }) => Err(wait),
                _ => Ok(()),
            };
            quotas.record(now, customer, 1.0, result.is_ok());
            (result, quotas.is_sampled(customer))
        };
        let is_report_due = result.is_ok() && self.credits.borrow_mut().spend(customer);
        self.carry_out(actions);
        if is_report_due || is_sampled && result.is_ok() {
            self.report_now(customer, BATCH_DELAY);
        }
        result
    }

    fn with_credit<T>(&self, customer: CustomerId, access: impl FnOnce(&mut TenantCredit) -> T) -> Option<T> {
        self.credits.borrow_mut().of(customer).map(access)
    }

    /// Queues a report of a tenant's admissions without waiting for the decision module's next addition.
    fn report_now(self: &Rc<Self>, customer: CustomerId, delay: Duration) {
        if self.with_credit(customer, |credit| credit.has_report()) == Some(true) {
            self.queue(customer, QuotaAdd { name: NO_COUNTER, ..QuotaAdd::default() }, true);
            self.schedule_flush(delay);
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
        self.schedule_flush(BATCH_DELAY);
    }

    /// Schedules sending of the queue after `delay`, unless it is already scheduled earlier.
    fn schedule_flush(self: &Rc<Self>, delay: Duration) {
        let due = Instant::now() + delay;
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

    /// Queues an addition to a tenant's counter for its owner. If `reports` is set, attaches the report of admissions.
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

    /// Updates the owned buckets if the limiters that own counters have changed.
    fn check_owners(&self) {
        let fingerprint = owners_fingerprint(&self.view, &self.node_name);
        let before = self.owners_fingerprint.replace(Some(fingerprint));
        if before == Some(fingerprint) {
            return;
        }
        if before.is_some_and(|before| (before == ALONE) != (fingerprint == ALONE)) {
            let mode = if fingerprint == ALONE {
                "alone, within its own share"
            } else {
                "together with the other limiters"
            };
            log::info!("quotas: counting {}", mode);
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

    /// Restores the credit of reports that an owner has answered, and marks the others as lost or not sent.
    fn settle_reports(&self, adds: &[QuotaAdd], answer: &Result<QuotaTotals, RpcError>, took: Millis) {
        let now = self.view.now();
        let reports: Vec<&QuotaAdd> = adds.iter().filter(|add| add.tenant != 0).collect();
        let is_complete = |totals: &QuotaTotals| {
            totals.backlogs.len() == reports.len() && totals.granted.len() == reports.len()
        };
        let (backlogs, granted) = match answer {
            Ok(totals) if is_complete(totals) => (totals.backlogs.as_slice(), totals.granted.as_slice()),
            // An older version answers without backlogs: all requests that wait count as granted.
            Ok(totals) if totals.backlogs.is_empty() && totals.totals.len() == adds.len() => {
                (&[][..], &[][..])
            }
            _ => {
                let was_sent = *answer != Err(RpcError::Unreachable);
                self.count(|counts| counts.unanswered_reports += reports.len() as u64);
                for add in reports {
                    let report = report_of(add);
                    self.with_credit(CustomerId(add.tenant), |credit| match was_sent {
                        true => credit.on_answer_lost(report),
                        false => credit.on_report_not_received(report),
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

    /// Adds to counters that this limiter owns and returns one total per addition, in order; NaN if it cannot be added.
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
        let (backlogs, granted) = reports.map(|add| self.receive_report(now, add)).unzip();
        QuotaTotals { totals, backlogs, granted }
    }

    /// Records a report of admissions. Returns the backlog plus 1, ms, or 0 if the tenant is unknown here, and the number of
    /// granted requests.
    fn receive_report(&self, now: Millis, add: &QuotaAdd) -> (u32, u32) {
        let tenant = CustomerId(add.tenant);
        let Some(bounds) = self.credits.borrow().bounds(tenant) else { return (0, add.wanted) };
        // A limiter that counted alone until now has to drop its buckets first. Before a first report on a tenant, the owners
        // have to be current, as the limiter may just have become its owner.
        let has_counted_alone = self.owners_fingerprint.get() == Some(ALONE) && self.view.in_touch();
        if has_counted_alone || !self.backlogs.borrow().contains(tenant) {
            self.check_owners();
        }
        let (backlog, granted) = self.backlogs.borrow_mut().report(now, tenant, report_of(add), &bounds);
        (1 + backlog.ceil() as u32, granted)
    }

    /// Answers another limiter's encoded [`QuotaAdds`] with encoded [`QuotaTotals`]; empty if this limiter counts alone or the
    /// request cannot be decoded.
    pub fn answer(&self, body: bytes::Bytes) -> Vec<u8> {
        match QuotaAdds::decode(body) {
            // A limiter that counts alone gives out its own share only: see `QuotaPartition`.
            Ok(_) if !self.view.in_touch() => Vec::new(),
            Ok(adds) => self.add(&adds.counts).encode_to_vec(),
            Err(_) => Vec::new(),
        }
    }

    /// Number of admissions reported to this limiter beyond a window's bound, over the tenants that it owns.
    pub fn overrun(&self) -> u64 {
        self.backlogs.borrow().overrun().ceil() as u64
    }

    /// The `quotas` table for `oatbankctl`.
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

    /// Logs the number of requests rejected because no owner answered if it exceeds `logged`, and returns it.
    fn log_rejected(&self, logged: u64) -> u64 {
        let counts = self.counts.get();
        if counts.given_up > logged {
            log::warn!(
                "quotas: {} requests rejected since the start because no owner answered; {} waited, {} reports were \
                 unanswered, {} found their quota used up",
                counts.given_up,
                counts.waited,
                counts.unanswered_reports,
                counts.used_up
            );
        }
        counts.given_up
    }

    /// Runs the decision module's timers and the checks of owners, for the life of the process.
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

/// The report attached to an addition.
fn report_of(add: &QuotaAdd) -> Report {
    Report { admitted: add.admitted, wanted: add.wanted, backlog: add.backlog }
}

/// The outcome and total of each of `adds` additions, from an owner's answer. An addition whose answer was lost may have been
/// made: the part of it that a later total does not show is sent again, once.
pub fn outcomes_of(adds: usize, answer: &Result<QuotaTotals, RpcError>) -> Vec<(Outcome, f64)> {
    // NaN: the owner has no room for the counter.
    let outcome = |total: &f64| if total.is_finite() { (Outcome::Ok, *total) } else { (Outcome::Full, 0.0) };
    match answer {
        Ok(answer) if answer.totals.len() == adds => answer.totals.iter().map(outcome).collect(),
        // Totals cannot be matched to additions.
        Ok(_) => vec![(Outcome::Reset, 0.0); adds],
        Err(RpcError::Unreachable) => vec![(Outcome::ConnectFailed, 0.0); adds],
        Err(RpcError::Lost) => vec![(Outcome::TimedOut, 0.0); adds],
    }
}

/// The decision module's quota settings for this number of limiters.
pub fn quota_settings(plans: Vec<Plan>, limiters: f64) -> QuotaSettings {
    QuotaSettings {
        plans,
        max_units: 1.0,
        counter: true,
        counter_timeout: COUNTER_TIMEOUT,
        sync_every: SYNC_INTERVAL,
        flush_after: FLUSH_AFTER,
        sync_share: UNREPORTED_SHARE.min(TOTAL_UNREPORTED_SHARE / limiters),
    }
}
