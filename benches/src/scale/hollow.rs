//! Followers that hold a session and take in and digest all news as a proxy does, and serve nobody. Many share a
//! process and its one thread.

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

/// As a proxy's session: how long an answer may be held, ms, and when the next core machine is asked.
const HOLD: u32 = 600;
const AGAIN: Duration = Duration::from_millis(60);
const TELL: Duration = Duration::from_millis(500);

/// What one process of followers is.
#[derive(Clone, Debug)]
pub struct Cast {
    /// What their names begin with.
    pub name: String,
    /// How many there are.
    pub many: usize,
    /// So many of them hold their sessions and take in nothing.
    pub deaf: usize,
    /// Where registries answer.
    pub registries: Vec<SocketAddr>,
    /// Zones with their regions, gone round.
    pub zones: Vec<(String, String)>,
    /// Servers speak up about this often, ms.
    pub heartbeat_interval: f64,
    /// Each follower says so often a second how a server fares, by a word that makes none doubtful by itself.
    pub observations: f64,
}

impl Cast {
    /// As arguments of the process.
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

    /// From the arguments of the process.
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

/// What the followers of one process have taken in.
struct Tally {
    versions: RefCell<Vec<u64>>,
    least: Cell<u64>,
    /// Calls that were answered.
    call_count: Cell<u64>,
}

impl Tally {
    /// The follower `nth` acts by this version now; whether the last one acts by a newer one with it.
    fn takes(&self, nth: usize, version: u64) -> Option<u64> {
        let mut versions = self.versions.borrow_mut();
        if std::mem::replace(&mut versions[nth], version) > self.least.get() {
            return None;
        }
        let least = versions.iter().copied().min().unwrap_or(0);
        (self.least.replace(least) < least).then_some(least)
    }
}

/// The number of a configuration's version, read off its beginning; 0 for none.
fn version(config: &str) -> u64 {
    let digits = config.strip_prefix("{\"version\":\"r").and_then(|rest| rest.split('"').next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// What a follower says of a server, each time of another one of a few.
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

/// Holds one follower's session, without end.
async fn hold_ms(cast: Rc<Cast>, nth: usize, view: Rc<ClusterView>, tally: Rc<Tally>) {
    // What a deaf one hears goes where nobody looks.
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

/// Runs all followers of a process, until its input ends.
pub fn run(cast: Cast) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    // Who started this process has ended: so does it.
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

/// What a process of followers said of itself.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// When all of its followers acted by a version, or a newer one.
    pub all: BTreeMap<u64, Instant>,
    /// Calls that were answered.
    pub call_count: u64,
    /// Servers that the least knowing of them knows.
    pub servers: usize,
    /// Followers without any configuration.
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

    /// When all of its followers acted by this version.
    pub fn in_force(&self, version: u64) -> Option<Instant> {
        self.all.range(version..).next().map(|(_, at)| *at)
    }
}

/// A process of followers.
pub struct Hollow {
    child: Child,
    said: Arc<Mutex<Said>>,
}

impl Hollow {
    /// Starts one: this program once more.
    ///
    /// # Errors
    /// When it does not start.
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

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it said so far.
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
