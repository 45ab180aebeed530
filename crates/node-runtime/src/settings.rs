//! The settings file of a process. Unknown fields are ignored; all missing and invalid fields are reported together, each
//! with its line and key. The platform defines the key names.

mod reader;

use reader::Reader;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use toml::{Table, Value};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "OATBANK_SETTINGS";

/// Offsets of the programs' RPC ports from the first port in `innerPorts`.
pub mod port_offset {
    /// Offset of the configuration store's port.
    pub const STORE: u16 = 0;
    /// Offset of the registry's port.
    pub const REGISTRY: u16 = 1;
    /// Offset of the proxy's port.
    pub const PROXY: u16 = 2;
}

/// The range of ports for calls between processes of the system, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

/// The numbers of machines, zones and regions that may fail at once while all guarantees still hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerated {
    /// Machines.
    pub machines: u64,
    /// Zones.
    pub zones: u64,
    /// Regions.
    pub regions: u64,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `nodeName`: the name of the machine.
    pub node_name: String,
    /// `serves`: the interfaces that external callers may use.
    pub serves: Vec<String>,
    /// `ip`: the machine's address.
    pub ip: Ipv4Addr,
    /// `zone`: the machine's zone.
    pub zone: String,
    /// `region`: the machine's region.
    pub region: String,
    /// `innerPorts`: ports for calls between processes of the system.
    pub inner_ports: PortRange,
    /// `seeds`: `control` addresses of core machines.
    pub seeds: Vec<SocketAddrV4>,
    /// `firstStart`: whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// `counted`: whether this machine counts towards `tolerate`.
    pub counted: bool,
    /// `dataFolder`: the directory for persistent data, if there is one.
    pub data_folder: Option<String>,
    /// `beatEveryMs`: the interval at which servers send heartbeats, ms.
    pub heartbeat_interval: f64,
    /// `zones`: pairs of a zone and its region.
    pub zones: Vec<(String, String)>,
    /// `listenOn`: pairs of an interface's name and the address to listen on for it.
    pub listen_addresses: Vec<(String, SocketAddr)>,
    /// `limits.memoryMb`: memory limit of the process, MB.
    pub memory_mb: u64,
    /// `limits.openFiles`: limit of open file descriptors.
    pub open_files: u64,
    /// `tolerate`: failures that the system must withstand at once.
    pub tolerated: Tolerated,
    /// `bounds`: the limits that the system must keep.
    pub bounds: Bounds,
}

/// The limits that the system must keep, by their keys under `bounds`.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// `applyMs`: a configuration is in force at most this long after its acknowledgement, ms.
    pub apply_ms: f64,
    /// `drainMs`: time after which a draining server gets no new requests, ms.
    pub drain_ms: f64,
    /// `ackMs`: an operator command is acknowledged within this, ms.
    pub ack_ms: f64,
    /// `graceS`: time between SIGTERM and SIGKILL, s.
    pub grace_s: f64,
    /// `revokedFail`: whether a revoked key must be rejected everywhere, even where updates do not arrive.
    pub revoked_fail: bool,
    /// `revokeMs`: a revoked key is rejected at most this long after the acknowledgement, ms.
    pub revoke_ms: f64,
    /// `retryRatio`: retries allowed per request within `retry_window_s`, in addition to `extra_tries`.
    pub retry_ratio: f64,
    /// `retryWindowS`: length of the window for `retry_ratio`, s.
    pub retry_window_s: f64,
    /// `extraTries`: retries allowed within `retry_window_s` in addition to `retry_ratio`.
    pub extra_tries: f64,
    /// `quotaWindowS`: length of the window in which a quota may be exceeded by `quota_over` and `quota_slack`, s.
    pub quota_window_s: f64,
    /// `quotaOver`: fraction by which a quota may be exceeded in a window.
    pub quota_over: f64,
    /// `quotaSlack`: requests by which a quota may be exceeded in a window, in addition to `quota_over`.
    pub quota_slack: f64,
    /// `coldOver`: a server that is warming up gets at most its rate times this, plus `cold_slack`, in a second.
    pub cold_over: f64,
    /// `coldSlack`: requests per second in addition to `cold_over`.
    pub cold_slack: f64,
    /// `emptyZoneMs`: time after which an evacuated zone gets no requests, ms.
    pub empty_ms: f64,
    /// `ttl_max_s`: the longest time for which clients may cache an answer of the directory, s.
    pub ttl_max_s: f64,
}

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The line number, from 1; 0 if the key is missing.
    pub line: usize,
    /// The key, prefixed with its table.
    pub key: String,
    /// The problem and the allowed values.
    pub problem: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.key, self.problem),
            line => write!(f, "line {line}: {}: {}", self.key, self.problem),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// All missing and invalid fields, or the one syntax error.
    pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
        let root = parse_toml(text).map_err(|error| vec![error])?;
        let mut reader = Reader::new(text);
        let tables = Tables::read(&mut reader, &root);
        let listen_addresses = read_listen_addresses(&mut reader, &tables.listen_on);
        let settings = Settings {
            node_name: reader.text(&root, "nodeName"),
            serves: root.get("serves").and_then(Value::as_array).map_or_else(Vec::new, |list| {
                list.iter().filter_map(|value| value.as_str().map(str::to_owned)).collect()
            }),
            ip: reader
                .get(&root, "ip", "an IPv4 address", |value| value.as_str()?.parse().ok())
                .unwrap_or(Ipv4Addr::UNSPECIFIED),
            zone: reader.text(&root, "zone"),
            region: reader.text(&root, "region"),
            inner_ports: reader
                .get(&root, "innerPorts", "the first and the last of four ports or more", port_range)
                .unwrap_or(PortRange { first: 1, last: 4 }),
            seeds: reader
                .get(&root, "seeds", "a list of IPv4 addresses with ports", seeds)
                .unwrap_or_default(),
            first_start: reader.flag(&root, "firstStart"),
            counted: root.get("counted").and_then(Value::as_bool).unwrap_or(false),
            data_folder: root.get("dataFolder").and_then(Value::as_str).map(str::to_owned),
            heartbeat_interval: reader.number(&root, "beatEveryMs"),
            zones: tables
                .zones
                .iter()
                .filter_map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_owned())))
                .collect(),
            listen_addresses,
            memory_mb: reader.number(&tables.limits, "limits.memoryMb") as u64,
            open_files: reader.number(&tables.limits, "limits.openFiles") as u64,
            tolerated: Tolerated {
                machines: reader.number(&tables.tolerate, "tolerate.machines") as u64,
                zones: reader.number(&tables.tolerate, "tolerate.zones") as u64,
                regions: reader.number(&tables.tolerate, "tolerate.regions") as u64,
            },
            bounds: Bounds::read(&mut reader, &tables.bounds),
        };
        if reader.errors.is_empty() {
            Ok(settings)
        } else {
            Err(reader.errors)
        }
    }

    /// The RPC address of the program with this [`port_offset`] on this machine.
    pub fn rpc_address(&self, offset: u16) -> SocketAddr {
        self.rpc_address_of(self.ip, offset)
    }

    /// The RPC address of the program with this [`port_offset`] on the machine at `ip`. All machines use the same ports.
    pub fn rpc_address_of(&self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddr::from((ip, self.inner_ports.first + offset))
    }

    /// The address that `listenOn` gives for `callers`.
    pub fn listen_address(&self, callers: &str) -> Option<SocketAddr> {
        self.listen_addresses.iter().find(|(name, _)| name == callers).map(|(_, address)| *address)
    }

    /// The region of a zone; `None` for an unknown zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(name, _)| name == zone).map(|(_, region)| region.as_str())
    }
}

/// The tables of a settings file. A missing table is empty, and its absence is reported as an error.
struct Tables {
    zones: Table,
    listen_on: Table,
    limits: Table,
    bounds: Table,
    tolerate: Table,
}

impl Tables {
    fn read(reader: &mut Reader<'_>, root: &Table) -> Tables {
        Tables {
            zones: reader.table(root, "zones"),
            listen_on: reader.table(root, "listenOn"),
            limits: reader.table(root, "limits"),
            bounds: reader.table(root, "bounds"),
            tolerate: reader.table(root, "tolerate"),
        }
    }
}

impl Bounds {
    fn read(reader: &mut Reader<'_>, table: &Table) -> Bounds {
        Bounds {
            apply_ms: reader.number(table, "bounds.applyMs"),
            drain_ms: reader.number(table, "bounds.drainMs"),
            ack_ms: reader.number(table, "bounds.ackMs"),
            grace_s: reader.number(table, "bounds.graceS"),
            revoked_fail: reader.flag(table, "bounds.revokedFail"),
            revoke_ms: reader.number(table, "bounds.revokeMs"),
            retry_ratio: reader.number(table, "bounds.retryRatio"),
            retry_window_s: reader.number(table, "bounds.retryWindowS"),
            extra_tries: reader.number(table, "bounds.extraTries"),
            quota_window_s: reader.number(table, "bounds.quotaWindowS"),
            quota_over: reader.number(table, "bounds.quotaOver"),
            quota_slack: reader.number(table, "bounds.quotaSlack"),
            cold_over: reader.number(table, "bounds.coldOver"),
            cold_slack: reader.number(table, "bounds.coldSlack"),
            empty_ms: reader.number(table, "bounds.emptyZoneMs"),
            ttl_max_s: reader.number(table, "bounds.ttl_max_s"),
        }
    }
}

fn parse_toml(text: &str) -> Result<Table, SettingsError> {
    text.parse().map_err(|error: toml::de::Error| {
        let line_of = |start: usize| text[..start.min(text.len())].lines().count().max(1);
        let line = error.span().map_or(0, |span| line_of(span.start));
        SettingsError { line, key: "(file)".into(), problem: error.message().to_owned() }
    })
}

fn read_listen_addresses(reader: &mut Reader<'_>, table: &Table) -> Vec<(String, SocketAddr)> {
    let mut addresses = Vec::new();
    for (name, value) in table {
        match value.as_str().and_then(|text| text.parse::<SocketAddr>().ok()) {
            Some(address) => addresses.push((name.clone(), address)),
            None => reader
                .reject(&format!("listenOn.{name}"), format!("is {value}; allowed: an address with a port")),
        }
    }
    addresses
}

fn seeds(value: &Value) -> Option<Vec<SocketAddrV4>> {
    value.as_array()?.iter().map(|seed| seed.as_str()?.parse().ok()).collect()
}

fn port_range(value: &Value) -> Option<PortRange> {
    let ports: Option<Vec<u16>> =
        value.as_array()?.iter().map(|port| u16::try_from(port.as_integer()?).ok()).collect();
    match ports?.as_slice() {
        [first, last] if *first > 0 && *last >= first.saturating_add(3) => {
            Some(PortRange { first: *first, last: *last })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
