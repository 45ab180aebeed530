//! Serving on the platform, with the configuration file named by `PROXY_CONFIG`.

use crate::control::{self, Control};
use crate::reload;
use crate::serve::{on_one_thread, Plan, Serving, Signals};
use crate::upgrade::{self, Upgrade};
use oatbank_engine::counters::text::TextCounter;
use oatbank_engine::engine::{Engine, Names, Setup};
use oatbank_engine::members::agent::{self, Agent, ServerList};
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{MembershipSink, News};
use oatbank_engine::respond::RetryAfterFormat;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use oatbank_limiter_core::wire::{parse_settings, WireError};
use oatbank_operations::budget::Limits;
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use xxhash_rust::xxh3::xxh3_64;

/// Errors of reading the platform's configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable(String, std::io::Error),
    /// The file is not valid JSON or lacks required keys.
    Malformed(serde_json::Error),
    /// The settings are incomplete or invalid.
    Settings(WireError),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(path, e) => write!(f, "configuration {path:?}: {e}"),
            ConfigError::Malformed(e) => write!(f, "configuration: {e}"),
            ConfigError::Settings(e) => write!(f, "configuration, {e}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Top-level keys of the file. The settings are parsed separately.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    control: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    known: Option<ServerList>,
    #[serde(default)]
    limits: Limits,
    settings: Value,
}

/// How long to wait for discovery before serving from the last known list.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Parsed configuration of the platform.
pub struct Config {
    /// Parameters of the serving process.
    pub plan: Plan,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address of the counter service, if there is one.
    pub counter: Option<SocketAddr>,
    /// Last list of servers that this limiter had.
    pub known: Option<ServerList>,
    /// Control address for operators, if there is one.
    pub control: Option<SocketAddr>,
    /// Complete contents of the file.
    pub form: Value,
}

impl Config {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// If the file cannot be read or is not a valid configuration.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Config::parse(&text)
    }

    /// Parses a configuration.
    ///
    /// # Errors
    /// If the text is not a valid configuration.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let form: Value = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let file = File::deserialize(&form).map_err(ConfigError::Malformed)?;
        let settings = parse_settings(&flatten(&file.settings)).map_err(ConfigError::Settings)?;
        let set = &file.settings;
        let names = Names {
            classes: names_of(&set["classes"]),
            plans: names_of(&set["plans"]),
            zones: texts(&set["areas"]),
            report: texts(&set["report"]["columns"]),
        };
        let ceiling = |key: &str, absent: f64| {
            set["ceilings"][key].as_f64().filter(|v| v.is_finite() && *v > 0.0).unwrap_or(absent)
        };
        let seed = u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| xxh3_64(file.seed.as_bytes()));
        let plan = Plan {
            name: file.name,
            listen: file.listen,
            setup: Setup { settings, names, seed },
            limits: file.limits,
            conn_idle: ceiling("conn_idle", 15_000.0),
            connect_timeout: ceiling("connect_timeout", 250.0),
            allows_unannounced_end: false,
            come_back: RetryAfterFormat::Decimal,
            passed: None,
            others: 0,
        };
        let File { discovery, counter, known, control, .. } = file;
        Ok(Config { plan, discovery, counter, known, control, form })
    }

    fn agent(&self) -> Agent {
        Agent { address: self.discovery, on_request: self.plan.setup.settings.list_on_request }
    }
}

/// Serves on the platform until a signal ends the process.
///
/// # Errors
/// The reason why the limiter cannot start.
pub fn run(path: String) -> Result<(), String> {
    let mut config = Config::load(&path).map_err(|e| e.to_string())?;
    config.plan.passed = passed_socket()?;
    config.plan.others = if config.plan.passed.is_some() { upgrade::DESCRIPTORS } else { 0 };
    config.control = control_address(&config).map_err(|e| e.to_string())?;
    config.plan.others += if config.control.is_some() { control::MAX_CALLERS + 1 } else { 0 };
    on_one_thread(async move { serve(config, path).await.map_err(|e| e.to_string()) })
}

async fn serve(config: Config, path: String) -> std::io::Result<()> {
    let mut signals = Signals::new()?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
    let engine = Serving::engine(&config.plan, clock.clone());
    let sink = engine.membership_sink();
    if let Some(known) = &config.known {
        sink(News::Remembered(known.members()));
    }
    let counter = TextCounter::start(config.counter, clock, engine.call_end_sink());
    engine.use_counter(Some(counter.clone()));
    let known = config.known.as_ref().map_or(0, |k| k.revision);
    let mut following = DiscoveryFollower::start(sink, config.agent(), Some(known), config.plan.setup.seed);
    let waiting = engine.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(LIST_TIMEOUT).await;
        waiting.set_ready();
    });
    let upgrades = config.plan.passed.is_some();
    engine.hold_readiness(upgrades);
    let control = match config.control {
        Some(address) => Some(Control::start(address, engine.clone())?),
        None => None,
    };
    let serving = Serving::start(&config.plan, engine.clone())?;
    let upgrade = if upgrades { start_upgrade(&engine, &serving, control, config.plan).await } else { None };
    let mut taken = config.form;
    signals.until_stop(|| reload(&path, &mut taken, &engine, &counter, &mut following)).await;
    serving.stop(upgrade.is_some_and(|u| u.has_yielded())).await;
    Ok(())
}

/// Follows the configured discovery agent, and switches agents when the configuration changes.
struct DiscoveryFollower {
    sink: MembershipSink,
    agent: Agent,
    /// Seed of the retry delays.
    seed: u64,
    task: AbortHandle,
}

impl DiscoveryFollower {
    fn start(sink: MembershipSink, agent: Agent, known: Option<u64>, seed: u64) -> Self {
        let telling = sink.clone();
        let task = keep_running("discovery", move || agent::follow(telling.clone(), agent, known, seed));
        DiscoveryFollower { sink, agent, seed, task }
    }

    /// Switches to another agent. The old list is kept until the new agent sends its own. Versions of two agents are not
    /// comparable, so the complete list is requested.
    fn move_to(&mut self, agent: Agent) {
        if self.agent != agent {
            self.task.abort();
            *self = DiscoveryFollower::start(self.sink.clone(), agent, None, self.seed);
        }
    }
}

/// Returns the descriptor of the listening socket inherited from the platform, if there is one.
fn passed_socket() -> Result<Option<RawFd>, String> {
    let Ok(named) = std::env::var("PROXY_PASSED_SOCKET") else { return Ok(None) };
    let descriptor = named.trim().parse::<RawFd>().ok().filter(|d| *d > 2);
    let wrong = || format!("PROXY_PASSED_SOCKET {named:?}: expected a descriptor above 2, such as 3");
    descriptor.map(Some).ok_or_else(wrong)
}

/// Coordinates this process with its predecessor and successor. If `$TMPDIR` cannot be used, the process runs without
/// coordination.
async fn start_upgrade(
    engine: &Rc<Engine<Http1>>,
    serving: &Serving,
    control: Option<Rc<Control>>,
    plan: Plan,
) -> Option<Rc<Upgrade>> {
    serving.front().set_accepting(false);
    let budget = Box::new(move |part| plan.budget(part));
    match Upgrade::start(engine.clone(), serving.front(), budget).await {
        Ok(upgrade) => {
            if let Some(control) = control {
                control.set_upgrade(upgrade.clone());
            }
            Some(upgrade)
        }
        Err(e) => {
            tracing::error!(
                "upgrade: TMPDIR {:?}: {e}; running without upgrade coordination",
                std::env::temp_dir()
            );
            engine.hold_readiness(false);
            serving.front().set_accepting(true);
            None
        }
    }
}

/// Returns the control address: from `PROXY_CONTROL` if set, otherwise from the file.
fn control_address(config: &Config) -> std::io::Result<Option<SocketAddr>> {
    let Ok(named) = std::env::var("PROXY_CONTROL") else { return Ok(config.control) };
    let unreadable = |e| {
        let why =
            format!("PROXY_CONTROL {named:?}: {e}; expected an address with a port, such as 127.0.0.1:9901");
        std::io::Error::new(std::io::ErrorKind::InvalidInput, why)
    };
    named.parse().map(Some).map_err(unreadable)
}

/// Reloads the file and applies the addresses of discovery and the counter, and the settings. The whole file is checked
/// first; an invalid one changes nothing.
fn reload(
    path: &str,
    taken: &mut Value,
    engine: &Rc<Engine<Http1>>,
    counter: &TextCounter,
    following: &mut DiscoveryFollower,
) {
    let checked = Config::load(path).map_err(|e| e.to_string()).and_then(|config| {
        reload::check(taken, &config.form).map_err(|e| format!("configuration {path:?}: {e}"))?;
        Ok(config)
    });
    let config = match checked {
        Ok(config) => config,
        Err(e) => return tracing::error!("the configuration is kept as it was: {e}"),
    };
    let (discovery, at) = (config.discovery, config.counter);
    if taken["settings"] != config.form["settings"] {
        engine.apply_settings(&config.plan.setup.names, &config.plan.setup.settings);
    }
    let number = engine.revision().number();
    tracing::info!(number, "configuration: settings {number}, discovery {discovery}, counter {at:?}");
    for key in reload::restart_only_changes(taken, &config.form) {
        tracing::warn!(key, "configuration: {key} has changed; this takes effect after a restart only");
    }
    following.move_to(config.agent());
    counter.move_to(config.counter);
    *taken = config.form;
}

fn names_of(list: &Value) -> Vec<String> {
    list.as_array()
        .map(|l| l.iter().map(|v| v["name"].as_str().unwrap_or("").to_owned()).collect())
        .unwrap_or_default()
}

fn texts(list: &Value) -> Vec<String> {
    list.as_array()
        .map(|l| l.iter().map(|v| v.as_str().unwrap_or("").to_owned()).collect())
        .unwrap_or_default()
}

/// Converts nested settings to the `path=value` lines of the simulator's protocol, so that one parser serves both.
pub fn flatten(settings: &Value) -> String {
    let mut lines = String::new();
    put(&mut lines, "", settings);
    lines
}

fn put(lines: &mut String, path: &str, value: &Value) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| put(lines, &below(key), v)),
        Value::Array(items) if items.iter().any(Value::is_object) || items.is_empty() => {
            // Writing to a string cannot fail.
            let _ = writeln!(lines, "{}={}", below("count"), items.len());
            items.iter().enumerate().for_each(|(i, v)| put(lines, &below(&i.to_string()), v));
        }
        Value::Array(items) => {
            let plain: Vec<String> = items.iter().map(scalar).collect();
            let _ = writeln!(lines, "{path}={}", plain.join(","));
        }
        other => {
            let _ = writeln!(lines, "{path}={}", scalar(other));
        }
    }
}

/// Formats a scalar for a line. Whitespace and commas would end the value and are replaced by underscores.
fn scalar(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    text.replace(|c: char| c.is_whitespace() || c == ',', "_")
}

#[cfg(test)]
mod tests;
