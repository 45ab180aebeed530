//! What a process is told by its settings file. Unknown fields are left alone; what is missing or wrong is told all at
//! once, each with its line and key.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use toml::{Table, Value};

/// The variable that names the settings file.
pub const VARIABLE: &str = "OATBANK_SETTINGS";

/// Places of the programs among a machine's inner ports.
pub mod place {
    /// The store.
    pub const STORE: u16 = 0;
    /// The registry.
    pub const REGISTRY: u16 = 1;
    /// The proxy.
    pub const PROXY: u16 = 2;
}

/// One process's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// What is served to callers from outside.
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The first and the last port between limiters.
    pub inner: (u16, u16),
    /// `control` addresses of core machines.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time, on empty disks.
    pub first_start: bool,
    /// Whether `tolerate` speaks of this machine.
    pub counted: bool,
    /// Where data is kept, if anywhere.
    pub data: Option<String>,
    /// Servers speak up about this often, ms.
    pub beat_every: f64,
    /// Zones, each with its region.
    pub zones: Vec<(String, String)>,
    /// Addresses to listen on, by what is served.
    pub listen: Vec<(String, SocketAddr)>,
    /// Memory it may take, MB.
    pub memory_mb: u64,
    /// Descriptors it may hold.
    pub files: u64,
    /// Machines, zones and regions that may be lost at once.
    pub tolerate: (u64, u64, u64),
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules that the programs act by.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// A configuration acts within this of its acknowledgement, ms.
    pub apply_ms: f64,
    /// A server that leaves is sent nothing new after this, ms.
    pub drain_ms: f64,
    /// An order is acknowledged within this, ms.
    pub ack_ms: f64,
    /// Between SIGTERM and SIGKILL, s.
    pub grace_s: f64,
    /// A key that was taken away is refused everywhere, also where news does not get through.
    pub revoked_fail: bool,
    /// And this long after the acknowledgement, ms.
    pub revoke_ms: f64,
    /// Further arrivals for each request, in `retry_window_s`, beside `extra_tries`.
    pub retry_ratio: f64,
    /// See `retry_ratio`, s.
    pub retry_window_s: f64,
    /// See `retry_ratio`.
    pub extra_tries: f64,
    /// A tenant's quota may be exceeded by so much in each window of this, s: by a share and by so many requests.
    pub quota_window_s: f64,
    /// See `quota_window_s`.
    pub quota_over: f64,
    /// See `quota_window_s`.
    pub quota_slack: f64,
    /// A cold server bears its rate times this and `cold_slack` in a second.
    pub cold_over: f64,
    /// See `cold_over`.
    pub cold_slack: f64,
    /// A zone that is to be empty is sent nothing after this, ms.
    pub empty_ms: f64,
    /// Clients keep an answer of the directory for so long at most, s.
    pub ttl_max_s: f64,
}

/// A mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Where, from 1; 0 where the key is missing.
    pub line: usize,
    /// The key.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub what: String,
}

impl std::fmt::Display for Mistake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.key, self.what),
            line => write!(f, "line {line}: {}: {}", self.key, self.what),
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    mistakes: Vec<Mistake>,
}

impl Reader<'_> {
    fn wrong(&mut self, key: &str, what: impl Into<String>) {
        let last = key.rsplit('.').next().unwrap_or(key);
        let is_key = |line: &str| {
            line.trim_start().strip_prefix(last).is_some_and(|r| r.trim_start().starts_with('='))
        };
        let line = self.text.lines().position(is_key).map_or(0, |at| at + 1);
        self.mistakes.push(Mistake { line, key: key.into(), what: what.into() });
    }

    fn get<'v, T>(
        &mut self,
        table: &'v Table,
        key: &str,
        allowed: &str,
        read: impl Fn(&'v Value) -> Option<T>,
    ) -> Option<T> {
        let last = key.rsplit('.').next().unwrap_or(key);
        match table.get(last) {
            None => {
                self.wrong(key, format!("is missing; allowed: {allowed}"));
                None
            }
            Some(value) => {
                let read = read(value);
                if read.is_none() {
                    self.wrong(key, format!("is {value}; allowed: {allowed}"));
                }
                read
            }
        }
    }

    fn number(&mut self, table: &Table, key: &str) -> f64 {
        self.get(table, key, "a number from 0 on", number).unwrap_or(0.0)
    }

    fn text(&mut self, table: &Table, key: &str) -> String {
        self.get(table, key, "a text", |v| v.as_str().filter(|s| !s.is_empty()))
            .unwrap_or_default()
            .to_owned()
    }

    fn flag(&mut self, table: &Table, key: &str) -> bool {
        self.get(table, key, "true or false", Value::as_bool).unwrap_or(false)
    }
}

fn number(value: &Value) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

impl Settings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// All that is wrong in it.
    pub fn parse(text: &str) -> Result<Settings, Vec<Mistake>> {
        let root: Table = match text.parse() {
            Ok(root) => root,
            Err(e) => {
                let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].lines().count().max(1));
                return Err(vec![Mistake { line, key: "(file)".into(), what: e.message().to_owned() }]);
            }
        };
        let mut r = Reader { text, mistakes: Vec::new() };
        let empty = Table::new();
        let table = |r: &mut Reader<'_>, key: &str| -> Table {
            r.get(&root, key, "a table", Value::as_table).unwrap_or(&empty).clone()
        };
        let (zones, listen) = (table(&mut r, "zones"), table(&mut r, "listenOn"));
        let (limits, bounds) = (table(&mut r, "limits"), table(&mut r, "bounds"));
        let tolerate = table(&mut r, "tolerate");
        let address = |v: &Value| v.as_str().and_then(|s| s.parse::<SocketAddr>().ok());
        let listen = listen.iter().filter_map(|(name, value)| match address(value) {
            Some(address) => Some((name.clone(), address)),
            None => {
                r.wrong(&format!("listenOn.{name}"), format!("is {value}; allowed: an address with a port"));
                None
            }
        });
        let listen = listen.collect();
        let seeds = |v: &Value| -> Option<Vec<SocketAddrV4>> {
            v.as_array()?.iter().map(|s| s.as_str()?.parse().ok()).collect()
        };
        let ports = |v: &Value| {
            let list: Option<Vec<u16>> =
                v.as_array()?.iter().map(|p| u16::try_from(p.as_integer()?).ok()).collect();
            match list?.as_slice() {
                [first, last] if *first > 0 && *last >= first.saturating_add(3) => Some((*first, *last)),
                _ => None,
            }
        };
        let b = |r: &mut Reader<'_>, key: &str| r.number(&bounds, &format!("bounds.{key}"));
        let settings = Settings {
            node: r.text(&root, "nodeName"),
            serves: root.get("serves").and_then(Value::as_array).map_or_else(Vec::new, |list| {
                list.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect()
            }),
            ip: r
                .get(&root, "ip", "an IPv4 address", |v| v.as_str()?.parse().ok())
                .unwrap_or(Ipv4Addr::UNSPECIFIED),
            zone: r.text(&root, "zone"),
            region: r.text(&root, "region"),
            inner: r
                .get(&root, "innerPorts", "the first and the last of four ports or more", ports)
                .unwrap_or((1, 4)),
            seeds: r.get(&root, "seeds", "a list of IPv4 addresses with ports", seeds).unwrap_or_default(),
            first_start: r.flag(&root, "firstStart"),
            counted: root.get("counted").and_then(Value::as_bool).unwrap_or(false),
            data: root.get("dataFolder").and_then(Value::as_str).map(str::to_owned),
            beat_every: r.number(&root, "beatEveryMs"),
            zones: zones.iter().filter_map(|(z, v)| Some((z.clone(), v.as_str()?.to_owned()))).collect(),
            listen,
            memory_mb: r.number(&limits, "limits.memoryMb") as u64,
            files: r.number(&limits, "limits.openFiles") as u64,
            tolerate: (
                r.number(&tolerate, "tolerate.machines") as u64,
                r.number(&tolerate, "tolerate.zones") as u64,
                r.number(&tolerate, "tolerate.regions") as u64,
            ),
            bounds: Bounds {
                apply_ms: b(&mut r, "applyMs"),
                drain_ms: b(&mut r, "drainMs"),
                ack_ms: b(&mut r, "ackMs"),
                grace_s: b(&mut r, "graceS"),
                revoked_fail: r.flag(&bounds, "bounds.revokedFail"),
                revoke_ms: b(&mut r, "revokeMs"),
                retry_ratio: b(&mut r, "retryRatio"),
                retry_window_s: b(&mut r, "retryWindowS"),
                extra_tries: b(&mut r, "extraTries"),
                quota_window_s: b(&mut r, "quotaWindowS"),
                quota_over: b(&mut r, "quotaOver"),
                quota_slack: b(&mut r, "quotaSlack"),
                cold_over: b(&mut r, "coldOver"),
                cold_slack: b(&mut r, "coldSlack"),
                empty_ms: b(&mut r, "emptyZoneMs"),
                ttl_max_s: b(&mut r, "ttl_max_s"),
            },
        };
        if r.mistakes.is_empty() {
            Ok(settings)
        } else {
            Err(r.mistakes)
        }
    }

    /// Where this machine's program of this [`place`] listens for other limiters.
    pub fn inner_address(&self, place: u16) -> SocketAddr {
        self.inner_of(self.ip, place)
    }

    /// The same of another machine: all use the same ports.
    pub fn inner_of(&self, ip: Ipv4Addr, place: u16) -> SocketAddr {
        SocketAddr::from((ip, self.inner.0 + place))
    }

    /// Where it is to listen for these callers.
    pub fn listen_on(&self, what: &str) -> Option<SocketAddr> {
        self.listen.iter().find(|(name, _)| name == what).map(|(_, address)| *address)
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(z, _)| z == zone).map(|(_, region)| region.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The users' own example.
    pub(crate) const EXAMPLE: &str = include_str!("../tests/node.toml");

    #[test]
    fn the_users_example_is_read() {
        let settings = Settings::parse(EXAMPLE).expect("readable");
        assert_eq!(settings.node, "edge-akl-penrose-1");
        assert_eq!(settings.inner_address(2), "10.1.0.35:7742".parse().expect("an address"));
        assert_eq!(settings.listen_on("front"), "10.1.0.35:8686".parse().ok());
        assert_eq!(settings.region_of("chc-hornby"), Some("chc"));
        assert_eq!((settings.bounds.revoke_ms, settings.bounds.revoked_fail), (5000.0, false));
    }

    #[test]
    fn all_mistakes_are_told_at_once_with_line_and_key() {
        let bad = EXAMPLE
            .replace("ip = \"10.1.0.35\"", "ip = \"here\"")
            .replace("innerPorts = [7740,7755]", "innerPorts = [7740]")
            .replace("drainMs = 3000", "drainMs = -1")
            .replace("beatEveryMs = 1500\n", "");
        let mistakes = Settings::parse(&bad).expect_err("four mistakes");
        let keys: Vec<&str> = mistakes.iter().map(|m| m.key.as_str()).collect();
        assert_eq!(keys, ["ip", "innerPorts", "beatEveryMs", "bounds.drainMs"]);
        assert_eq!(mistakes[0].to_string(), "line 5: ip: is \"here\"; allowed: an IPv4 address");
        assert_eq!(mistakes[2].line, 0, "it is missing");
        assert!(Settings::parse("a = \n").expect_err("no TOML")[0].line == 1);
    }
}
