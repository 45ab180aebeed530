//! Tenants of the soak that press: each sends its usual, and in periods many times that, on connections that it keeps for as long as
//! their proxy does, whether or not the proxy has said that it ends.

use super::clients::{self, Exchange, Kind, Outcome, Prepared};
use super::schedule::Random;
use super::{HOST, READ};
use crate::client::try_id;
use crate::http::HttpConnection;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Connections of a tenant, each with one request at a time.
pub const CONNECTIONS: usize = 12;
/// What a tenant sends before it presses, as a share of its rate.
const USUAL: f64 = 0.62;
/// A tenant waits so long for an answer.
const PATIENCE: Duration = Duration::from_millis(700);
/// A proxy that takes no connection is left out for this long.
const CONNECT: Duration = Duration::from_millis(100);

/// A tenant with a quota; its burst is its rate.
#[derive(Clone, Copy, Debug)]
pub struct PressingTenant {
    /// Its name.
    pub name: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Requests a second.
    pub rate: f64,
}

/// The tenants that press.
pub const TENANTS: [PressingTenant; 3] = [
    PressingTenant { name: "large", key: "key-of-large", rate: 60.0 },
    PressingTenant { name: "medium", key: "key-of-medium", rate: 25.0 },
    PressingTenant { name: "small", key: "key-of-small", rate: 8.0 },
];

/// A period of pressing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressPeriod {
    /// When it begins, from the start.
    pub from: Duration,
    /// When it is over.
    pub until: Duration,
    /// How many times the usual is sent.
    pub times: f64,
}

/// The periods of one tenant within a soak.
pub fn draw_periods(seed: u64, tenant: usize, span: Duration) -> Vec<PressPeriod> {
    let mut random = Random::new(seed, 200 + tenant as u64);
    let (mut periods, mut at) = (Vec::new(), random.between(300, 2000));
    while at < span {
        let until = at + random.between(2000, 6000);
        periods.push(PressPeriod { from: at, until, times: 6.0 + 4.0 * random.share() });
        at = until + random.between(500, 4000);
    }
    periods
}

/// What one connection of a tenant sends.
pub struct Press<'a> {
    /// The tenant.
    pub tenant: PressingTenant,
    /// When it presses.
    pub periods: Vec<PressPeriod>,
    /// Where proxies take clients.
    pub fronts: &'a [SocketAddr],
    /// When the soak began.
    pub begun: Instant,
    /// Set at its end.
    pub stop: &'a AtomicBool,
}

impl Press<'_> {
    fn pause(&self) -> Duration {
        let now = self.begun.elapsed();
        let period = self.periods.iter().find(|period| (period.from..period.until).contains(&now));
        let a_second = self.tenant.rate * USUAL * period.map_or(1.0, |period| period.times);
        Duration::from_secs_f64(CONNECTIONS as f64 / a_second)
    }

    /// Sends until it is stopped.
    pub fn run(&self, seed: u64, number: u64) -> Vec<Exchange> {
        let mut random = Random::new(seed, 300 + number);
        let mut kept: Vec<Option<HttpConnection>> = self.fronts.iter().map(|_| None).collect();
        let mut exchanges = Vec::new();
        let mut due = Instant::now() + self.pause().mul_f64(random.share());
        while !self.stop.load(Ordering::SeqCst) {
            // Never longer than this at once, so that a period is noticed when it begins.
            let wait = due.saturating_duration_since(Instant::now()).min(Duration::from_millis(50));
            std::thread::sleep(wait);
            due = due.min(Instant::now() + self.pause());
            if Instant::now() < due {
                continue;
            }
            due = Instant::now() + self.pause();
            let proxy = random.below(self.fronts.len());
            let quiet = kept[proxy].take().filter(HttpConnection::is_quiet);
            let connection = quiet.or_else(|| HttpConnection::connect(self.fronts[proxy], CONNECT).ok());
            if let Some(connection) = connection {
                kept[proxy] = self.send(proxy, connection, &mut exchanges);
            }
        }
        exchanges
    }

    /// Sends one request and reads its answer; the connection, if it may be kept.
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
        let outcomes = clients::read_answers(&prepared, &mut connection, sent + PATIENCE);
        let outcome = outcomes.into_iter().next().unwrap_or(Outcome::Unanswered);
        let connection = matches!(outcome, Outcome::Answered(..)).then_some(connection);
        let [Prepared { id, kind, .. }] = prepared;
        exchanges.push(Exchange { id, kind, proxy, sent, ended: Instant::now(), outcome });
        connection
    }
}
