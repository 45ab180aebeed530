//! Serving without a platform: servers, counter and all else from a file of oatbank's own.

use crate::serve::{on_one_thread, Limits, Plan, Serving, Signals};
use crate::{logging, members};
use oatbank_engine::config::{Config, ZooKeeper};
use oatbank_engine::counters::{self, local::Numbers};
use oatbank_engine::engine::Engine;
use oatbank_engine::members::fixed;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_engine::respond::ComeBack;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use std::rc::Rc;

/// Serves from the file at `path` until a signal ends it. SIGHUP takes over the file's list of servers; a file
/// that cannot be read changes nothing.
///
/// # Errors
/// Why it cannot start.
pub fn run(path: String) -> Result<(), String> {
    let config = Config::load(&path, std::env::vars()).map_err(|e| e.lines(&path).join("\n"))?;
    on_one_thread(async move {
        let mut signals = Signals::new().map_err(|e| e.to_string())?;
        keep_running("log", logging::tell_what_was_left_out);
        let (engine, serving) = start(&config)?;
        signals.until_stop(|| reload(&path, &engine)).await;
        serving.stop().await;
        Ok(())
    })
}

/// Starts a limiter from a configuration, on the present thread's local set.
///
/// # Errors
/// When its address cannot be had.
pub fn start(config: &Config) -> Result<(Rc<Engine<Http1>>, Serving), String> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
    let plan = plan(config);
    let engine = Serving::engine(&plan, clock.clone());
    engine.use_counter(counters::start(config.counter, Numbers::default(), clock.clone(), engine.ends()));
    match &config.zookeeper {
        Some(folder) => follow(&engine, clock, folder, config.members.clone()),
        None => fixed::tell(&engine.told(), config.members.clone()),
    }
    let serving = Serving::start(&plan, engine.clone()).map_err(|e| format!("{}: {e}", config.listen))?;
    Ok((engine, serving))
}

/// The folder's list counts from its first read on; until then the file's does.
fn follow(engine: &Rc<Engine<Http1>>, clock: Rc<dyn Clock>, folder: &ZooKeeper, until_then: Vec<Member>) {
    let told = engine.told();
    told(News::Remembered(until_then));
    let source = members::source(folder);
    let state = oatbank_zookeeper::state(&source);
    keep_running("members", move || {
        oatbank_zookeeper::follow(source.clone(), clock.clone(), told.clone(), state.clone())
    });
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
        come_back: ComeBack::Standard,
    }
}

fn reload(path: &str, engine: &Rc<Engine<Http1>>) {
    match Config::load(path, std::env::vars()) {
        Ok(config) if config.zookeeper.is_some() => {
            tracing::info!("configuration: the servers are those of {:?}", config.zookeeper.map(|z| z.path));
        }
        Ok(config) => {
            tracing::info!("configuration: {} servers", config.members.len());
            fixed::tell(&engine.told(), config.members);
        }
        Err(e) => tracing::error!("the configuration is kept as it was: {path}: {e}"),
    }
}
