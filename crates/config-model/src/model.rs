//! The parts of a configuration: routes, services, limits and tenants.

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Each request may run at most once. The default.
    Unsafe,
    /// Requests may run more than once, and their responses are large.
    Download,
}

/// The destination of the requests for one host and path prefix, with their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The host, as it was sent.
    pub host: String,
    /// The path prefix. Begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The timeout of a request, ms. The default is ten minutes.
    pub give_up_ms: f64,
    /// The latency up to which a response has its full value, ms. The default is `give_up_ms`.
    pub target_ms: f64,
    /// The priority; 0 is the highest and the default.
    pub rank: u32,
    /// The mesh of services that are named without one. The default is empty, for no mesh.
    pub mesh: String,
    /// The services by their full names, with weights that add up to more than 0. The field `service` alone gives one
    /// share of weight 1.
    pub shares: Vec<(String, f64)>,
    /// The limit of servers that one request may be sent to. The default is 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub keyless: bool,
    /// The regions in which requests may be served; empty for any.
    pub homes: Vec<String>,
}

/// A service: a group of interchangeable servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The full name, `mesh/name` if the service belongs to a mesh. [`Naming::parts`](crate::mesh::Naming::parts) splits it.
    pub name: String,
    /// The path of the health check; empty for none.
    pub health_path: String,
    /// The limit of connections that a server accepts from all callers together. The default is `u32::MAX`.
    pub max_connections: u32,
    /// The protocol of the servers. The default is `h1`.
    pub protocol: String,
    /// Whether the protocol runs over TLS.
    pub tls: bool,
    /// The duration of a server's warm-up after its start, s. The default is 0.
    pub warmup_s: f64,
    /// The rate that a server can bear during its warm-up, requests/s. The default is 0.
    pub warmup_rate: f64,
}

/// Limits on the size and duration of clients' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The limit of a request's header, bytes.
    pub header_bytes: u64,
    /// The limit of a request's body, bytes.
    pub body_bytes: u64,
    /// The time limit for receiving a header, ms.
    pub header_wait_ms: f64,
    /// The time limit for an idle connection, ms.
    pub idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 16_384, body_bytes: 67_108_864, header_wait_ms: 3000.0, idle_ms: 15_000.0 }
    }
}

/// A tenant with its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The name, unique among tenants.
    pub name: String,
    /// The keys that identify the tenant's requests.
    pub keys: Vec<String>,
    /// The priority, which overrides that of the route.
    pub rank: Option<u32>,
    /// The quota over all limiters, requests/s; 0 for no limit.
    pub rate: f64,
    /// Requests that may be sent at once on top of `rate`.
    pub burst: f64,
    /// The regions in which requests may be served; empty for any.
    pub homes: Vec<String>,
}
