//! The form of the file, and what it means to the engine. Its JSON Schema is made from these types, and bounds
//! stand here only.

use super::fleet::FleetTable;
use super::mistake::{below, Mistake};
use super::{Config, CounterKind};
use crate::engine::{Names, Setup};
use crate::ports::membership::Member;
use oatbank_limiter_core::interface::{Class, Group, Plan, Repeat, ServerState, Settings};
use oatbank_zones::{ReducedZone, ReductionCause};
use schemars::generate::SchemaSettings;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Names of servers, classes, plans and zones.
pub(super) const NAME: &str = "^[A-Za-z0-9_.-]{1,64}$";

/// The schema of [`File`], without references: the way to a keyword in it is the way to a key.
pub(super) fn schema() -> Value {
    let inline = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    inline.into_generator().into_root_schema_for::<File>().to_value()
}

/// A folder of ephemeral nodes from which the list of servers comes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZooKeeper {
    /// The service's addresses, "HOST:PORT", and more behind commas.
    #[schemars(regex(pattern = "^[^,:]+:[0-9]+(,[^,:]+:[0-9]+)*$"))]
    pub zookeeper: String,
    /// The folder whose nodes are the members, a path as "/services/quotes".
    #[schemars(regex(pattern = "^(/[^/]+)+$"))]
    pub path: String,
    /// The session time-out that is asked for, ms.
    #[serde(default = "session_timeout")]
    #[schemars(range(min = 100, max = 60_000))]
    pub session_timeout_ms: u64,
    /// "SCHEME:CREDENTIALS", if the folder's permissions want any.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^:]+:.*$"))]
    pub auth: Option<String>,
    /// What the file's [[servers]] are beside the folder's: "until_read", or "beside" with the lower rank.
    #[serde(default)]
    pub servers: FileServers,
    /// Hold back servers that come and go too often.
    #[serde(default = "yes")]
    pub hold_down: bool,
    /// The folder in which this limiter registers itself by its name, a path as "/services/limiters".
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^(/[^/]+)+$"))]
    pub register: Option<String>,
}

/// What the file's servers are where there is a folder of members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FileServers {
    #[default]
    #[allow(missing_docs)]
    UntilRead,
    #[allow(missing_docs)]
    Beside,
}

/// A zone of which less than all is used.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct LeftLine {
    /// Its name, one of zones.
    #[schemars(regex(pattern = NAME))]
    zone: String,
    /// The part of it that each limiter may use.
    #[schemars(range(min = 0, max = 1))]
    share: f64,
    /// Why: "staff", until they end it, or "evidence".
    #[serde(default)]
    by: LeftBy,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum LeftBy {
    #[default]
    Staff,
    Evidence,
}

impl From<LeftBy> for ReductionCause {
    fn from(by: LeftBy) -> ReductionCause {
        match by {
            LeftBy::Staff => ReductionCause::Staff,
            LeftBy::Evidence => ReductionCause::Evidence,
        }
    }
}

fn yes() -> bool {
    true
}

fn session_timeout() -> u64 {
    4000
}

/// The configuration of a limiter without a platform. Spans are in ms, rates in units a second.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "oatbank")]
pub(super) struct File {
    /// The limiter's name, for the log.
    #[serde(default = "oatbank")]
    name: String,
    /// Where clients connect.
    #[serde(default = "loopback")]
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// "none", "local" (within this process), or "text://ADDRESS:PORT" where limiters share one.
    #[serde(default = "local")]
    counter: String,
    /// A call to the counter is given up after this, ms.
    #[serde(default = "counter_timeout")]
    #[schemars(range(min = 1, max = 3_600_000))]
    counter_timeout_ms: f64,
    /// How many limiters share the accounts.
    #[serde(default = "one")]
    #[schemars(range(min = 1, max = 10_000))]
    limiters: f64,
    /// Names of zones.
    #[serde(default)]
    #[schemars(inner(regex(pattern = NAME)), length(max = 65_535))]
    zones: Vec<String>,
    /// This limiter's zone.
    #[serde(default)]
    #[schemars(with = "String")]
    zone: Option<String>,
    /// Most units of one request.
    #[serde(default = "one")]
    #[schemars(range(min = 0.000_001, max = 1e9))]
    max_units: f64,
    /// The servers; with [members], those that count until its first list is read.
    #[serde(default)]
    servers: Vec<ServerLine>,
    /// Ids of servers that get nothing new, wherever the list comes from.
    #[serde(default)]
    #[schemars(inner(length(min = 1, max = 256)))]
    suspended: Vec<String>,
    /// Zones of which less than all is used.
    #[serde(default)]
    left: Vec<LeftLine>,
    /// Where the list of servers comes from, if not from here.
    #[serde(default)]
    #[schemars(with = "ZooKeeper")]
    members: Option<ZooKeeper>,
    /// Classes of requests; a class is the first part of the path.
    #[schemars(length(min = 1))]
    classes: Vec<ClassLine>,
    /// Plans of accounts.
    #[schemars(length(min = 1))]
    plans: Vec<PlanLine>,
    /// What a request may be tried.
    #[serde(default)]
    attempts: Attempts,
    /// What a server that has just started is spared.
    #[serde(default)]
    cold: Cold,
    /// What the process may take.
    #[serde(default)]
    limits: Limits,
    /// The fleet that this limiter is one of: limiters that act by one set of rules.
    #[serde(default)]
    #[schemars(with = "FleetTable")]
    fleet: Option<FleetTable>,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ServerLine {
    /// A name of 1 to 64 letters, digits, '-', '_', '.', the same at every limiter.
    #[schemars(regex(pattern = NAME))]
    id: String,
    /// An address in figures with its port, "10.0.0.1:8000".
    #[schemars(with = "String")]
    address: SocketAddr,
    /// Its zone, one of zones.
    #[serde(default)]
    zone: String,
    /// Its cell.
    #[serde(default)]
    cell: u16,
    /// Its size beside the others'.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001, max = 1000))]
    weight: f64,
    /// It finishes what it has and is sent nothing new.
    #[serde(default)]
    draining: bool,
}

#[derive(Clone, Copy, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum RepeatRule {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum KeyScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ClassLine {
    /// A name of 1 to 64 letters, digits, '-', '_', '.'.
    #[schemars(regex(pattern = NAME))]
    name: String,
    /// An answer within this, ms, has its full worth.
    #[schemars(range(min = 1, max = 3_600_000))]
    aim_ms: f64,
    /// How long a client waits, ms, over all of its tries.
    #[schemars(range(min = 1, max = 3_600_000))]
    deadline_ms: f64,
    /// Whether a request may run again: "safe" any number of times, "keyed" within key_window_ms, "unsafe" never.
    repeat: RepeatRule,
    /// Which servers drop each other's repeats of a key.
    #[serde(default)]
    key_scope: KeyScope,
    /// How long servers remember a key, ms.
    #[serde(default)]
    #[schemars(range(min = 0, max = 3_600_000))]
    key_window_ms: f64,
    /// Worth of one unit.
    #[serde(default = "one")]
    #[schemars(range(min = 0, max = 1e9))]
    worth: f64,
    /// Share of the worth for an answer after the aim.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    late_worth: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct PlanLine {
    /// A name of 1 to 64 letters, digits, '-', '_', '.'.
    #[schemars(regex(pattern = NAME))]
    name: String,
    /// Units a second; 0: no such quota.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    rate: f64,
    /// Units that may be used at once.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    burst: f64,
    /// Attempts out at once; 0: no such quota.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    max_open: f64,
    /// Units a second that are never exceeded, whatever the counter says; 0: no ceiling.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    ceiling_rate: f64,
    /// Units that the ceiling lets through at once.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    ceiling_burst: f64,
    /// Multiplier on a class's worth.
    #[serde(default = "one")]
    #[schemars(range(min = 0, max = 1e9))]
    price: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Attempts {
    /// Attempts of one request.
    #[schemars(range(min = 1, max = 16))]
    most: u32,
    /// A second copy may be sent while the first is out, where the class allows it.
    hedged: bool,
    /// A connection that is not up within this, ms, has failed.
    #[schemars(range(min = 1, max = 3_600_000))]
    connect_timeout_ms: f64,
    /// Servers close a connection that stood idle this long, ms.
    #[schemars(range(min = 1, max = 3_600_000))]
    keep_idle_ms: f64,
    /// The longest that a client is told to stay away, ms.
    #[schemars(range(min = 0, max = 3_600_000))]
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

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Cold {
    /// Share of its capacity that a server has just after its start.
    #[schemars(range(min = 0.001, max = 1))]
    share: f64,
    /// It has all of it after this, ms.
    #[schemars(range(min = 0, max = 3_600_000))]
    warm_after_ms: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Cold { share: 0.2, warm_after_ms: 10_000.0 }
    }
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    /// File descriptors, sockets of all kinds among them.
    #[schemars(range(min = 64, max = 1_000_000))]
    sockets: usize,
    /// Memory, MB.
    #[schemars(range(min = 16, max = 1_000_000))]
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

impl File {
    /// What the file means. It was checked: the error is for what only a checked file cannot hold.
    pub(super) fn config(self) -> Result<Config, Mistake> {
        let counter = CounterKind::parse(&self.counter);
        let counter = counter.ok_or_else(|| Mistake::at(below(&[], "counter"), "not allowed"))?;
        let zone = self.zone.as_ref().and_then(|zone| self.zones.iter().position(|z| z == zone));
        let settings = Settings {
            gateways: self.limiters,
            zone: zone.and_then(|place| u16::try_from(place).ok()).unwrap_or(0),
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
        let fleet = self.fleet.as_ref().and_then(|table| table.fleet(&self.name));
        // Limiters must not roll alike, and one that starts anew may.
        let seed = xxhash_rust::xxh3::xxh3_64(self.name.as_bytes());
        Ok(Config {
            listen: self.listen,
            setup: Setup { settings, names, seed },
            name: self.name,
            members: self.servers.into_iter().map(ServerLine::member).collect(),
            suspended: self.suspended.into_iter().collect(),
            left: self
                .left
                .into_iter()
                .map(|l| ReducedZone { zone: l.zone, share: l.share, by: l.by.into() })
                .collect(),
            zookeeper: self.members,
            fleet,
            counter,
            limits: (self.limits.sockets, self.limits.memory_mb),
            keep_idle: self.attempts.keep_idle_ms,
            connect_timeout: self.attempts.connect_timeout_ms,
        })
    }
}

impl ServerLine {
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
        Class { target: aim, deadline, late_worth: self.late_worth, worth: self.worth, repeat }
    }
}

impl PlanLine {
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
