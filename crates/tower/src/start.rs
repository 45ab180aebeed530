//! Assembles an engine from a configuration and starts it on its own thread or in the caller's local set.

use oatbank_engine::body::Body;
use oatbank_engine::config::Config;
use oatbank_engine::counters::{self, local::CounterTotals};
use oatbank_engine::direct::{self, Direct};
use oatbank_engine::engine::{Engine, Setup};
use oatbank_engine::handle::{self, Handle, DEFAULT_QUEUE_CAPACITY};
use oatbank_engine::members::fixed;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::Member;
use oatbank_engine::ports::upstream::Upstream;
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1, Platform};
use std::rc::Rc;

/// Share of the file descriptors used for connections to servers; the rest is left to the application.
const SERVER_SHARE: f64 = 0.5;

/// Limit on buffered response bodies, KiB. Fixed, because the application's memory budget is not known here.
const BODIES_KIB: usize = 64 * 1024;

/// StartError is the reason why a limiter did not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings or the queue capacity are invalid.
    Settings(String),
    /// The thread or its runtime could not be created.
    Thread(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(why) => write!(f, "settings: {why}"),
            StartError::Thread(e) => write!(f, "cannot start the limiter's thread: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Builder holds the options of a limiter inside an application.
#[derive(Clone, Debug)]
pub struct Builder {
    config: Config,
    queue: usize,
    numbers: CounterTotals,
}

impl Builder {
    /// Creates a builder from a configuration, with the default queue capacity.
    pub fn new(config: Config) -> Self {
        Builder { config, queue: DEFAULT_QUEUE_CAPACITY, numbers: CounterTotals::default() }
    }

    /// Sets the number of requests that may wait for a client's engine or be in progress at a layer. Further
    /// requests are answered 503 with a `Retry-After` header at once.
    #[must_use]
    pub fn queue(mut self, most: usize) -> Self {
        self.queue = most;
        self
    }

    /// Shares the counters of `counter = "local"` with other limiters of this process.
    #[must_use]
    pub fn numbers(mut self, numbers: CounterTotals) -> Self {
        self.numbers = numbers;
        self
    }

    fn check(&self) -> Result<(), StartError> {
        let settings = &self.config.setup.settings;
        let wrong = |why: &str| Err(StartError::Settings(why.into()));
        if settings.classes.is_empty() || settings.plans.is_empty() {
            return wrong("at least one class and one plan are needed");
        }
        if settings.classes.len() != self.config.setup.names.classes.len() {
            return wrong("each class needs one name");
        }
        if settings.plans.len() != self.config.setup.names.plans.len() {
            return wrong("each plan needs one name");
        }
        if settings.gateways.is_nan() || settings.gateways < 1.0 {
            return wrong("at least one limiter is needed");
        }
        if self.queue == 0 {
            return wrong("the queue capacity has to be at least 1");
        }
        Ok(())
    }

    /// Starts an engine that calls servers over HTTP/1.1. Fails if the settings are invalid or no thread can be started.
    pub(crate) fn client(self, place: Place) -> Result<Handle<Forward, Body>, StartError> {
        self.check()?;
        let Builder { config, queue, numbers } = self;
        let setup = config.setup.clone();
        let most = ((config.limits.0 as f64 * SERVER_SHARE) as usize).max(16);
        let connections = Connections {
            idle: config.keep_idle,
            connect_timeout: config.connect_timeout,
            most,
            bodies_kib: BODIES_KIB,
        };
        let build = move || {
            let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
            let report = config.setup.names.report.clone();
            let dialect = Platform { report, allows_unannounced_end: true };
            let upstream = Http1::with_dialect(dialect, clock.clone(), connections);
            assemble(&config, clock, upstream, numbers, config.members.clone())
        };
        place.run(setup, queue, build)
    }

    /// Starts a limiter whose only server is the application's handler. Fails as [`Self::client`] does.
    pub(crate) fn layer(self, place: Place) -> Result<Direct, StartError> {
        self.check()?;
        let Builder { mut config, queue, numbers } = self;
        let setup = config.setup.clone();
        let settings = &mut config.setup.settings;
        // The handler consumes its request, so there is one attempt. No other limiter sends to it, so all of its
        // concurrency belongs to this one. Quotas still use the number of limiters given in each request.
        (settings.max_attempts, settings.parallel_tries, settings.gateways) = (1, false, 1.0);
        let (limiter, work) = direct::pair(setup, &config.setup, queue);
        let kind = config.counter;
        let start = move |clock, ends| counters::start(kind, numbers, clock, ends);
        match place {
            Place::Thread => direct::spawn(work, start).map_err(StartError::Thread)?,
            Place::Here => drop(tokio::task::spawn_local(work.run(start))),
        }
        Ok(limiter)
    }
}

/// Place selects where an engine runs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    /// On a new thread.
    Thread,
    /// On the caller's thread, inside its [`tokio::task::LocalSet`].
    Here,
}

impl Place {
    fn run<U, B>(
        self,
        setup: Setup,
        queue: usize,
        build: B,
    ) -> Result<Handle<U::Request, U::Answer>, StartError>
    where
        U: Upstream,
        U::Request: Send,
        U::Answer: Send,
        B: FnOnce() -> Rc<Engine<U>> + Send + 'static,
    {
        match self {
            Place::Thread => handle::spawn(setup, queue, || Ok(build())).map_err(StartError::Thread),
            Place::Here => {
                let (handle, work) = handle::pair(setup, queue);
                let engine = build();
                tokio::task::spawn_local(work.run(engine));
                Ok(handle)
            }
        }
    }
}

fn assemble<U: Upstream>(
    config: &Config,
    clock: Rc<dyn Clock>,
    upstream: U,
    numbers: CounterTotals,
    members: Vec<Member>,
) -> Rc<Engine<U>> {
    let engine = Engine::new(&config.setup, clock.clone(), upstream);
    engine.start();
    engine.use_counter(counters::start(config.counter, numbers, clock, engine.call_end_sink()));
    fixed::tell(&engine.membership_sink(), members);
    engine
}
