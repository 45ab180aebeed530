//! Structure of the file and its conversion to engine settings. The JSON Schema is generated from these types, which are
//! the only place that states the bounds of values.

use super::fleet::FleetTable;
use super::validation::{below, ValidationError};
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

/// Pattern of the names of servers, classes, plans and zones.
pub(super) const NAME: &str = "^[A-Za-z0-9_.-]{1,64}$";

/// Returns the schema of [`File`] without references, so that its nesting follows that of the file's keys.
pub(super) fn schema() -> Value {
    let inline = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    inline.into_generator().into_root_schema_for::<File>().to_value()
}

/// Takes the list of servers from a ZooKeeper folder of ephemeral nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZooKeeper {
    /// Addresses of the ZooKeeper servers, "HOST:PORT", separated by commas.
    #[schemars(regex(pattern = "^[^,:]+:[0-9]+(,[^,:]+:[0-9]+)*$"))]
    pub zookeeper: String,
    /// Folder whose nodes are the servers, a path such as "/services/quotes".
    #[schemars(regex(pattern = "^(/[^/]+)+$"))]
    pub path: String,
    /// Requested session timeout, ms.
    #[serde(default = "session_timeout")]
    #[schemars(range(min = 100, max = 60_000))]
    pub session_timeout_ms: u64,
    /// Credentials as "SCHEME:CREDENTIALS", if the folder's permissions require any.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^:]+:.*$"))]
    pub auth: Option<String>,
    /// Use of the file's [[servers]]: "until_read" uses them until the folder's list is read, "beside" uses them
    /// together with that list, with lower rank.
    #[serde(default)]
    pub servers: FileServers,
    /// Whether to hold back servers that join and leave too often.
    #[serde(default = "yes")]
    pub hold_down: bool,
    /// Folder in which this limiter registers under its name, a path such as "/services/limiters".
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^(/[^/]+)+$"))]
    pub register: Option<String>,
}

/// Use of the file's servers where the list comes from a ZooKeeper folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FileServers {
    #[default]
    #[allow(missing_docs)]
    UntilRead,
    #[allow(missing_docs)]
    Beside,
}

/// Limits the use of a zone.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ReducedZoneTable {
    /// Name of the zone, one of zones.
    #[schemars(regex(pattern = NAME))]
    zone: String,
    /// Share of the zone that each limiter may use.
    #[schemars(range(min = 0, max = 1))]
    share: f64,
    /// Cause of the limit: "staff", which lasts until staff end it, or "evidence".
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

/// Configuration of a limiter without a platform. Durations are in ms, rates in units per second.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "oatbank")]
pub(super) struct File {
    /// Name of the limiter, for the log.
    #[serde(default = "oatbank")]
    name: String,
    /// Address and port on which clients connect.
    #[serde(default = "loopback")]
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// Counter: "none", "local" (within this process), or "text://ADDRESS:PORT" for one that limiters share.
    #[serde(default = "local")]
    counter: String,
    /// Timeout of a call to the counter, ms.
    #[serde(default = "counter_timeout")]
    #[schemars(range(min = 1, max = 3_600_000))]
    counter_timeout_ms: f64,
    /// Number of limiters that share the accounts.
    #[serde(default = "one")]
    #[schemars(range(min = 1, max = 10_000))]
    limiters: f64,
    /// Names of all zones.
    #[serde(default)]
    #[schemars(inner(regex(pattern = NAME)), length(max = 65_535))]
    zones: Vec<String>,
    /// Zone of this limiter, one of zones.
    #[serde(default)]
    #[schemars(with = "String")]
    zone: Option<String>,
    /// Largest number of units of one request.
    #[serde(default = "one")]
    #[schemars(range(min = 0.000_001, max = 1e9))]
    max_units: f64,
    /// Servers. With [members], its key servers says how they are used.
    #[serde(default)]
    servers: Vec<ServerLine>,
    /// Ids of servers that get no new requests, wherever the list comes from.
    #[serde(default)]
    #[schemars(inner(length(min = 1, max = 256)))]
    suspended: Vec<String>,
    /// Zones of which only a share is used.
    #[serde(default)]
    left: Vec<ReducedZoneTable>,
    /// ZooKeeper folder from which the list of servers comes; without it, the list is that of [[servers]].
    #[serde(default)]
    #[schemars(with = "ZooKeeper")]
    members: Option<ZooKeeper>,
    /// Classes of requests; the first part of a request's path is the name of its class.
    #[schemars(length(min = 1))]
    classes: Vec<ClassLine>,
    /// Plans of the accounts, with their quotas.
    #[schemars(length(min = 1))]
    plans: Vec<PlanLine>,
    /// Limits on the attempts of a request.
    #[serde(default)]
    attempts: Attempts,
    /// Reduced load on a server that has just started.
    #[serde(default)]
    cold: Cold,
    /// Limits on the resources of the process.
    #[serde(default)]
    limits: Limits,
    /// Fleet to which this limiter belongs: limiters that follow one set of rules.
    #[serde(default)]
    #[schemars(with = "FleetTable")]
    fleet: Option<FleetTable>,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ServerLine {
    /// Server id of 1 to 64 letters, digits, '-', '_', '.', the same at every limiter.
    #[schemars(regex(pattern = NAME))]
    id: String,
    /// IP address with port, such as "10.0.0.1:8000".
    #[schemars(with = "String")]
    address: SocketAddr,
    /// Zone of the server, one of zones.
    #[serde(default)]
    zone: String,
    /// Number of the server's cell.
    #[serde(default)]
    cell: u16,
    /// Capacity relative to the other servers.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001, max = 1000))]
    weight: f64,
    /// Whether the server is draining: it finishes its open requests and gets no new ones.
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
    /// Target latency, ms; an answer within it has its full worth.
    #[schemars(range(min = 1, max = 3_600_000))]
    aim_ms: f64,
    /// Total time that a client waits, ms, over all of its tries.
    #[schemars(range(min = 1, max = 3_600_000))]
    deadline_ms: f64,
    /// Whether a request may run again: "safe" any number of times, "keyed" within key_window_ms, "unsafe" never.
    repeat: RepeatRule,
    /// Servers that recognize each other's repeats of a key: "all", those of a "zone", or those of a "cell".
    #[serde(default)]
    key_scope: KeyScope,
    /// Time for which servers remember a key, ms.
    #[serde(default)]
    #[schemars(range(min = 0, max = 3_600_000))]
    key_window_ms: f64,
    /// Worth of one unit, relative to other classes.
    #[serde(default = "one")]
    #[schemars(range(min = 0, max = 1e9))]
    worth: f64,
    /// Share of the worth that an answer after aim_ms has.
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
    /// Quota in units per second; 0 for no such quota.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    rate: f64,
    /// Units that may be used at once, above the rate.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    burst: f64,
    /// Largest number of attempts in flight; 0 for no such quota.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    max_open: f64,
    /// Hard limit in units per second, enforced whatever the counter says; 0 for none.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    ceiling_rate: f64,
    /// Units that the hard limit admits at once.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1e9))]
    ceiling_burst: f64,
    /// Factor on the worth of the class.
    #[serde(default = "one")]
    #[schemars(range(min = 0, max = 1e9))]
    price: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Attempts {
    /// Largest number of attempts of one request.
    #[schemars(range(min = 1, max = 16))]
    most: u32,
    /// Whether a second attempt may be sent while the first is in flight, if the class allows it.
    hedged: bool,
    /// Timeout of a connection attempt to a server, ms.
    #[schemars(range(min = 1, max = 3_600_000))]
    connect_timeout_ms: f64,
    /// Idle timeout after which servers close a connection, ms.
    #[schemars(range(min = 1, max = 3_600_000))]
    keep_idle_ms: f64,
    /// Longest wait before a retry that a client is told, ms.
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
    /// Share of its capacity that a server has right after its start.
    #[schemars(range(min = 0.001, max = 1))]
    share: f64,
    /// Time after its start at which a server has its full capacity, ms.
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
    /// Largest number of file descriptors, including all sockets.
    #[schemars(range(min = 64, max = 1_000_000))]
    sockets: usize,
    /// Memory limit, MB.
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
    /// Converts a validated file to a configuration.
    ///
    /// # Errors
    /// `counter` is invalid, which validation has already excluded.
    pub(super) fn config(self) -> Result<Config, ValidationError> {
        let counter = CounterKind::parse(&self.counter);
        let counter = counter.ok_or_else(|| ValidationError::at(below(&[], "counter"), "not allowed"))?;
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
        // Seeds differ between limiters; a restarted limiter may draw the same numbers again.
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
