//! Followers that hold a session and take in and digest all news as a proxy does, and serve nobody. Many share a
//! process and its one thread.

use oatbank_cluster_state::messages::{MemberRow, NoticeRow};
use oatbank_cluster_state::replication::{ask, Asking, Heard, Knowledge, Place, Steady};
use oatbank_cluster_state::state::member_state;
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::rpc::Link;
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
    pub beat_every: f64,
    /// Each follower says so often a second how a server fares, by a word that makes none doubtful by itself.
    pub notices: f64,
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
            self.beat_every.to_string(),
            self.notices.to_string(),
        ]
    }

    /// From the arguments of the process.
    pub fn read(words: &[String]) -> Option<Cast> {
        let [name, many, deaf, registries, zones, beat_every, notices] = words else { return None };
        let zone = |z: &str| z.split_once('=').map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        Some(Cast {
            name: name.clone(),
            many: many.parse().ok()?,
            deaf: deaf.parse().ok()?,
            registries: registries.split(',').map(|r| r.parse().ok()).collect::<Option<_>>()?,
            zones: zones.split(',').map(zone).collect::<Option<_>>()?,
            beat_every: beat_every.parse().ok()?,
            notices: notices.parse().ok()?,
        })
    }
}

/// What the followers of one process have taken in.
struct Tally {
    versions: RefCell<Vec<u64>>,
    least: Cell<u64>,
    /// Calls that were answered.
    calls: Cell<u64>,
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
fn notice(observer: &str, life: u64, seq: u32) -> NoticeRow {
    NoticeRow {
        server: format!("i-{:06x}-0000", seq % 4),
        observer: observer.to_owned(),
        life,
        seq: seq + 1,
        failing: vec![40, 10],
        slow: vec![20, 10],
        goods: seq % 50,
        ..NoticeRow::default()
    }
}

/// Holds one follower's session, without end.
async fn hold(cast: Rc<Cast>, nth: usize, known: Rc<Knowledge>, tally: Rc<Tally>) {
    // What a deaf one hears goes where nobody looks.
    let ear = if nth < cast.deaf { Knowledge::new(Steady::start(), cast.beat_every) } else { known.clone() };
    let (zone, region) = cast.zones[nth % cast.zones.len()].clone();
    let (life, name) = (chance().max(1), format!("{}-{nth}", cast.name));
    let (mut beat, mut noticed) = (0, 0);
    for at in nth.. {
        let link = Link::new(cast.registries[at % cast.registries.len()]);
        let mut place = Place::default();
        let mut hold = 0;
        loop {
            beat += 1;
            let member = MemberRow {
                name: name.clone(),
                life,
                beat,
                zone: zone.clone(),
                region: region.clone(),
                state: member_state::READY,
                edition: known.edition(),
                ..MemberRow::default()
            };
            let due = (known.now() / 1000.0 * cast.notices) as u32;
            let notices = (noticed..due).map(|seq| notice(&name, life, seq)).collect();
            noticed = due;
            let (name, member) = (name.clone(), Some(member));
            let asking = Asking { name, hold, member, notices, ..Asking::default() };
            if ask(&ear, &link, &mut place, asking).await == Heard::Nothing {
                break;
            }
            tally.calls.set(tally.calls.get() + 1);
            hold = HOLD;
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
            calls: Cell::new(0),
        });
        let mut all = Vec::new();
        for nth in 0..many {
            let known = Knowledge::new(Steady::start(), cast.beat_every);
            let (looked, edition, told) = (Rc::downgrade(&known), Cell::new(0), tally.clone());
            known.on_change(Rc::new(move || {
                let Some(known) = looked.upgrade() else { return };
                if edition.replace(known.edition()) != known.edition() {
                    if let Some(least) = told.takes(nth, version(&known.decided().config)) {
                        say(&format!("all {least}"));
                    }
                }
            }));
            all.push(known.clone());
            tokio::task::spawn_local(hold(cast.clone(), nth, known, tally.clone()));
        }
        loop {
            tokio::time::sleep(TELL).await;
            let servers =
                all.iter().map(|known| known.with(|book, _| book.rows().count())).min().unwrap_or(0);
            let behind = tally.versions.borrow().iter().filter(|v| **v == 0).count();
            say(&format!("state {} {servers} {behind}", tally.calls.get()));
        }
    });
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let told = writeln!(out, "{line}").and_then(|()| out.flush());
    if told.is_err() {
        std::process::exit(0);
    }
}

/// What a process of followers said of itself.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// When all of its followers acted by a version, or a newer one.
    pub all: BTreeMap<u64, Instant>,
    /// Calls that were answered.
    pub calls: u64,
    /// Servers that the least knowing of them knows.
    pub servers: usize,
    /// Followers without any configuration.
    pub behind: usize,
}

impl Said {
    fn hear(&mut self, line: &str) {
        let mut words = line.split(' ');
        let kind = words.next();
        let mut next = || words.next().and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
        match kind {
            Some("all") => _ = self.all.insert(next(), Instant::now()),
            Some("state") => {
                (self.calls, self.servers, self.behind) = (next(), next() as usize, next() as usize);
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
        let said = Arc::new(Mutex::new(Said { behind: cast.many, ..Said::default() }));
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
