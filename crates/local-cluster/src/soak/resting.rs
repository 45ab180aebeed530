//! Soak clients whose connections rest between two requests, for up to the idle time that proxies state.

use super::clients::{prepare_read, read_answers, Exchange, Outcome, ANSWER_TIMEOUT};
use super::schedule::Random;
use crate::http::HttpConnection;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Connections that one client keeps.
const CONNECTIONS: usize = 12;
/// Longest rest, ms: the idle time that a proxy states.
const MAX_REST_MS: u64 = 12_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two looks at the connections, ms.
const PAUSE_MS: u64 = 20;

/// A connection between two requests.
struct RestingConnection {
    proxy: usize,
    connection: HttpConnection,
    /// When the next request is sent.
    due: Instant,
}

/// Sends single reads on resting connections until `stop` is set, and returns all exchanges.
pub fn run(fronts: &[SocketAddr], seed: u64, number: u64, stop: &AtomicBool) -> Vec<Exchange> {
    let mut random = Random::new(seed, 200 + number);
    let mut resting: Vec<RestingConnection> = Vec::new();
    let mut exchanges = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        if resting.len() < CONNECTIONS {
            let proxy = random.below(fronts.len());
            if let Ok(connection) = HttpConnection::connect(fronts[proxy], CONNECT_TIMEOUT) {
                resting.push(RestingConnection { proxy, connection, due: Instant::now() });
            }
        }
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) = resting.into_iter().partition(|resting| resting.due <= now);
        resting = rest;
        for open in due.into_iter().filter(|resting| resting.connection.is_quiet()) {
            resting.extend(send_read(&mut random, open, &mut exchanges));
        }
        std::thread::sleep(random.between(0, PAUSE_MS));
    }
    exchanges
}

/// Sends a read and reads its answer. Returns the connection with its next rest if it can be used again.
fn send_read(
    random: &mut Random,
    mut open: RestingConnection,
    exchanges: &mut Vec<Exchange>,
) -> Option<RestingConnection> {
    let batch = [prepare_read()];
    let sent = Instant::now();
    let _ = open.connection.send(batch[0].text.as_bytes());
    let outcome = read_answers(&batch, &mut open.connection, sent + ANSWER_TIMEOUT).swap_remove(0);
    let is_kept = matches!(outcome, Outcome::Answered(..));
    let [prepared] = batch;
    let (id, kind, proxy) = (prepared.id, prepared.kind, open.proxy);
    exchanges.push(Exchange { id, kind, proxy, sent, ended: Instant::now(), outcome });
    open.due = Instant::now() + random.between(0, MAX_REST_MS);
    is_kept.then_some(open)
}
