//! Several real processes of `oatbank serve` that are one fleet, with a link for each direction between two of them, and
//! clients that ask all of them all the time.

mod link;
pub mod seen;
pub mod zones;

pub use link::{Fault, Link, CUT};

use crate::message::read_message;
use crate::zookeeper::Coordinator;
use crate::{Client, Scratch};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the processes of a rig are started with.
pub struct Plan {
    /// The program.
    pub program: String,
    pub limiters: usize,
    /// Keys of their `[fleet]`, as `on_lapse = "refuse"`; without, they are no fleet.
    pub terms: Option<String>,
    /// The rules in each one's file.
    pub rules: String,
    pub seed: u64,
    /// A coordinator elects the decider; without, the first one decides.
    pub elected: bool,
}

struct Process {
    child: Option<Child>,
    address: SocketAddr,
    control: SocketAddr,
    stopped: bool,
    /// A process that stands still goes on then, if [`Rig::wake`] is called.
    wakes: Option<Instant>,
}

/// A fleet of processes.
pub struct Rig {
    plan: Plan,
    /// Each limiter has an address of its own there, by its number, so that its way can be cut alone.
    pub coordinator: Option<Coordinator>,
    /// By from and to.
    links: BTreeMap<(usize, usize), Link>,
    files: Vec<Scratch>,
    processes: Vec<Process>,
    /// Lines of the logs with when each was read, by process.
    pub log: Arc<Mutex<Vec<(Instant, usize, String)>>>,
    clients: Vec<Arc<Mutex<Option<SocketAddr>>>>,
    asking: Arc<AtomicBool>,
    /// Answers of the clients, by status; 0 where none came.
    pub answers: Arc<Mutex<BTreeMap<u16, u64>>>,
    asked: Arc<AtomicU64>,
}

impl Rig {
    /// Starts all processes.
    pub fn start(plan: Plan) -> Rig {
        let pairs: Vec<(usize, usize)> = (0..plan.limiters)
            .flat_map(|a| (0..plan.limiters).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
            .collect();
        let seeds = (0..pairs.len() as u64).map(|n| plan.seed << 16 | n).collect();
        let links: BTreeMap<_, _> = pairs.into_iter().zip(link::start(seeds)).collect();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let coordinator = plan.elected.then(|| Coordinator::start(plan.limiters));
        let decides: Vec<String> = (0..plan.limiters).map(|n| decides(coordinator.as_ref(), n)).collect();
        let files = (0..plan.limiters).map(|n| Scratch::new(&file(&plan, n, &links, &decides[n]))).collect();
        let process =
            |_| Process { child: None, address: nowhere, control: nowhere, stopped: false, wakes: None };
        let mut rig = Rig {
            processes: (0..plan.limiters).map(process).collect(),
            clients: (0..plan.limiters).map(|_| Arc::default()).collect(),
            plan,
            coordinator,
            links,
            files,
            log: Arc::default(),
            asking: Arc::new(AtomicBool::new(true)),
            answers: Arc::default(),
            asked: Arc::default(),
        };
        (0..rig.plan.limiters).for_each(|n| rig.begin(n));
        rig
    }

    /// Starts a process that does not run.
    pub fn begin(&mut self, n: usize) {
        let mut command = Command::new(&self.plan.program);
        command.args(["serve", "--config", self.files[n].path()]).stderr(Stdio::piped());
        let mut child = command.spawn().expect("oatbank");
        let mut lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        let (mut control, mut listen) = (None, None);
        let address = loop {
            let line = lines.next().expect("a line of the log").expect("text");
            let after = |mark: &str| line.split_once(mark).and_then(|(_, rest)| address(rest));
            control = control.or(after("operators call at "));
            listen = listen.or(after(" limiters at "));
            if let Some(address) = after(" serves ") {
                break address;
            }
        };
        let log = self.log.clone();
        std::thread::spawn(move || {
            let all = lines.map_while(Result::ok);
            all.for_each(|line| log.lock().expect("a lock").push((Instant::now(), n, line)));
        });
        if let Some(listen) = listen {
            self.links.iter().filter(|((_, to), _)| *to == n).for_each(|(_, link)| link.lead_to(listen));
        }
        let control = control.unwrap_or(address);
        self.processes[n] = Process { child: Some(child), address, control, stopped: false, wakes: None };
        *self.clients[n].lock().expect("a lock") = Some(address);
    }

    /// Kills a process outright.
    pub fn kill(&mut self, n: usize) {
        *self.clients[n].lock().expect("a lock") = None;
        if let Some(mut child) = self.processes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How many there are.
    pub fn limiters(&self) -> usize {
        self.plan.limiters
    }

    pub fn runs(&self, n: usize) -> bool {
        self.processes[n].child.is_some()
    }

    /// Stops a process where it stands.
    pub fn stop(&mut self, n: usize) {
        self.signal(n, "-STOP");
        self.processes[n].stopped = true;
    }

    /// Stops a process, if it runs, until [`Rig::wake`] is called after this span.
    pub fn stop_for(&mut self, n: usize, span: Duration) {
        if self.runs(n) {
            self.stop(n);
            self.processes[n].wakes = Some(Instant::now() + span);
        }
    }

    /// Lets those go on whose time has come.
    pub fn wake(&mut self) {
        let now = Instant::now();
        let due = |p: &Process| p.wakes.is_some_and(|at| at <= now);
        let due: Vec<usize> = (0..self.plan.limiters).filter(|n| due(&self.processes[*n])).collect();
        due.into_iter().for_each(|n| self.go_on(n));
    }

    /// It stands still.
    pub fn stands_still(&self, n: usize) -> bool {
        self.processes[n].stopped
    }

    /// Starts one of those that do not run.
    pub fn begin_one(&mut self) {
        if let Some(gone) = (0..self.plan.limiters).find(|n| !self.runs(*n)) {
            self.begin(gone);
        }
    }

    /// All links are well, and all processes run.
    pub fn calm(&mut self) {
        self.faults(Fault::default(), |_, _| true);
        for n in 0..self.plan.limiters {
            self.go_on(n);
            if !self.runs(n) {
                self.begin(n);
            }
        }
    }

    /// Lets it go on.
    pub fn go_on(&mut self, n: usize) {
        if self.processes[n].stopped {
            self.signal(n, "-CONT");
            (self.processes[n].stopped, self.processes[n].wakes) = (false, None);
        }
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.processes[n].child {
            let pid = child.id().to_string();
            assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
        }
    }

    /// Replaces the rules in a limiter's file, and tells it.
    pub fn reload(&mut self, n: usize, rules: &str) {
        self.plan.rules = rules.to_owned();
        let decides = decides(self.coordinator.as_ref(), n);
        self.files[n].write(&file(&self.plan, n, &self.links, &decides));
        self.signal(n, "-HUP");
    }

    /// What happens to datagrams from one to another from now on.
    pub fn fault(&self, from: usize, to: usize, fault: Fault) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set(fault);
        }
    }

    /// The same on all links that `which` names.
    pub fn faults(&self, fault: Fault, which: impl Fn(usize, usize) -> bool) {
        self.links.iter().filter(|((a, b), _)| which(*a, *b)).for_each(|(_, link)| link.set(fault));
    }

    /// Datagrams that have come through all links.
    pub fn carried(&self) -> u64 {
        self.links.values().map(Link::carried).sum()
    }

    /// Where operators call a limiter.
    pub fn control(&self, n: usize) -> SocketAddr {
        self.processes[n].control
    }

    /// Where clients connect to it.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.processes[n].address
    }

    /// The process of a limiter, while it runs.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.processes[n].child.as_ref().map(Child::id)
    }

    /// A call about the fleet at a limiter that runs: status and text. Without an answer 0.
    pub fn call(&self, n: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let at = self.control(n);
        let call = || -> Option<(u16, String)> {
            let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(70))).ok()?;
            let mut client = Client::over(stream);
            let head = format!(
                "{method} /v1/fleet/{path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = client.raw(head.as_bytes())?;
            Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
        };
        call().unwrap_or_default()
    }

    /// Clients that ask every limiter all the time, one each, with this pause between two requests.
    pub fn ask_all(&self, class: &'static str, pause: Duration) {
        for slot in &self.clients {
            let (slot, asking) = (slot.clone(), self.asking.clone());
            let (answers, asked) = (self.answers.clone(), self.asked.clone());
            std::thread::spawn(move || {
                while asking.load(Ordering::SeqCst) {
                    let Some(at) = *slot.lock().expect("a lock") else {
                        std::thread::sleep(pause);
                        continue;
                    };
                    ask(at, class, pause, &|| asking.load(Ordering::SeqCst), &asked, &answers);
                }
            });
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.asking.store(false, Ordering::SeqCst);
        (0..self.plan.limiters).for_each(|n| self.kill(n));
    }
}

/// Asks over one connection until it breaks.
fn ask(
    at: SocketAddr,
    class: &str,
    pause: Duration,
    go_on: &dyn Fn() -> bool,
    asked: &AtomicU64,
    answers: &Mutex<BTreeMap<u16, u64>>,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) else {
        return std::thread::sleep(pause);
    };
    // A process that stands still answers when it goes on: its clients wait for it, and are not told apart.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while go_on() {
        let id = asked.fetch_add(1, Ordering::SeqCst);
        // What must not run twice is no GET.
        let method = if class == "order" { "POST" } else { "GET" };
        let request = format!(
            "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: {class}\r\nX-Plan: team\r\nX-Quota: units=1,spread=1,first=0\r\nX-Time-Left: 1.0\r\nContent-Length: 0\r\n\r\n"
        );
        let written = stream.write_all(request.as_bytes()).is_ok();
        let answer = if written { read_message(&mut reader) } else { None };
        let status = answer.as_ref().map_or(0, |a| a.status());
        *answers.lock().expect("a lock").entry(status).or_default() += 1;
        if answer.is_none() {
            return;
        }
        std::thread::sleep(pause);
    }
}

/// The first address in a text.
fn address(text: &str) -> Option<SocketAddr> {
    text.split(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).next()?.trim_end_matches(':').parse().ok()
}

/// The keys that say who decides.
fn decides(coordinator: Option<&Coordinator>, n: usize) -> String {
    match coordinator {
        Some(coordinator) => {
            let address = coordinator.endpoints[n].address;
            format!("coordinator = \"{address}\"\npath = \"/limiters/fleet\"\n")
        }
        None => "decider = \"n0\"\n".to_owned(),
    }
}

fn file(plan: &Plan, n: usize, links: &BTreeMap<(usize, usize), Link>, decides: &str) -> String {
    let own = format!("name = \"n{n}\"\nlisten = \"127.0.0.1:0\"\ncounter = \"none\"\n{}\n", plan.rules);
    let Some(terms) = &plan.terms else { return own };
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let line = |to: usize| {
        let address = links.get(&(n, to)).map_or(nowhere, |l| l.address);
        format!("[[fleet.peers]]\nname = \"n{to}\"\naddress = \"{address}\"\n")
    };
    let peers: String = (0..plan.limiters).map(line).collect();
    format!(
        "{own}[fleet]\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\nkey = \"a secret of this rig's\"\n\
         {decides}{terms}\n{peers}"
    )
}
