//! Operators: configurations, and how they are sent.

use crate::cluster::call;
use crate::error::ClusterError;
use crate::http::Message;
use miniserde::{json, Deserialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_millis(2500);

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// What its paths begin with; also its name, without the slashes.
    pub prefix: String,
    /// `safe`, `unsafe` or `download`.
    pub kind: &'static str,
    /// Its service.
    pub service: String,
    /// The most servers that one try may be sent to.
    pub max_attempts: u32,
    /// Its requests need no key.
    pub keyless: bool,
}

/// A tenant of a configuration.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Requests a second; 0 for any number.
    pub rate: f64,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct TestConfiguration {
    /// Its number.
    pub version: u64,
    /// The number that it builds on.
    pub built_on: u64,
    /// The host of all routes.
    pub host: String,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<String>,
    /// The tenants, if there are any.
    pub tenants: Vec<Tenant>,
}

impl TestConfiguration {
    /// The first configuration of this host, without a route.
    pub fn new(host: &str) -> TestConfiguration {
        let (routes, services, tenants) = (Vec::new(), Vec::new(), Vec::new());
        TestConfiguration { version: 3, built_on: 0, host: host.to_owned(), routes, services, tenants }
    }

    /// With a route to a service; two servers may be tried.
    pub fn route(mut self, prefix: &str, kind: &'static str, service: &str) -> TestConfiguration {
        if !self.services.iter().any(|s| s == service) {
            self.services.push(service.to_owned());
        }
        let (prefix, service) = (prefix.to_owned(), service.to_owned());
        self.routes.push(Route { prefix, kind, service, max_attempts: 2, keyless: false });
        self
    }

    /// With a tenant.
    pub fn tenant(mut self, name: &str, keys: &[&str], rate: f64) -> TestConfiguration {
        let keys = keys.iter().map(|k| (*k).to_owned()).collect();
        self.tenants.push(Tenant { name: name.to_owned(), keys, rate });
        self
    }

    /// The next version, on top of this one.
    pub fn next(&self) -> TestConfiguration {
        TestConfiguration { version: self.version + 4, built_on: self.version, ..self.clone() }
    }

    /// As it travels.
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

/// An order that has got its clear answer.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Its status.
    pub status: u16,
    /// Who answered.
    pub by: SocketAddr,
    /// When the answer had come.
    pub at: Instant,
}

/// An operator.
#[derive(Clone, Debug)]
pub struct Operator {
    controls: Vec<SocketAddr>,
}

#[derive(Deserialize)]
struct Version {
    version: String,
}

impl Operator {
    /// One that knows these `control` addresses.
    pub fn new(controls: Vec<SocketAddr>) -> Operator {
        Operator { controls }
    }

    /// Sends a call to one address after the other until it gets a clear answer.
    ///
    /// # Errors
    /// When none comes in time.
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
            match call(by, method, path, body, PATIENCE) {
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

    /// Puts a configuration and gives its clear answer.
    ///
    /// # Errors
    /// When none comes in time.
    pub fn put(&self, configuration: &TestConfiguration) -> Result<Answered, ClusterError> {
        Ok(self.send("POST", "/settings/replace", &configuration.text(), Duration::from_secs(10))?.0)
    }

    /// Puts a configuration that is to be taken.
    ///
    /// # Errors
    /// When it is not.
    pub fn must_put(&self, configuration: &TestConfiguration) -> Result<Answered, ClusterError> {
        let (answered, answer) =
            self.send("POST", "/settings/replace", &configuration.text(), Duration::from_secs(10))?;
        match answered.status {
            200 => Ok(answered),
            status => Err(ClusterError::Answer(status, String::from_utf8_lossy(&answer.body).into_owned())),
        }
    }

    /// The configuration that is in force: the number of its version, and its text.
    ///
    /// # Errors
    /// When it does not come in time.
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
