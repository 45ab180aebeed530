//! Clients: single tries at a proxy, and requests with directory lookup, retries and keep-alive connections.

use crate::cluster::get;
use crate::http::{HttpConnection, HttpError, Message};
use crate::server::sealed_by;
use miniserde::{json, Deserialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum number of tries per request.
const MAX_TRIES: usize = 4;

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Value of the `Host` header.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// API key, if any.
    pub key: Option<String>,
    /// Timeout of the request, including retries.
    pub within: Duration,
    /// Whether the request may run more than once.
    pub safe: bool,
}

impl ClientRequest {
    /// Creates a `GET` that may run more than once, with a timeout of 2 s.
    pub fn get(host: &str, path: &str) -> ClientRequest {
        let (host, path, within) = (host.to_owned(), path.to_owned(), Duration::from_secs(2));
        ClientRequest { method: "GET", host, path, body: Vec::new(), key: None, within, safe: true }
    }

    /// Creates a `POST` that must run at most once, with a timeout of 2 s.
    pub fn post(host: &str, path: &str, body: &str) -> ClientRequest {
        ClientRequest {
            method: "POST",
            body: body.as_bytes().to_vec(),
            safe: false,
            ..ClientRequest::get(host, path)
        }
    }

    /// Sets the API key.
    pub fn key(mut self, key: &str) -> ClientRequest {
        self.key = Some(key.to_owned());
        self
    }
}

/// One try of a request and its result.
#[derive(Clone, Debug)]
pub struct Try {
    /// `Try-Id` of the try.
    pub id: String,
    /// Address of the proxy.
    pub to: SocketAddr,
    /// Time at which the try was started.
    pub sent: Instant,
    /// Time at which the answer or error was received.
    pub ended: Instant,
    /// The answer, or why no complete one arrived.
    pub got: Result<Message, HttpError>,
}

impl Try {
    /// Returns the status of the answer, or 0 if no complete answer arrived.
    pub fn status(&self) -> u16 {
        self.got.as_ref().map_or(0, |a| a.status)
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status())
    }

    /// Returns the id of the server whose seal on a 2xx answer matches this try and the complete body.
    pub fn served_by(&self) -> Option<String> {
        let answer = self.got.as_ref().ok().filter(|_| self.is_success())?;
        (answer.field("try-id") == Some(&self.id)).then(|| sealed_by(answer, &self.id))?
    }

    /// Returns whether a 2xx answer is not a server's complete answer to this try, which is never allowed.
    pub fn is_mixed(&self) -> bool {
        self.is_success() && self.served_by().is_none()
    }

    /// Returns whether the status promises that the try was not executed and never will be.
    pub fn is_promise(&self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

/// Returns a random `Try-Id`.
pub fn try_id() -> String {
    format!("{:016x}", crate::random_u64())
}

/// Sends one try on a connection and reads its answer.
fn exchange(
    connection: &mut HttpConnection,
    ask: &ClientRequest,
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
    // The answer may have arrived before the write failed.
    let _ = connection.send(&[head.as_bytes(), &ask.body].concat());
    connection.answer(until)
}

/// Sends one try to a proxy on a new connection.
pub fn try_at(to: SocketAddr, ask: &ClientRequest) -> Try {
    try_with_id(to, ask, &try_id())
}

/// Sends one try with the given id on a new connection. Reusing an id is a protocol violation, meant for tests of its
/// detection.
pub fn try_with_id(to: SocketAddr, ask: &ClientRequest, id: &str) -> Try {
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

/// Asks a directory for the proxies of a host. Returns their addresses and for how long the answer is valid (at most 5 s).
///
/// # Errors
/// Returns an error if the call fails or the answer is not a valid lookup answer.
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

/// Outcome of a request after its last try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with a 2xx status.
    Served,
    /// The last answer promises that its try was not executed.
    Refused,
    /// Any other answer, or none.
    Failed,
}

/// A client with its lookup cache and keep-alive connections.
pub struct Client {
    directories: Vec<SocketAddr>,
    zone: (&'static str, &'static str),
    addresses: Vec<SocketAddr>,
    until: Instant,
    kept: HashMap<SocketAddr, Vec<HttpConnection>>,
    failed: HashMap<SocketAddr, Instant>,
}

impl Client {
    /// Creates a client in a zone (name, region). It asks up to three directories, in the order given.
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
            // Keeps using the old addresses if no directory answers.
            None => self.until = Instant::now() + SECOND / 4,
        }
    }

    /// Sends a request and retries it where that is allowed. Returns the outcome and all tries in the order sent.
    pub fn ask(&mut self, ask: &ClientRequest) -> (RequestOutcome, Vec<Try>) {
        let until = Instant::now() + ask.within;
        let mut attempts: Vec<Try> = Vec::new();
        while attempts.len() < MAX_TRIES && Instant::now() < until {
            self.look_up(&ask.host);
            let reachable: Vec<SocketAddr> = {
                let failed = |a: &&SocketAddr| self.failed.get(*a).is_none_or(|at| at.elapsed() > SECOND);
                self.addresses.iter().filter(failed).copied().collect()
            };
            let from = if reachable.is_empty() { &self.addresses } else { &reachable };
            let Some(to) = from.get(crate::random_u64() as usize % from.len().max(1)).copied() else {
                std::thread::sleep(SECOND / 20);
                continue;
            };
            // Retries use new connections.
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
                200..=299 => return (RequestOutcome::Served, attempts),
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
        (if refused { RequestOutcome::Refused } else { RequestOutcome::Failed }, attempts)
    }
}
