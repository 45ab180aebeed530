//! Streaming of long request and response bodies: forwarded as they arrive, and never treated as complete if they break.

use oatbank_testkit::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");

fn before(members: &[String]) -> (Limiter, Discovery, Counter) {
    let known = list(1, true, members);
    let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
    let mut setup = Setup::new(discovery.address, counter.address, &known);
    setup.gateways = 1;
    (setup.start(OATBANK), discovery, counter)
}

fn one(server: &Server) -> (Limiter, Discovery, Counter) {
    before(&[member("s-1", server.address, "Ready")])
}

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 7 % 251) as u8).collect()
}

fn head(method: &str, class: &str, id: &str, more: &str) -> String {
    format!(
        "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Plan: team\r\nX-Time-Left: 1.5\r\nX-Quota: units=1,spread=1,first=0\r\n{more}\r\n"
    )
}

#[test]
fn long_bodies_pass_both_ways_unchanged_in_every_framing() {
    let server = Server::start(|m| Act::Write(answer("200 OK", "", &m.body)));
    let (limiter, _discovery, _counter) = one(&server);
    let mut client = limiter.client();
    for (i, length) in [0, 1, 65_536, 65_537, 3_000_000].into_iter().enumerate() {
        let body = bytes(length);
        let sized = head("POST", "once", &format!("s{i}"), &format!("Content-Length: {length}\r\n"));
        let mut chunked =
            head("POST", "once", &format!("c{i}"), "Transfer-Encoding: chunked\r\n").into_bytes();
        for (n, piece) in body.chunks(50_000).enumerate() {
            let extension = if n % 2 == 0 { ";name=value" } else { "" };
            chunked.extend_from_slice(format!("{:x}{extension}\r\n", piece.len()).as_bytes());
            chunked.extend_from_slice(piece);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\nX-Trailer: y\r\n\r\n");
        for whole in [[sized.as_bytes(), &body].concat(), chunked] {
            let mut writer = client.stream.try_clone().expect("a clone");
            let writing = std::thread::spawn(move || writer.write_all(&whole).expect("sent"));
            let got = client.read().expect("an answer");
            writing.join().expect("written");
            assert_eq!((got.status(), got.body.len(), got.body == body), (200, length, true));
        }
    }
    assert_eq!(
        server.connections.load(std::sync::atomic::Ordering::SeqCst),
        1,
        "each response was complete and its connection reused"
    );
}

#[test]
fn a_client_that_expects_100_continue_is_told_to_go_on() {
    let server = Server::start(|m| Act::Write(answer("200 OK", "", &m.body)));
    let (limiter, _discovery, _counter) = one(&server);
    let mut client = limiter.client();
    let first = head("POST", "once", "e1", "Content-Length: 3\r\nExpect: 100-continue\r\n");
    client.stream.write_all(first.as_bytes()).expect("sent");
    assert_eq!(client.read().map(|m| m.status()), Some(100));
    assert_eq!(client.raw(b"abc").map(|m| m.body), Some(b"abc".to_vec()));
}

/// Starts a server that reads the head of each request and passes the connection to the test.
fn by_hand() -> (std::net::SocketAddr, mpsc::Receiver<(TcpStream, BufReader<TcpStream>)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                line.clear();
            }
            if sender.send((stream, reader)).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

#[test]
fn a_long_response_is_streamed_and_a_truncated_one_is_detected() {
    for framing in ["Content-Length: 1000000", "Transfer-Encoding: chunked", "Connection: close"] {
        let (address, met) = by_hand();
        let (limiter, _discovery, _counter) = before(&[member("s-1", address, "Ready")]);
        let mut client = limiter.client();
        client.stream.write_all(head("GET", "look", "b1", "").as_bytes()).expect("sent");
        let (mut server, _reader) = met.recv_timeout(PATIENCE).expect("a request");
        let mut start = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").into_bytes();
        match framing.starts_with('T') {
            true => start.extend([b"30d40\r\n", &bytes(200_000)[..], b"\r\n"].concat()),
            false => start.extend(bytes(200_000)),
        }
        server.write_all(&start).expect("sent");
        let mut got = vec![0; 150_000];
        client.stream.read_exact(&mut got).expect("the start, while the rest is still to come");
        assert!(got.starts_with(b"HTTP/1.1 200 OK\r\n"));
        // Resets the connection, so that the rest never arrives.
        socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("an option");
        drop((server, _reader));
        let mut rest = Vec::new();
        let end = client.stream.read_to_end(&mut rest);
        let chunked_whole = rest.ends_with(b"0\r\n\r\n");
        let close_delimited =
            framing.starts_with("Conn") && !String::from_utf8_lossy(&got).contains("chunked");
        assert!(
            end.is_err() || !chunked_whole && !close_delimited,
            "{framing}: a truncated response looks complete"
        );
    }
}

#[test]
fn a_slow_reader_gets_its_whole_response_with_bounded_memory() {
    let body = bytes(16_000_000);
    let want = body.clone();
    let server = Server::start(move |_| Act::Write(answer("200 OK", "", &body)));
    let (limiter, _discovery, _counter) = one(&server);
    let mut client = limiter.client();
    client.stream.write_all(head("GET", "look", "w1", "").as_bytes()).expect("sent");
    let mut first = vec![0; 1000];
    client.stream.read_exact(&mut first).expect("the start");
    let kib = resident_kib(limiter.child.id());
    assert!(kib < 40_000, "{kib} KiB resident while nobody reads the response");
    // Longer than the time limit for reading a short response.
    std::thread::sleep(Duration::from_secs(3));
    let mut rest = vec![0; want.len() - (1000 - end_of_head(&first))];
    client.stream.read_exact(&mut rest).expect("the rest");
    assert!(rest == want[1000 - end_of_head(&first)..]);
}

fn end_of_head(bytes: &[u8]) -> usize {
    bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

#[test]
fn an_upload_is_retried_after_a_refused_connection_and_a_broken_one_never_runs() {
    // Bound but not listening: connections are refused, and no other process or test can take the port meanwhile.
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    reserved.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let nobody = reserved.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let server = Server::start(|m| Act::Write(answer("200 OK", "", &m.body)));
    let (limiter, _discovery, _counter) =
        before(&[member("s-1", nobody, "Ready"), member("s-2", server.address, "Ready")]);
    let body = bytes(500_000);
    for i in 0..6 {
        let mut client = limiter.client();
        let first = head("POST", "once", &format!("n{i}"), "Content-Length: 500000\r\n");
        client.stream.write_all(&[first.as_bytes(), &body].concat()).expect("sent");
        assert_eq!(client.read().map(|m| m.status()), Some(200), "try {i}");
    }
    assert_eq!(server.count(), 6);
    // Clients that disconnect in the middle of the body.
    for i in 0..6 {
        let mut client = limiter.client();
        let first = head("POST", "once", &format!("l{i}"), "Content-Length: 500000\r\n");
        client.stream.write_all(&[first.as_bytes(), &body[..400_000]].concat()).expect("sent");
    }
    let mut client = limiter.client();
    eventually("others are served", || client.of_one("POST", "once").1.status() == 200);
    let whole = |m: &Message| m.body.len() == 500_000 || m.body.is_empty();
    assert!(server.seen.lock().expect("a lock").iter().all(whole), "a server received a truncated body");
}

#[test]
fn a_keyed_upload_that_breaks_after_its_last_byte_is_not_sent_twice() {
    let (address, met) = by_hand();
    let (limiter, _discovery, _counter) = before(&[member("s-1", address, "Ready")]);
    let mut client = limiter.client();
    let first = head("POST", "book", "k1", "Idempotency-Key: k\r\nContent-Length: 300000\r\n");
    client.stream.write_all(&[first.as_bytes(), &bytes(300_000)].concat()).expect("sent");
    let (server, mut reader) = met.recv_timeout(PATIENCE).expect("a request");
    let mut body = vec![0; 300_000];
    reader.read_exact(&mut body).expect("all of the body");
    drop((server, reader));
    let status = client.read().expect("an answer").status();
    assert_ne!(status, 200);
    assert!(met.try_recv().is_err(), "sent a second time");
}

#[test]
fn an_early_response_reaches_a_client_that_is_still_sending() {
    let (address, met) = by_hand();
    let (limiter, _discovery, _counter) = before(&[member("s-1", address, "Ready")]);
    let mut client = limiter.client();
    let first = head("POST", "once", "y1", "Content-Length: 2000000\r\n");
    client.stream.write_all(&[first.as_bytes(), &bytes(500_000)].concat()).expect("sent");
    let (mut server, _reader) = met.recv_timeout(PATIENCE).expect("a request");
    let early = answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", b"");
    server.write_all(&early).expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!(answer.status(), 429, "it has not run, and cannot be sent again");
    assert!(answer.header("retry-after").is_some());
    // The rest of the body is read, and the connection is kept for the next request.
    client.stream.write_all(&bytes(1_500_000)).expect("sent");
    let (mut server, _reader) = {
        client.stream.write_all(head("GET", "look", "y2", "").as_bytes()).expect("sent");
        met.recv_timeout(PATIENCE).expect("a request")
    };
    server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("sent");
    assert_eq!(client.read().map(|m| m.status()), Some(200));
}
