//! Puts an engine together from a configuration and runs it on a thread of its own.

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
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use std::rc::Rc;

/// Share of the descriptors that go to servers; the rest is the application's.
const SERVER_SHARE: f64 = 0.5;

/// Room for the bodies of answers, KiB: the application's own memory is not ours to divide.
const BODIES_KIB: usize = 64 * 1024;

/// Why a limiter did not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings allow no request to be served.
    Settings(String),
    /// There was no thread or runtime to be had.
    Thread(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(why) => write!(f, "settings: {why}"),
            StartError::Thread(e) => write!(f, "the limiter's thread: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// How a limiter within an application is started.
#[derive(Clone, Debug)]
pub struct Builder {
    config: Config,
    queue: usize,
    numbers: CounterTotals,
}

impl Builder {
    /// Starts from a configuration.
    pub fn new(config: Config) -> Self {
        Builder { config, queue: DEFAULT_QUEUE_CAPACITY, numbers: CounterTotals::default() }
    }

    /// So many requests may wait for a client's engine, or be in hand at a layer; one more is answered 503 at
    /// once, with when to come back.
    #[must_use]
    pub fn queue(mut self, most: usize) -> Self {
        self.queue = most;
        self
    }

    /// Shares the numbers of `counter = "local"` with other limiters of this process.
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
            return wrong("there is one limiter at least");
        }
        if self.queue == 0 {
            return wrong("a queue of nothing takes no request");
        }
        Ok(())
    }

    /// An engine that calls servers over HTTP/1.1.
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
            let upstream = Http1::new(clock.clone(), connections, report);
            assemble(&config, clock, upstream, numbers, config.members.clone())
        };
        place.run(setup, queue, build)
    }

    /// A limiter whose one server is the application's handler.
    pub(crate) fn layer(self, place: Place) -> Result<Direct, StartError> {
        self.check()?;
        let Builder { mut config, queue, numbers } = self;
        let setup = config.setup.clone();
        let settings = &mut config.setup.settings;
        // A handler takes its request with it, so it is run once; and no other limiter sends to it, so all
        // of its concurrency is this one's. Quotas go by each request's own number of limiters.
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

/// Where an engine runs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    /// On a thread of its own.
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
