//! The fleet's table of a configuration, and configurations whose rules come from the fleet's revision.

use super::file::NAME;
use super::mistake::{Mistake, Step};
use super::{text, Config, ConfigError};
use oatbank_fleet::timing::{LeaseTiming, OnLeaseExpiry};
use oatbank_fleet::{Millis, Peer};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Keys of a configuration that are rules: with a fleet they come from its revision, and stand in the file as a hint.
pub const RULES: [&str; 9] =
    ["attempts", "classes", "cold", "left", "max_units", "plans", "servers", "suspended", "zones"];
/// The shortest secret.
const LEAST_KEY: usize = 16;

/// A limiter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetPeer {
    /// Its name, as its own file has it.
    #[schemars(regex(pattern = NAME))]
    pub name: String,
    /// Where it listens for the others (UDP).
    #[schemars(with = "String")]
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum Lapse {
    #[default]
    Strict,
    Refuse,
}

/// The fleet that a limiter is one of. Spans are in ms.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTable {
    /// Where this limiter listens for the others (UDP).
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// Where operators call (HTTP), "127.0.0.1:7100".
    #[schemars(with = "String")]
    control: SocketAddr,
    /// A secret that all limiters of the fleet share, 16 characters at least.
    #[schemars(length(min = LEAST_KEY))]
    key: String,
    /// The name of the limiter that decides on changes; or "coordinator".
    #[serde(default)]
    #[schemars(with = "String")]
    decider: Option<String>,
    /// The addresses of a ZooKeeper-style coordinator that elects it, "HOST:PORT", and more behind commas.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^,:]+:[0-9]+(,[^,:]+:[0-9]+)*$"))]
    coordinator: Option<String>,
    /// The folder there that is this fleet's, a path as "/limiters/fleet".
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^(/[^/]+)+$"))]
    path: Option<String>,
    /// "SCHEME:CREDENTIALS", if the folder's permissions want any.
    #[serde(default)]
    #[schemars(with = "String", regex(pattern = "^[^:]+:.*$"))]
    auth: Option<String>,
    /// Leave zones that fail, and come back, as a fleet.
    #[serde(default)]
    zones: bool,
    /// All limiters of the fleet, this one among them, in one order everywhere.
    #[schemars(length(min = 1, max = 1000))]
    peers: Vec<FleetPeer>,
    /// How long an answer of the decider keeps a limiter's rules current.
    #[serde(default = "lease")]
    lease_ms: Millis,
    /// Between two questions of a limiter to the decider.
    #[serde(default = "heartbeat")]
    heartbeat_ms: Millis,
    /// How long a message takes at most where links are well.
    #[serde(default = "message")]
    message_ms: Millis,
    /// From a decision to its effect.
    #[serde(default = "effect")]
    effect_ms: Millis,
    /// How far a clock may run wrong, parts in a million.
    #[serde(default = "drift")]
    drift_ppm: u32,
    /// The time for which two limiters may act by rules that contradict each other.
    #[serde(default = "within")]
    within_ms: Millis,
    /// What a limiter does that is cut off: "strict" (the stricter of what it holds and has confirmed; nothing is decided
    /// without it) or "refuse" (at once; changes go on).
    #[serde(default)]
    on_lapse: Lapse,
    /// With "strict": after this it refuses, and changes go on without it; without, never.
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

/// A coordinator's folder that is a fleet's.
#[derive(Clone, Debug)]
pub struct CoordinatorFolder {
    /// The coordinator's addresses, behind commas.
    pub cluster: String,
    /// The folder.
    pub path: String,
    /// "SCHEME:CREDENTIALS".
    pub auth: Option<String>,
}

/// What a file says of its fleet, checked.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Where this limiter listens for the others.
    pub listen: SocketAddr,
    /// Where operators call.
    pub control: SocketAddr,
    /// The secret that frames are marked with.
    pub key: String,
    /// This limiter.
    pub me: Peer,
    /// The limiter that decides, where it is named.
    pub decider: Option<Peer>,
    /// What elects it, where it is not.
    pub tree: Option<CoordinatorFolder>,
    /// All limiters.
    pub peers: Vec<FleetPeer>,
    /// The fleet's times.
    pub timing: LeaseTiming,
    /// Zones that fail are left as a fleet.
    pub zones: bool,
}

impl FleetTable {
    fn timing(&self) -> LeaseTiming {
        let on_lapse = match self.on_lapse {
            Lapse::Strict => OnLeaseExpiry::Strict(self.strict_for_ms.unwrap_or(Millis::MAX)),
            Lapse::Refuse => OnLeaseExpiry::Refuse,
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

    /// Nothing where a name is not on the list, which the check has told.
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

/// What no schema tells of the fleet's table.
pub(super) fn check(file: &Value) -> Vec<Mistake> {
    let Ok(table) = serde_json::from_value::<FleetTable>(file["fleet"].clone()) else { return Vec::new() };
    let at =
        |key: &str, why: String| Mistake::at(vec![Step::Key("fleet".into()), Step::Key(key.into())], why);
    let mut mistakes = Vec::new();
    let known = |name: &str| table.peers.iter().any(|p| p.name == name);
    let names: Vec<&str> = table.peers.iter().map(|p| p.name.as_str()).collect();
    if let Some(twice) = names.iter().enumerate().find(|(i, n)| names[..*i].contains(*n)) {
        mistakes.push(at("peers", format!("{:?} stands twice; each name may stand once", twice.1)));
    }
    match (&table.decider, &table.coordinator) {
        (Some(decider), None) if !known(decider) => {
            let why = format!("{decider:?} is not among fleet.peers; one of {names:?} is allowed");
            mistakes.push(at("decider", why));
        }
        (Some(_), Some(_)) => {
            let why = "not allowed beside fleet.decider: it elects the one that decides; one of the two is";
            mistakes.push(at("coordinator", why.into()));
        }
        (None, None) => {
            let why = "missing, and so is fleet.coordinator; one of the two must say who decides";
            mistakes.push(at("decider", why.into()));
        }
        (None, Some(_)) if table.path.is_none() => {
            let why = "missing beside fleet.coordinator; a folder as \"/limiters/fleet\" is wanted";
            mistakes.push(at("path", why.into()));
        }
        (None, Some(_)) | (Some(_), None) => {}
    }
    for (key, given) in [("path", &table.path), ("auth", &table.auth)] {
        if given.is_some() && table.coordinator.is_none() {
            mistakes.push(at(key, "allowed beside fleet.coordinator only".into()));
        }
    }
    let me = file["name"].as_str().unwrap_or("oatbank");
    if !known(me) {
        let why = format!(
            "this limiter's name, {me:?}, is not among them; it must be, as the others' files have it"
        );
        mistakes.push(at("peers", why));
    }
    if let Err(broken) = table.timing().check() {
        mistakes.push(at(broken.key, broken.why));
    }
    mistakes
}

/// A file without its rules: what a revision of the fleet's is laid over.
#[derive(Clone, Debug)]
pub struct Base {
    own: Map<String, Value>,
    rules: Map<String, Value>,
}

impl Config {
    /// As [`Config::load`], with what a revision of the fleet's is laid over.
    ///
    /// # Errors
    /// As for [`Config::load`].
    pub fn load_with_base(
        path: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Result<(Config, Base), ConfigError> {
        let text = std::fs::read_to_string(path).map_err(ConfigError::Unreadable)?;
        let read = text::Read::new(&text, variables).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        let config = Config::made(read.value.clone(), read.mistakes, &read.places)?;
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
    /// The zone that the limiter stands in.
    pub fn zone(&self) -> Option<String> {
        self.own.get("zone").and_then(Value::as_str).map(str::to_owned)
    }

    /// The rules of the file itself, as the text of a revision.
    pub fn rules(&self) -> String {
        toml::to_string(&self.rules).unwrap_or_default()
    }

    /// The configuration of this limiter by a revision's rules.
    ///
    /// # Errors
    /// All that this limiter cannot take in it, by line and key: also keys that its version does not know.
    pub fn with(&self, text: &str) -> Result<Config, ConfigError> {
        let read =
            text::Read::new(text, std::iter::empty()).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        let mut value = self.own.clone();
        let mut mistakes = read.mistakes;
        for (key, rule) in read.value.as_object().into_iter().flatten() {
            if !RULES.contains(&key.as_str()) {
                let why = format!("no rule of a fleet; {} are allowed", RULES.join(", "));
                mistakes.push(Mistake::at(vec![Step::Key(key.clone())], why));
            }
            value.insert(key.clone(), rule.clone());
        }
        Config::made(Value::Object(value), mistakes, &read.places)
    }
}
