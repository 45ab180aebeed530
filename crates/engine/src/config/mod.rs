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
//!
//! | file | does |
//! | --- | --- |
//! | `text` | the text as a value, with the place of each key; environment variables laid over it |
//! | `file` | the file's form, from which its JSON Schema is made; what it means to the engine |
//! | `fleet` | the fleet's table, and configurations whose rules come from the fleet |
//! | `rules` | what one key allows only together with another |
//! | `mistake` | what is wrong, where, and what is allowed |

mod file;
mod fleet;
mod mistake;
mod rules;
mod text;

pub use file::{FileServers, ZooKeeper};
pub use fleet::{Base, CoordinatorFolder, Fleet, FleetPeer, RULES};
pub use mistake::{Mistake, Place};

use crate::engine::Setup;
use crate::ports::membership::Member;
use oatbank_limiter_core::interface::Millis;
use oatbank_zones::ReducedZone;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Environment variables that begin so override keys of the file.
pub const OVERRIDE: &str = "OATBANK__";

/// Why a configuration is not taken.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The text is no TOML; the message names line and column.
    Malformed(Box<toml::de::Error>),
    /// Keys that are unknown, missing or hold what is not allowed: all of them.
    Invalid(Vec<Mistake>),
}

impl ConfigError {
    /// One line for each mistake, each with the file's name.
    pub fn lines(&self, file: &str) -> Vec<String> {
        match self {
            ConfigError::Invalid(mistakes) => mistakes.iter().map(|m| m.line(file)).collect(),
            other => vec![format!("{file}: {other}")],
        }
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(e) => write!(f, "{e}"),
            ConfigError::Malformed(e) => write!(f, "{}", e.to_string().trim_end()),
            ConfigError::Invalid(mistakes) => {
                let told: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
                write!(f, "{}", told.join("; "))
            }
        }
    }
}

impl std::error::Error for ConfigError {}

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

impl CounterKind {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "none" => Some(CounterKind::None),
            "local" => Some(CounterKind::Local),
            other => other.strip_prefix("text://").and_then(|a| a.parse().ok()).map(CounterKind::Text),
        }
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
    /// Servers that get nothing new, wherever the list comes from.
    pub suspended: BTreeSet<String>,
    /// Zones of which less than all is used.
    pub left: Vec<ReducedZone>,
    /// Where the list of servers comes from, if not from here.
    pub zookeeper: Option<ZooKeeper>,
    /// The fleet that this limiter is one of.
    pub fleet: Option<Fleet>,
    /// The counter.
    pub counter: CounterKind,
    /// Descriptors and memory in MB that the process may take.
    pub limits: (usize, f64),
    /// A server closes a connection that stood idle this long, ms.
    pub keep_idle: Millis,
    /// A connection that is not up within this, ms, has failed.
    pub connect_timeout: Millis,
}

impl Config {
    /// Reads the file at `path`; of `variables`, those that begin with [`OVERRIDE`] override its keys.
    ///
    /// # Errors
    /// When the file cannot be read or does not hold what a limiter needs.
    pub fn load(
        path: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(ConfigError::Unreadable)?;
        Config::read(&text, variables)
    }

    /// Reads the text of a configuration.
    ///
    /// # Errors
    /// When it does not hold what a limiter needs; the error names every mistake with its line, its key and
    /// what is allowed.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        Config::read(text, std::iter::empty())
    }

    fn read(text: &str, variables: impl Iterator<Item = (String, String)>) -> Result<Config, ConfigError> {
        let read = text::Read::new(text, variables).map_err(|e| ConfigError::Malformed(Box::new(e)))?;
        Config::made(read.value.clone(), read.mistakes, &read.places)
    }

    /// The configuration that this value is.
    fn made(value: Value, mut mistakes: Vec<Mistake>, places: &text::Places) -> Result<Config, ConfigError> {
        mistakes.extend(mistake::against(&file::schema(), &value));
        rules::check(&value, &mut mistakes);
        if mistakes.is_empty() {
            match serde_json::from_value::<file::File>(value).map_err(|e| e.to_string()) {
                Ok(file) => return file.config().map_err(|m| ConfigError::Invalid(vec![m])),
                Err(why) => mistakes.push(Mistake::at(Vec::new(), why)),
            }
        }
        for mistake in &mut mistakes {
            mistake.place = places.of(&mistake.path);
        }
        mistakes.sort_by(|a, b| a.place.cmp(&b.place));
        Err(ConfigError::Invalid(mistakes))
    }

    /// The JSON Schema (2020-12) of the file's form.
    pub fn schema() -> serde_json::Value {
        file::schema()
    }
}

#[cfg(test)]
mod tests;
