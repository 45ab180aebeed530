//! Clients: one try at one proxy, and requests by way of the directory, over connections that are kept.

use crate::cluster::get;
use crate::http::{HttpConnection, HttpError, Message};
use crate::server::sealed_by;
use miniserde::{json, Deserialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Further tries within a request's time.
const TRIES: usize = 4;

/// A request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its method.
    pub method: &'static str,
    /// The host it is for.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The key, if it has one.
    pub key: Option<String>,
    /// For how long the client waits.
    pub within: Duration,
    /// Whether it may run more than once.
    pub safe: bool,
}

impl Ask {
    /// A `GET` that may run more than once.
    pub fn get(host: &str, path: &str) -> Ask {
        let (host, path, within) = (host.to_owned(), path.to_owned(), Duration::from_secs(2));
        Ask { method: "GET", host, path, body: Vec::new(), key: None, within, safe: true }
    }

    /// A `POST` that may run at most once.
    pub fn post(host: &str, path: &str, body: &str) -> Ask {
        Ask { method: "POST", body: body.as_bytes().to_vec(), safe: false, ..Ask::get(host, path) }
    }

    /// With a key.
    pub fn key(mut self, key: &str) -> Ask {
        self.key = Some(key.to_owned());
        self
    }
}

/// One try, and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its name.
    pub id: String,
    /// Where it was sent.
    pub to: SocketAddr,
    /// When it began.
    pub sent: Instant,
    /// When it had ended.
    pub ended: Instant,
    /// What came back.
    pub got: Result<Message, HttpError>,
}

impl Try {
    /// The status of the answer; 0 if none came whole.
    pub fn status(&self) -> u16 {
        self.got.as_ref().map_or(0, |a| a.status)
    }

    /// Whether a success came.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status())
    }

    /// The server whose whole answer to this very try a success is.
    pub fn served_by(&self) -> Option<String> {
        let answer = self.got.as_ref().ok().filter(|_| self.is_success())?;
        (answer.field("try-id") == Some(&self.id)).then(|| sealed_by(answer, &self.id))?
    }

    /// A success that is not a server's whole answer to this try: never allowed.
    pub fn is_mixed(&self) -> bool {
        self.is_success() && self.served_by().is_none()
    }

    /// The answer promises that it has not run and never will.
    pub fn is_promise(&self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

/// A name for a try.
pub fn try_id() -> String {
    format!("{:016x}", crate::random_u64())
}

/// Sends one try on this connection and reads its answer.
fn exchange(
    connection: &mut HttpConnection,
    ask: &Ask,
    id: &str,
    until: Instant,
) -> Result<Message, HttpError> {
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let key = ask.key.as_ref().map_or(String::new(), |k| format!("Authorization: Bearer {k}\r\n"));
    let length = match ask.method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", ask.body.len()),
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nTry-Id: {id}\r\nTime-Left-Ms: {left}\r\n{key}{length}\r\n",
        ask.method, ask.path, ask.host
    );
    // A failed write may still have an answer before it.
    let _ = connection.send(&[head.as_bytes(), &ask.body].concat());
    connection.answer(until)
}

/// One try at this proxy, on a connection of its own.
pub fn try_at(to: SocketAddr, ask: &Ask) -> Try {
    again_at(to, ask, &try_id())
}

/// A try under this name. Under one that was used before it is what no client may send: a test of whoever
/// looks for that.
pub fn again_at(to: SocketAddr, ask: &Ask, id: &str) -> Try {
    let (id, sent) = (id.to_owned(), Instant::now());
    let got = match HttpConnection::connect(to, SECOND) {
        Ok(mut connection) => exchange(&mut connection, ask, &id, sent + ask.within),
        Err(_) => Err(HttpError::Unreachable),
    };
    Try { id, to, sent, ended: Instant::now(), got }
}

#[derive(Deserialize)]
struct LookupAnswer {
    addresses: Vec<String>,
    #[serde(rename = "validS")]
    valid: f64,
}

/// What the directory at this address says now.
///
/// # Errors
/// The status it answers with instead, or how the call ended.
pub fn lookup(
    directory: SocketAddr,
    host: &str,
    zone: (&str, &str),
) -> Result<(Vec<SocketAddr>, Duration), HttpError> {
    let path = format!("/lookup?name={host}&region={}&zone={}", zone.1, zone.0);
    let answer = get(directory, &path, SECOND)?;
    let text = String::from_utf8(answer.body).map_err(|_| HttpError::Garbled)?;
    let acknowledged: LookupAnswer = json::from_str(&text).map_err(|_| HttpError::Garbled)?;
    let addresses: Option<Vec<SocketAddr>> = acknowledged.addresses.iter().map(|a| a.parse().ok()).collect();
    Ok((addresses.ok_or(HttpError::Garbled)?, Duration::from_secs_f64(acknowledged.valid.clamp(0.0, 5.0))))
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A success.
    Served,
    /// The last answer promises that it has not run.
    Refused,
    /// Any other answer, or none.
    Failed,
}

/// A client with its connections.
pub struct Client {
    directories: Vec<SocketAddr>,
    zone: (&'static str, &'static str),
    addresses: Vec<SocketAddr>,
    until: Instant,
    kept: HashMap<SocketAddr, Vec<HttpConnection>>,
    failed: HashMap<SocketAddr, Instant>,
}

impl Client {
    /// In this zone, asking these directories, the first one first.
    pub fn new(directories: Vec<SocketAddr>, zone: (&'static str, &'static str)) -> Client {
        let (addresses, until) = (Vec::new(), Instant::now());
        Client { directories, zone, addresses, until, kept: HashMap::new(), failed: HashMap::new() }
    }

    fn look_up(&mut self, host: &str) {
        if Instant::now() < self.until && !self.addresses.is_empty() {
            return;
        }
        let acknowledged = self.directories.iter().take(3).find_map(|at| lookup(*at, host, self.zone).ok());
        match acknowledged {
            Some((addresses, valid)) => {
                self.kept.retain(|to, _| addresses.contains(to));
                self.addresses = addresses;
                self.until = Instant::now() + valid;
            }
            // The old answer is kept where there is no new one.
            None => self.until = Instant::now() + SECOND / 4,
        }
    }

    /// Sends a request, again where that is allowed and helps; all tries, the last one last.
    pub fn ask(&mut self, ask: &Ask) -> (End, Vec<Try>) {
        let until = Instant::now() + ask.within;
        let mut attempts: Vec<Try> = Vec::new();
        while attempts.len() < TRIES && Instant::now() < until {
            self.look_up(&ask.host);
            let able: Vec<SocketAddr> = {
                let failed = |a: &&SocketAddr| self.failed.get(*a).is_none_or(|at| at.elapsed() > SECOND);
                self.addresses.iter().filter(failed).copied().collect()
            };
            let from = if able.is_empty() { &self.addresses } else { &able };
            let Some(to) = from.get(crate::random_u64() as usize % from.len().max(1)).copied() else {
                std::thread::sleep(SECOND / 20);
                continue;
            };
            // After a failure connections are new ones.
            let kept = if attempts.is_empty() { self.kept.entry(to).or_default() } else { &mut Vec::new() };
            let quiet = std::iter::from_fn(|| kept.pop()).find(HttpConnection::is_quiet);
            let (id, sent) = (try_id(), Instant::now());
            let connection = quiet.or_else(|| HttpConnection::connect(to, SECOND).ok());
            let got = match connection {
                Some(mut connection) => {
                    let got = exchange(&mut connection, ask, &id, until);
                    if got.as_ref().is_ok_and(|answer| !answer.closes()) {
                        self.kept.entry(to).or_default().push(connection);
                    }
                    got
                }
                None => Err(HttpError::Unreachable),
            };
            let wait = got.as_ref().ok().and_then(|a| a.field("retry-after")?.parse::<f64>().ok());
            attempts.push(Try { id, to, sent, ended: Instant::now(), got });
            let Some(last) = attempts.last() else { break };
            match last.status() {
                200..=299 => return (End::Served, attempts),
                400 | 401 | 404 | 413 | 431 => break,
                0 => _ = self.failed.insert(to, Instant::now()),
                _ => {}
            }
            let again =
                ask.safe || last.is_promise() || last.got.as_ref().err() == Some(&HttpError::Unreachable);
            if !again {
                break;
            }
            let left = until.saturating_duration_since(Instant::now());
            let wait = Duration::from_secs_f64(wait.unwrap_or(0.02).clamp(0.0, 10.0));
            std::thread::sleep(wait.min(left / 3));
        }
        let refused = attempts.last().is_some_and(Try::is_promise);
        (if refused { End::Refused } else { End::Failed }, attempts)
    }
}
