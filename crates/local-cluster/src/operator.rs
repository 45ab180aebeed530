//! Operator client: builds configurations and sends them to the core.

use crate::cluster::call;
use crate::error::ClusterError;
use crate::http::Message;
use miniserde::{json, Deserialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Path prefix. Without the outer slashes, and with `-` for inner ones, it is also the route's name.
    pub prefix: String,
    /// Kind of the route: `safe`, `unsafe` or `download`.
    pub kind: &'static str,
    /// Name of the service that the route leads to.
    pub service: String,
    /// Maximum number of servers that one try may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub keyless: bool,
}

/// A tenant of a configuration.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// API keys of the tenant.
    pub keys: Vec<String>,
    /// Quota in requests per second, also used as the burst; 0 for no quota.
    pub rate: f64,
}

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct TestConfiguration {
    /// Version number.
    pub version: u64,
    /// Version that this one is based on; 0 for none.
    pub built_on: u64,
    /// Host name of all routes.
    pub host: String,
    /// Routes of the configuration.
    pub routes: Vec<Route>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Tenants; if empty, the configuration has no `customers` table.
    pub tenants: Vec<Tenant>,
}

impl TestConfiguration {
    /// Creates a first configuration for a host, without routes.
    pub fn new(host: &str) -> TestConfiguration {
        let (routes, services, tenants) = (Vec::new(), Vec::new(), Vec::new());
        TestConfiguration { version: 3, built_on: 0, host: host.to_owned(), routes, services, tenants }
    }

    /// Adds a route to a service, with at most two attempts.
    pub fn route(mut self, prefix: &str, kind: &'static str, service: &str) -> TestConfiguration {
        if !self.services.iter().any(|s| s == service) {
            self.services.push(service.to_owned());
        }
        let (prefix, service) = (prefix.to_owned(), service.to_owned());
        self.routes.push(Route { prefix, kind, service, max_attempts: 2, keyless: false });
        self
    }

    /// Adds a tenant.
    pub fn tenant(mut self, name: &str, keys: &[&str], rate: f64) -> TestConfiguration {
        let keys = keys.iter().map(|k| (*k).to_owned()).collect();
        self.tenants.push(Tenant { name: name.to_owned(), keys, rate });
        self
    }

    /// Returns a copy with a higher version number that is based on this version.
    pub fn next(&self) -> TestConfiguration {
        TestConfiguration { version: self.version + 4, built_on: self.version, ..self.clone() }
    }

    /// Returns the configuration as JSON text, as it is sent to the core.
    pub fn text(&self) -> String {
        let mut routes = String::new();
        for r in &self.routes {
            let name = r.prefix.trim_matches('/').replace('/', "-");
            let comma = if routes.is_empty() { "" } else { "," };
            let _ = write!(
                routes,
                "{comma}[\"{name}\",\"{}\",\"{}\",\"{}\",2000,500,2,{},{},\"{}\"]",
                self.host, r.prefix, r.kind, r.max_attempts, r.keyless, r.service
            );
        }
        let services: Vec<String> =
            self.services.iter().map(|s| format!("[\"{s}\",\"/health\",110,\"h1\",false,0,0]")).collect();
        let tenant = |t: &Tenant| {
            let keys: Vec<String> = t.keys.iter().map(|k| format!("\"{k}\"")).collect();
            format!("[\"{}\",[{}],0,{},{}]", t.name, keys.join(","), t.rate, t.rate)
        };
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        let customers = match tenants.is_empty() {
            true => String::new(),
            false => format!(
                ",\"customers\":{{\"columns\":[\"name\",\"keys\",\"rank\",\"ratePerS\",\"burst\"],\"rows\":[{}]}}",
                tenants.join(",")
            ),
        };
        let built_on = match self.built_on {
            0 => "0".to_owned(),
            on => format!("\"r{on}\""),
        };
        format!(
            "{{\"version\":\"r{}\",\"routes\":{{\"columns\":[\"name\",\"hostName\",\"pathStart\",\"routeKind\",\
             \"giveUpMs\",\"targetMs\",\"rank\",\"tries\",\"keyless\",\"service\"],\"rows\":[{routes}]}},\
             \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\",\"coldS\",\
             \"coldRateS\"],\"rows\":[{}]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
             \"headerWaitMs\":3000,\"idleMs\":15000}}{customers},\"builtOn\":{built_on}}}",
            self.version,
            services.join(",")
        )
    }
}

/// Definite answer to an operator's call.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// HTTP status of the answer.
    pub status: u16,
    /// Address that answered.
    pub by: SocketAddr,
    /// Time at which the answer arrived.
    pub at: Instant,
}

/// An operator that sends calls to the core.
#[derive(Clone, Debug)]
pub struct Operator {
    controls: Vec<SocketAddr>,
}

#[derive(Deserialize)]
struct Version {
    version: String,
}

impl Operator {
    /// Creates an operator that uses the given `control` addresses.
    pub fn new(controls: Vec<SocketAddr>) -> Operator {
        Operator { controls }
    }

    /// Sends a call to one address after another until one gives a definite answer: a status below 500 except 408 and 429.
    ///
    /// # Errors
    /// Returns an error with the last answer if no definite one arrives in time.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<(Answered, Message), ClusterError> {
        let until = Instant::now() + within;
        let mut pause = Duration::from_millis(20);
        let mut last = "no answer".to_owned();
        let first = crate::random_u64() as usize;
        for nth in 0.. {
            let by = self.controls[first.wrapping_add(nth) % self.controls.len()];
            match call(by, method, path, body, CALL_TIMEOUT) {
                Ok(answer) if answer.status < 500 && !matches!(answer.status, 408 | 429) => {
                    return Ok((Answered { status: answer.status, by, at: Instant::now() }, answer));
                }
                Ok(answer) => last = format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
                Err(e) => last = format!("{e:?}"),
            }
            if Instant::now() + pause > until {
                break;
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        Err(ClusterError::Never(format!("{method} {path} is answered; last: {last}")))
    }

    /// Submits a configuration and returns the definite answer, which may be a rejection.
    ///
    /// # Errors
    /// Returns an error with the last answer if no definite one arrives in time.
    pub fn put(&self, configuration: &TestConfiguration) -> Result<Answered, ClusterError> {
        Ok(self.send("POST", "/settings/replace", &configuration.text(), Duration::from_secs(10))?.0)
    }

    /// Submits a configuration that must be accepted.
    ///
    /// # Errors
    /// Returns an error if it is not answered with 200.
    pub fn must_put(&self, configuration: &TestConfiguration) -> Result<Answered, ClusterError> {
        let (answered, answer) =
            self.send("POST", "/settings/replace", &configuration.text(), Duration::from_secs(10))?;
        match answered.status {
            200 => Ok(answered),
            status => Err(ClusterError::Answer(status, String::from_utf8_lossy(&answer.body).into_owned())),
        }
    }

    /// Returns the version number and the text of the configuration in force.
    ///
    /// # Errors
    /// Returns an error if no definite answer arrives in time or the answer is not a configuration.
    pub fn read(&self) -> Result<(u64, String), ClusterError> {
        let (answered, answer) = self.send("GET", "/settings/read", "", Duration::from_secs(10))?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let version =
            json::from_str::<Version>(&text).ok().and_then(|v| v.version.strip_prefix('r')?.parse().ok());
        match version {
            Some(version) if answered.status == 200 => Ok((version, text)),
            _ => Err(ClusterError::Answer(answered.status, text)),
        }
    }
}
