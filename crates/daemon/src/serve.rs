//! The life of a serving process: from its listener to the last answer.

use crate::front::{Front, PlatformDesk};
use oatbank_engine::engine::{shutdown_timeout, Engine, Setup};
use oatbank_engine::front::FrontLimits;
use oatbank_engine::ports::clock::Clock;
use oatbank_engine::respond::RetryAfterFormat;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::{Connections, Http1};
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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// After SIGTERM new connections still come for up to 0.4 s.
const KEEP_ACCEPTING: Duration = Duration::from_millis(450);
/// Of the time that a shutdown has, what is left for closing the connections that were kept open.
const CLOSING: Duration = Duration::from_millis(150);
/// How often the end of a shutdown looks whether all is done, and how long it waits for last bytes.
const LOOK: Duration = Duration::from_millis(10);
const LAST_BYTES: Duration = Duration::from_millis(60);

/// What a serving process is started with, wherever that came from.
pub struct Plan {
    /// The limiter's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What the engine is told.
    pub setup: Setup,
    /// What the process may take.
    pub limits: Limits,
    /// A server closes a connection that stood idle this long, ms.
    pub conn_idle: Millis,
    /// A connection that is not up within this, ms, has failed.
    pub connect_timeout: Millis,
    /// How refusals say when to come back.
    pub come_back: RetryAfterFormat,
    /// A listening socket that was handed over, in place of one at `listen`.
    pub passed: Option<RawFd>,
    /// Descriptors that what else is switched on may take.
    pub others: usize,
}

impl Plan {
    /// What this process may take, by purpose, while it is this part of the limiter.
    pub fn budget(&self, part: f64) -> Budget {
        Budget::divide(self.limits, self.others, part)
    }
}

/// The signals that a serving process follows.
pub struct Signals {
    hangup: Signal,
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// To be called before anything else: until there is a handler each of them ends the process.
    ///
    /// # Errors
    /// When the system refuses a handler.
    pub fn new() -> std::io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Calls `reload` at each SIGHUP, and completes when the process is to end.
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

/// A process that takes requests.
pub struct Serving {
    name: String,
    engine: Rc<Engine<Http1>>,
    address: SocketAddr,
    front: Rc<Front>,
    accepting: AbortHandle,
}

impl Serving {
    /// Builds the engine and starts it; it takes no request yet.
    pub fn engine(plan: &Plan, clock: Rc<dyn Clock>) -> Rc<Engine<Http1>> {
        let budget = plan.budget(1.0);
        let connections = Connections {
            idle: plan.conn_idle,
            connect_timeout: plan.connect_timeout,
            most: budget.servers,
            bodies_kib: budget.answers_kib,
        };
        let upstream = Http1::new(clock.clone(), connections, plan.setup.names.report.clone());
        let engine = Engine::new(&plan.setup, clock, upstream);
        engine.start();
        engine
    }

    /// Opens the listener.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub fn start(plan: &Plan, engine: Rc<Engine<Http1>>) -> std::io::Result<Self> {
        let front = Front::new(
            PlatformDesk::new(engine.clone(), plan.come_back),
            plan.budget(1.0),
            FrontLimits::default(),
        );
        let listener = Rc::new(match plan.passed {
            Some(descriptor) => adopt(descriptor)?,
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

    /// The clients' side.
    pub fn front(&self) -> Rc<Front> {
        self.front.clone()
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers all that was taken, and ends: new connections are taken for 0.45 s, and what is left is
    /// answered by 0.55 s after the longest deadline (3 s at most).
    ///
    /// Where a successor has taken over (`yielded`), connections between two requests are kept until the end of that
    /// time: each one's next answer moves its client on, while a close might cross a request.
    pub async fn stop(self, yielded: bool) {
        let (engine, front) = (&self.engine, &self.front);
        let stopped = Instant::now();
        tracing::info!("{} stops: {} connections, {} owed", self.name, front.open(), engine.unanswered());
        let end = stopped + shutdown_timeout(engine.revision().settings());
        front.stop();
        if yielded {
            let last = end - CLOSING;
            while front.open() > 0 && Instant::now() < last {
                tokio::time::sleep(LOOK).await;
            }
        } else {
            tokio::time::sleep(KEEP_ACCEPTING).await;
        }
        self.accepting.abort();
        finish(engine, front, end).await;
        tracing::info!("{} ends after {} ms", self.name, stopped.elapsed().as_millis());
    }
}

/// Runs one thread's work to its end.
///
/// # Errors
/// What the work ended with, or why there is no runtime.
pub fn on_one_thread<F>(work: F) -> Result<(), String>
where
    F: Future<Output = Result<(), String>> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let local = tokio::task::LocalSet::new();
    // As a task of its own: the outermost future is polled on every turn of the event loop.
    let serving = local.spawn_local(work);
    local.block_on(&runtime, serving).map_err(|e| e.to_string())?
}

/// Answers what was taken, and fails what is left at `end`.
async fn finish(engine: &Rc<Engine<Http1>>, front: &Rc<Front>, end: Instant) {
    front.close_idle();
    while front.open() > 0 && Instant::now() < end {
        tokio::time::sleep(LOOK).await;
    }
    engine.fail_all();
    let last = Instant::now() + LAST_BYTES;
    while front.open() > 0 && Instant::now() < last {
        tokio::time::sleep(LOOK).await;
    }
}

/// Takes over a listening socket that this process was started with.
fn adopt(descriptor: RawFd) -> std::io::Result<TcpListener> {
    let wrong = |why: String| {
        std::io::Error::new(
            std::io::ErrorKind::InvalidInput,
            format!("PROXY_PASSED_SOCKET {descriptor}: {why}"),
        )
    };
    // The crate goes by the names of systemd's protocol, and forgets them again.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let listener =
        taken.map_err(|e| wrong(e.to_string()))?.ok_or_else(|| wrong("nothing is there".into()))?;
    if !SockRef::from(&listener).is_listener()? {
        return Err(wrong("a socket that does not listen".into()));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Listens at once also where the process before left connections behind.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
