//! Measures the real system under load from outside, varying one quantity while all others are constant.

use super::fit;
use super::gauge::{self, Party, Usage};
use super::hollow::{Cast, Hollow};
use super::load::{Beats, Operator, OperatorCommand, Servers, Size};
use oatbank_local_cluster::cluster::{LocalCluster, Plan, Role, INNER_REGISTRY, ZONES};
use oatbank_local_cluster::shell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Maximum number of followers per process.
const SHARED: usize = 500;

/// Values of all quantities. The defaults apply while another quantity is swept.
#[derive(Clone, Debug)]
pub struct Load {
    /// Number of core machines.
    pub cores: usize,
    /// Number of real proxies.
    pub proxies: usize,
    /// Number of simulated followers.
    pub followers: usize,
    /// Number of followers that discard all updates.
    pub deaf: usize,
    /// Number of servers.
    pub servers: usize,
    /// Heartbeats of all servers per second.
    pub beats: f64,
    /// Servers replaced per second.
    pub churn: f64,
    /// Server observations sent by all followers per second.
    pub observations: f64,
    /// Size of the configuration.
    pub size: Size,
    /// Configuration changes per second.
    pub changes: f64,
    /// Duration of the measurement.
    pub span: Duration,
    /// Timeout for all followers to receive the full state.
    pub patience: Duration,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            cores: 3,
            proxies: 2,
            followers: 40,
            deaf: 0,
            servers: 300,
            beats: 200.0,
            churn: 0.3,
            observations: 0.0,
            size: Size { routes: 1000, tenants: 1000, services: 100 },
            changes: 0.5,
            span: Duration::from_secs(10),
            patience: Duration::from_secs(30),
        }
    }
}

/// A quantity that can be swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Number of simulated followers.
    Followers,
    /// Number of servers, at a constant total heartbeat rate.
    Servers,
    /// Heartbeats per second of a constant number of servers.
    Beats,
    /// Number of servers replaced per second.
    Churn,
    /// Server observations sent by followers per second.
    Notices,
    /// Number of services.
    Services,
    /// Number of routes.
    Routes,
    /// Number of tenants.
    Tenants,
    /// Configuration changes per second.
    Changes,
    /// Number of core machines.
    Cores,
}

/// All quantities with their names and the sizes to sweep.
pub const ALL: [(Quantity, &str, &[f64]); 10] = [
    (Quantity::Followers, "followers", &[60.0, 125.0, 250.0, 500.0, 1000.0]),
    (Quantity::Servers, "servers", &[1000.0, 4000.0, 16_000.0, 40_000.0, 80_000.0]),
    (Quantity::Beats, "beats", &[250.0, 500.0, 1000.0, 2000.0, 4000.0]),
    (Quantity::Churn, "churn", &[0.5, 1.0, 2.0, 4.0, 8.0]),
    (Quantity::Notices, "notices", &[5.0, 10.0, 20.0, 40.0]),
    (Quantity::Services, "services", &[30.0, 100.0, 300.0, 1000.0]),
    (Quantity::Routes, "routes", &[100.0, 1000.0, 10_000.0, 30_000.0, 60_000.0, 110_000.0]),
    (Quantity::Tenants, "tenants", &[1000.0, 10_000.0, 30_000.0, 90_000.0, 360_000.0]),
    (Quantity::Changes, "changes", &[0.25, 0.5, 1.0, 2.0, 4.0]),
    (Quantity::Cores, "cores", &[3.0, 5.0, 7.0, 9.0]),
];

impl Quantity {
    /// Returns the load `held` with this quantity set to `size`.
    pub fn at(self, size: f64, held: &Load) -> Load {
        let mut load = held.clone();
        let count = size as usize;
        match self {
            Quantity::Followers => load.followers = count,
            Quantity::Servers => load.servers = count,
            Quantity::Beats => load.beats = size,
            Quantity::Churn => load.churn = size,
            Quantity::Notices => load.observations = size,
            Quantity::Services => load.size.services = count,
            Quantity::Routes => load.size.routes = count,
            Quantity::Tenants => load.size.tenants = count,
            Quantity::Changes => load.changes = size,
            Quantity::Cores => load.cores = count,
        }
        load
    }
}

/// Measurements at one size by role and resource, each per process of the role or per follower.
pub type Point = BTreeMap<(&'static str, String), f64>;

/// Returns the heartbeat interval of each server.
fn heartbeat_interval(load: &Load) -> Duration {
    Duration::from_secs_f64(load.servers as f64 / load.beats.max(0.1))
}

/// Returns the zones and their regions.
fn zones() -> Vec<(String, String)> {
    ZONES.iter().map(|(zone, region)| ((*zone).into(), (*region).into())).collect()
}

/// Starts the processes of simulated followers.
pub(super) fn followers(cluster: &LocalCluster, load: &Load) -> Result<Vec<Hollow>, String> {
    let registries = cluster.cores().map(|core| cluster.inner(core, INNER_REGISTRY)).collect::<Vec<_>>();
    let hollows = (0..load.followers.div_ceil(SHARED)).map(|at| {
        let many = SHARED.min(load.followers - at * SHARED);
        let deaf = load.deaf.saturating_sub(at * SHARED).min(many);
        let heartbeat_interval = heartbeat_interval(load).as_secs_f64() * 1000.0;
        let (name, registries) = (format!("hollow-{at}"), registries.clone());
        let observations = load.observations / load.followers.max(1) as f64;
        Hollow::start(&Cast {
            name,
            many,
            deaf,
            registries,
            zones: zones(),
            heartbeat_interval,
            observations,
        })
    });
    hollows.collect::<Result<Vec<_>, _>>().map_err(|e| e.to_string())
}

/// A running system under load.
pub(super) struct Rig {
    pub(super) cluster: LocalCluster,
    pub(super) hollows: Vec<Hollow>,
    beats: Beats,
    pub(super) operator: Operator,
}

impl Rig {
    /// Starts the system and waits until every follower has the full state.
    pub(super) fn start(load: &Load) -> Result<Rig, String> {
        let every = heartbeat_interval(load);
        let (cores, proxies, beat_every_ms) = (load.cores, load.proxies, every.as_millis() as u64);
        let plan = Plan { cores, proxies, beat_every_ms, log_level: "info", ..Plan::default() };
        let cluster = LocalCluster::start(plan).map_err(|e| e.to_string())?;
        let mut operator = Operator::new(load.size, cluster.controls()[0]);
        let until = Instant::now() + load.patience;
        while let Err(e) = operator.order() {
            if Instant::now() > until || e.contains("413") {
                return Err(e);
            }
        }
        let servers = Servers {
            many: load.servers,
            services: load.size.services,
            zones: ZONES.iter().map(|(zone, _)| (*zone).into()).collect(),
            every,
            churn: load.churn,
        };
        let beats = Beats::start(&servers, &cluster.controls());
        let hollows = followers(&cluster, load)?;
        let rig = Rig { cluster, hollows, beats, operator };
        rig.until_known(load)?;
        Ok(rig)
    }

    pub(super) fn until_known(&self, load: &Load) -> Result<(), String> {
        let until = Instant::now() + load.patience;
        loop {
            let said: Vec<_> = self.hollows.iter().map(Hollow::said).collect();
            let limiters_behind: usize = said.iter().map(|s| s.limiters_behind).sum();
            let servers = said.iter().map(|s| s.servers).min().unwrap_or(load.servers);
            if limiters_behind == 0 && servers >= load.servers {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!(
                    "{limiters_behind} of {} followers have taken in no configuration, the least knowing one {servers} of {} \
                     servers after {} s",
                    load.followers,
                    load.servers,
                    load.patience.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    pub(super) fn parties(&self) -> Vec<Party> {
        let mut parties = vec![Party { role: "load", pid: std::process::id() }];
        let roles = [(Role::Store, "store"), (Role::Registry, "registry"), (Role::Proxy, "proxy")];
        for machine in self.cluster.cores().chain(self.cluster.proxies()) {
            for (role, name) in roles {
                parties.extend(self.cluster.process(machine, role).map(|pid| Party { role: name, pid }));
            }
        }
        parties.extend(self.hollows.iter().map(|h| Party { role: "follower", pid: h.pid() }));
        parties
    }

    /// Changes the configuration at the load's rate for the duration of the measurement.
    fn change(&mut self, load: &Load) -> Result<Vec<OperatorCommand>, String> {
        let (began, mut operator_command) = (Instant::now(), Vec::new());
        while began.elapsed() < load.span {
            let due = (began.elapsed().as_secs_f64() * load.changes) as usize;
            if operator_command.len() < due {
                operator_command.push(self.operator.order()?);
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(operator_command)
    }

    /// Returns when the last follower had applied each of these commands.
    pub(super) fn in_force(
        &self,
        operator_command: &[OperatorCommand],
        patience: Duration,
    ) -> Result<Vec<Instant>, String> {
        let until = Instant::now() + patience;
        loop {
            let said: Vec<_> = self.hollows.iter().map(Hollow::said).collect();
            let last = |order: &OperatorCommand| {
                said.iter().map(|s| s.in_force(order.version)).collect::<Option<Vec<_>>>()?.into_iter().max()
            };
            if let Some(all) = operator_command.iter().map(last).collect::<Option<Vec<_>>>() {
                return Ok(all);
            }
            if Instant::now() > until {
                return Err(format!("a change was in force nowhere near all after {} s", patience.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Starts the system under a load and measures it.
///
/// # Errors
/// Describes the failure if the system cannot be measured, for example if followers do not receive the full state.
pub fn measure(load: &Load) -> Result<Point, String> {
    let mut rig = Rig::start(load)?;
    // Excludes the cost of startup from the measurement.
    std::thread::sleep(Duration::from_secs(2));
    let parties = rig.parties();
    let call_count = |rig: &Rig| rig.hollows.iter().map(|h| h.said().call_count).sum::<u64>();
    let read = || gauge::read(&parties).map_err(|e| format!("connections: {e}"));
    let (before, acknowledged, called, began) =
        (read()?, rig.beats.acknowledged(), call_count(&rig), Instant::now());
    let operator_command = rig.change(load)?;
    let (after, span) = (read()?, began.elapsed().as_secs_f64());
    let (told_after, called_after) = (rig.beats.acknowledged(), call_count(&rig));
    let in_force = rig.in_force(&operator_command, load.patience)?;
    let mut point = by_role(&parties, &before, &after, span, load.followers);
    let mut put = |role, resource: &str, value| point.insert((role, resource.to_owned()), value);
    put("load", "words taken/s", (told_after.0 - acknowledged.0) as f64 / span);
    put("load", "words refused/s", (told_after.1 - acknowledged.1) as f64 / span);
    put("load", "changes/s", operator_command.len() as f64 / span);
    if load.followers > 0 {
        put("follower", "calls/s", (called_after - called) as f64 / span / load.followers as f64);
    }
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_secs_f64() * 1000.0;
    let times = |of: &dyn Fn(&OperatorCommand, Instant) -> f64| -> Vec<f64> {
        let mut all: Vec<f64> =
            operator_command.iter().zip(&in_force).map(|(order, at)| of(order, *at)).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let kinds: [(&str, Vec<f64>); 3] = [
        ("acknowledged", times(&|order, _| ms(order.sent, order.acked))),
        ("in force after acknowledgement", times(&|order, at| ms(order.acked, at))),
        ("in force after sending", times(&|order, at| ms(order.sent, at))),
    ];
    for (what, times) in kinds {
        let Some(most) = times.last() else { continue };
        put("order", &format!("{what}, median ms"), times[times.len() / 2]);
        put("order", &format!("{what}, most ms"), *most);
    }
    let disks: Vec<u64> = rig.cluster.cores().map(|core| gauge::disk(&rig.cluster.data(core))).collect();
    put("store", "disk MB", disks.iter().sum::<u64>() as f64 / 1e6 / disks.len() as f64);
    for words in ["limiters", "servers"] {
        let began = Instant::now();
        let acknowledged = shell::ask(rig.cluster.inner(0, INNER_REGISTRY), &[words]);
        put("shell", &format!("{words} ms"), began.elapsed().as_secs_f64() * 1000.0);
        put("shell", &format!("{words} rows"), acknowledged.map_or(0.0, |table| table.rows.len() as f64));
    }
    let lost = rig.cluster.lost();
    if lost.is_empty() {
        Ok(point)
    } else {
        Err(format!("a program has ended by itself: {}", lost.join(", ")))
    }
}

fn by_role(parties: &[Party], before: &[Usage], after: &[Usage], span: f64, followers: usize) -> Point {
    let mut point = Point::new();
    for role in ["registry", "store", "proxy", "follower", "load"] {
        let all = || parties.iter().zip(before.iter().zip(after)).filter(|(party, _)| party.role == role);
        let of = if role == "follower" { followers } else { all().count() } as f64;
        if of == 0.0 {
            continue;
        }
        for (_, (before, after)) in all() {
            let mut add =
                |resource: String, value: f64| *point.entry((role, resource)).or_default() += value / of;
            add("processor ms/s".into(), (after.cpu - before.cpu).as_secs_f64() * 1000.0 / span);
            add("peak MB".into(), after.peak as f64 / 1e6);
            add("connections".into(), after.open as f64);
            for (other, flow) in after.flows_since(before) {
                let (kb_in, kb_out) = (flow.bytes_in as f64 / 1e3 / span, flow.bytes_out as f64 / 1e3 / span);
                add("kB/s in".into(), kb_in);
                add("kB/s out".into(), kb_out);
                add("messages/s in".into(), flow.messages_in as f64 / span);
                add("messages/s out".into(), flow.messages_out as f64 / span);
                add(format!("kB/s in from {other}"), kb_in);
                add(format!("kB/s out to {other}"), kb_out);
            }
        }
    }
    point
}

/// Formats one point, with a line for each role.
pub fn show(quantity: &str, size: f64, point: &Point) -> String {
    let mut out = String::new();
    let mut last = "";
    for ((role, resource), value) in point {
        if *role != last {
            let _ = write!(out, "{}{quantity} {size}, {role}:", if last.is_empty() { "" } else { "\n" });
            last = role;
        }
        let _ = write!(out, " {resource} {value:.2};");
    }
    out
}

/// Formats the fits of everything measured at three or more sizes.
pub fn fits(quantity: &str, points: &[(f64, Point)]) -> String {
    let mut all: BTreeMap<&(&'static str, String), Vec<(f64, f64)>> = BTreeMap::new();
    for (size, point) in points {
        point.iter().for_each(|(key, value)| all.entry(key).or_default().push((*size, *value)));
    }
    let mut out = String::new();
    for ((role, resource), points) in all {
        let Some(line) = fit::line(&points) else { continue };
        let _ = write!(
            out,
            "fit {quantity}, {role}, {resource}: {:.3} + {:.6} each (R2 {:.3}, {})",
            line.base,
            line.slope,
            line.r2,
            fit::word(line.r2)
        );
        if let Some(power) = fit::power(&points) {
            let _ =
                write!(out, "; power {:.2} (R2 {:.3}, {})", power.exponent, power.r2, fit::word(power.r2));
        }
        out.push('\n');
    }
    out
}

/// Sweeps a quantity and reports each size as it is measured. Returns false if the first size could not be measured. A
/// failure at a later size is a valid result: it shows the limit of the system.
pub fn sweep(quantity: Quantity, name: &str, sizes: &[f64], held: &Load, tell: &mut dyn FnMut(&str)) -> bool {
    let mut points = Vec::new();
    for size in sizes {
        match measure(&quantity.at(*size, held)) {
            Ok(point) => {
                tell(&show(name, *size, &point));
                points.push((*size, point));
            }
            Err(e) => {
                tell(&format!("{name} ends at {size}: {e}"));
                break;
            }
        }
    }
    tell(&fits(name, &points));
    !points.is_empty()
}
