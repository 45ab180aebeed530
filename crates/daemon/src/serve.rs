//! Lifecycle of a serving process, from its listener to the last response.

use crate::front::{Front, PlatformDesk};
use oatbank_engine::engine::{shutdown_timeout, Engine, Setup};
use oatbank_engine::front::FrontLimits;
use oatbank_engine::ports::clock::Clock;
use oatbank_engine::respond::RetryAfterFormat;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::{Connections, Http1, Platform};
use oatbank_limiter_core::interface::Millis;
use oatbank_operations::budget::{Budget, Limits};
use socket2::SockRef;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::AbortHandle;

/// Maximum length of the listener's queue of pending connections.
const BACKLOG: u32 = 1024;
/// New connections arrive for up to 0.4 s after SIGTERM and are accepted for this long.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(450);
/// Part of the shutdown timeout that is reserved for closing idle connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(150);
/// Interval at which a shutdown checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the last responses may take to be written at the end of a shutdown.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(60);

/// Parameters of a serving process, from either kind of configuration.
pub struct Plan {
    /// The limiter's name, for the log.
    pub name: String,
    /// Address where clients connect.
    pub listen: SocketAddr,
    /// Configuration of the engine.
    pub setup: Setup,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Idle time after which servers close a connection, ms.
    pub conn_idle: Millis,
    /// Timeout for opening a connection to a server, ms.
    pub connect_timeout: Millis,
    /// Whether servers' responses may end with their connection unannounced.
    pub allows_unannounced_end: bool,
    /// Format of the retry time in rejections.
    pub come_back: RetryAfterFormat,
    /// Inherited listening socket, used in place of a new one at `listen`.
    pub passed: Option<RawFd>,
    /// File descriptors reserved for optional features.
    pub others: usize,
}

impl Plan {
    /// Returns the budget of this process while it has this share (0 to 1) of the limits.
    pub fn budget(&self, part: f64) -> Budget {
        Budget::divide(self.limits, self.others, part)
    }
}

/// Signals that a serving process handles.
pub struct Signals {
    hangup: Signal,
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called first: without a handler each of these signals ends the process.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn new() -> std::io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Calls `reload` on each SIGHUP, and completes on SIGTERM or SIGINT.
    pub async fn until_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}

/// Running front end and engine of a process.
pub struct Serving {
    name: String,
    engine: Rc<Engine<Http1>>,
    address: SocketAddr,
    front: Rc<Front>,
    accepting: AbortHandle,
}

impl Serving {
    /// Creates and starts the engine, without a listener.
    pub fn engine(plan: &Plan, clock: Rc<dyn Clock>) -> Rc<Engine<Http1>> {
        let budget = plan.budget(1.0);
        let connections = Connections {
            idle: plan.conn_idle,
            connect_timeout: plan.connect_timeout,
            most: budget.servers,
            bodies_kib: budget.answers_kib,
        };
        let report = plan.setup.names.report.clone();
        let dialect = Platform { report, allows_unannounced_end: plan.allows_unannounced_end };
        let upstream = Http1::with_dialect(dialect, clock.clone(), connections);
        let engine = Engine::new(&plan.setup, clock, upstream);
        engine.start();
        engine
    }

    /// Opens the listener and starts to accept connections.
    ///
    /// # Errors
    /// If the address cannot be bound or the inherited socket cannot be used.
    pub fn start(plan: &Plan, engine: Rc<Engine<Http1>>) -> std::io::Result<Self> {
        let front = Front::new(
            PlatformDesk::new(engine.clone(), plan.come_back),
            plan.budget(1.0),
            FrontLimits::default(),
        );
        let listener = Rc::new(match plan.passed {
            Some(descriptor) => adopt_listener(descriptor)?,
            None => bind(plan.listen)?,
        });
        let address = listener.local_addr()?;
        let accepting = front.clone();
        let accepting = keep_running("accept", move || accepting.clone().accept(listener.clone()));
        let looking = front.clone();
        keep_running("look round", move || looking.clone().close_stalled_connections());
        tracing::info!(limiter = plan.name, "{} serves {address}", plan.name);
        Ok(Serving { name: plan.name.clone(), engine, address, front, accepting })
    }

    /// Returns the front end that holds the client connections.
    pub fn front(&self) -> Rc<Front> {
        self.front.clone()
    }

    /// Returns the address where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: accepts new connections for 0.45 s, and fails requests that are still open 0.55 s after the
    /// longest deadline (3 s at most).
    ///
    /// If a successor has taken over (`yielded`), idle connections are kept until near the end of that time: the next
    /// response on each of them tells the client to reconnect, while closing it could race with a request.
    pub async fn stop(self, yielded: bool) {
        let (engine, front) = (&self.engine, &self.front);
        let stopped = Instant::now();
        tracing::info!(
            "{} stops: {} connections, {} unanswered requests",
            self.name,
            front.open(),
            engine.unanswered()
        );
        let end = stopped + shutdown_timeout(engine.revision().settings());
        front.stop();
        if yielded {
            let last = end - CLOSE_RESERVE;
            while front.open() > 0 && Instant::now() < last {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        } else {
            tokio::time::sleep(ACCEPT_AFTER_SIGTERM).await;
        }
        self.accepting.abort();
        finish(engine, front, end).await;
        tracing::info!("{} ends after {} ms", self.name, stopped.elapsed().as_millis());
    }
}

/// Runs `work` to its end on a single-threaded runtime.
///
/// # Errors
/// The error of `work`, or the reason why the runtime could not be started.
pub fn on_one_thread<F>(work: F) -> Result<(), String>
where
    F: Future<Output = Result<(), String>> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let local = tokio::task::LocalSet::new();
    // Spawned as a task, because the outermost future is polled on every turn of the event loop.
    let serving = local.spawn_local(work);
    local.block_on(&runtime, serving).map_err(|e| e.to_string())?
}

/// Waits for open requests until `end`, then fails those that are left.
async fn finish(engine: &Rc<Engine<Http1>>, front: &Rc<Front>, end: Instant) {
    front.close_idle();
    while front.open() > 0 && Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    engine.fail_all();
    let last = Instant::now() + FINAL_WRITE_TIMEOUT;
    while front.open() > 0 && Instant::now() < last {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Adopts an inherited listening socket.
///
/// # Errors
/// If the descriptor is not a listening TCP socket.
fn adopt_listener(descriptor: RawFd) -> std::io::Result<TcpListener> {
    let wrong = |why: String| {
        std::io::Error::new(
            std::io::ErrorKind::InvalidInput,
            format!("PROXY_PASSED_SOCKET {descriptor}: {why}"),
        )
    };
    // listenfd reads the variables of systemd's protocol and removes them afterwards.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let listener =
        taken.map_err(|e| wrong(e.to_string()))?.ok_or_else(|| wrong("no socket is open there".into()))?;
    if !SockRef::from(&listener).is_listener()? {
        return Err(wrong("the socket is not listening".into()));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds a listener with SO_REUSEADDR, so that connections left by an earlier process do not block the address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
