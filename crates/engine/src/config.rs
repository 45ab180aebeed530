//! A configuration of its own, without a platform: a TOML file with servers, classes, plans and a counter.
//!
//! ```
//! let text = r#"
//!     name = "portal"
//!     listen = "127.0.0.1:8080"
//!     [[servers]]
//!     id = "engine-1"
//!     address = "127.0.0.1:9001"
//!     [[classes]]
//!     name = "quote"
//!     aim_ms = 500
//!     deadline_ms = 2000
//!     repeat = "safe"
//!     [[plans]]
//!     name = "team"
//!     rate = 5
//!     burst = 10
//! "#;
//! let config = oatbank_engine::config::Config::parse(text)?;
//! assert_eq!(config.members.len(), 1);
//! # Ok::<(), oatbank_engine::config::ConfigError>(())
//! ```

use crate::engine::{Names, Setup};
use crate::ports::membership::Member;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use topazwind::interface::{Class, Group, Millis, Plan, Repeat, ServerState, Settings};

/// Longest span that a configuration may name, ms: an hour.
const LONGEST: f64 = 3_600_000.0;
/// Largest rate, burst or number of units.
const MOST: f64 = 1e9;

/// Why a configuration is not taken.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable(String, std::io::Error),
    /// The text is no TOML of this form; the message names line, column and key.
    Malformed(Box<toml::de::Error>),
    /// A key holds what makes no sense.
    Invalid {
        /// The key, as a path.
        key: String,
        /// What is allowed.
        allowed: String,
    },
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(path, e) => write!(f, "{path}: {e}"),
            ConfigError::Malformed(e) => write!(f, "{}", e.to_string().trim_end()),
            ConfigError::Invalid { key, allowed } => write!(f, "{key}: {allowed}"),
        }
    }
}

impl std::error::Error for ConfigError {}

fn invalid(key: impl Into<String>, allowed: impl Into<String>) -> ConfigError {
    ConfigError::Invalid { key: key.into(), allowed: allowed.into() }
}

/// Which counter keeps the accounts' numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterKind {
    /// None: each limiter goes by what it sees itself.
    None,
    /// One within the process.
    Local,
    /// One that speaks the platform's text protocol.
    Text(SocketAddr),
}

/// A folder of ephemeral nodes from which the list of servers comes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZooKeeper {
    /// The service's addresses, `HOST:PORT,…`.
    pub zookeeper: String,
    /// The folder whose nodes are the members.
    pub path: String,
    /// The session time-out that is asked for, ms.
    #[serde(default = "session_timeout")]
    pub session_timeout_ms: u64,
    /// `SCHEME:CREDENTIALS`, if the folder's permissions want any.
    pub auth: Option<String>,
}

fn session_timeout() -> u64 {
    4000
}

impl ZooKeeper {
    fn check(&self) -> Result<(), ConfigError> {
        if self.zookeeper.is_empty() || self.zookeeper.split(',').any(|a| !a.contains(':')) {
            return Err(invalid("members.zookeeper", "\"HOST:PORT\", and more behind commas, is allowed"));
        }
        let path = &self.path;
        if !path.starts_with('/') || path.ends_with('/') || path.contains("//") {
            return Err(invalid("members.path", "a path as \"/services/quotes\" is allowed"));
        }
        if self.auth.as_ref().is_some_and(|a| !a.contains(':')) {
            return Err(invalid("members.auth", "\"SCHEME:CREDENTIALS\" is allowed"));
        }
        within("members.session_timeout_ms", self.session_timeout_ms as f64, 100.0, 60_000.0)
    }
}

/// What a file says, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The limiter's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What the engine is told.
    pub setup: Setup,
    /// The servers; with [`Config::zookeeper`], those that count until it has told its first list.
    pub members: Vec<Member>,
    /// Where the list of servers comes from, if not from here.
    pub zookeeper: Option<ZooKeeper>,
    /// The counter.
    pub counter: CounterKind,
    /// Descriptors and memory in MB that the process may take.
    pub limits: (usize, f64),
    /// A server closes a connection that stood idle this long, ms.
    pub keep_idle: Millis,
    /// A connection that is not up within this, ms, has failed.
    pub connect_timeout: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default = "oatbank")]
    name: String,
    #[serde(default = "loopback")]
    listen: SocketAddr,
    #[serde(default = "local")]
    counter: String,
    #[serde(default = "counter_timeout")]
    counter_timeout_ms: f64,
    #[serde(default = "one")]
    limiters: f64,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default = "one")]
    max_units: f64,
    #[serde(default)]
    servers: Vec<ServerLine>,
    members: Option<ZooKeeper>,
    classes: Vec<ClassLine>,
    plans: Vec<PlanLine>,
    #[serde(default)]
    attempts: Attempts,
    #[serde(default)]
    cold: Cold,
    #[serde(default)]
    limits: Limits,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerLine {
    id: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u16,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    draining: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RepeatRule {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KeyScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassLine {
    name: String,
    aim_ms: f64,
    deadline_ms: f64,
    repeat: RepeatRule,
    #[serde(default)]
    key_scope: KeyScope,
    #[serde(default)]
    key_window_ms: f64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanLine {
    name: String,
    #[serde(default)]
    rate: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    max_open: f64,
    #[serde(default)]
    ceiling_rate: f64,
    #[serde(default)]
    ceiling_burst: f64,
    #[serde(default = "one")]
    price: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Attempts {
    most: u32,
    hedged: bool,
    connect_timeout_ms: f64,
    keep_idle_ms: f64,
    max_retry_after_ms: f64,
}

impl Default for Attempts {
    fn default() -> Self {
        Attempts {
            most: 3,
            hedged: true,
            connect_timeout_ms: 250.0,
            keep_idle_ms: 15_000.0,
            max_retry_after_ms: 60_000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Cold {
    share: f64,
    warm_after_ms: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Cold { share: 0.2, warm_after_ms: 10_000.0 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

fn oatbank() -> String {
    "oatbank".into()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}

fn local() -> String {
    "local".into()
}

fn counter_timeout() -> f64 {
    50.0
}

fn one() -> f64 {
    1.0
}

impl Config {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When the file cannot be read or does not hold what a limiter needs.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Config::parse(&text)
    }

    /// Reads the text of a configuration.
    ///
    /// # Errors
    /// When it does not hold what a limiter needs; the error names the key and what is allowed.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: File = toml::from_str(text).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        file.check()?;
        file.config()
    }
}

/// The key's value lies within these bounds.
fn within(key: impl Into<String>, value: f64, least: f64, most: f64) -> Result<(), ConfigError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(invalid(key, format!("{value} is not allowed; a number from {least} to {most} is")))
}

/// The names are there, and each once.
fn names<'a>(of: &str, names: impl Iterator<Item = &'a str>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        let key = format!("{of}[{i}]");
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
            return Err(invalid(
                key,
                format!("{name:?} is no name; 1 to 64 letters, digits, '-', '_', '.' are"),
            ));
        }
        if !seen.insert(name) {
            return Err(invalid(key, format!("{name:?} stands twice; each name may stand once")));
        }
    }
    Ok(())
}

impl File {
    fn check(&self) -> Result<(), ConfigError> {
        names("zones", self.zones.iter().map(String::as_str))?;
        names("servers.id", self.servers.iter().map(|s| s.id.as_str()))?;
        names("classes.name", self.classes.iter().map(|c| c.name.as_str()))?;
        names("plans.name", self.plans.iter().map(|p| p.name.as_str()))?;
        if self.classes.is_empty() {
            return Err(invalid("classes", "at least one is needed"));
        }
        if self.plans.is_empty() {
            return Err(invalid("plans", "at least one is needed"));
        }
        within("limiters", self.limiters, 1.0, 10_000.0)?;
        within("max_units", self.max_units, f64::MIN_POSITIVE, MOST)?;
        within("counter_timeout_ms", self.counter_timeout_ms, 1.0, LONGEST)?;
        within("attempts.most", f64::from(self.attempts.most), 1.0, 16.0)?;
        within("attempts.connect_timeout_ms", self.attempts.connect_timeout_ms, 1.0, LONGEST)?;
        within("attempts.keep_idle_ms", self.attempts.keep_idle_ms, 1.0, LONGEST)?;
        within("attempts.max_retry_after_ms", self.attempts.max_retry_after_ms, 0.0, LONGEST)?;
        within("cold.share", self.cold.share, 0.001, 1.0)?;
        within("cold.warm_after_ms", self.cold.warm_after_ms, 0.0, LONGEST)?;
        within("limits.sockets", self.limits.sockets as f64, 64.0, 1e6)?;
        within("limits.memory_mb", self.limits.memory_mb, 16.0, 1e6)?;
        self.members.as_ref().map_or(Ok(()), ZooKeeper::check)?;
        self.servers.iter().enumerate().try_for_each(|(i, s)| s.check(i, &self.zones))?;
        self.classes.iter().enumerate().try_for_each(|(i, c)| c.check(i))?;
        self.plans.iter().enumerate().try_for_each(|(i, p)| p.check(i))
    }

    fn counter(&self) -> Result<CounterKind, ConfigError> {
        match self.counter.as_str() {
            "none" => Ok(CounterKind::None),
            "local" if self.limiters > 1.0 => Err(invalid(
                "counter",
                "\"local\" is not shared, and limiters is over 1; \"text://ADDRESS:PORT\" or \"none\" is allowed",
            )),
            "local" => Ok(CounterKind::Local),
            other => {
                let address = other.strip_prefix("text://").and_then(|a| a.parse().ok());
                address.map(CounterKind::Text).ok_or_else(|| {
                    let allowed = "\"none\", \"local\" and \"text://ADDRESS:PORT\" are";
                    invalid("counter", format!("{other:?} is not allowed; {allowed}"))
                })
            }
        }
    }

    fn zone(&self) -> Result<u16, ConfigError> {
        let Some(zone) = &self.zone else { return Ok(0) };
        let place = self.zones.iter().position(|z| z == zone);
        let place = place.ok_or_else(|| invalid("zone", format!("{zone:?} is not among zones")))?;
        u16::try_from(place).map_err(|_| invalid("zones", "65,535 at most"))
    }

    fn config(self) -> Result<Config, ConfigError> {
        let (counter, zone) = (self.counter()?, self.zone()?);
        let settings = Settings {
            gateways: self.limiters,
            zone,
            classes: self.classes.iter().map(ClassLine::class).collect(),
            plans: self.plans.iter().map(PlanLine::plan).collect(),
            max_units: self.max_units,
            max_attempts: self.attempts.most,
            parallel_tries: self.attempts.hedged,
            cancelling: true,
            retry_after: true,
            max_retry_after: self.attempts.max_retry_after_ms,
            counter: counter != CounterKind::None,
            counter_timeout: self.counter_timeout_ms,
            cold_start: self.cold.share,
            warm_after: self.cold.warm_after_ms,
            ..Settings::default()
        };
        let names = Names {
            classes: self.classes.into_iter().map(|c| c.name).collect(),
            plans: self.plans.into_iter().map(|p| p.name).collect(),
            zones: self.zones,
            report: Vec::new(),
        };
        Ok(Config {
            listen: self.listen,
            setup: Setup { settings, names, seed: seed(&self.name) },
            name: self.name,
            members: self.servers.into_iter().map(ServerLine::member).collect(),
            zookeeper: self.members,
            counter,
            limits: (self.limits.sockets, self.limits.memory_mb),
            keep_idle: self.attempts.keep_idle_ms,
            connect_timeout: self.attempts.connect_timeout_ms,
        })
    }
}

/// A seed from the name: limiters must not roll alike, and one that starts anew may.
fn seed(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl ServerLine {
    fn check(&self, i: usize, zones: &[String]) -> Result<(), ConfigError> {
        within(format!("servers[{i}].weight"), self.weight, 0.001, 1000.0)?;
        if !self.zone.is_empty() && !zones.contains(&self.zone) {
            return Err(invalid(format!("servers[{i}].zone"), format!("{:?} is not among zones", self.zone)));
        }
        Ok(())
    }

    fn member(self) -> Member {
        let state = if self.draining { ServerState::Draining } else { ServerState::Ready };
        Member {
            zone: self.zone,
            cell: self.cell,
            weight: self.weight,
            state,
            ..Member::ready(self.id, self.address)
        }
    }
}

impl ClassLine {
    fn check(&self, i: usize) -> Result<(), ConfigError> {
        let key = |name: &str| format!("classes[{i}].{name}");
        within(key("aim_ms"), self.aim_ms, 1.0, LONGEST)?;
        within(key("deadline_ms"), self.deadline_ms, self.aim_ms, LONGEST)?;
        within(key("worth"), self.worth, 0.0, MOST)?;
        within(key("late_worth"), self.late_worth, 0.0, 1.0)?;
        match self.repeat {
            RepeatRule::Keyed => within(key("key_window_ms"), self.key_window_ms, 1.0, LONGEST),
            _ => Ok(()),
        }
    }

    fn class(&self) -> Class {
        let group = match self.key_scope {
            KeyScope::All => Group::All,
            KeyScope::Zone => Group::Zone,
            KeyScope::Cell => Group::Cell,
        };
        let repeat = match self.repeat {
            RepeatRule::Safe => Repeat::Safe,
            RepeatRule::Keyed => Repeat::Keyed { group, window: self.key_window_ms },
            RepeatRule::Unsafe => Repeat::Unsafe,
        };
        let (aim, deadline) = (self.aim_ms, self.deadline_ms);
        Class { aim, deadline, late_worth: self.late_worth, worth: self.worth, repeat }
    }
}

impl PlanLine {
    fn check(&self, i: usize) -> Result<(), ConfigError> {
        let key = |name: &str| format!("plans[{i}].{name}");
        within(key("rate"), self.rate, 0.0, MOST)?;
        within(key("burst"), self.burst, if self.rate > 0.0 { f64::MIN_POSITIVE } else { 0.0 }, MOST)?;
        within(key("max_open"), self.max_open, 0.0, MOST)?;
        within(key("ceiling_rate"), self.ceiling_rate, 0.0, MOST)?;
        let least = if self.ceiling_rate > 0.0 { f64::MIN_POSITIVE } else { 0.0 };
        within(key("ceiling_burst"), self.ceiling_burst, least, MOST)?;
        within(key("price"), self.price, 0.0, MOST)
    }

    fn plan(&self) -> Plan {
        Plan {
            rate: self.rate,
            burst: self.burst,
            max_open: self.max_open,
            ceiling_rate: self.ceiling_rate,
            ceiling_burst: self.ceiling_burst,
            price: self.price,
            ..Plan::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
        name = "x"
        zones = ["a", "b"]
        zone = "b"
        [[servers]]
        id = "engine-1"
        address = "127.0.0.1:9001"
        zone = "a"
        [[classes]]
        name = "book"
        aim_ms = 500
        deadline_ms = 2000
        repeat = "keyed"
        key_window_ms = 25000
        [[plans]]
        name = "team"
        rate = 5
        burst = 10
    "#;

    #[test]
    fn a_good_file_is_taken_with_its_defaults() {
        let config = Config::parse(GOOD).expect("a configuration");
        assert_eq!((config.counter, config.setup.settings.zone), (CounterKind::Local, 1));
        assert_eq!(config.setup.settings.classes[0].deadline, 2000.0);
        assert_eq!(config.members[0].zone, "a");
        assert_eq!(config.listen.to_string(), "127.0.0.1:8080");
    }

    #[test]
    fn each_mistake_is_told_with_its_key_and_what_is_allowed() {
        for (of, with, key, allowed) in [
            ("burst = 10", "burst = 0", "plans[0].burst", "a number from"),
            ("burst = 10", "burst = nan", "plans[0].burst", "a number from"),
            ("rate = 5", "rate = -1", "plans[0].rate", "from 0 to"),
            ("aim_ms = 500", "aim_ms = 5000", "classes[0].deadline_ms", "from 5000 to"),
            ("key_window_ms = 25000", "", "classes[0].key_window_ms", "from 1 to"),
            ("zone = \"b\"", "zone = \"c\"", "zone", "not among zones"),
            ("zone = \"a\"", "zone = \"c\"", "servers[0].zone", "not among zones"),
            ("id = \"engine-1\"", "id = \"a b\"", "servers.id[0]", "1 to 64 letters"),
            ("name = \"x\"", "counter = \"redis\"", "counter", "\"local\""),
            ("name = \"x\"", "limiters = 2", "counter", "text://"),
            ("name = \"x\"", "attempts.most = 0", "attempts.most", "from 1 to 16"),
            ("repeat = \"keyed\"", "repeat = \"often\"", "repeat", "`safe`, `keyed`, `unsafe`"),
            ("rate = 5", "rat = 5", "rat", "unknown field"),
            ("9001", "none", "address", "socket address"),
            (
                "[[plans]]",
                "[members]\nzookeeper = \"x\"\npath = \"/a\"\n[[plans]]",
                "members.zookeeper",
                "HOST:PORT",
            ),
            (
                "[[plans]]",
                "[members]\nzookeeper = \"x:1\"\npath = \"a/\"\n[[plans]]",
                "members.path",
                "/services",
            ),
        ] {
            assert!(GOOD.contains(of), "{of}");
            let e = Config::parse(&GOOD.replacen(of, with, 1)).expect_err(with).to_string();
            assert!(e.contains(key) && e.contains(allowed), "{with}: {e}");
        }
        let e = Config::parse(&GOOD.replace("rate = 5", "rat = 5")).expect_err("a key").to_string();
        assert!(e.contains("line 17"), "{e}");
        let twice = format!("{GOOD}\n[[plans]]\nname = \"team\"");
        assert!(Config::parse(&twice).expect_err("twice").to_string().contains("plans.name[1]"));
    }
}
