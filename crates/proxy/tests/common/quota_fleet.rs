//! Simulates many limiters with production quota counters, plans and cluster views in virtual time. They are connected by a
//! simulated network on which limiters can be killed, restarted, isolated and slowed down.

use bytes::Bytes;
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{AgreedState, MemberRow, StateUpdate};
use oatbank_cluster_state::state::{member_state, Millis, SESSION_TIMEOUT};
use oatbank_config_model::Customer;
use oatbank_node_runtime::rpc::RpcError;
use oatbank_node_runtime::settings::Settings;
use oatbank_proxy::config_snapshot::ConfigSnapshot;
use oatbank_proxy::quota_counter::{CountFuture, QuotaCounter, QuotaPeers};
use oatbank_proxy::tenant_plans::TenantPlans;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// The quota window, ms.
const WINDOW: f64 = 5000.0;
/// Interval of updates of sessions, their expiry and plans, ms.
const VIEW_INTERVAL: u64 = 250;
/// Maximum delay after which a limiter sees a change of the others, ms.
const VIEW_LAG: f64 = 400.0;
/// Minimum and maximum one-way latency between two limiters, ms.
const LATENCY: (f64, f64) = (2.0, 22.0);
/// Name of the overloading tenant.
const TENANT: &str = "presses";

/// A simulation: fleet, load and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of arrivals, latencies and fault targets.
    pub seed: u64,
    /// Number of limiters.
    pub limiters: usize,
    /// The tenant's quota, requests per second.
    pub rate: f64,
    /// The tenant's burst, requests.
    pub burst: f64,
    /// Load before the overload, as a share of the quota's rate.
    pub usual_share: f64,
    /// Load during the overload, as a multiple of the load before.
    pub overload: f64,
    /// Start of the overload, ms.
    pub overload_start: u64,
    /// Length of the simulation, ms.
    pub duration: u64,
    /// Faults during the simulation.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// The largest tenant of a deployment of 85 limiters, overloading from 6 s to 16 s.
    pub fn large(seed: u64, faults: Vec<Fault>) -> Scenario {
        Scenario {
            seed,
            limiters: 85,
            rate: 314.0,
            burst: 314.0,
            usual_share: 0.62,
            overload: 8.0,
            overload_start: 6000,
            duration: 16_000,
            faults,
        }
    }
}

/// A fault of one or more limiters.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Start of the fault, ms.
    pub at: u64,
    /// Duration of the fault, ms.
    pub duration: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// The affected limiters.
    pub target: Target,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "not every test uses all")]
pub enum FaultKind {
    /// The limiter is killed, loses its memory, and starts again after the fault.
    Kill,
    /// The limiter leaves gracefully for the duration, stops, and starts again half a second later.
    Restart,
    /// The limiter cannot communicate with other limiters or the core, but clients reach it.
    Isolate,
    /// The limiter's answers are delayed by this, ms.
    Slow(u32),
}

/// The limiters that a fault affects.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "not every test uses all")]
pub enum Target {
    /// The limiter that owns the tenant's counters.
    Owner,
    /// A random share of the limiters, excluding the one that owns the tenant's counters.
    OthersShare(f64),
    /// A random share of the limiters.
    Share(f64),
    /// All limiters, in groups of this size at this interval, ms.
    Rolling(usize, u64),
}

/// Measurements of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Admissions in the fullest window relative to what is allowed.
    pub fullest_window: f64,
    /// Share of requests before the overload that were rejected.
    pub calm_rejected_share: f64,
    /// Admission rate from 3 s after the start of the overload on, relative to the quota's rate.
    pub admitted_share: f64,
    /// Share of requests before the overload that waited longer than 1 ms.
    pub calm_waited_share: f64,
}

#[derive(Clone, Copy, Default)]
struct NodeState {
    is_dead: bool,
    is_leaving: bool,
    is_isolated: bool,
    answer_delay: u32,
    incarnation: u64,
    /// Time at which the core last heard the limiter, ms.
    heard_at: f64,
    /// Heartbeat number at `heard_at`.
    heartbeat: u64,
}

struct Limiter {
    view: Rc<ClusterView>,
    counter: Rc<QuotaCounter>,
    plans: Rc<TenantPlans>,
    counter_task: AbortHandle,
}

struct Fleet {
    scenario: Scenario,
    started: Instant,
    settings: Settings,
    snapshot: ConfigSnapshot,
    customer: Customer,
    node_states: RefCell<Vec<NodeState>>,
    limiters: RefCell<Vec<Option<Rc<Limiter>>>>,
    rng: RefCell<Pcg64Mcg>,
    heartbeat: Cell<u64>,
    /// Calls that each limiter received, halved at each update of the views.
    calls_received: RefCell<Vec<f64>>,
    admitted: RefCell<Vec<Millis>>,
    calm_requests: Cell<u32>,
    calm_rejected: Cell<u32>,
    calm_waited: Cell<u32>,
}

fn name(limiter: usize) -> String {
    format!("edge-{limiter}")
}

fn address(limiter: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + limiter as u16))
}

/// Network access of one limiter.
struct Network {
    fleet: Weak<Fleet>,
    from: usize,
}

impl QuotaPeers for Network {
    fn count(&self, owner: SocketAddr, adds: Vec<u8>, within: Duration) -> CountFuture {
        let (fleet, from) = (self.fleet.clone(), self.from);
        let to = usize::from(owner.port() - 20_000);
        Box::pin(async move {
            let Some(fleet) = fleet.upgrade() else { return Err(RpcError::Lost) };
            // A call that has arrived is processed even if its caller has stopped waiting.
            let delivery = tokio::task::spawn_local(async move { fleet.deliver(from, to, adds).await });
            match tokio::time::timeout(within, delivery).await {
                Ok(Ok(result)) => result,
                _ => Err(RpcError::Lost),
            }
        })
    }
}

impl Fleet {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn random(&self) -> f64 {
        f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX)
    }

    async fn latency(&self) {
        let ms = LATENCY.0 + (LATENCY.1 - LATENCY.0) * self.random();
        sleep(Duration::from_secs_f64(ms / 1000.0)).await;
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let node_states = self.node_states.borrow();
        !node_states[from].is_isolated && !node_states[to].is_isolated
    }

    async fn deliver(&self, from: usize, to: usize, adds: Vec<u8>) -> Result<Bytes, RpcError> {
        self.latency().await;
        if !self.reaches(from, to) {
            std::future::pending::<()>().await;
        }
        let Some(limiter) = self.limiters.borrow()[to].clone() else {
            self.latency().await;
            return Err(RpcError::Unreachable);
        };
        self.calls_received.borrow_mut()[to] += 1.0;
        let answer_delay = self.node_states.borrow()[to].answer_delay;
        sleep(Duration::from_millis(u64::from(answer_delay))).await;
        let answer = limiter.counter.answer(adds.into());
        self.latency().await;
        if !self.reaches(from, to) {
            std::future::pending::<()>().await;
        }
        Ok(answer.into())
    }

    /// Starts a limiter that knows the members and the configuration, as a limiter does before it is ready.
    fn start(self: &Rc<Self>, at: usize) {
        let view = ClusterView::new(MonotonicClock::start(), 1500.0);
        let peers = Rc::new(Network { fleet: Rc::downgrade(self), from: at });
        let counter = QuotaCounter::new(view.clone(), peers, name(at), self.scenario.seed ^ at as u64);
        let plans = Rc::new(TenantPlans::new(view.clone(), counter.clone()));
        let counter_task = tokio::task::spawn_local(counter.clone().run()).abort_handle();
        let mut node_states = self.node_states.borrow_mut();
        node_states[at] = NodeState {
            incarnation: node_states[at].incarnation + 1,
            heard_at: self.now(),
            heartbeat: self.heartbeat.get(),
            ..NodeState::default()
        };
        drop(node_states);
        // All processes agree on the cluster's time.
        view.apply_update(view.now(), StateUpdate { time: 60_000.0 + self.now(), ..StateUpdate::default() });
        let limiter = Rc::new(Limiter { view, counter, plans, counter_task });
        self.update_view(at, &limiter, self.now());
        self.limiters.borrow_mut()[at] = Some(limiter);
    }

    fn stop(&self, at: usize) {
        if let Some(limiter) = self.limiters.borrow_mut()[at].take() {
            limiter.counter_task.abort();
        }
        self.node_states.borrow_mut()[at].is_dead = true;
    }

    /// Updates a limiter's view to the state of the others at time `when`.
    fn update_view(&self, at: usize, limiter: &Limiter, when: f64) {
        let node_states = self.node_states.borrow();
        if node_states[at].is_isolated {
            return;
        }
        limiter.view.confirm(limiter.view.now(), 0);
        limiter.view.change(|table, now| {
            for (other, member) in node_states.iter().enumerate().filter(|(_, member)| member.incarnation > 0)
            {
                let silent = when - member.heard_at;
                let expired = silent > SESSION_TIMEOUT;
                let row = MemberRow {
                    name: name(other),
                    incarnation: member.incarnation,
                    heartbeat: member.heartbeat,
                    inner: address(other).to_string(),
                    state: if member.is_leaving { member_state::LEAVING } else { member_state::READY },
                    expired,
                    age_ms: silent.max(0.0) as u32,
                    edition: 1,
                    ..MemberRow::default()
                };
                table.merge_member(now, &row);
            }
        });
        if limiter.plans.is_outdated() {
            limiter.plans.update(&self.snapshot, &self.settings.bounds);
        }
    }

    /// Updates all views, each after a random delay of up to [`VIEW_LAG`].
    fn refresh_views(self: &Rc<Self>) {
        let when = self.now();
        self.calls_received.borrow_mut().iter_mut().for_each(|calls_received| *calls_received *= 0.5);
        self.heartbeat.set(self.heartbeat.get() + 1);
        for member in
            self.node_states.borrow_mut().iter_mut().filter(|member| !member.is_dead && !member.is_isolated)
        {
            (member.heard_at, member.heartbeat) = (when, self.heartbeat.get());
        }
        let limiters: Vec<_> = self.limiters.borrow().iter().cloned().enumerate().collect();
        for (at, limiter) in limiters.into_iter().filter_map(|(at, limiter)| Some((at, limiter?))) {
            let (fleet, lag) = (self.clone(), self.random() * VIEW_LAG);
            tokio::task::spawn_local(async move {
                sleep(Duration::from_secs_f64(lag / 1000.0)).await;
                fleet.update_view(at, &limiter, when);
                if limiter.plans.is_outdated() {
                    limiter.plans.update(&fleet.snapshot, &fleet.settings.bounds);
                }
            });
        }
    }

    /// Index of the limiter with the most recent calls, taken to be the owner of the tenant's counters.
    fn owner(&self) -> usize {
        let calls_received = self.calls_received.borrow();
        (0..calls_received.len())
            .max_by(|a, b| calls_received[*a].total_cmp(&calls_received[*b]))
            .unwrap_or(0)
    }

    fn targets(&self, target: Target) -> Vec<usize> {
        let owner = self.owner();
        let share = |share: f64, spared: Option<usize>| {
            let mut all: Vec<usize> =
                (0..self.scenario.limiters).filter(|limiter| Some(*limiter) != spared).collect();
            let count = (share * self.scenario.limiters as f64).round() as usize;
            (0..count.min(all.len()))
                .map(|_| all.swap_remove((self.random() * all.len() as f64) as usize % all.len()))
                .collect()
        };
        match target {
            Target::Owner => vec![owner],
            Target::OthersShare(part) => share(part, Some(owner)),
            Target::Share(part) => share(part, None),
            Target::Rolling(..) => (0..self.scenario.limiters).collect(),
        }
    }

    async fn inject_fault(self: Rc<Self>, fault: Fault, at: usize, after: u64) {
        sleep(Duration::from_millis(after)).await;
        let set = |change: &dyn Fn(&mut NodeState)| change(&mut self.node_states.borrow_mut()[at]);
        let duration = Duration::from_millis(fault.duration);
        match fault.kind {
            FaultKind::Kill => {
                self.stop(at);
                sleep(duration).await;
                self.start(at);
            }
            FaultKind::Restart => {
                set(&|state| state.is_leaving = true);
                sleep(duration).await;
                self.stop(at);
                sleep(Duration::from_millis(500)).await;
                self.start(at);
            }
            FaultKind::Isolate => {
                set(&|state| state.is_isolated = true);
                sleep(duration).await;
                set(&|state| state.is_isolated = false);
            }
            FaultKind::Slow(ms) => {
                set(&|state| state.answer_delay = ms);
                sleep(duration).await;
                set(&|state| state.answer_delay = 0);
            }
        }
    }

    async fn schedule_fault(self: Rc<Self>, fault: Fault) {
        sleep_until(self.started + Duration::from_millis(fault.at)).await;
        let (at_once, gap) = match fault.target {
            Target::Rolling(at_once, gap) => (at_once, gap),
            _ => (usize::MAX, 0),
        };
        for (nth, at) in self.targets(fault.target).into_iter().enumerate() {
            let after = (nth / at_once) as u64 * gap;
            tokio::task::spawn_local(self.clone().inject_fault(fault, at, after));
        }
    }

    fn request(self: &Rc<Self>, is_overloaded: bool) {
        let up: Vec<Rc<Limiter>> = self.limiters.borrow().iter().flatten().cloned().collect();
        if up.is_empty() {
            return;
        }
        let limiter = up[(self.random() * up.len() as f64) as usize % up.len()].clone();
        let fleet = self.clone();
        let sent_at = self.now();
        tokio::task::spawn_local(async move {
            let is_admitted = limiter.plans.admit(&fleet.customer).await.is_ok();
            // Excludes the first 1.5 s, when all limiters have just started.
            let is_calm = !is_overloaded && sent_at > 1500.0;
            fleet.calm_requests.set(fleet.calm_requests.get() + u32::from(is_calm));
            fleet.calm_rejected.set(fleet.calm_rejected.get() + u32::from(is_calm && !is_admitted));
            let has_waited = fleet.now() - sent_at > 1.0;
            fleet.calm_waited.set(fleet.calm_waited.get() + u32::from(is_calm && has_waited));
            if is_admitted {
                fleet.admitted.borrow_mut().push(fleet.now());
            }
        });
    }

    async fn run(self: Rc<Self>) {
        for at in 0..self.scenario.limiters {
            self.start(at);
        }
        // Updates views again, as limiters started first did not see later ones.
        self.refresh_views();
        for fault in self.scenario.faults.clone() {
            tokio::task::spawn_local(self.clone().schedule_fault(fault));
        }
        for ms in 0..self.scenario.duration {
            sleep_until(self.started + Duration::from_millis(ms)).await;
            if ms % VIEW_INTERVAL == 0 {
                self.refresh_views();
            }
            let is_overloaded = ms >= self.scenario.overload_start;
            let per_second = self.scenario.rate
                * self.scenario.usual_share
                * if is_overloaded { self.scenario.overload } else { 1.0 };
            let mut due = per_second / 1000.0;
            while due > 0.0 {
                if self.random() < due.min(1.0) {
                    self.request(is_overloaded);
                }
                due -= 1.0;
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut admitted = self.admitted.borrow().clone();
        admitted.sort_by(f64::total_cmp);
        let bounds = &self.settings.bounds;
        let allowed = (self.scenario.rate * WINDOW / 1000.0 + self.scenario.burst)
            * (1.0 + bounds.quota_over)
            + bounds.quota_slack;
        let mut first = 0;
        let mut fullest = 0;
        for (last, at) in admitted.iter().enumerate() {
            while admitted[first] <= at - WINDOW {
                first += 1;
            }
            fullest = fullest.max(last - first + 1);
        }
        let from = self.scenario.overload_start as f64 + 3000.0;
        let late = admitted.iter().filter(|at| **at >= from).count() as f64;
        let span = (self.scenario.duration as f64 - from) / 1000.0;
        Outcome {
            fullest_window: fullest as f64 / allowed,
            calm_rejected_share: f64::from(self.calm_rejected.get())
                / f64::from(self.calm_requests.get().max(1)),
            admitted_share: late / (self.scenario.rate * span),
            calm_waited_share: f64::from(self.calm_waited.get()) / f64::from(self.calm_requests.get().max(1)),
        }
    }
}

/// Runs a scenario. The result is deterministic.
pub fn simulate(scenario: Scenario) -> Outcome {
    let settings = Settings::parse(include_str!("../../../node-runtime/tests/node.toml")).expect("settings");
    let config = format!(
        r#"{{"version":"r1","routes":{{"columns":["name","hostName","pathStart","service"],"rows":[["a","h","/","s"]]}},
        "services":{{"columns":["name"],"rows":[["s"]]}},"limits":{{}},
        "customers":{{"columns":["name","keys","ratePerS","burst"],"rows":[["{TENANT}",["key"],{},{}]]}}}}"#,
        scenario.rate, scenario.burst
    );
    let agreed = AgreedState { config, ..AgreedState::default() };
    let snapshot = ConfigSnapshot::new(1, &agreed, &settings).expect("a configuration");
    let customer = snapshot.configuration().customers.as_ref().expect("a tenant")[0].clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let fleet = Rc::new(Fleet {
            started: Instant::now(),
            settings,
            snapshot,
            customer,
            node_states: RefCell::new(vec![NodeState::default(); scenario.limiters]),
            limiters: RefCell::new((0..scenario.limiters).map(|_| None).collect()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(scenario.seed)),
            heartbeat: Cell::default(),
            calls_received: RefCell::new(vec![0.0; scenario.limiters]),
            admitted: RefCell::default(),
            calm_requests: Cell::default(),
            calm_rejected: Cell::default(),
            calm_waited: Cell::default(),
            scenario,
        });
        fleet.clone().run().await;
        fleet.outcome()
    })
}
