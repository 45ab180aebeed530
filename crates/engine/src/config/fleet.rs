//! The `[fleet]` table of a configuration, and configurations whose rules come from a revision of the fleet.

use super::file::NAME;
use super::validation::{Step, ValidationError};
use super::{text, Config, ConfigError};
use oatbank_fleet::timing::{LeaseTiming, OnLeaseExpiry};
use oatbank_fleet::{Millis, Peer};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Keys of a configuration that are rules. In a fleet its revision sets them, and the file's values are only initial.
pub const RULES: [&str; 9] =
    ["attempts", "classes", "cold", "left", "max_units", "plans", "servers", "suspended", "zones"];
/// Shortest secret, characters.
const MIN_KEY_CHARS: usize = 16;

/// Limiter that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetPeer {
    /// Name of the limiter, as in its own file.
    #[schemars(regex(pattern = NAME))]
    pub name: String,
    /// Address on which it listens for the other limiters (UDP).
    #[schemars(with = "String")]
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum LeaseExpiryAction {
    #[default]
    Strict,
    Refuse,
}

/// Fleet to which the limiter belongs. Durations are in ms.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTable {
    /// Address on which this limiter listens for the others (UDP).
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// Address for requests of operators (HTTP), such as "127.0.0.1:7100".
    #[schemars(with = "String")]
    control: SocketAddr,
    /// Secret that all limiters of the fleet share, at least 16 characters.
    #[schemars(length(min = MIN_KEY_CHARS))]
    key: String,
    /// Name of the limiter that decides on changes; alternative to coordinator.
    #[serde(default)]
    #[schemars(with = "String")]
    decider: Option<String>,
    /// Addresses of the ZooKeeper-compatible coordinator that elects the decider, "HOST:PORT", separated by commas.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^,:]+:[0-9]+(,[^,:]+:[0-9]+)*$"))]
    coordinator: Option<String>,
    /// Folder of this fleet at the coordinator, a path such as "/limiters/fleet".
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^(/[^/]+)+$"))]
    path: Option<String>,
    /// Credentials as "SCHEME:CREDENTIALS", if the folder's permissions require any.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^:]+:.*$"))]
    auth: Option<String>,
    /// Whether the fleet leaves failing zones, and returns to them, as a whole.
    #[serde(default)]
    zones: bool,
    /// All limiters of the fleet, including this one, in the same order at every limiter.
    #[schemars(length(min = 1, max = 1000))]
    peers: Vec<FleetPeer>,
    /// Lease: time for which an answer of the decider keeps a limiter's rules current.
    #[serde(default = "lease")]
    lease_ms: Millis,
    /// Interval between a limiter's heartbeats to the decider.
    #[serde(default = "heartbeat")]
    heartbeat_ms: Millis,
    /// Longest delay of a message on a healthy network.
    #[serde(default = "message")]
    message_ms: Millis,
    /// Time from a decision until it takes effect.
    #[serde(default = "effect")]
    effect_ms: Millis,
    /// Largest drift of a clock, parts per million.
    #[serde(default = "drift")]
    drift_ppm: u32,
    /// Longest time for which two limiters may follow contradictory rules.
    #[serde(default = "within")]
    within_ms: Millis,
    /// Behavior of a limiter whose lease has expired: "strict" applies the stricter of the rules that it holds and has
    /// confirmed, and no change is decided without it; "refuse" refuses requests at once, and changes go on.
    #[serde(default)]
    on_lapse: LeaseExpiryAction,
    /// With "strict": time after which the limiter refuses requests and changes go on without it; if absent, never.
    #[serde(default)]
    #[schemars(with = "u64")]
    strict_for_ms: Option<Millis>,
}

fn lease() -> Millis {
    LeaseTiming::default().lease
}

fn heartbeat() -> Millis {
    LeaseTiming::default().heartbeat
}

fn message() -> Millis {
    LeaseTiming::default().message_delay
}

fn effect() -> Millis {
    LeaseTiming::default().activation_delay
}

fn drift() -> u32 {
    LeaseTiming::default().drift_ppm
}

fn within() -> Millis {
    LeaseTiming::default().max_divergence
}

/// Folder of a fleet at a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorFolder {
    /// Addresses of the coordinator, separated by commas.
    pub cluster: String,
    /// Path of the folder.
    pub path: String,
    /// Credentials as "SCHEME:CREDENTIALS", if any are required.
    pub auth: Option<String>,
}

/// Validated settings of a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Address on which this limiter listens for the others.
    pub listen: SocketAddr,
    /// Address for requests of operators.
    pub control: SocketAddr,
    /// Secret that authenticates frames.
    pub key: String,
    /// This limiter.
    pub me: Peer,
    /// Limiter that decides, if the file names one.
    pub decider: Option<Peer>,
    /// Coordinator that elects the decider, if the file names none.
    pub tree: Option<CoordinatorFolder>,
    /// All limiters of the fleet.
    pub peers: Vec<FleetPeer>,
    /// Lease timing of the fleet.
    pub timing: LeaseTiming,
    /// Whether failing zones are left by the fleet as a whole.
    pub zones: bool,
}

impl FleetTable {
    fn timing(&self) -> LeaseTiming {
        let on_lapse = match self.on_lapse {
            LeaseExpiryAction::Strict => OnLeaseExpiry::Strict(self.strict_for_ms.unwrap_or(Millis::MAX)),
            LeaseExpiryAction::Refuse => OnLeaseExpiry::Refuse,
        };
        LeaseTiming {
            lease: self.lease_ms,
            heartbeat: self.heartbeat_ms,
            message_delay: self.message_ms,
            activation_delay: self.effect_ms,
            drift_ppm: self.drift_ppm,
            max_divergence: self.within_ms,
            on_lapse,
        }
    }

    fn tree(&self) -> Option<CoordinatorFolder> {
        let (cluster, path) = (self.coordinator.clone()?, self.path.clone()?);
        Some(CoordinatorFolder { cluster, path, auth: self.auth.clone() })
    }

    /// Converts the table; `None` if a name is not among the peers, which validation reports.
    pub(super) fn fleet(&self, name: &str) -> Option<Fleet> {
        let place = |name: &str| self.peers.iter().position(|p| p.name == name).map(|n| Peer(n as u16));
        Some(Fleet {
            listen: self.listen,
            control: self.control,
            key: self.key.clone(),
            me: place(name)?,
            decider: match &self.decider {
                Some(name) => Some(place(name)?),
                None => None,
            },
            tree: self.tree(),
            peers: self.peers.clone(),
            timing: self.timing(),
            zones: self.zones,
        })
    }
}

/// Returns the errors of the `[fleet]` table that the schema cannot express.
pub(super) fn check(file: &Value) -> Vec<ValidationError> {
    let Ok(table) = serde_json::from_value::<FleetTable>(file["fleet"].clone()) else { return Vec::new() };
    let at = |key: &str, why: String| {
        ValidationError::at(vec![Step::Key("fleet".into()), Step::Key(key.into())], why)
    };
    let mut errors = Vec::new();
    let known = |name: &str| table.peers.iter().any(|p| p.name == name);
    let names: Vec<&str> = table.peers.iter().map(|p| p.name.as_str()).collect();
    if let Some(twice) = names.iter().enumerate().find(|(i, n)| names[..*i].contains(*n)) {
        errors.push(at("peers", format!("{:?} is a duplicate; each name must be unique", twice.1)));
    }
    match (&table.decider, &table.coordinator) {
        (Some(decider), None) if !known(decider) => {
            let why = format!("{decider:?} is not among fleet.peers; one of {names:?} is allowed");
            errors.push(at("decider", why));
        }
        (Some(_), Some(_)) => {
            let why = "not allowed together with fleet.decider, as it elects the decider; one of the two is";
            errors.push(at("coordinator", why.into()));
        }
        (None, None) => {
            let why = "missing, and so is fleet.coordinator; one of the two is required";
            errors.push(at("decider", why.into()));
        }
        (None, Some(_)) if table.path.is_none() => {
            let why = "required with fleet.coordinator; a path such as \"/limiters/fleet\"";
            errors.push(at("path", why.into()));
        }
        (None, Some(_)) | (Some(_), None) => {}
    }
    for (key, given) in [("path", &table.path), ("auth", &table.auth)] {
        if given.is_some() && table.coordinator.is_none() {
            errors.push(at(key, "allowed only together with fleet.coordinator".into()));
        }
    }
    let me = file["name"].as_str().unwrap_or("oatbank");
    if !known(me) {
        let why =
            format!("this limiter's name, {me:?}, is not among them; add it as in the other limiters' files");
        errors.push(at("peers", why));
    }
    if let Err(broken) = table.timing().check() {
        errors.push(at(broken.key, broken.reason));
    }
    errors
}

/// A file split into rules and other keys; a revision of the fleet replaces the rules.
#[derive(Clone, Debug)]
pub struct Base {
    own: Map<String, Value>,
    rules: Map<String, Value>,
}

impl Config {
    /// Loads the file as [`Config::load`] does and also returns the [`Base`] for revisions of the fleet.
    ///
    /// # Errors
    /// The file cannot be read or is not a valid configuration.
    pub fn load_with_base(
        path: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Result<(Config, Base), ConfigError> {
        let text = std::fs::read_to_string(path).map_err(ConfigError::Unreadable)?;
        let read = text::Read::new(&text, variables).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        let config = Config::from_value(read.value.clone(), read.errors, &read.places)?;
        let Value::Object(all) = read.value else { return Ok((config, Base::default())) };
        let (rules, own) = all.into_iter().partition(|(key, _)| RULES.contains(&key.as_str()));
        Ok((config, Base { own, rules }))
    }
}

impl Default for Base {
    fn default() -> Self {
        Base { own: Map::new(), rules: Map::new() }
    }
}

impl Base {
    /// Returns the limiter's zone.
    pub fn zone(&self) -> Option<String> {
        self.own.get("zone").and_then(Value::as_str).map(str::to_owned)
    }

    /// Returns the file's own rules as the text of a revision.
    pub fn rules(&self) -> String {
        toml::to_string(&self.rules).unwrap_or_default()
    }

    /// Returns the configuration of this limiter with the rules of a revision.
    ///
    /// # Errors
    /// All keys of the revision that are invalid, no rules, or unknown to this version, with their lines.
    pub fn with(&self, text: &str) -> Result<Config, ConfigError> {
        let read =
            text::Read::new(text, std::iter::empty()).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        let mut value = self.own.clone();
        let mut errors = read.errors;
        for (key, rule) in read.value.as_object().into_iter().flatten() {
            if !RULES.contains(&key.as_str()) {
                let why = format!("not a rule of a fleet; {} are allowed", RULES.join(", "));
                errors.push(ValidationError::at(vec![Step::Key(key.clone())], why));
            }
            value.insert(key.clone(), rule.clone());
        }
        Config::from_value(Value::Object(value), errors, &read.places)
    }
}
