//! Soak test: runs the system's processes under random overlapping faults, with clients that pipeline requests and
//! sometimes disconnect early. [`rules`] defines the guarantees that are checked.
//!
//! Cutting links between the system's processes needs privileges, so processes are stopped instead.

pub mod clients;
pub mod overload;
pub mod resting;
pub mod rules;
pub mod schedule;

use crate::cluster::{LocalCluster, Plan, Role, CORE, INNER_PROXY};
use crate::error::ClusterError;
use crate::operator::{Operator, TestConfiguration};
use crate::server::{Behaviour, Server};
use crate::{shell, wait};
use clients::Exchange;
use overload::{OverloadClient, OverloadTenant};
use rules::{Evidence, Outage, Quota};
use schedule::{Fault, Step, GROUPS};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const HOST: &str = "soak.example";
const READ: &str = "/read/";
const WRITE: &str = "/write/";
/// Path of slow requests, whose clients may disconnect long before the answer.
const HISTORY: &str = "/history/";
const READ_WORK: Duration = Duration::from_millis(15);
const HISTORY_WORK: Duration = Duration::from_millis(800);
/// Number of servers per service.
const SERVERS: usize = 3;
const SLOTS: usize = 24;
/// API key of a tenant without a quota.
const UNLIMITED_KEY: &str = "key-of-unlimited";
/// Window of the quota rule. The quota may be exceeded by the share `QUOTA_OVER` plus `QUOTA_SLACK` requests.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVER: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// Statuses with which servers fail requests that they have run.
const FAILURES: [u16; 4] = [503, 429, 408, 500];
/// Delay between the SIGTERMs of a rolling restart.
const SERIES_GAP: Duration = Duration::from_millis(200);
/// Number of concurrent clients without a quota.
const CLIENTS: u64 = 16;
/// Number of clients whose connections rest.
const RESTING_CLIENTS: u64 = 3;
/// Graceful shutdown time in seconds: half of it for accepting new connections, the rest for completing a request.
const GRACE_S: u64 = 5;
/// Delay between the last request and the final reading of the servers' records.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Parameters of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the fault schedule and of the clients' behaviour.
    pub seed: u64,
    /// Duration of the fault schedule.
    pub span: Duration,
    /// Number of proxies.
    pub proxies: usize,
}

/// Results of a soak.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of requests sent.
    pub requests: usize,
    /// Requests answered with a 2xx status.
    pub served: usize,
    /// Requests whose client disconnected or timed out.
    pub left: usize,
    /// Acknowledged configurations, including the initial one.
    pub changes: usize,
    /// Number of scheduled faults.
    pub faults: usize,
    /// Use of the allowed requests in each tenant's fullest window, as a share.
    pub fullest: Vec<(String, f64)>,
    /// One line for each violation.
    pub violations: Vec<String>,
}

/// State shared by the threads of a soak.
struct Soak {
    cluster: LocalCluster,
    servers: Vec<Server>,
    outages: Mutex<Vec<Outage>>,
    /// One lock per proxy, held while a fault is applied to it.
    busy: Vec<Mutex<()>>,
    /// Version of the newest acknowledged configuration, and the number of acknowledged ones.
    acknowledged: Mutex<(u64, usize)>,
    stop: AtomicBool,
}

/// Runs a soak and returns its results.
///
/// # Errors
/// Returns an error if the system does not start. Faults that fail are reported as violations.
pub fn run(options: &Options) -> Result<Report, ClusterError> {
    let soak = Arc::new(Soak::start(options.proxies)?);
    let fronts = soak.cluster.fronts();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (soak, fronts, seed) = (soak.clone(), fronts.clone(), options.seed);
            std::thread::spawn(move || clients::run(&fronts, seed, number, &soak.stop))
        })
        .collect();
    let mut other_clients: Vec<_> = (0..RESTING_CLIENTS)
        .map(|number| {
            let (soak, fronts, seed) = (soak.clone(), fronts.clone(), options.seed);
            std::thread::spawn(move || resting::run(&fronts, seed, number, &soak.stop))
        })
        .collect();
    let begun = Instant::now();
    for (nth, tenant) in overload::TENANTS.into_iter().enumerate() {
        let periods = overload::draw_periods(options.seed, nth, options.span);
        for connection in 0..overload::CONNECTIONS {
            let (soak, fronts, seed, periods) = (soak.clone(), fronts.clone(), options.seed, periods.clone());
            other_clients.push(std::thread::spawn(move || {
                let client = OverloadClient { tenant, periods, fronts: &fronts, begun, stop: &soak.stop };
                client.run(seed, (nth * overload::CONNECTIONS + connection) as u64)
            }));
        }
    }
    let mut report = Report::default();
    let mut groups = Vec::new();
    for group in 0..GROUPS.len() {
        let (soak, steps) = (soak.clone(), schedule::draw(options.seed, group, options.span));
        report.faults += steps.len();
        groups.push(std::thread::spawn(move || steps.iter().try_for_each(|step| soak.run_step(step))));
    }
    for (group, playing) in groups.into_iter().enumerate() {
        match playing.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => report.violations.push(format!("group {group}: {error}")),
            Err(_) => report.violations.push(format!("group {group} has failed")),
        }
    }
    soak.stop.store(true, Ordering::SeqCst);
    let exchanges = clients
        .into_iter()
        .chain(other_clients)
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    std::thread::sleep(SETTLE_TIME);
    soak.evaluate(exchanges, &mut report);
    Ok(report)
}

impl Soak {
    fn start(proxies: usize) -> Result<Soak, ClusterError> {
        let plan = Plan { proxies, ..Plan::default() }.bound("graceS", GRACE_S);
        let cluster = LocalCluster::start(plan)?;
        Operator::new(cluster.controls()).must_put(&configuration())?;
        let start = |nth: usize| match nth % 3 {
            0 => Server::with(&cluster, nth, "reader", SLOTS, READ_WORK),
            1 => Server::with(&cluster, nth, "writer", SLOTS, READ_WORK),
            _ => Server::with(&cluster, nth, "historian", SLOTS, HISTORY_WORK),
        };
        let servers = (0..3 * SERVERS).map(start).collect::<Result<Vec<_>, _>>()?;
        for server in &servers {
            server.register()?;
        }
        cluster.until_ready()?;
        Ok(Soak {
            cluster,
            servers,
            outages: Mutex::default(),
            busy: (0..proxies).map(|_| Mutex::default()).collect(),
            acknowledged: Mutex::new((configuration().version, 1)),
            stop: AtomicBool::new(false),
        })
    }

    fn run_step(&self, step: &Step) -> Result<(), ClusterError> {
        std::thread::sleep(step.pause);
        let proxies = self.cluster.proxies();
        let proxy = proxies.start + step.target % proxies.len();
        let core = step.target % self.cluster.cores().len();
        let server = &self.servers[step.target % self.servers.len()];
        match step.fault {
            Fault::KillProxy | Fault::FreezeProxy | Fault::EndProxy | Fault::ReloadProxy => {
                self.hit_proxy(step.fault, proxy, step.lasts)?;
            }
            Fault::KillProxies => self.hit_series(step, Fault::KillProxy, Duration::ZERO)?,
            Fault::RollProxies => self.hit_series(step, Fault::EndProxy, SERIES_GAP)?,
            Fault::FreezeProxies => self.hit_series(step, Fault::FreezeProxy, Duration::ZERO)?,
            Fault::KillCore => {
                let programs = CORE.map(|role| (core, role));
                self.cluster.kill_all(&programs);
                std::thread::sleep(step.lasts);
                programs.iter().try_for_each(|(core, role)| self.cluster.run(*core, *role))?;
            }
            Fault::FreezeCore => self.freeze(&CORE.map(|role| (core, role)), step.lasts)?,
            Fault::CutServer => behave(server, Behaviour::Unreachable, step.lasts),
            Fault::LoseAnswers => behave(server, Behaviour::RunThenReset, step.lasts),
            Fault::SlowServer => behave(server, Behaviour::Slow, step.lasts),
            Fault::FailRequests => {
                let status = FAILURES[step.target % FAILURES.len()];
                behave(server, Behaviour::FailsWith(status), step.lasts);
            }
            Fault::ChangeConfiguration => self.change_configuration(),
        }
        Ok(())
    }

    /// Applies a fault to one proxy. Does nothing if another fault is being applied to it.
    fn hit_proxy(&self, fault: Fault, proxy: usize, lasts: Duration) -> Result<(), ClusterError> {
        let Ok(_busy) = self.busy[proxy - self.cluster.proxies().start].try_lock() else { return Ok(()) };
        match fault {
            Fault::KillProxy => self.outage(proxy, || {
                self.cluster.kill(proxy, Role::Proxy);
                std::thread::sleep(lasts);
                self.cluster.run(proxy, Role::Proxy)
            }),
            Fault::FreezeProxy => self.outage(proxy, || self.freeze(&[(proxy, Role::Proxy)], lasts)),
            Fault::EndProxy => self.end_proxy(proxy),
            _ => self.cluster.signal("HUP", &[(proxy, Role::Proxy)]),
        }
    }

    /// Applies overlapping faults to at most two thirds of the proxies (at least one), starting them `gap` apart.
    fn hit_series(&self, step: &Step, fault: Fault, gap: Duration) -> Result<(), ClusterError> {
        let proxies = self.cluster.proxies();
        let count = 1 + step.target % (proxies.len() * 2 / 3).max(1);
        std::thread::scope(|scope| {
            let mut hits = Vec::new();
            for nth in 0..count {
                let proxy = proxies.start + (step.target + nth) % proxies.len();
                hits.push(scope.spawn(move || self.hit_proxy(fault, proxy, step.lasts)));
                std::thread::sleep(gap);
            }
            let failed = |_| Err(ClusterError::Never("all faults of a series are applied".into()));
            hits.into_iter().try_for_each(|hit| hit.join().unwrap_or_else(failed))
        })
    }

    fn outage(
        &self,
        proxy: usize,
        fault: impl FnOnce() -> Result<(), ClusterError>,
    ) -> Result<(), ClusterError> {
        let from = Instant::now();
        let done = fault();
        let proxy = proxy - self.cluster.proxies().start;
        let outage = Outage { proxy, from, until: Instant::now() };
        self.outages.lock().unwrap_or_else(PoisonError::into_inner).push(outage);
        done
    }

    fn freeze(&self, programs: &[(usize, Role)], lasts: Duration) -> Result<(), ClusterError> {
        self.cluster.signal("STOP", programs)?;
        std::thread::sleep(lasts);
        self.cluster.signal("CONT", programs)
    }

    /// Shuts a proxy down gracefully, as in an upgrade, and restarts it. No request may be lost, so this is no outage.
    fn end_proxy(&self, proxy: usize) -> Result<(), ClusterError> {
        self.cluster.signal("TERM", &[(proxy, Role::Proxy)])?;
        let grace = Duration::from_secs(GRACE_S) + Duration::from_millis(500);
        self.cluster.ended(proxy, Role::Proxy, grace)?;
        self.cluster.run(proxy, Role::Proxy)
    }

    /// Submits a configuration based on the current one. Without a 200 answer it may or may not be in force.
    fn change_configuration(&self) {
        let operator = Operator::new(self.cluster.controls());
        let Ok((version, _)) = operator.read() else { return };
        let extra = format!("/extra-{version}/");
        let mut next = configuration().route(&extra, "safe", "reader");
        (next.version, next.built_on) = (version + 3, version);
        if operator.put(&next).is_ok_and(|answered| answered.status == 200) {
            let mut acknowledged = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
            *acknowledged = (next.version, acknowledged.1 + 1);
        }
    }

    fn evaluate(&self, exchanges: Vec<Exchange>, report: &mut Report) {
        report.requests = exchanges.len();
        let is_served = |exchange: &&Exchange| matches!(exchange.outcome, clients::Outcome::Answered(status, _) if (200..300).contains(&status));
        report.served = exchanges.iter().filter(is_served).count();
        report.left = exchanges.iter().filter(|exchange| exchange.outcome == clients::Outcome::Left).count();
        let received = |server: &Server| {
            let id = server.id().to_owned();
            server.seen().into_iter().map(move |request| (id.clone(), request)).collect::<Vec<_>>()
        };
        let evidence = Evidence {
            exchanges,
            received: self.servers.iter().flat_map(received).collect(),
            outages: self.outages.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            quotas: overload::TENANTS.iter().map(quota_of).collect(),
            ended: Some(Instant::now()),
        };
        report.fullest = fullest_windows(&evidence);
        report.violations.extend(evidence.violations());
        report
            .violations
            .extend(self.cluster.lost().iter().map(|program| format!("ended by itself: {program}")));
        self.check_configuration(report);
        self.check_invariants(report);
        self.cluster.end();
    }

    /// Checks that the configuration read back is at least as new as the newest acknowledged one.
    fn check_configuration(&self, report: &mut Report) {
        let (version, changes) = *self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        report.changes = changes;
        let read = wait::until(wait::LONG, "the configuration can be read", || {
            Operator::new(self.cluster.controls()).read().ok()
        });
        match read {
            Ok((read, _)) if read >= version => {}
            Ok((read, _)) => {
                report.violations.push(format!("CONFIG: r{read} is read, r{version} was acknowledged"));
            }
            Err(error) => report.violations.push(format!("CONFIG: {error}")),
        }
    }

    /// Checks the invariants that proxies report through the shell, and their logs, which include those of ended processes.
    fn check_invariants(&self, report: &mut Report) {
        for proxy in self.cluster.proxies() {
            match shell::ask(self.cluster.inner(proxy, INNER_PROXY), &["invariants"]) {
                Some(table) => {
                    let broken = table.rows.iter().filter(|row| row.get(1).is_none_or(|count| count != "0"));
                    let line = |row: &Vec<String>| format!("INVARIANT at proxy {proxy}: {}", row.join(": "));
                    report.violations.extend(broken.map(line));
                }
                None => report.violations.push(format!("proxy {proxy} does not answer")),
            }
            if let Some(line) = self.cluster.logged(proxy, Role::Proxy, "invariant violated") {
                report.violations.push(format!("INVARIANT in the log of proxy {proxy}: {line}"));
            }
        }
    }
}

/// Returns the requests allowed per window for a tenant whose burst equals one second of its rate.
fn quota_of(tenant: &OverloadTenant) -> Quota {
    let given = tenant.rate * QUOTA_WINDOW.as_secs_f64() + tenant.rate;
    let allowed = (given * (1.0 + QUOTA_OVER) + QUOTA_SLACK).floor() as usize;
    Quota { tenant: tenant.name.to_owned(), window: QUOTA_WINDOW, allowed }
}

fn fullest_windows(evidence: &Evidence) -> Vec<(String, f64)> {
    let sent = evidence.exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange.sent)).collect();
    let share = |quota: &Quota| {
        let ran = evidence.fullest_window(quota, &sent).map_or(0, |(ran, _)| ran);
        (quota.tenant.clone(), ran as f64 / quota.allowed as f64)
    };
    evidence.quotas.iter().map(share).collect()
}

fn behave(server: &Server, behaviour: Behaviour, lasts: Duration) {
    server.set_behaviour(behaviour);
    std::thread::sleep(lasts);
    server.set_behaviour(Behaviour::Serve);
}

fn configuration() -> TestConfiguration {
    let routes = TestConfiguration::new(HOST)
        .route(READ, "safe", "reader")
        .route(WRITE, "unsafe", "writer")
        .route(HISTORY, "safe", "historian")
        .tenant("unlimited", &[UNLIMITED_KEY], 0.0);
    overload::TENANTS.iter().fold(routes, |all, tenant| all.tenant(tenant.name, &[tenant.key], tenant.rate))
}
