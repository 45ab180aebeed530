//! Simulated followers, which hold a session and process all updates as a proxy does but serve no clients. Many share one
//! single-threaded process.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{MemberRow, ObservationRow};
use oatbank_cluster_state::replication::{follow_once, FollowOptions, FollowResult, ReplicationPosition};
use oatbank_cluster_state::state::member_state;
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::rpc::RpcClient;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time in milliseconds for which a registry may hold a response, as in a proxy's session.
const HOLD: u32 = 600;
/// Delay before a follower connects to the next core machine, as in a proxy's session.
const AGAIN: Duration = Duration::from_millis(60);
/// Interval between status lines.
const TELL: Duration = Duration::from_millis(500);

/// Configuration of one process of followers.
#[derive(Clone, Debug)]
pub struct Cast {
    /// Prefix of the followers' names.
    pub name: String,
    /// Number of followers.
    pub many: usize,
    /// Number of followers that hold a session but discard all updates.
    pub deaf: usize,
    /// Addresses of the registries.
    pub registries: Vec<SocketAddr>,
    /// Zones and their regions, assigned round-robin.
    pub zones: Vec<(String, String)>,
    /// Approximate heartbeat interval of servers, in milliseconds.
    pub heartbeat_interval: f64,
    /// Server observations that each follower sends per second. One observation alone does not make a server suspect.
    pub observations: f64,
}

impl Cast {
    /// Formats the configuration as command-line arguments.
    fn words(&self) -> Vec<String> {
        let list = |items: Vec<String>| items.join(",");
        vec![
            self.name.clone(),
            self.many.to_string(),
            self.deaf.to_string(),
            list(self.registries.iter().map(ToString::to_string).collect()),
            list(self.zones.iter().map(|(zone, region)| format!("{zone}={region}")).collect()),
            self.heartbeat_interval.to_string(),
            self.observations.to_string(),
        ]
    }

    /// Parses the configuration from command-line arguments. Returns `None` if they are invalid.
    pub fn read(words: &[String]) -> Option<Cast> {
        let [name, many, deaf, registries, zones, heartbeat_interval, observations] = words else {
            return None;
        };
        let zone = |z: &str| z.split_once('=').map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        Some(Cast {
            name: name.clone(),
            many: many.parse().ok()?,
            deaf: deaf.parse().ok()?,
            registries: registries.split(',').map(|r| r.parse().ok()).collect::<Option<_>>()?,
            zones: zones.split(',').map(zone).collect::<Option<_>>()?,
            heartbeat_interval: heartbeat_interval.parse().ok()?,
            observations: observations.parse().ok()?,
        })
    }
}

/// Progress of the followers of one process.
struct Tally {
    versions: RefCell<Vec<u64>>,
    least: Cell<u64>,
    /// Number of calls that received a response.
    call_count: Cell<u64>,
}

impl Tally {
    /// Records the version applied by follower `nth`. Returns the lowest version of all followers if it has increased.
    fn takes(&self, nth: usize, version: u64) -> Option<u64> {
        let mut versions = self.versions.borrow_mut();
        if std::mem::replace(&mut versions[nth], version) > self.least.get() {
            return None;
        }
        let least = versions.iter().copied().min().unwrap_or(0);
        (self.least.replace(least) < least).then_some(least)
    }
}

/// Parses the version number at the start of a configuration. Returns 0 if there is none.
fn version(config: &str) -> u64 {
    let digits = config.strip_prefix("{\"version\":\"r").and_then(|rest| rest.split('"').next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Builds an observation of a server. Consecutive observations cycle through four servers.
fn observation(observer: &str, incarnation: u64, seq: u32) -> ObservationRow {
    ObservationRow {
        server: format!("i-{:06x}-0000", seq % 4),
        observer: observer.to_owned(),
        incarnation,
        seq: seq + 1,
        failing: vec![40, 10],
        slow: vec![20, 10],
        goods: seq % 50,
        ..ObservationRow::default()
    }
}

/// Runs one follower's session forever.
async fn hold_ms(cast: Rc<Cast>, nth: usize, view: Rc<ClusterView>, tally: Rc<Tally>) {
    // A follower that discards updates writes them to a view that nothing reads.
    let ear = if nth < cast.deaf {
        ClusterView::new(MonotonicClock::start(), cast.heartbeat_interval)
    } else {
        view.clone()
    };
    let (zone, region) = cast.zones[nth % cast.zones.len()].clone();
    let (incarnation, name) = (random_u64().max(1), format!("{}-{nth}", cast.name));
    let (mut heartbeat, mut observation_changes) = (0, 0);
    for at in nth.. {
        let link = RpcClient::new(cast.registries[at % cast.registries.len()]);
        let mut place = ReplicationPosition::default();
        let mut hold_ms = 0;
        loop {
            heartbeat += 1;
            let member = MemberRow {
                name: name.clone(),
                incarnation,
                heartbeat,
                zone: zone.clone(),
                region: region.clone(),
                state: member_state::READY,
                edition: view.edition(),
                ..MemberRow::default()
            };
            let due = (view.now() / 1000.0 * cast.observations) as u32;
            let observations =
                (observation_changes..due).map(|seq| observation(&name, incarnation, seq)).collect();
            observation_changes = due;
            let (name, member) = (name.clone(), Some(member));
            let options = FollowOptions { name, hold_ms, member, observations, ..FollowOptions::default() };
            if follow_once(&ear, &link, &mut place, options).await == FollowResult::NoResponse {
                break;
            }
            tally.call_count.set(tally.call_count.get() + 1);
            hold_ms = HOLD;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Runs all followers of a process. Exits when standard input is closed.
pub fn run(cast: Cast) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building the runtime failed");
    // Standard input closes when the parent process ends.
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_line(&mut String::new());
        std::process::exit(0);
    });
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (many, cast) = (cast.many, Rc::new(cast));
        let tally = Rc::new(Tally {
            versions: RefCell::new(vec![0; many]),
            least: Cell::new(0),
            call_count: Cell::new(0),
        });
        let mut all = Vec::new();
        for nth in 0..many {
            let view = ClusterView::new(MonotonicClock::start(), cast.heartbeat_interval);
            let (looked, edition, acknowledged) = (Rc::downgrade(&view), Cell::new(0), tally.clone());
            view.on_change(Rc::new(move || {
                let Some(view) = looked.upgrade() else { return };
                if edition.replace(view.edition()) != view.edition() {
                    if let Some(least) = acknowledged.takes(nth, version(&view.agreed_state().config)) {
                        say(&format!("all {least}"));
                    }
                }
            }));
            all.push(view.clone());
            tokio::task::spawn_local(hold_ms(cast.clone(), nth, view, tally.clone()));
        }
        loop {
            tokio::time::sleep(TELL).await;
            let servers =
                all.iter().map(|view| view.with(|table, _| table.server_rows().count())).min().unwrap_or(0);
            let limiters_behind = tally.versions.borrow().iter().filter(|v| **v == 0).count();
            say(&format!("state {} {servers} {limiters_behind}", tally.call_count.get()));
        }
    });
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let acknowledged = writeln!(out, "{line}").and_then(|()| out.flush());
    if acknowledged.is_err() {
        std::process::exit(0);
    }
}

/// Status reported by a process of followers.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// Time at which all followers of the process had applied a version or a newer one.
    pub all: BTreeMap<u64, Instant>,
    /// Number of calls that received a response.
    pub call_count: u64,
    /// Lowest number of servers known to any of the followers.
    pub servers: usize,
    /// Number of followers without a configuration.
    pub limiters_behind: usize,
}

impl Said {
    fn hear(&mut self, line: &str) {
        let mut words = line.split(' ');
        let kind = words.next();
        let mut next = || words.next().and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
        match kind {
            Some("all") => _ = self.all.insert(next(), Instant::now()),
            Some("state") => {
                (self.call_count, self.servers, self.limiters_behind) =
                    (next(), next() as usize, next() as usize);
            }
            _ => {}
        }
    }

    /// Returns when all followers had applied this version or a newer one.
    pub fn in_force(&self, version: u64) -> Option<Instant> {
        self.all.range(version..).next().map(|(_, at)| *at)
    }
}

/// A child process that runs followers. Dropping it kills the process.
pub struct Hollow {
    child: Child,
    said: Arc<Mutex<Said>>,
}

impl Hollow {
    /// Starts the current executable as a process of followers.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub fn start(cast: &Cast) -> std::io::Result<Hollow> {
        let own = std::env::current_exe()?;
        let mut child = Command::new(own)
            .arg("hollow")
            .args(cast.words())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let said = Arc::new(Mutex::new(Said { limiters_behind: cast.many, ..Said::default() }));
        let (heard, out) = (said.clone(), child.stdout.take());
        std::thread::spawn(move || {
            for line in BufReader::new(out?).lines() {
                heard.lock().ok()?.hear(&line.ok()?);
            }
            Some(())
        });
        Ok(Hollow { child, said })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the latest reported status.
    pub fn said(&self) -> Said {
        self.said.lock().map(|said| said.clone()).unwrap_or_default()
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
