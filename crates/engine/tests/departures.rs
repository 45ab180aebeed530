//! Clients that leave before their answer: no server works on for them where their request may be repeated, and what runs at
//! most once is left to run.

mod common;

use common::front::{request, request_with, Rig};
use oatbank_testkit::{eventually, Act, Server};
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A server's work ends by then; the bound that users are told is 500 ms.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// How a client leaves.
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

/// What a client sends before it leaves, and how much of it reaches the server.
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
        case("several at once", many(3), 3),
        case("the last one", request_with("GET", "/silent", "1", "Connection: close\r\n"), 1),
        case("of an old client", get("1").replace("HTTP/1.1", "HTTP/1.0"), 1),
        case("one that waits its turn behind", get("1") + &request("POST", "/once", "2"), 1),
        case("half a head behind", get("1") + "GET /silent HTTP/1.1\r\nHo", 1),
        case("more than are taken at once", many(40), 8),
        // More than is read ahead, and no more than the system takes in: else the close itself does not arrive.
        case("more than is read ahead", get("1") + &request("POST", "/once", "2") + &many(800), 1),
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
            // What is not taken is not sent.
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
                (front.desk().engine.unanswered(), front.desk().engine.departures().abandoned_attempts)
            });
            if open > 0 || abandoned > 0 {
                failures.push(format!("{}, {how:?}: {open} are owed, {abandoned} abandoned", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "servers worked on:\n{}", failures.join("\n"));
}

#[test]
fn at_most_once_attempts_continue_after_the_client_disconnects() {
    for how in [Disconnect::Close, Disconnect::Reset] {
        let server = Server::start(|_| Act::Silence);
        let rig = Rig::start(&server);
        let mut stream = TcpStream::connect(rig.address).expect("a connection");
        stream.write_all(request("POST", "/silent", "1").as_bytes()).expect("written");
        eventually("it is out", || server.count() == 1);
        disconnect(stream, how);
        let departed = || rig.with(|front| front.desk().engine.departures().clients) == 1;
        eventually("the departure is noticed", departed);
        assert!(server.closed.recv_timeout(CANCEL_TIMEOUT).is_err(), "its server was broken off, {how:?}");
    }
}
