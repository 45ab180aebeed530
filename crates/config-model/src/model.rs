//! What a configuration consists of: routes, services, limits and tenants.

use crate::service_name;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Safe,
    /// Each may run at most once. Also what a route is that does not say.
    Unsafe,
    /// As safe, with large answers.
    Download,
}

/// Where the requests for a host and a prefix of its paths go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, as it was put.
    pub host: String,
    /// What the paths begin with. Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held, ms. Ten minutes if it is left out.
    pub give_up_ms: f64,
    /// Within this an answer has its full worth, ms. As `give_up_ms` if it is left out.
    pub target_ms: f64,
    /// 0 goes before all others, and is what a route has that does not say.
    pub rank: u32,
    /// The mesh in which its services stand that say none; empty if it is left out.
    pub mesh: String,
    /// The services by their whole names and their weights, which add up to more than 0. A `service` is one
    /// share of weight 1.
    pub shares: Vec<(String, f64)>,
    /// The most servers that one request may be sent to. 1 if it is left out.
    pub max_attempts: u32,
    /// Do its requests need no key?
    pub keyless: bool,
    /// The regions it may be served in; any if there are none.
    pub homes: Vec<String>,
}

/// A kind of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, with its mesh before a slash if it has one.
    pub name: String,
    /// Where a server says how it is; empty if nowhere.
    pub health_path: String,
    /// The most connections that a server takes from all callers together. `u32::MAX` if it is left out.
    pub max_connections: u32,
    /// What its servers speak. `h1` if it is left out.
    pub protocol: String,
    /// Do they speak it over TLS?
    pub tls: bool,
    /// How long a server is cold after its start, s.
    pub warmup_s: f64,
    /// Requests a second that a cold server bears; 0 if that is left out.
    pub warmup_rate: f64,
}

impl Service {
    /// Its mesh, empty for none, and its name within it.
    pub fn parts(&self) -> (&str, &str) {
        service_name::parts(&self.name)
    }
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest head of a request, bytes.
    pub header_bytes: u64,
    /// The longest body of a request, bytes.
    pub body_bytes: u64,
    /// The longest that a head may take, ms.
    pub header_wait_ms: f64,
    /// The longest that a connection may sit idle, ms.
    pub idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 16_384, body_bytes: 67_108_864, header_wait_ms: 3000.0, idle_ms: 15_000.0 }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The keys its requests carry.
    pub keys: Vec<String>,
    /// Goes before the route's rank.
    pub rank: Option<u32>,
    /// Requests a second over all limiters; 0 for no limit.
    pub rate: f64,
    /// What it may send on top of that at once.
    pub burst: f64,
    /// The regions it may be served in; any if there are none.
    pub homes: Vec<String>,
}
