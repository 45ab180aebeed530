//! Generators of configurations, configuration changes and server heartbeats of any size.

use oatbank_local_cluster::http::HttpConnection;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const COLUMNS: &str =
    r#"["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","keyless","service"]"#;
/// Number of routes per host.
const OF_HOST: usize = 33;
/// Maximum number of connections to one core machine, shared by the heartbeats of its servers.
const WIRES: usize = 48;
const PATIENCE: Duration = Duration::from_secs(10);

/// Number of entries of each kind in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of routes.
    pub routes: usize,
    /// Number of tenants, each with its own key.
    pub tenants: usize,
    /// Number of services.
    pub services: usize,
}

fn route(out: &mut String, nth: usize, services: usize, give_up: usize) {
    let (host, service) = (nth / OF_HOST, nth % services.max(1));
    let _ = write!(
        out,
        "[\"r-{nth:06}\",\"host-{host:04}.example\",\"/p-{nth}/\",\"safe\",{give_up},500,2,2,true,\"svc-{service:04}\"]"
    );
}

fn rows(many: usize, mut row: impl FnMut(&mut String, usize)) -> String {
    let mut out = String::new();
    for nth in 0..many {
        if nth > 0 {
            out.push(',');
        }
        row(&mut out, nth);
    }
    out
}

/// Returns the request body that sets the first configuration.
pub fn configuration(size: Size, version: u64) -> String {
    let routes = rows(size.routes, |out, nth| route(out, nth, size.services, 2000));
    let services = rows(size.services, |out, nth| _ = write!(out, "[\"svc-{nth:04}\",\"/health\"]"));
    let tenants =
        rows(size.tenants, |out, nth| _ = write!(out, "[\"t-{nth:06}\",[\"{}\"],100,200]", key(nth)));
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":{COLUMNS},\"rows\":[{routes}]}},\"services\":{{\"columns\":\
         [\"name\",\"healthPath\"],\"rows\":[{services}]}},\"customers\":{{\"columns\":[\"name\",\"keys\",\"ratePerS\",\
         \"burst\"],\"rows\":[{tenants}]}},\"limits\":{{}},\"builtOn\":\"0\"}}"
    )
}

/// Returns the key of the tenant with this index.
pub fn key(nth: usize) -> String {
    format!("{:016x}", (nth as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns the request body that changes one route on top of version `built_on`.
pub fn change(size: Size, version: u64, built_on: u64) -> String {
    let mut row = String::new();
    let nth = version as usize * 7919 % size.routes.max(1);
    route(&mut row, nth, size.services, 1000 + version as usize % 1000);
    format!(
        "{{\"version\":\"r{version}\",\"builtOn\":\"r{built_on}\",\"putItems\":{{\"routes\":{{\"columns\":{COLUMNS},\"rows\":[{row}]}}}}}}"
    )
}

/// Formats an HTTP POST request.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Simulated servers.
#[derive(Clone, Debug)]
pub struct Servers {
    /// Number of servers.
    pub many: usize,
    /// Number of services they are distributed over.
    pub services: usize,
    /// Zones, assigned round-robin.
    pub zones: Vec<String>,
    /// Heartbeat interval of each server.
    pub every: Duration,
    /// Servers per second that leave and are immediately replaced by one with a new id.
    pub churn: f64,
}

/// Sends the heartbeats of simulated servers from threads of this process until dropped.
pub struct Beats {
    ends: Arc<AtomicBool>,
    /// Number of acknowledged and of unacknowledged requests.
    acknowledged: Arc<[AtomicU64; 2]>,
    threads: Vec<JoinHandle<()>>,
}

impl Beats {
    /// Starts sending. Each server is assigned to one of these core machines.
    pub fn start(servers: &Servers, controls: &[SocketAddr]) -> Beats {
        let (ends, acknowledged) =
            (Arc::new(AtomicBool::new(false)), Arc::new([AtomicU64::new(0), AtomicU64::new(0)]));
        let threads = controls.iter().enumerate().map(|(at, to)| {
            let own: Vec<usize> = (at..servers.many).step_by(controls.len()).collect();
            let speaker = Speaker {
                servers: Servers { churn: servers.churn / controls.len() as f64, ..servers.clone() },
                said: own.into_iter().map(|nth| (nth, 0, 0)).collect(),
                to: *to,
                wires: Vec::new(),
                acknowledged: acknowledged.clone(),
            };
            let ends = ends.clone();
            std::thread::spawn(move || speaker.run(&ends))
        });
        let threads = threads.collect();
        Beats { ends, acknowledged, threads }
    }

    /// Returns the number of acknowledged and of unacknowledged requests so far.
    pub fn acknowledged(&self) -> (u64, u64) {
        (self.acknowledged[0].load(Ordering::Relaxed), self.acknowledged[1].load(Ordering::Relaxed))
    }
}

impl Drop for Beats {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// Sends the heartbeats of the servers assigned to one core machine.
struct Speaker {
    servers: Servers,
    /// Index, incarnation and number of heartbeats of each server.
    said: Vec<(usize, u64, u64)>,
    to: SocketAddr,
    wires: Vec<HttpConnection>,
    acknowledged: Arc<[AtomicU64; 2]>,
}

impl Speaker {
    fn run(mut self, ends: &AtomicBool) {
        let every = self.servers.every.as_secs_f64();
        let (began, mut beaten, mut left) = (Instant::now(), 0, 0);
        while !ends.load(Ordering::Relaxed) {
            let now = began.elapsed().as_secs_f64();
            // Each server sends one heartbeat at the start and then one per interval.
            let due = self.said.len() + (now / every * self.said.len() as f64) as usize;
            while left < (now * self.servers.churn) as usize && !self.said.is_empty() {
                self.replace(left % self.said.len());
                left += 1;
            }
            let until = due.min(beaten + 4 * WIRES);
            let which: Vec<usize> = (beaten..until).map(|nth| nth % self.said.len().max(1)).collect();
            beaten = until;
            let call_count = which.into_iter().map(|at| self.heartbeat(at)).collect();
            self.say(call_count);
            if beaten >= due {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn id(&self, at: usize) -> String {
        let (nth, incarnation, _) = self.said[at];
        format!("i-{nth:06x}-{incarnation:04x}")
    }

    fn heartbeat(&mut self, at: usize) -> String {
        self.said[at].2 += 1;
        let (nth, _, words) = self.said[at];
        let zone = &self.servers.zones[nth % self.servers.zones.len()];
        let (service, high, low) = (nth % self.servers.services.max(1), nth >> 8 & 255, nth & 255);
        let body = format!(
            "{{\"service\":\"svc-{service:04}\",\"address\":\"10.{}.{high}.{low}:8080\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":3,\"serverState\":\"ready\",\"coldLeftMs\":0,\"callCount\":{words}}}",
            nth >> 16
        );
        post(&format!("/servers/{}/beat", self.id(at)), &body)
    }

    fn replace(&mut self, at: usize) {
        let leave = post(&format!("/servers/{}/leave", self.id(at)), "");
        self.say(vec![leave]);
        self.said[at] = (self.said[at].0, self.said[at].1 + 1, 0);
        let heartbeat = self.heartbeat(at);
        self.say(vec![heartbeat]);
    }

    /// Sends these requests, waits for the responses and counts them.
    fn say(&mut self, call_count: Vec<String>) {
        let until = Instant::now() + PATIENCE;
        while self.wires.len() < call_count.len().min(WIRES) {
            match HttpConnection::connect(self.to, Duration::from_secs(1)) {
                Ok(connection) => self.wires.push(connection),
                Err(_) => return self.count(0, call_count.len()),
            }
        }
        let many = self.wires.len().max(1);
        let sent = call_count
            .iter()
            .enumerate()
            .all(|(nth, call)| self.wires[nth % many].send(call.as_bytes()).is_ok());
        let mut heard = 0;
        for nth in 0..if sent { call_count.len() } else { 0 } {
            let Ok(answer) = self.wires[nth % many].answer(until) else { break };
            heard += 1;
            self.count(usize::from(answer.status == 200), usize::from(answer.status != 200));
        }
        if heard < call_count.len() {
            self.count(0, call_count.len() - heard);
            self.wires.clear();
        }
    }

    fn count(&self, good: usize, bad: usize) {
        self.acknowledged[0].fetch_add(good as u64, Ordering::Relaxed);
        self.acknowledged[1].fetch_add(bad as u64, Ordering::Relaxed);
    }
}

/// An operator that changes one route at a time.
pub struct Operator {
    size: Size,
    to: SocketAddr,
    connection: Option<HttpConnection>,
    /// Version of the last acknowledged configuration; 0 if none.
    pub version: u64,
}

/// An acknowledged operator command.
#[derive(Clone, Copy, Debug)]
pub struct OperatorCommand {
    /// Configuration version.
    pub version: u64,
    /// Time of the first attempt.
    pub sent: Instant,
    /// Time of the acknowledgement.
    pub acked: Instant,
}

impl Operator {
    /// Creates an operator that sends to this core machine.
    pub fn new(size: Size, to: SocketAddr) -> Operator {
        Operator { size, to, connection: None, version: 0 }
    }

    /// Sets the first configuration, or changes one route. Tries up to four times.
    ///
    /// # Errors
    /// Returns the last response or connection error if no attempt is acknowledged.
    pub fn order(&mut self) -> Result<OperatorCommand, String> {
        let version = self.version + 1;
        let call = match self.version {
            0 => post("/settings/replace", &configuration(self.size, version)),
            on => post("/settings/change", &change(self.size, version, on)),
        };
        let (sent, mut last) = (Instant::now(), String::new());
        // Repeating a command is idempotent: a repeat receives the same response as the first attempt.
        for _ in 0..4 {
            match self.say(&call) {
                Ok((200, _)) => {
                    self.version = version;
                    return Ok(OperatorCommand { version, sent, acked: Instant::now() });
                }
                Ok((status, body)) => last = format!("{status} {body}"),
                Err(e) => last = e,
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("an order of {} bytes is answered: {last}", call.len()))
    }

    fn say(&mut self, call: &str) -> Result<(u16, String), String> {
        let connection = match self.connection.take() {
            Some(connection) if connection.is_quiet() => connection,
            _ => HttpConnection::connect(self.to, Duration::from_secs(1)).map_err(|e| e.to_string())?,
        };
        let connection = self.connection.insert(connection);
        let answer = connection.send(call.as_bytes()).map_err(|e| e.to_string());
        let answer =
            answer.and_then(|()| connection.answer(Instant::now() + PATIENCE).map_err(|e| format!("{e:?}")));
        match answer {
            Ok(answer) => Ok((answer.status, String::from_utf8_lossy(&answer.body).into_owned())),
            Err(e) => {
                self.connection = None;
                Err(e)
            }
        }
    }
}
