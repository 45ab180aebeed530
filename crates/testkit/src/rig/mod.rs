//! A fleet of real `oatbank serve` processes, with a faulty link for each direction between two of them and clients
//! that send requests to all of them continuously.

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

/// Configuration of a rig.
pub struct Plan {
    /// Path of the `oatbank` executable.
    pub program: String,
    pub limiters: usize,
    /// Keys of the `[fleet]` section, such as `on_lapse = "refuse"`. If `None`, the limiters run without a fleet.
    pub terms: Option<String>,
    /// Rules written to each limiter's configuration file.
    pub rules: String,
    pub seed: u64,
    /// Whether a coordinator elects the decider. Otherwise limiter 0 is the decider.
    pub elected: bool,
}

struct Process {
    child: Option<Child>,
    address: SocketAddr,
    control: SocketAddr,
    stopped: bool,
    /// When [`Rig::wake`] resumes a stopped process.
    wakes: Option<Instant>,
}

/// A running fleet. Dropping it kills the processes and stops the clients.
pub struct Rig {
    plan: Plan,
    /// Has one endpoint per limiter, at the limiter's index, so that each can be cut off separately.
    pub coordinator: Option<Coordinator>,
    /// Links by sender and receiver index.
    links: BTreeMap<(usize, usize), Link>,
    files: Vec<Scratch>,
    processes: Vec<Process>,
    /// Log lines: when each was read, the process index and the text.
    pub log: Arc<Mutex<Vec<(Instant, usize, String)>>>,
    clients: Vec<Arc<Mutex<Option<SocketAddr>>>>,
    asking: Arc<AtomicBool>,
    /// Number of responses by HTTP status. Requests without a response count under 0.
    pub answers: Arc<Mutex<BTreeMap<u16, u64>>>,
    asked: Arc<AtomicU64>,
}

impl Rig {
    /// Starts all processes and waits until they serve.
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

    /// Starts a process that is not running and waits until it serves.
    pub fn begin(&mut self, n: usize) {
        let mut command = Command::new(&self.plan.program);
        command.args(["serve", "--config", self.files[n].path()]).stderr(Stdio::piped());
        let mut child = command.spawn().expect("starting oatbank failed");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is not piped")).lines();
        let (mut control, mut listen) = (None, None);
        let address = loop {
            let line = lines.next().expect("oatbank ended before it served").expect("reading the log failed");
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
            all.for_each(|line| log.lock().expect("lock poisoned").push((Instant::now(), n, line)));
        });
        if let Some(listen) = listen {
            self.links.iter().filter(|((_, to), _)| *to == n).for_each(|(_, link)| link.lead_to(listen));
        }
        let control = control.unwrap_or(address);
        self.processes[n] = Process { child: Some(child), address, control, stopped: false, wakes: None };
        *self.clients[n].lock().expect("lock poisoned") = Some(address);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, n: usize) {
        *self.clients[n].lock().expect("lock poisoned") = None;
        if let Some(mut child) = self.processes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the number of limiters.
    pub fn limiters(&self) -> usize {
        self.plan.limiters
    }

    pub fn runs(&self, n: usize) -> bool {
        self.processes[n].child.is_some()
    }

    /// Suspends a process with SIGSTOP.
    pub fn stop(&mut self, n: usize) {
        self.signal(n, "-STOP");
        self.processes[n].stopped = true;
    }

    /// Suspends a process, if it is running. [`Rig::wake`] resumes it once `span` has passed.
    pub fn stop_for(&mut self, n: usize, span: Duration) {
        if self.runs(n) {
            self.stop(n);
            self.processes[n].wakes = Some(Instant::now() + span);
        }
    }

    /// Resumes the processes whose [`Rig::stop_for`] span has passed.
    pub fn wake(&mut self) {
        let now = Instant::now();
        let due = |p: &Process| p.wakes.is_some_and(|at| at <= now);
        let due: Vec<usize> = (0..self.plan.limiters).filter(|n| due(&self.processes[*n])).collect();
        due.into_iter().for_each(|n| self.go_on(n));
    }

    /// Returns whether a process is suspended.
    pub fn stands_still(&self, n: usize) -> bool {
        self.processes[n].stopped
    }

    /// Starts the first process that is not running, if any.
    pub fn begin_one(&mut self) {
        if let Some(gone) = (0..self.plan.limiters).find(|n| !self.runs(*n)) {
            self.begin(gone);
        }
    }

    /// Clears all link faults, resumes suspended processes and starts those not running.
    pub fn calm(&mut self) {
        self.faults(Fault::default(), |_, _| true);
        for n in 0..self.plan.limiters {
            self.go_on(n);
            if !self.runs(n) {
                self.begin(n);
            }
        }
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn go_on(&mut self, n: usize) {
        if self.processes[n].stopped {
            self.signal(n, "-CONT");
            (self.processes[n].stopped, self.processes[n].wakes) = (false, None);
        }
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.processes[n].child {
            let pid = child.id().to_string();
            assert!(Command::new("kill").args([name, &pid]).status().expect("running kill failed").success());
        }
    }

    /// Replaces the rules in a limiter's configuration file and sends it SIGHUP.
    pub fn reload(&mut self, n: usize, rules: &str) {
        self.plan.rules = rules.to_owned();
        let decides = decides(self.coordinator.as_ref(), n);
        self.files[n].write(&file(&self.plan, n, &self.links, &decides));
        self.signal(n, "-HUP");
    }

    /// Sets the fault of the link between two limiters.
    pub fn fault(&self, from: usize, to: usize, fault: Fault) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set(fault);
        }
    }

    /// Sets the fault of all links whose sender and receiver satisfy `which`.
    pub fn faults(&self, fault: Fault, which: impl Fn(usize, usize) -> bool) {
        self.links.iter().filter(|((a, b), _)| which(*a, *b)).for_each(|(_, link)| link.set(fault));
    }

    /// Returns the number of datagrams forwarded over all links.
    pub fn carried(&self) -> u64 {
        self.links.values().map(Link::carried).sum()
    }

    /// Returns a limiter's control address.
    pub fn control(&self, n: usize) -> SocketAddr {
        self.processes[n].control
    }

    /// Returns the address at which a limiter serves clients.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.processes[n].address
    }

    /// Returns the process id of a limiter, or `None` if it is not running.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.processes[n].child.as_ref().map(Child::id)
    }

    /// Sends a request below `/v1/fleet/` to a limiter. Returns status and body, or 0 and an empty text without a response.
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

    /// Starts one client per limiter that sends requests continuously, with `pause` between them.
    pub fn ask_all(&self, class: &'static str, pause: Duration) {
        for slot in &self.clients {
            let (slot, asking) = (slot.clone(), self.asking.clone());
            let (answers, asked) = (self.answers.clone(), self.asked.clone());
            std::thread::spawn(move || {
                while asking.load(Ordering::SeqCst) {
                    let Some(at) = *slot.lock().expect("lock poisoned") else {
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

/// Sends requests over one connection until it fails or `go_on` returns false.
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
    // A suspended process responds once it is resumed; the timeout is long enough for clients to wait for that.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while go_on() {
        let id = asked.fetch_add(1, Ordering::SeqCst);
        // Requests that must not run twice are sent as POST.
        let method = if class == "order" { "POST" } else { "GET" };
        let request = format!(
            "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: {class}\r\nX-Plan: team\r\nX-Quota: units=1,spread=1,first=0\r\nX-Time-Left: 1.0\r\nContent-Length: 0\r\n\r\n"
        );
        let written = stream.write_all(request.as_bytes()).is_ok();
        let answer = if written { read_message(&mut reader) } else { None };
        let status = answer.as_ref().map_or(0, |a| a.status());
        *answers.lock().expect("lock poisoned").entry(status).or_default() += 1;
        if answer.is_none() {
            return;
        }
        std::thread::sleep(pause);
    }
}

/// Parses the socket address at the start of a text.
fn address(text: &str) -> Option<SocketAddr> {
    text.split(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).next()?.trim_end_matches(':').parse().ok()
}

/// Returns the `[fleet]` keys that select the decider.
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
