//! Standalone configuration, without a platform: a TOML file with servers, classes, plans and a counter.
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
//!
//! | module | contents |
//! | --- | --- |
//! | `text` | parsing of the text, with the location of each key; overrides by environment variables |
//! | `file` | structure of the file, from which its JSON Schema is generated; conversion to engine settings |
//! | `fleet` | the `[fleet]` table, and configurations whose rules come from the fleet |
//! | `rules` | checks that involve several keys |
//! | `validation` | validation against the schema, and validation errors |

mod file;
mod fleet;
mod rules;
mod text;
mod validation;

pub use file::{FileServers, ZooKeeper};
pub use fleet::{Base, CoordinatorFolder, Fleet, FleetPeer, RULES};
pub use validation::{Place, ValidationError};

use crate::engine::Setup;
use crate::ports::membership::Member;
use oatbank_limiter_core::interface::Millis;
use oatbank_zones::ReducedZone;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Prefix of environment variables that override keys of the file.
pub const OVERRIDE: &str = "OATBANK__";

/// Error that prevents a configuration from being loaded.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The text is not valid TOML; the message names line and column.
    Malformed(Box<toml::de::Error>),
    /// All keys that are unknown, missing or invalid.
    Invalid(Vec<ValidationError>),
}

impl ConfigError {
    /// Returns one line for each error, each with the file's name.
    pub fn lines(&self, file: &str) -> Vec<String> {
        match self {
            ConfigError::Invalid(errors) => errors.iter().map(|m| m.line(file)).collect(),
            other => vec![format!("{file}: {other}")],
        }
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(e) => write!(f, "{e}"),
            ConfigError::Malformed(e) => write!(f, "{}", e.to_string().trim_end()),
            ConfigError::Invalid(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(f, "{}", texts.join("; "))
            }
        }
    }
}

impl std::error::Error for ConfigError {}

/// Counter that keeps the accounts' usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterKind {
    /// No counter: each limiter counts only its own requests.
    None,
    /// An in-process counter.
    Local,
    /// A counter at this address, over the platform's text protocol.
    Text(SocketAddr),
}

impl CounterKind {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "none" => Some(CounterKind::None),
            "local" => Some(CounterKind::Local),
            other => other.strip_prefix("text://").and_then(|a| a.parse().ok()).map(CounterKind::Text),
        }
    }
}

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The limiter's name, for the log.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Settings of the engine.
    pub setup: Setup,
    /// The servers; with [`Config::zookeeper`], those used until its first list is read or beside that list.
    pub members: Vec<Member>,
    /// Ids of servers that get no new requests, wherever the list comes from.
    pub suspended: BTreeSet<String>,
    /// Zones of which only a share is used.
    pub left: Vec<ReducedZone>,
    /// ZooKeeper source of the list of servers, if there is one.
    pub zookeeper: Option<ZooKeeper>,
    /// Fleet to which this limiter belongs.
    pub fleet: Option<Fleet>,
    /// Counter of the accounts' usage.
    pub counter: CounterKind,
    /// File descriptors and memory in MB that the process may use.
    pub limits: (usize, f64),
    /// Idle timeout after which servers close a connection, ms.
    pub keep_idle: Millis,
    /// Timeout of a connection attempt to a server, ms.
    pub connect_timeout: Millis,
}

impl Config {
    /// Loads the file at `path`. Those of `variables` whose names begin with [`OVERRIDE`] override its keys.
    ///
    /// # Errors
    /// The file cannot be read or is not a valid configuration.
    pub fn load(
        path: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(ConfigError::Unreadable)?;
        Config::read(&text, variables)
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// The text is not a valid configuration; the error lists every invalid key with its line and what is allowed.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        Config::read(text, std::iter::empty())
    }

    fn read(text: &str, variables: impl Iterator<Item = (String, String)>) -> Result<Config, ConfigError> {
        let read = text::Read::new(text, variables).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        Config::from_value(read.value.clone(), read.errors, &read.places)
    }

    /// Validates a value and converts it to a configuration. `errors` holds those found earlier.
    fn from_value(
        value: Value,
        mut errors: Vec<ValidationError>,
        places: &text::Places,
    ) -> Result<Config, ConfigError> {
        errors.extend(validation::validate(&file::schema(), &value));
        rules::check(&value, &mut errors);
        if errors.is_empty() {
            match serde_json::from_value::<file::File>(value).map_err(|e| e.to_string()) {
                Ok(file) => return file.config().map_err(|m| ConfigError::Invalid(vec![m])),
                Err(why) => errors.push(ValidationError::at(Vec::new(), why)),
            }
        }
        for error in &mut errors {
            error.place = places.of(&error.path);
        }
        errors.sort_by(|a, b| a.place.cmp(&b.place));
        Err(ConfigError::Invalid(errors))
    }

    /// Returns the JSON Schema (2020-12) of the file.
    pub fn schema() -> serde_json::Value {
        file::schema()
    }
}

#[cfg(test)]
mod tests;
