//! Soak clients: they pipeline requests on keep-alive connections, and some disconnect before the answers arrive.

use super::schedule::Random;
use super::{HISTORY, HOST, READ, UNLIMITED_KEY, WRITE};
use crate::client::try_id;
use crate::http::{HttpConnection, HttpError};
use crate::server::sealed_by;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of pipelined requests in a batch.
const MAX_PIPELINED_REQUESTS: usize = 5;
/// Time that a client waits for the answers to a batch.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Share of batches whose client disconnects without reading the answers.
const DISCONNECT_SHARE: f64 = 0.25;

/// Type of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent request, which may run more than once.
    Read,
    /// Request that must run at most once.
    Write,
    /// Write to a path without a route, with another request in its body, to detect request smuggling.
    Smuggling,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status of the answer, and the id of the server whose seal matches this try and the complete body.
    Answered(u16, Option<String>),
    /// The connection ended before an answer arrived.
    Unanswered,
    /// The answer to an earlier request on the connection announced `Connection: close`.
    BehindLastAnswer,
    /// The client disconnected, on purpose or after its timeout.
    Left,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// `Try-Id` of the request.
    pub id: String,
    /// Type of the request.
    pub kind: Kind,
    /// Index of the proxy.
    pub proxy: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the client had read its batch's answers or disconnected.
    pub ended: Instant,
    /// Outcome that the client observed.
    pub outcome: Outcome,
}

/// A request that is ready to be sent.
pub(super) struct Prepared {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) text: String,
}

/// The start of a request's head, up to the lines that concern its body.
fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path}1 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 2000\r\n\
         Authorization: Bearer {UNLIMITED_KEY}\r\n"
    )
}

/// A read that keeps its connection open.
pub(super) fn prepare_read() -> Prepared {
    let id = try_id();
    let text = head("GET", READ, &id) + "\r\n";
    Prepared { id, kind: Kind::Read, text }
}

fn prepare(random: &mut Random, is_last: bool) -> Prepared {
    let id = try_id();
    let close = if is_last { "Connection: close\r\n" } else { "" };
    let head = |method: &str, path: &str, id: &str| head(method, path, id) + close;
    let drawn = random.share();
    if drawn < 0.04 {
        // No client sends a request with this id: if it reaches a server, a proxy parsed the body as a request.
        let body = format!(
            "GET {READ}2 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {}\r\nAuthorization: Bearer {UNLIMITED_KEY}\r\n\r\n",
            try_id()
        );
        let text = format!("{}Content-Length: {}\r\n\r\n{body}", head("POST", "/none/", &id), body.len());
        return Prepared { id, kind: Kind::Smuggling, text };
    }
    let (kind, text) = match drawn {
        drawn if drawn < 0.15 => (Kind::Write, head("POST", WRITE, &id) + "Content-Length: 5\r\n\r\nwords"),
        drawn if drawn < 0.45 => (Kind::Read, head("GET", HISTORY, &id) + "\r\n"),
        _ => (Kind::Read, head("GET", READ, &id) + "\r\n"),
    };
    Prepared { id, kind, text }
}

/// Sends batches until `stop` is set, and returns all exchanges.
pub fn run(fronts: &[SocketAddr], seed: u64, number: u64, stop: &AtomicBool) -> Vec<Exchange> {
    let mut random = Random::new(seed, 100 + number);
    let mut kept: Vec<Option<HttpConnection>> = fronts.iter().map(|_| None).collect();
    let mut exchanges = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let proxy = random.below(fronts.len());
        let quiet = kept[proxy].take().filter(HttpConnection::is_quiet);
        let connection =
            quiet.or_else(|| HttpConnection::connect(fronts[proxy], Duration::from_millis(300)).ok());
        if let Some(connection) = connection {
            kept[proxy] = send_batch(&mut random, proxy, connection, &mut exchanges);
        }
        std::thread::sleep(random.between(0, 40));
    }
    exchanges
}

/// Sends a batch and reads its answers or disconnects. Returns the connection if it can be reused.
fn send_batch(
    random: &mut Random,
    proxy: usize,
    mut connection: HttpConnection,
    exchanges: &mut Vec<Exchange>,
) -> Option<HttpConnection> {
    let count = 1 + random.below(MAX_PIPELINED_REQUESTS);
    let closes = random.share() < 0.1;
    let batch: Vec<Prepared> = (0..count).map(|nth| prepare(random, closes && nth + 1 == count)).collect();
    let text: String = batch.iter().map(|prepared| prepared.text.as_str()).collect();
    let sent = Instant::now();
    let _ = connection.send(text.as_bytes());
    let outcomes = if random.share() < DISCONNECT_SHARE {
        std::thread::sleep(random.between(0, 150));
        if random.share() < 0.3 {
            connection.linger_none();
        }
        vec![Outcome::Left; count]
    } else {
        read_answers(&batch, &mut connection, sent + ANSWER_TIMEOUT)
    };
    let is_kept = matches!(outcomes.last(), Some(Outcome::Answered(..))) && !closes;
    // Dropping the connection here disconnects the client; the GONE rule counts from this moment.
    let connection = is_kept.then_some(connection);
    let ended = Instant::now();
    for (prepared, outcome) in batch.into_iter().zip(outcomes) {
        let Prepared { id, kind, .. } = prepared;
        exchanges.push(Exchange { id, kind, proxy, sent, ended, outcome });
    }
    connection
}

/// Reads the answers to a batch and returns one outcome per request.
pub(super) fn read_answers(
    batch: &[Prepared],
    connection: &mut HttpConnection,
    until: Instant,
) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    for prepared in batch {
        let (outcome, follows) = match connection.answer(until) {
            Ok(answer) => {
                let by = sealed_by(&answer, &prepared.id);
                let follows = answer.closes().then_some(Outcome::BehindLastAnswer);
                (Outcome::Answered(answer.status, by), follows)
            }
            Err(HttpError::Late) => (Outcome::Left, Some(Outcome::Left)),
            Err(_) => (Outcome::Unanswered, Some(Outcome::Unanswered)),
        };
        outcomes.push(outcome);
        if let Some(follows) = follows {
            outcomes.resize(batch.len(), follows);
            break;
        }
    }
    outcomes
}
