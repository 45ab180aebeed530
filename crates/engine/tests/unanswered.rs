//! Connections closed by the front: started requests are answered first, and requests that were read are not lost.

mod common;

use common::front::{paths, request, waiting_server, OpenRequests, Rig};
use oatbank_engine::front::connection_ends::ConnectionEnd;
use oatbank_engine::front::FrontLimits;
use oatbank_testkit::{eventually, read_message, within};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

/// Rounds of a test whose order of events the runtime draws.
const ROUNDS: usize = 20;
/// Length of a body that is forwarded while it arrives, bytes.
const STREAMED_BYTES: usize = 200_000;
/// Turns of the front's loop in which it reads what has arrived.
const TURNS_TO_READ: usize = 100;
/// Tasks that are ready at the end of a stall.
const TASKS_PER_STALL: usize = 500;
/// Advance of the clock beyond the time limit for a head, ms.
const AFTER_HEAD_TIMEOUT: f64 = 5000.0;

fn unanswered(rig: &Rig) -> u64 {
    rig.with(|front| ConnectionEnd::ALL.map(|end| front.ends().count(end).unanswered).iter().sum())
}

#[test]
fn started_requests_are_answered_before_the_connection_closes() {
    let (server, release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let all = request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request("GET", "/c", "3");
    stream.write_all(all.as_bytes()).expect("written");
    eventually("all three are in flight", || server.count() == 3);
    rig.with(|front| front.stop());
    release.send(()).expect("the server");
    let mut closes = Vec::new();
    for id in ["1", "2", "3"] {
        let answer = read_message(&mut reader).unwrap_or_else(|| panic!("{id} has no answer"));
        assert_eq!(answer.header("Try-Id"), Some(id));
        closes.push(answer.header("Connection").is_some_and(|said| said == "close"));
    }
    assert_eq!(closes, [false, false, true], "only the last answer announces the close");
    assert_eq!(reader.read(&mut [0]).expect("an end"), 0);
    assert_eq!(unanswered(&rig), 0);
}

#[test]
fn a_queued_request_keeps_its_connection_open() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    // As in a shutdown, connections are closed once they have no open request, here exactly when an answer arrives.
    rig.with(|front| {
        let asking = front.clone();
        let ask_all = Box::new(move || asking.close_idle());
        *front.handler().on_answer.borrow_mut() = Some(ask_all);
    });
    for round in 0..20 {
        let (mut stream, mut reader) = rig.connect();
        let all = request("GET", "/a", "1") + &request("GET", "/once", "2");
        stream.write_all(all.as_bytes()).expect("written");
        for id in ["1", "2"] {
            let answer = read_message(&mut reader);
            let answer = answer.unwrap_or_else(|| panic!("round {round}: {id} was read but has no answer"));
            assert_eq!(answer.header("Try-Id"), Some(id));
        }
    }
}

#[test]
fn the_body_of_a_rejected_request_is_not_parsed_as_a_request() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let inner = request("GET", "/inner", "2");
    let head =
        format!("POST /closed HTTP/1.1\r\nHost: h\r\nTry-Id: 1\r\nContent-Length: {}\r\n\r\n", inner.len());
    stream.write_all((head + &inner).as_bytes()).expect("written");
    let answer = read_message(&mut reader).expect("an answer");
    assert!(answer.start.contains("503"), "{}", answer.start);
    let mut rest = Vec::new();
    let _ = reader.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    assert_eq!((server.count(), unanswered(&rig)), (0, 0));
}

/// Guards against reports of a further request at the end of a connection that had none (89).
#[test]
fn the_body_of_a_rejected_request_is_not_reported_as_a_further_request() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    let heads =
        ["POST /closed HTTP/1.1\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: unknown\r\n", "no head\r\n"];
    for head in heads {
        let (mut stream, mut reader) = rig.connect();
        let body = "Host: h\r\nTry-Id: 1\r\nContent-Length: 4\r\n\r\nbody";
        stream.write_all((head.to_owned() + body).as_bytes()).expect("written");
        let answer = read_message(&mut reader).unwrap_or_else(|| panic!("{head}: no answer"));
        assert_eq!(answer.header("Connection"), Some("close"), "{head}");
        drop((stream, reader));
        eventually("the connection has ended", || rig.with(|front| front.open() == 0));
        assert_eq!(rig.with(|front| front.ends().take_reports()), [], "{head}");
    }
}

#[test]
fn a_connection_is_idle_after_a_request_with_a_body() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut half, mut half_reader) = rig.connect();
    half.write_all(b"GET /a HTTP/1.1\r\nHo").expect("written");
    let (mut stream, mut reader) = rig.connect();
    for id in ["1", "2"] {
        let head = format!("POST /once HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nContent-Length: 5\r\n\r\n");
        stream.write_all((head + "words").as_bytes()).expect("written");
        let answer = read_message(&mut reader).unwrap_or_else(|| panic!("{id} has no answer"));
        assert_eq!(answer.header("Try-Id"), Some(id));
        if id == "1" {
            // Longer than the time limit for a head and shorter than that of an idle connection.
            rig.advance(5000.0);
            let mut rest = Vec::new();
            let _ = half_reader.read_to_end(&mut rest);
            assert!(rest.is_empty(), "the stalled connection is closed without an answer");
        }
    }
}

#[test]
fn a_request_that_crosses_an_idle_close_is_not_read() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    stream.write_all(request("GET", "/a", "1").as_bytes()).expect("written");
    assert!(read_message(&mut reader).is_some());
    rig.with(|front| front.close_idle());
    assert_eq!(stream.peek(&mut [0]).expect("an end"), 0);
    // As if the request had been sent before the client saw the close of its kept connection.
    stream.write_all(request("GET", "/b", "2").as_bytes()).expect("written");
    let is_refused = || stream.take_error().expect("an option").is_some();
    within(
        Duration::from_millis(500),
        "a reset informs the client at once that the request was not read",
        is_refused,
    );
    assert_eq!(paths(&server), ["/a"]);
}

/// Guards against a request that is read and dropped, because its connection was found stalled before it arrived (LOST, 89).
#[test]
fn a_request_that_arrives_before_a_stalled_connection_is_dropped_is_answered() {
    for round in 0..2 * ROUNDS {
        let (server, _release) = waiting_server();
        let open_requests = [OpenRequests::One, OpenRequests::Several][round % 2];
        let rig = Rig::with_open_requests(&server, open_requests);
        let (mut stream, mut reader) = rig.connect();
        eventually("the connection is accepted", || rig.with(|front| front.open() == 1));
        let (held, is_held) = mpsc::channel();
        let (resume, resumed) = mpsc::channel::<()>();
        let stalled = rig.start_action(move |front| {
            held.send(()).expect("the test");
            resumed.recv().expect("the test");
            // More tasks than one turn of the loop runs: it looks for arrived bytes before it comes to the connection.
            (0..TASKS_PER_STALL).for_each(|_| drop(tokio::task::spawn_local(async {})));
            front.handler().advance(AFTER_HEAD_TIMEOUT);
            front.close_stalled();
        });
        is_held.recv().expect("the front");
        stream.write_all(request("GET", "/a", "1").as_bytes()).expect("written");
        resume.send(()).expect("the front");
        stalled.recv().expect("the front");
        let answer = read_message(&mut reader);
        let dropped = rig.with(|front| front.ends().count(ConnectionEnd::Dropped));
        let answer = answer
            .unwrap_or_else(|| panic!("round {round}, {open_requests:?}: no answer, dropped: {dropped:?}"));
        assert_eq!(answer.header("Try-Id"), Some("1"));
    }
}

/// Guards against requests sent on a connection that is being closed, because its client was never told for how long it
/// stays open (LOST, 89).
#[test]
fn clients_are_told_how_long_an_idle_connection_stays_open() {
    for open_requests in [OpenRequests::One, OpenRequests::Several] {
        let (server, _release) = waiting_server();
        let rig = Rig::with_open_requests(&server, open_requests);
        let (mut stream, mut reader) = rig.connect();
        let mut send = |id: &str| {
            stream.write_all(request("GET", "/a", id).as_bytes()).expect("written");
            read_message(&mut reader).unwrap_or_else(|| panic!("{open_requests:?}: {id} has no answer"))
        };
        let answer = send("1");
        assert_eq!(answer.header("Connection"), Some("keep-alive"), "{open_requests:?}");
        let stated = answer.header("Keep-Alive").and_then(|said| said.strip_prefix("timeout="));
        let stated_s: f64 = stated.and_then(|seconds| seconds.parse().ok()).expect("whole seconds");
        let idle_timeout = FrontLimits::default().idle_timeout;
        assert!(stated_s > 0.0 && stated_s * 1000.0 < idle_timeout, "{stated_s} s of {idle_timeout} ms");
        rig.with(move |front| {
            front.handler().advance(stated_s * 1000.0);
            front.close_stalled();
        });
        send("2");
        rig.with(|front| front.stop());
        let last = send("3");
        assert_eq!((last.header("Connection"), last.header("Keep-Alive")), (Some("close"), None));
        assert_eq!(unanswered(&rig), 0);
    }
}

/// Guards against an idle time that is stated on a connection that ends with its answer.
#[test]
fn a_last_answer_states_no_idle_time() {
    for open_requests in [OpenRequests::One, OpenRequests::Several] {
        let (server, _release) = waiting_server();
        let rig = Rig::with_open_requests(&server, open_requests);
        let ends = ["GET /a HTTP/1.1\r\nConnection: close\r\n", "GET /a HTTP/1.0\r\n"];
        for start in ends {
            let (mut stream, mut reader) = rig.connect();
            stream.write_all(format!("{start}Host: h\r\nTry-Id: 1\r\n\r\n").as_bytes()).expect("written");
            let answer = read_message(&mut reader).expect("an answer");
            assert_eq!(answer.header("Keep-Alive"), None, "{open_requests:?}, {start}");
            assert_eq!(reader.read(&mut [0]).expect("an end"), 0, "{open_requests:?}, {start}");
        }
    }
}

/// Guards against an upload whose connection ends without an answer, because its body is abandoned once it is being
/// forwarded.
#[test]
fn an_upload_that_breaks_its_framing_while_it_is_forwarded_is_answered() {
    let (server, _release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let chunk = format!("{STREAMED_BYTES:x}\r\n{}\r\n", "x".repeat(STREAMED_BYTES));
    let head = "POST /post HTTP/1.1\r\nHost: h\r\nTry-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all((head.to_owned() + &chunk + "no size\r\n").as_bytes()).expect("written");
    let answer = read_message(&mut reader).expect("an answer");
    assert!(!answer.start.contains(" 200 "), "{}", answer.start);
    assert_eq!(answer.header("Connection"), Some("close"));
    assert_eq!(unanswered(&rig), 0);
}

/// Guards against a connection that is dropped long before the time that its client was told, because the rest of an
/// upload arrived behind its answer.
#[test]
fn a_connection_is_idle_after_an_upload_that_was_answered_early() {
    // Bound and not listening: connections to it are refused, so the upload is answered before it is complete.
    let refusing = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    refusing.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = refusing.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    let rig = Rig::for_address(address, OpenRequests::Several);
    let (mut stream, mut reader) = rig.connect();
    let half = "x".repeat(STREAMED_BYTES);
    let length = 2 * STREAMED_BYTES;
    let head = format!("POST /post HTTP/1.1\r\nHost: h\r\nTry-Id: 1\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + &half).as_bytes()).expect("written");
    let early = read_message(&mut reader).expect("an early answer");
    assert_eq!(early.header("Connection"), Some("keep-alive"), "{}", early.start);
    stream.write_all(half.as_bytes()).expect("written");
    (0..TURNS_TO_READ).for_each(|_| rig.with(|_| ()));
    rig.with(|front| {
        front.handler().advance(AFTER_HEAD_TIMEOUT);
        front.close_stalled();
    });
    stream.write_all(request("GET", "/a", "2").as_bytes()).expect("written");
    assert!(read_message(&mut reader).is_some(), "the connection is open");
}
