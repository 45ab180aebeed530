//! Clients that disconnect before their answer: attempts of repeatable requests are cancelled, at-most-once attempts
//! continue.

mod common;

use common::front::{request, request_with, Rig};
use oatbank_testkit::{eventually, Act, Server};
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time limit for the cancellation at the server; the documented bound is 500 ms.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

fn disconnect(stream: TcpStream, how: Disconnect) {
    if matches!(how, Disconnect::Reset) {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }
    drop(stream);
}

/// Input of a client before its disconnect, and the number of requests that reach the server.
struct Case {
    name: &'static str,
    sent: String,
    at_server: usize,
}

fn cases() -> Vec<Case> {
    let get = |id: &str| request("GET", "/silent", id);
    let many = |count: usize| (0..count).map(|n| get(&n.to_string())).collect::<String>();
    let case = |name, sent, at_server| Case { name, sent, at_server };
    vec![
        case("one request", get("1"), 1),
        case("several pipelined requests", many(3), 3),
        case(
            "a request with Connection: close",
            request_with("GET", "/silent", "1", "Connection: close\r\n"),
            1,
        ),
        case("an HTTP/1.0 request", get("1").replace("HTTP/1.1", "HTTP/1.0"), 1),
        case("a request queued behind another", get("1") + &request("POST", "/once", "2"), 1),
        case("half a head behind a request", get("1") + "GET /silent HTTP/1.1\r\nHo", 1),
        case("more than can be open at once", many(40), 8),
        // More than the read-ahead, but no more than the socket buffers hold, or the close itself would not arrive.
        case("more than the read-ahead", get("1") + &request("POST", "/once", "2") + &many(800), 1),
    ]
}

#[test]
fn attempts_are_cancelled_when_the_client_disconnects() {
    let mut failures = Vec::new();
    for how in [Disconnect::Close, Disconnect::Reset] {
        for case in cases() {
            let server = Server::start(|_| Act::Silence);
            let rig = Rig::start(&server);
            let stream = TcpStream::connect(rig.address).expect("a connection");
            stream.set_nonblocking(true).expect("an option");
            // Bytes that the socket does not accept are not sent.
            let _ = (&stream).write(case.sent.as_bytes());
            eventually(case.name, || server.count() >= case.at_server);
            disconnect(stream, how);
            let until = Instant::now() + CANCEL_TIMEOUT;
            let ended = (0..case.at_server)
                .filter(|_| {
                    let left = until.saturating_duration_since(Instant::now());
                    server.closed.recv_timeout(left).is_ok()
                })
                .count();
            if ended < case.at_server {
                failures.push(format!("{}, {how:?}: {ended} of {}", case.name, case.at_server));
            }
            let (open, abandoned) = rig.with(|front| {
                (front.handler().engine.unanswered(), front.handler().engine.departures().abandoned_attempts)
            });
            if open > 0 || abandoned > 0 {
                failures.push(format!("{}, {how:?}: {open} unanswered, {abandoned} abandoned", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "attempts continued after the disconnect:\n{}", failures.join("\n"));
}

#[test]
fn at_most_once_attempts_continue_after_the_client_disconnects() {
    for how in [Disconnect::Close, Disconnect::Reset] {
        let server = Server::start(|_| Act::Silence);
        let rig = Rig::start(&server);
        let mut stream = TcpStream::connect(rig.address).expect("a connection");
        stream.write_all(request("POST", "/silent", "1").as_bytes()).expect("written");
        eventually("the attempt is in flight", || server.count() == 1);
        disconnect(stream, how);
        let departed = || rig.with(|front| front.handler().engine.departures().clients) == 1;
        eventually("the disconnect is noticed", departed);
        assert!(server.closed.recv_timeout(CANCEL_TIMEOUT).is_err(), "the attempt was cancelled, {how:?}");
    }
}
