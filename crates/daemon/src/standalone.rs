//! Serving without a platform, with servers, counter and settings from a configuration file.

use crate::control::Control;
use crate::feed::Feed;
use crate::fleet::Fleet;
use crate::serve::{on_one_thread, Plan, Serving, Signals};
use crate::{logging, members};
use oatbank_engine::config::{self, Base, Config, ZooKeeper};
use oatbank_engine::counters::{self, local::CounterTotals};
use oatbank_engine::engine::Engine;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::MembershipSink;
use oatbank_engine::respond::RetryAfterFormat;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use oatbank_membership::register::{Incarnation, Place};
use oatbank_operations::budget::Limits;
use oatbank_zookeeper::register::Registrar;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;

/// Running limiter and the services that stop with it.
pub struct Running {
    /// Engine of the limiter.
    pub engine: Rc<Engine<Http1>>,
    serving: Serving,
    /// Sink for the servers of the file.
    from_file: MembershipSink,
    fleet: Option<Rc<Fleet>>,
    registrar: Option<Rc<Registrar>>,
}

/// Serves with the file at `path` until a signal ends the process. SIGHUP reloads the file's list of servers, or
/// proposes its rules in a fleet; an invalid file changes nothing.
///
/// # Errors
/// The reason why the limiter cannot start.
pub fn run(path: String) -> Result<(), String> {
    let loaded = Config::load_with_base(&path, std::env::vars());
    let (config, base) = loaded.map_err(|e| e.lines(&path).join("\n"))?;
    on_one_thread(async move {
        let mut signals = Signals::new().map_err(|e| e.to_string())?;
        keep_running("log", logging::report_dropped_lines);
        let running = Running::start(&config, base)?;
        signals.until_stop(|| reload(&path, &running)).await;
        running.stop().await;
        Ok(())
    })
}

impl Running {
    /// Starts a limiter on the current thread's local set.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(config: &Config, base: Base) -> Result<Self, String> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
        let plan = plan(config);
        let engine = Serving::engine(&plan, clock.clone());
        engine.use_counter(counters::start(
            config.counter,
            CounterTotals::default(),
            clock.clone(),
            engine.call_end_sink(),
        ));
        let feed = Feed::start(members::intake(config), engine.membership_sink(), clock.clone());
        let from_file = feed.source(members::FILE_RANK);
        from_file(members::file_news(config));
        if let Some(folder) = &config.zookeeper {
            follow(folder, clock.clone(), feed.source(members::ZOOKEEPER_RANK));
        }
        // Joins before the first client is accepted: a member of a fleet serves by the fleet's rules only.
        let fleet = match &config.fleet {
            Some(fleet) => Some(join(fleet, base, engine.clone(), from_file.clone(), clock.clone())?),
            None => None,
        };
        let serving = Serving::start(&plan, engine.clone()).map_err(|e| format!("{}: {e}", config.listen))?;
        let registrar = config.zookeeper.as_ref().and_then(|folder| register(&config.name, folder, clock));
        Ok(Running { engine, serving, from_file, fleet, registrar })
    }

    /// Returns the address where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Finishes open requests, removes the registration, and stops.
    pub async fn stop(self) {
        let leaving = async {
            if let Some(registrar) = &self.registrar {
                registrar.leave().await;
            }
        };
        tokio::join!(leaving, self.serving.stop(false));
    }
}

fn follow(folder: &ZooKeeper, clock: Rc<dyn Clock>, told: MembershipSink) {
    let source = members::source_config(folder);
    let state = oatbank_zookeeper::state(&source);
    keep_running("members", move || {
        oatbank_zookeeper::follow(source.clone(), clock.clone(), told.clone(), state.clone())
    });
}

fn register(name: &str, folder: &ZooKeeper, clock: Rc<dyn Clock>) -> Option<Rc<Registrar>> {
    let path = folder.register.clone()?;
    let config = oatbank_zookeeper::Config { path, ..members::source_config(folder) };
    // Random: taken from the seed of the standard library's hash maps.
    let instance = RandomState::new().build_hasher().finish();
    let life = Incarnation { started_ms: clock.now() as u64, instance };
    let placed = |place: Place| {
        let (number, count) = (place.number, place.count);
        tracing::info!(number, count, "register: this is limiter {} of {count}", number + 1);
    };
    let registrar = Registrar::new(config, name, life, clock, placed);
    let running = registrar.clone();
    keep_running("registration", move || running.clone().run());
    Some(registrar)
}

/// Joins the fleet and serves its control address. From then on the fleet's rules apply.
fn join(
    settings: &config::Fleet,
    base: Base,
    engine: Rc<Engine<Http1>>,
    servers: MembershipSink,
    clock: Rc<dyn Clock>,
) -> Result<Rc<Fleet>, String> {
    let fleet = Fleet::join(settings, base, engine.clone(), servers, clock)?;
    let control = Control::start(settings.control, engine).map_err(|e| format!("fleet.{e}"))?;
    control.set_fleet(fleet.clone());
    Ok(fleet)
}

fn plan(config: &Config) -> Plan {
    let (sockets, memory_mb) = config.limits;
    Plan {
        name: config.name.clone(),
        listen: config.listen,
        setup: config.setup.clone(),
        limits: Limits { sockets, memory_mb },
        conn_idle: config.keep_idle,
        connect_timeout: config.connect_timeout,
        allows_unannounced_end: true,
        come_back: RetryAfterFormat::Standard,
        passed: None,
        others: 0,
    }
}

fn reload(path: &str, running: &Running) {
    match (Config::load_with_base(path, std::env::vars()), &running.fleet) {
        (Ok((_, base)), Some(fleet)) => fleet.reloaded(base.rules()),
        (Ok((config, _)), None) => {
            tracing::info!("configuration: {} servers", config.members.len());
            (running.from_file)(members::file_news(&config));
        }
        (Err(e), _) => tracing::error!("the configuration is kept as it was: {path}: {e}"),
    }
}
