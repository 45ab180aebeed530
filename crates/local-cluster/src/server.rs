//! Test servers: they send heartbeats to the registry, run requests, and answer as the test's [`Behaviour`] says.

use crate::cluster::{call, LocalCluster};
use crate::error::ClusterError;
use crate::http::{HttpConnection, HttpError, Message};
use crate::wait;
use miniserde::{json, Deserialize};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Body length, in bytes, of answers to paths that end in `/large`: more than a proxy buffers.
const LARGE_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Factor by which [`Behaviour::Slow`] extends the run time.
const SLOWDOWN_FACTOR: u32 = 8;
/// Interval at which a running request checks whether its client is still connected.
const WORK_STEP: Duration = Duration::from_millis(5);
/// Requests accepted beyond the number of slots.
const MAX_QUEUED: usize = 8;
const IDLE: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

/// Server behaviour, including injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the request and answers correctly.
    Serve,
    /// Refuses with 503 without running the request, as if all slots were in use.
    Full,
    /// Refuses with 421, as if the address now belonged to another server.
    Misdirected,
    /// Runs the request, then resets the connection.
    RunThenReset,
    /// Runs the request, then closes the connection.
    RunThenClose,
    /// Runs the request and closes the connection in the middle of the answer's body.
    Cut,
    /// Runs the request and answers without a seal.
    Unsealed,
    /// Runs the request and answers with the `Try-Id` of another try.
    WrongTry,
    /// Runs the request and sends the answer twice.
    Surplus,
    /// Runs the request and repeats the previous answer before the actual one.
    Late,
    /// Answers correctly, but without a length: the answer comes in parts and ends with its connection.
    WithoutLength,
    /// As [`Behaviour::WithoutLength`], but resets the connection in the middle of the answer's body.
    WithoutLengthReset,
    /// Runs the request and answers with a `Content-Encoding` that was not requested.
    Coded,
    /// Runs the request and sends bytes that are not an HTTP answer.
    Garbled,
    /// Runs the request and answers correctly, but takes many times as long as usual.
    Slow,
    /// Runs the request and answers 500, or resets the connection in a third of the cases.
    Fails,
    /// Runs the request and answers with this status of its own, without `Not-Run`.
    FailsWith(u16),
    /// Neither runs nor answers requests, as if the link were cut. Their connections are closed when this behaviour ends.
    Unreachable,
}

/// Record of a request that reached a server.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Time at which the request had been read.
    pub at: Instant,
    /// `Try-Id` of the request, empty if missing.
    pub try_id: String,
    /// Method, path and body.
    pub what: (String, String, Vec<u8>),
    /// Tenant of the request, as named by the proxy.
    pub customer: Option<String>,
    /// Whether the request carried an API key.
    pub key: bool,
    /// Whether the server ran the request.
    pub ran: bool,
    /// Time at which the run ended, because it was complete or because its connection was closed.
    pub ended: Option<Instant>,
}

/// Acknowledgement of a server's message by a registry.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Address of the registry that acknowledged.
    pub by: SocketAddr,
    /// Time at which the acknowledgement arrived.
    pub at: Instant,
}

struct Shared {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: usize,
    work: Duration,
    controls: Vec<SocketAddr>,
    behaviour: Mutex<Behaviour>,
    seen: Mutex<Vec<ReceivedRequest>>,
    busy: AtomicUsize,
    calls: AtomicU64,
    draining: AtomicBool,
    heartbeats_stopped: AtomicBool,
    ended: AtomicBool,
    /// Index of the registry that gets the next heartbeat.
    next: Mutex<usize>,
}

/// A running test server. Dropping it ends it without notice to the registry.
pub struct Server {
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct HeartbeatResponse {
    #[serde(rename = "beatAddress")]
    address: Option<String>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Hashes a body with 64-bit FNV-1a, which is enough to distinguish bodies.
fn digest(text: &[u8]) -> u64 {
    text.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns the value of `Server-Seal`, which identifies the server, the try and the complete body.
fn seal(server: &str, try_id: &str, body: &[u8]) -> String {
    format!("{server}.{try_id}.{}.{:x}", body.len(), digest(body))
}

/// Returns the id of the server whose seal on the answer matches this try and the complete body, if any.
pub fn sealed_by(answer: &Message, try_id: &str) -> Option<String> {
    let stamp = answer.field("server-seal")?;
    let server = stamp.split('.').next()?;
    (stamp == seal(server, try_id, &answer.body)).then(|| server.to_owned())
}

impl Server {
    /// Starts the `nth` server of a cluster, with 8 slots and 4 ms per request. It listens and sends heartbeats at once.
    ///
    /// # Errors
    /// Returns an error if no listening socket can be bound.
    pub fn start(cluster: &LocalCluster, nth: usize, service: &str) -> Result<Server, ClusterError> {
        Server::with(cluster, nth, service, 8, Duration::from_millis(4))
    }

    /// Starts the `nth` server of a cluster with the given number of slots and run time per request.
    ///
    /// # Errors
    /// Returns an error if no listening socket can be bound.
    pub fn with(
        cluster: &LocalCluster,
        nth: usize,
        service: &str,
        slots: usize,
        work: Duration,
    ) -> Result<Server, ClusterError> {
        let listener =
            TcpListener::bind((cluster.server_ip(nth), 0)).map_err(ClusterError::io("a server's address"))?;
        let address = listener.local_addr().map_err(ClusterError::io("a server's address"))?;
        let controls = cluster.controls();
        let shared = Arc::new(Shared {
            id: format!("i-{:08x}", crate::random_u64() as u32),
            service: service.to_owned(),
            address,
            zone: cluster.server_zone(nth).to_owned(),
            slots,
            work,
            next: Mutex::new(nth % controls.len().max(1)),
            controls,
            behaviour: Mutex::new(Behaviour::Serve),
            seen: Mutex::default(),
            busy: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            heartbeats_stopped: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&accepting, &listener));
        let (beating, every) = (shared.clone(), cluster.heartbeat_interval());
        std::thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                if !beating.heartbeats_stopped.load(Ordering::SeqCst) {
                    let _ = beating.heartbeat();
                }
                std::thread::sleep(every);
            }
        });
        Ok(Server { shared })
    }

    /// Returns the id of the server.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Returns the records of all requests that reached the server, except health checks.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.seen).clone()
    }

    /// Sends the next messages to the registry at this `control` address first. Unknown addresses are ignored.
    pub fn prefer_registry(&self, control: SocketAddr) {
        if let Some(at) = self.shared.controls.iter().position(|c| *c == control) {
            *lock(&self.shared.next) = at;
        }
    }

    /// Sends heartbeats until one is acknowledged.
    ///
    /// # Errors
    /// Returns an error if no registry acknowledges within [`wait::LONG`].
    pub fn register(&self) -> Result<Acknowledgement, ClusterError> {
        wait::until(wait::LONG, "a heartbeat is acknowledged", || self.shared.heartbeat())
    }

    /// Reports the state `draining` and waits for the acknowledgement. The server continues to answer requests.
    ///
    /// # Errors
    /// Returns an error if no registry acknowledges within [`wait::LONG`].
    pub fn drain(&self) -> Result<Acknowledgement, ClusterError> {
        self.shared.draining.store(true, Ordering::SeqCst);
        wait::until(wait::LONG, "draining is acknowledged", || self.shared.heartbeat())
    }

    /// Stops sending heartbeats, deregisters and waits for the acknowledgement. The server continues to answer requests, so
    /// that tests can detect proxies that still send some.
    ///
    /// # Errors
    /// Returns an error if no registry acknowledges within [`wait::LONG`].
    pub fn leave(&self) -> Result<Acknowledgement, ClusterError> {
        self.shared.heartbeats_stopped.store(true, Ordering::SeqCst);
        let path = format!("/servers/{}/leave", self.shared.id);
        wait::until(wait::LONG, "deregistration is acknowledged", || self.shared.post_to_registry(&path, ""))
    }

    /// Stops sending heartbeats.
    pub fn stop_heartbeats(&self) {
        self.shared.heartbeats_stopped.store(true, Ordering::SeqCst);
    }

    /// Simulates a crash: stops heartbeats without notice, closes connections and waits up to 1 s until nothing listens.
    pub fn crash(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        // Unblocks the accept loop, which then ends.
        let _ = TcpStream::connect_timeout(&self.shared.address, SECOND);
        let refused = || TcpStream::connect_timeout(&self.shared.address, SECOND).is_err();
        let _ = wait::holds(SECOND, "the listener is closed", refused);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Shared {
    /// Appends a record and returns its index.
    fn record(&self, request: ReceivedRequest) -> usize {
        let mut seen = lock(&self.seen);
        seen.push(request);
        seen.len() - 1
    }

    fn heartbeat(&self) -> Option<Acknowledgement> {
        let calls = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"serverState\":\"{state}\",\"coldLeftMs\":0,\"callCount\":{calls}}}",
            self.service, self.address, self.zone, self.slots
        );
        self.post_to_registry(&format!("/servers/{}/beat", self.id), &body)
    }

    /// Sends a message to one registry after another, with a timeout of 1 s each, until one acknowledges.
    fn post_to_registry(&self, path: &str, body: &str) -> Option<Acknowledgement> {
        for _ in 0..self.controls.len() {
            let to = { self.controls[*lock(&self.next) % self.controls.len()] };
            match call(to, "POST", path, body, SECOND) {
                Ok(answer) if (200..300).contains(&answer.status) && answer.body.len() <= 4096 => {
                    let acked = Acknowledgement { by: to, at: Instant::now() };
                    let acknowledged = std::str::from_utf8(&answer.body)
                        .ok()
                        .and_then(|t| json::from_str::<HeartbeatResponse>(t).ok());
                    let address = acknowledged.and_then(|t| t.address?.parse().ok());
                    if let Some(at) = address.and_then(|a| self.controls.iter().position(|c| *c == a)) {
                        *lock(&self.next) = at;
                    }
                    return Some(acked);
                }
                _ => *lock(&self.next) += 1,
            }
        }
        None
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for stream in listener.incoming() {
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        if let Ok(stream) = stream {
            let shared = shared.clone();
            std::thread::spawn(move || connection(&shared, HttpConnection::new(stream)));
        }
    }
}

/// Decrements a counter when dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn text(status: &str, try_id: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nTry-Id: {try_id}\r\n{more}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn connection(shared: &Shared, mut connection: HttpConnection) {
    let mut before: Option<Vec<u8>> = None;
    loop {
        let idle = Instant::now();
        loop {
            match connection.wait(Duration::from_millis(200)) {
                Ok(true) => break,
                Ok(false) if idle.elapsed() < IDLE && !shared.ended.load(Ordering::SeqCst) => {}
                _ => return,
            }
        }
        match connection.request(Instant::now() + Duration::from_secs(10)) {
            Ok(request) => {
                if !answer(shared, &mut connection, request, &mut before) {
                    return;
                }
            }
            Err(HttpError::Garbled) => {
                let _ = connection.send(b"HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
            Err(_) => return,
        }
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Answers one request. Returns whether the connection can be reused.
fn answer(
    shared: &Shared,
    connection: &mut HttpConnection,
    request: Message,
    before: &mut Option<Vec<u8>>,
) -> bool {
    let at = Instant::now();
    if request.method == "GET" && request.path == "/health" {
        return send_health(shared, connection);
    }
    let try_id = request.field("try-id").unwrap_or_default().to_owned();
    let behaviour = *lock(&shared.behaviour);
    if behaviour == Behaviour::Unreachable {
        return wait_until_reachable(shared, connection);
    }
    let full = shared.busy.fetch_add(1, Ordering::SeqCst) >= shared.slots + MAX_QUEUED;
    let held = CountGuard(&shared.busy);
    let other = request.field("meant-server").is_some_and(|id| id != shared.id)
        || behaviour == Behaviour::Misdirected;
    let full = full || behaviour == Behaviour::Full;
    let ran = !(other || full || try_id.is_empty());
    let place = shared.record(ReceivedRequest {
        at,
        try_id: try_id.clone(),
        customer: request.field("customer").map(str::to_owned),
        key: request.field("authorization").is_some(),
        what: (request.method.clone(), request.path.clone(), request.body.clone()),
        ran,
        ended: None,
    });
    let not_run = |status: &str| text(status, &try_id, "Not-Run: 1\r\n", b"");
    let refusal = match () {
        () if try_id.is_empty() => Some(not_run("400 Bad Request")),
        () if other => Some(not_run("421 Misdirected Request")),
        () if full => Some(not_run("503 Service Unavailable")),
        () => None,
    };
    if let Some(refusal) = refusal {
        return connection.send(&refusal).is_ok();
    }
    let work = if behaviour == Behaviour::Slow { shared.work * SLOWDOWN_FACTOR } else { shared.work };
    let is_wanted = work_for(connection, work);
    drop(held);
    lock(&shared.seen)[place].ended = Some(Instant::now());
    if !is_wanted {
        return false;
    }
    send_success(shared, connection, &request, &try_id, before, behaviour)
}

/// Sleeps for the run time or until the client disconnects. Returns whether the client is still connected.
fn work_for(connection: &HttpConnection, work: Duration) -> bool {
    let until = Instant::now() + work;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(WORK_STEP));
        if !connection.is_quiet() {
            return false;
        }
    }
}

/// Blocks until the server is reachable again or the client disconnects. Returns false: the connection must be closed.
fn wait_until_reachable(shared: &Shared, connection: &HttpConnection) -> bool {
    let is_cut = || *lock(&shared.behaviour) == Behaviour::Unreachable;
    while is_cut() && connection.is_quiet() && !shared.ended.load(Ordering::SeqCst) {
        std::thread::sleep(WORK_STEP);
    }
    false
}

/// Answers a health check: 503 while draining, otherwise 200.
fn send_health(shared: &Shared, connection: &mut HttpConnection) -> bool {
    let status = if shared.draining.load(Ordering::SeqCst) { "503 Service Unavailable" } else { "200 OK" };
    let text = format!("HTTP/1.1 {status}\r\nServer-Id: {}\r\nContent-Length: 0\r\n\r\n", shared.id);
    connection.send(text.as_bytes()).is_ok()
}

/// Sends an answer without a length in parts, the last of which is missing if the connection is to be reset.
fn send_without_length(
    connection: &mut HttpConnection,
    try_id: &str,
    stamp: &str,
    body: &[u8],
    is_reset: bool,
) -> io::Result<()> {
    const PARTS: usize = 4;
    connection.send(format!("HTTP/1.1 200 OK\r\nTry-Id: {try_id}\r\n{stamp}\r\n").as_bytes())?;
    let part_bytes = body.len().div_ceil(PARTS);
    for (nth, part) in body.chunks(part_bytes).enumerate() {
        std::thread::sleep(WORK_STEP);
        if is_reset && nth + 1 == PARTS {
            connection.linger_none();
            return Ok(());
        }
        connection.send(part)?;
    }
    Ok(())
}

/// Answers a request that has run, as the server's behaviour says. `before` is the previous answer on this connection.
/// Returns whether the connection can be reused.
fn send_success(
    shared: &Shared,
    connection: &mut HttpConnection,
    request: &Message,
    try_id: &str,
    before: &mut Option<Vec<u8>>,
    behaviour: Behaviour,
) -> bool {
    let body = if request.path.ends_with("/large") {
        try_id.bytes().cycle().take(LARGE_BODY_BYTES).collect()
    } else {
        format!("{} {} {try_id} by {}", request.method, request.path, shared.id).into_bytes()
    };
    let stamp = format!("Server-Seal: {}\r\n", seal(&shared.id, try_id, &body));
    let whole = text("200 OK", try_id, &stamp, &body);
    let sent = match behaviour {
        Behaviour::RunThenReset => {
            connection.linger_none();
            return false;
        }
        Behaviour::RunThenClose => return false,
        Behaviour::Fails if crate::random_u64() % 3 == 0 => {
            connection.linger_none();
            return false;
        }
        Behaviour::Fails => text("500 Internal Server Error", try_id, "", b"failed"),
        Behaviour::FailsWith(status) => text(&format!("{status} Failed"), try_id, "", b"failed"),
        Behaviour::Cut => {
            let _ = connection.send(&whole[..whole.len() - body.len() / 2]);
            return false;
        }
        Behaviour::WithoutLength | Behaviour::WithoutLengthReset => {
            let is_reset = behaviour == Behaviour::WithoutLengthReset;
            let _ = send_without_length(connection, try_id, &stamp, &body, is_reset);
            return false;
        }
        Behaviour::Unsealed => text("200 OK", try_id, "", &body),
        Behaviour::WrongTry => text("200 OK", &format!("{try_id}x"), &stamp, &body),
        Behaviour::Surplus => [whole.clone(), whole.clone()].concat(),
        Behaviour::Late => [before.take().unwrap_or_default(), whole.clone()].concat(),
        Behaviour::Coded => text("200 OK", try_id, &format!("{stamp}Content-Encoding: gzip\r\n"), &body),
        Behaviour::Garbled => {
            let _ = connection.send(b"\x00\x01what is this\r\n\r\n");
            return false;
        }
        _ => whole.clone(),
    };
    *before = Some(whole);
    connection.send(&sent).is_ok()
}
