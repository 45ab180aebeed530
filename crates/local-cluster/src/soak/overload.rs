//! Soak tenants that exceed their quotas: each sends below its rate, and many times as much during overload periods. A
//! connection is kept until the proxy closes it, even after an answer with `Connection: close`.

use super::clients::{self, Exchange, Kind, Outcome, Prepared};
use super::schedule::Random;
use super::{HOST, READ};
use crate::client::try_id;
use crate::http::HttpConnection;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Connections per tenant, each with one request at a time.
pub const CONNECTIONS: usize = 12;
/// Load outside overload periods, as a share of the tenant's rate.
const NORMAL_LOAD_SHARE: f64 = 0.62;
/// Time that a tenant waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A tenant with a quota. Its burst equals one second of its rate.
#[derive(Clone, Copy, Debug)]
pub struct OverloadTenant {
    /// Name of the tenant.
    pub name: &'static str,
    /// API key of the tenant.
    pub key: &'static str,
    /// Quota in requests per second.
    pub rate: f64,
}

/// Tenants that exceed their quotas during overload periods.
pub const TENANTS: [OverloadTenant; 3] = [
    OverloadTenant { name: "large", key: "key-of-large", rate: 60.0 },
    OverloadTenant { name: "medium", key: "key-of-medium", rate: 25.0 },
    OverloadTenant { name: "small", key: "key-of-small", rate: 8.0 },
];

/// A period of overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadPeriod {
    /// Start, relative to the start of the soak.
    pub from: Duration,
    /// End, relative to the start of the soak.
    pub until: Duration,
    /// Factor by which the normal load is multiplied.
    pub times: f64,
}

/// Draws the overload periods of one tenant for a soak of length `span`.
pub fn draw_periods(seed: u64, tenant: usize, span: Duration) -> Vec<OverloadPeriod> {
    let mut random = Random::new(seed, 200 + tenant as u64);
    let (mut periods, mut at) = (Vec::new(), random.between(300, 2000));
    while at < span {
        let until = at + random.between(2000, 6000);
        periods.push(OverloadPeriod { from: at, until, times: 6.0 + 4.0 * random.share() });
        at = until + random.between(500, 4000);
    }
    periods
}

/// Load generator for one connection of a tenant.
pub struct OverloadClient<'a> {
    /// Tenant that sends the requests.
    pub tenant: OverloadTenant,
    /// Overload periods of the tenant.
    pub periods: Vec<OverloadPeriod>,
    /// Client addresses of the proxies.
    pub fronts: &'a [SocketAddr],
    /// Start of the soak.
    pub begun: Instant,
    /// Set at the end of the soak.
    pub stop: &'a AtomicBool,
}

impl OverloadClient<'_> {
    fn pause(&self) -> Duration {
        let now = self.begun.elapsed();
        let period = self.periods.iter().find(|period| (period.from..period.until).contains(&now));
        let requests_per_second =
            self.tenant.rate * NORMAL_LOAD_SHARE * period.map_or(1.0, |period| period.times);
        Duration::from_secs_f64(CONNECTIONS as f64 / requests_per_second)
    }

    /// Sends requests until `stop` is set, and returns all exchanges.
    pub fn run(&self, seed: u64, number: u64) -> Vec<Exchange> {
        let mut random = Random::new(seed, 300 + number);
        let mut kept: Vec<Option<HttpConnection>> = self.fronts.iter().map(|_| None).collect();
        let mut exchanges = Vec::new();
        let mut due = Instant::now() + self.pause().mul_f64(random.share());
        while !self.stop.load(Ordering::SeqCst) {
            // Sleeps at most 50 ms at a time, so that the start of an overload period is noticed promptly.
            let wait = due.saturating_duration_since(Instant::now()).min(Duration::from_millis(50));
            std::thread::sleep(wait);
            due = due.min(Instant::now() + self.pause());
            if Instant::now() < due {
                continue;
            }
            due = Instant::now() + self.pause();
            let proxy = random.below(self.fronts.len());
            let quiet = kept[proxy].take().filter(HttpConnection::is_quiet);
            let connection =
                quiet.or_else(|| HttpConnection::connect(self.fronts[proxy], CONNECT_TIMEOUT).ok());
            if let Some(connection) = connection {
                kept[proxy] = self.send(proxy, connection, &mut exchanges);
            }
        }
        exchanges
    }

    /// Sends one request and reads its answer. Returns the connection if an answer arrived.
    fn send(
        &self,
        proxy: usize,
        mut connection: HttpConnection,
        exchanges: &mut Vec<Exchange>,
    ) -> Option<HttpConnection> {
        let id = try_id();
        let text = format!(
            "GET {READ}1 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 2000\r\n\
             Authorization: Bearer {}\r\n\r\n",
            self.tenant.key
        );
        let prepared = [Prepared { id, kind: Kind::Read, text }];
        let sent = Instant::now();
        let _ = connection.send(prepared[0].text.as_bytes());
        let outcomes = clients::read_answers(&prepared, &mut connection, sent + ANSWER_TIMEOUT);
        let outcome = outcomes.into_iter().next().unwrap_or(Outcome::Unanswered);
        let connection = matches!(outcome, Outcome::Answered(..)).then_some(connection);
        let [Prepared { id, kind, .. }] = prepared;
        exchanges.push(Exchange { id, kind, proxy, sent, ended: Instant::now(), outcome });
        connection
    }
}
