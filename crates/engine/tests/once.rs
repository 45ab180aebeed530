//! At-most-once delivery to a server: every place where the HTTP client could send a request again, against a server that
//! the test controls byte by byte. The cases are those of `docs/design/exactly-once.md`.

mod common;

use bytes::Bytes;
use common::{class, setup};
use http::{HeaderMap, HeaderValue, Method, Response};
use http_body_util::BodyExt;
use oatbank_engine::body::{body_channel, Body, BodyError, Progress, Upload};
use oatbank_engine::engine::{Answer, Engine, Setup};
use oatbank_engine::members::fixed;
use oatbank_engine::ports::clock::SystemClock;
use oatbank_engine::ports::membership::Member;
use oatbank_engine::ports::upstream::{AttemptJob, End, Upstream};
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_engine::upstreams::try_id::TryIdDialect;
use oatbank_limiter_core::interface::{Class, Outcome, Repeat, Request, ServerId};
use oatbank_testkit::conformance::on_local_set;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};

const CONNECTIONS: Connections =
    Connections { idle: 10_000.0, connect_timeout: 1000.0, most: 16, bodies_kib: 4096 };

/// An attempt in flight and the reported progress of its body.
struct Attempt {
    end: JoinHandle<End<Response<Body>>>,
    reported: Rc<RefCell<Vec<Progress>>>,
}

impl Attempt {
    async fn outcome(self) -> Outcome {
        self.end.await.expect("an end").outcome
    }
}

struct Rig {
    client: Rc<Http1<TryIdDialect>>,
    listener: TcpListener,
}

fn forward(id: &'static str, body: Upload) -> Forward {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("shop.example"));
    headers.insert("try-id", HeaderValue::from_static(id));
    match &body {
        Upload::Whole(bytes) => _ = headers.insert("content-length", HeaderValue::from(bytes.len())),
        Upload::Stream { length: Some(length), .. } => {
            headers.insert("content-length", HeaderValue::from(*length));
        }
        Upload::Stream { .. } => {
            headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        }
    }
    Forward { method: Method::POST, uri: "/book".parse().expect("a path"), headers, body, permit: None }
}

impl Rig {
    async fn new() -> Rig {
        let client =
            Rc::new(Http1::with_dialect(TryIdDialect::default(), Rc::new(SystemClock::new()), CONNECTIONS));
        Rig { client, listener: TcpListener::bind("127.0.0.1:0").await.expect("a port") }
    }

    fn post(&self, server: u64, id: &'static str, body: Upload) -> Attempt {
        self.post_to(server, id, body, false)
    }

    /// Like [`Rig::post`], to a server that may start before it has the whole request.
    fn post_early(&self, server: u64, id: &'static str, body: Upload) -> Attempt {
        self.post_to(server, id, body, true)
    }

    fn post_to(&self, server: u64, id: &'static str, body: Upload, starts_early: bool) -> Attempt {
        let reported = Rc::<RefCell<Vec<Progress>>>::default();
        let sink = reported.clone();
        let job = AttemptJob {
            server: ServerId(server),
            name: format!("s-{server}").into(),
            address: self.listener.local_addr().expect("an address"),
            request: Arc::new(forward(id, body)),
            span: 750.0,
            starts_early,
            may_send: Rc::new(|| true),
            progress: Rc::new(move |p| sink.borrow_mut().push(p)),
        };
        let client = self.client.clone();
        Attempt { end: spawn_local(async move { client.attempt(job).await }), reported }
    }

    fn post_words(&self, id: &'static str) -> Attempt {
        self.post(1, id, Bytes::from_static(b"words").into())
    }

    async fn connection(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }

    /// An idle connection that has served a try.
    async fn idle_connection(&self) -> TcpStream {
        let first = self.post_words("first");
        let mut stream = self.connection().await;
        read(&mut stream, "words").await;
        write(&mut stream, &valid_answer("first")).await;
        assert_eq!(first.outcome().await, Outcome::Ok);
        stream
    }

    /// Asserts that no other connection was opened.
    async fn assert_no_other_connection(&self) {
        let more = tokio::time::timeout(Duration::ZERO, self.listener.accept()).await;
        assert!(more.is_err(), "the request was also sent on another connection");
    }
}

fn valid_answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nwell")
}

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("it is written");
}

/// Reads until the input ends with `up_to` and returns everything read.
async fn read(stream: &mut TcpStream, up_to: &str) -> String {
    let mut all = Vec::new();
    while !all.ends_with(up_to.as_bytes()) {
        all.push(stream.read_u8().await.expect("more"));
    }
    String::from_utf8(all).expect("text")
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// Reads to the end of the connection.
async fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all).await;
    all
}

#[test]
fn a_new_connection_that_fails_during_or_after_the_write_may_have_run() {
    on_local_set(async {
        // The server has read everything or only a part; the client cannot tell the two apart.
        for up_to in ["words", "P"] {
            let rig = Rig::new().await;
            let attempt = rig.post_words("a");
            let mut stream = rig.connection().await;
            read(&mut stream, up_to).await;
            reset(stream);
            assert_eq!(attempt.outcome().await, Outcome::Reset, "{up_to}");
            rig.assert_no_other_connection().await;
        }
        // More than the socket buffers hold, so most of it was never written.
        let rig = Rig::new().await;
        let attempt = rig.post(1, "a", Upload::Whole(vec![b'x'; 16 << 20].into()));
        let mut stream = rig.connection().await;
        read(&mut stream, "P").await;
        reset(stream);
        assert_eq!(attempt.outcome().await, Outcome::Reset);
        rig.assert_no_other_connection().await;
    });
}

#[test]
fn a_reset_or_close_before_the_answer_is_a_lost_answer() {
    on_local_set(async {
        let ends: [fn(TcpStream); 2] = [reset, drop];
        for end in ends {
            // On a reused connection as well as on a new one.
            for idle_connection in [false, true] {
                let rig = Rig::new().await;
                let standing = if idle_connection { Some(rig.idle_connection().await) } else { None };
                let attempt = rig.post_words("a");
                let mut stream = match standing {
                    Some(stream) => stream,
                    None => rig.connection().await,
                };
                read(&mut stream, "words").await;
                end(stream);
                assert_eq!(attempt.outcome().await, Outcome::Reset, "kept: {idle_connection}");
                rig.assert_no_other_connection().await;
            }
        }
    });
}

#[test]
fn a_closed_idle_connection_is_replaced_and_the_request_arrives_once() {
    on_local_set(async {
        let ends: [fn(TcpStream); 2] = [reset, drop];
        for end in ends {
            let rig = Rig::new().await;
            end(rig.idle_connection().await);
            let attempt = rig.post_words("a");
            let mut stream = rig.connection().await;
            let got = read(&mut stream, "words").await;
            assert!(got.starts_with("POST /book HTTP/1.1\r\n") && got.contains("try-id: a"), "{got}");
            write(&mut stream, &valid_answer("a")).await;
            assert_eq!(attempt.outcome().await, Outcome::Ok);
            rig.assert_no_other_connection().await;
        }
    });
}

#[test]
fn a_reset_after_an_interim_response_is_a_lost_answer() {
    on_local_set(async {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nTry-Id: other\r\n\r\n";
        for (then, outcome) in [
            (Some(valid_answer("a")), Outcome::Ok),
            (None, Outcome::Reset),
            (Some("HTTP/1.1 101 Switching Protocols\r\nTry-Id: a\r\n\r\n".into()), Outcome::Error),
        ] {
            let rig = Rig::new().await;
            let attempt = rig.post_words("a");
            let mut stream = rig.connection().await;
            read(&mut stream, "words").await;
            write(&mut stream, interim).await;
            match then {
                Some(then) => write(&mut stream, &then).await,
                None => reset(stream),
            }
            assert_eq!(attempt.outcome().await, outcome);
            rig.assert_no_other_connection().await;
        }
    });
}

/// Sends an answer to the try `a` in parts: a head without a length, then `body`.
async fn write_without_length(stream: &mut TcpStream, status_line: &str, headers: &str, body: &[u8]) {
    write(stream, &format!("{status_line}\r\nTry-Id: a\r\nServer-Seal: s\r\n{headers}\r\n")).await;
    for part in body.chunks(body.len() / 3 + 1) {
        // Lets the client read the parts one by one.
        tokio::task::yield_now().await;
        if stream.write_all(part).await.is_err() {
            // The client has closed the connection, which the caller sees by the outcome.
            return;
        }
    }
}

/// Guards against an answer without a length being broken off, and its request being failed, while its server is still at
/// work on it (LOST, review case 3). A reset shows that such an answer is truncated.
#[test]
fn an_answer_without_a_length_is_complete_when_its_connection_ends_in_order() {
    const SHORT: usize = 100;
    const STREAMED: usize = 3 << 20;
    let heads = [
        ("HTTP/1.1", "Connection: close\r\n"),
        ("HTTP/1.0", ""),
        ("HTTP/1.1", ""),
        ("HTTP/1.1", "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n"),
        ("HTTP/1.0", "Connection: keep-alive\r\n"),
    ];
    on_local_set(async move {
        for (version, headers) in heads {
            for (length, is_reset) in [0, SHORT, STREAMED].into_iter().flat_map(|n| [(n, false), (n, true)]) {
                let case = format!("{version} {headers:?}, {length} bytes, reset: {is_reset}");
                let rig = Rig::new().await;
                let attempt = rig.post_words("a");
                let mut stream = rig.connection().await;
                read(&mut stream, "words").await;
                let body = vec![b'x'; length];
                let sent = body.clone();
                let server = spawn_local(async move {
                    write_without_length(&mut stream, &format!("{version} 200 OK"), headers, &sent).await;
                    if is_reset {
                        reset(stream);
                    }
                });
                let end = attempt.end.await.expect("an end");
                let got = match end.answer {
                    Some(answer) => BodyExt::collect(answer.into_body()).await.ok().map(|b| b.to_bytes()),
                    None => None,
                };
                if is_reset {
                    assert_eq!(got, None, "{case}: a truncated answer looks complete");
                    assert!(matches!(end.outcome, Outcome::Ok | Outcome::Reset), "{case}: {:?}", end.outcome);
                } else {
                    assert_eq!(end.outcome, Outcome::Ok, "{case}");
                    assert!(got.is_some_and(|got| got == body), "{case}: the body differs");
                }
                server.await.expect("the server's end");
                // The connection is not used again, and the request was not sent again.
                rig.assert_no_other_connection().await;
                let next = rig.post_words("b");
                let mut stream = rig.connection().await;
                read(&mut stream, "words").await;
                write(&mut stream, &valid_answer("b")).await;
                assert_eq!(next.outcome().await, Outcome::Ok, "{case}");
            }
        }
    });
}

/// Guards against a server's own failure being lost for want of a length: its status and body are returned unchanged.
#[test]
fn a_failure_without_a_length_is_passed_on_whole() {
    on_local_set(async {
        let rig = Rig::new().await;
        let attempt = rig.post_words("a");
        let mut stream = rig.connection().await;
        read(&mut stream, "words").await;
        write_without_length(&mut stream, "HTTP/1.1 409 Conflict", "", b"taken").await;
        drop(stream);
        let end = attempt.end.await.expect("an end");
        let answer = end.answer.expect("an answer");
        assert_eq!((end.outcome, answer.status().as_u16()), (Outcome::Error, 409));
        assert_eq!(BodyExt::collect(answer.into_body()).await.expect("a body").to_bytes(), "taken");
        rig.assert_no_other_connection().await;
    });
}

#[test]
fn unsolicited_bytes_on_an_idle_connection_are_discarded() {
    on_local_set(async {
        for surplus in
            [valid_answer("first"), valid_answer("a"), "HTTP/1.1 100 Continue\r\n\r\n".into(), "x".into()]
        {
            let rig = Rig::new().await;
            let mut idle = rig.idle_connection().await;
            write(&mut idle, &surplus).await;
            let attempt = rig.post_words("a");
            let mut stream = rig.connection().await;
            read(&mut stream, "words").await;
            write(&mut stream, &valid_answer("a")).await;
            assert_eq!(attempt.outcome().await, Outcome::Ok);
            assert!(rest(&mut idle).await.is_empty(), "nothing was sent on the out-of-sync connection");
        }
    });
}

#[test]
fn a_surplus_answer_is_discarded_and_the_next_request_is_not_resent() {
    on_local_set(async {
        let rig = Rig::new().await;
        let mut stream = rig.idle_connection().await;
        let attempt = rig.post_words("a");
        read(&mut stream, "words").await;
        write(&mut stream, &(valid_answer("first") + &valid_answer("a"))).await;
        let end = attempt.end.await.expect("an end");
        assert!(end.outcome == Outcome::Reset && end.answer.is_none(), "{:?}", end.outcome);
        rig.assert_no_other_connection().await;
        assert!(rest(&mut stream).await.is_empty());
    });
}

#[test]
fn the_late_answer_to_a_cancelled_attempt_is_discarded() {
    on_local_set(async {
        let rig = Rig::new().await;
        let mut old = rig.idle_connection().await;
        let attempt = rig.post_words("a");
        read(&mut old, "words").await;
        attempt.end.abort();
        assert!(attempt.end.await.is_err());
        let next = rig.post_words("b");
        let mut stream = rig.connection().await;
        read(&mut stream, "words").await;
        // The previous connection is closed, so its late answer is not delivered.
        assert!(rest(&mut old).await.is_empty());
        let _ = old.write_all(valid_answer("b").as_bytes()).await;
        assert!(!next.end.is_finished());
        write(&mut stream, &valid_answer("b")).await;
        assert_eq!(next.outcome().await, Outcome::Ok);
    });
}

#[test]
fn idle_connections_are_not_reused_for_another_server_at_the_same_address() {
    on_local_set(async {
        let rig = Rig::new().await;
        let mut old = rig.idle_connection().await;
        // Another server was given the address: the idle connection of the previous server is not used for it.
        let other = rig.post(2, "a", Bytes::from_static(b"words").into());
        let mut stream = rig.connection().await;
        assert!(read(&mut stream, "words").await.contains("meant-server: s-2"));
        write(&mut stream, &valid_answer("a")).await;
        assert_eq!(other.outcome().await, Outcome::Ok);
        // A 421 answer means that the request has not run, and the connection is not used again.
        let moved = rig.post_words("b");
        assert!(read(&mut old, "words").await.contains("meant-server: s-1"));
        write(&mut old, "HTTP/1.1 421 Moved\r\nTry-Id: b\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(moved.outcome().await, Outcome::ConnectFailed);
        assert!(rest(&mut old).await.is_empty());
        rig.assert_no_other_connection().await;
        // A 421 answer to another try says nothing about this one.
        let other = rig.post_words("c");
        let mut stream = rig.connection().await;
        read(&mut stream, "words").await;
        write(&mut stream, "HTTP/1.1 421 Moved\r\nTry-Id: b\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(other.outcome().await, Outcome::Reset);
    });
}

/// Guards against the promise that a request has not run, while a server that had only a part of it is running it (REFUSED,
/// review case 1).
#[test]
fn a_request_to_a_server_that_starts_early_may_have_run_after_its_first_byte() {
    const START: usize = 200_000;
    on_local_set(async {
        for length in [Some(START as u64 + 6), None] {
            let upload = |coming| Upload::stream(vec![b'x'; START].into(), length, coming);
            for read_all in [false, true] {
                let rig = Rig::new().await;
                let (feed, coming) = body_channel();
                let attempt = rig.post_early(1, "a", upload(coming));
                let mut stream = rig.connection().await;
                read(&mut stream, "\r\n\r\n").await;
                if read_all {
                    stream.read_exact(&mut vec![0; START]).await.expect("the start");
                }
                reset(stream);
                let reported = attempt.reported.clone();
                assert_eq!(attempt.outcome().await, Outcome::Reset, "{length:?}, read all: {read_all}");
                assert!(!reported.borrow().contains(&Progress::Sent));
                rig.assert_no_other_connection().await;
                drop(feed);
            }
            // The client's body breaks off, and the server may be running what it has.
            let rig = Rig::new().await;
            let (feed, coming) = body_channel();
            let attempt = rig.post_early(1, "a", upload(coming));
            let mut stream = rig.connection().await;
            read(&mut stream, "\r\n\r\n").await;
            feed.send(Err(BodyError::Left)).await.expect("capacity");
            rest(&mut stream).await;
            assert_eq!(attempt.outcome().await, Outcome::Cancelled, "{length:?}");
            rig.assert_no_other_connection().await;
        }
        // A pooled connection that has ended took no byte of it: it is sent on a new one.
        let rig = Rig::new().await;
        reset(rig.idle_connection().await);
        let (feed, coming) = body_channel();
        let attempt = rig.post_early(1, "a", Upload::stream(vec![b'x'; 3].into(), Some(3), coming));
        feed.finish();
        let mut stream = rig.connection().await;
        read(&mut stream, "xxx").await;
        write(&mut stream, &valid_answer("a")).await;
        assert_eq!(attempt.outcome().await, Outcome::Ok);
    });
}

#[test]
fn a_request_may_have_run_only_after_its_last_body_byte() {
    on_local_set(async {
        for length in [Some(200_006), None] {
            for whole in [false, true] {
                let rig = Rig::new().await;
                let (feed, coming) = body_channel();
                let start = Bytes::from(vec![b'x'; 200_000]);
                let attempt = rig.post(1, "a", Upload::stream(start, length, coming));
                let mut stream = rig.connection().await;
                read(&mut stream, "\r\n\r\n").await;
                let mut start = vec![0; 200_000];
                stream.read_exact(&mut start).await.expect("the start");
                if whole {
                    feed.send(Ok(Bytes::from_static(b"theend"))).await.expect("capacity");
                    feed.finish();
                    read(&mut stream, if length.is_some() { "theend" } else { "0\r\n\r\n" }).await;
                    reset(stream);
                    assert_eq!(*attempt.reported.borrow(), [Progress::Spent, Progress::Sent]);
                    assert_eq!(attempt.outcome().await, Outcome::Reset, "{length:?}");
                } else {
                    reset(stream);
                    let reported = attempt.reported.clone();
                    assert_eq!(attempt.outcome().await, Outcome::ConnectFailed, "{length:?}");
                    assert!(!reported.borrow().contains(&Progress::Sent));
                    drop(feed);
                }
                rig.assert_no_other_connection().await;
            }
        }
    });
}

#[test]
fn a_client_that_aborts_its_body_leaves_no_complete_request() {
    on_local_set(async {
        for length in [Some(200_006), None] {
            let rig = Rig::new().await;
            let (feed, coming) = body_channel();
            let attempt = rig.post(1, "a", Upload::stream(vec![b'x'; 200_000].into(), length, coming));
            let mut stream = rig.connection().await;
            read(&mut stream, "\r\n\r\n").await;
            feed.send(Err(BodyError::Left)).await.expect("capacity");
            let got = rest(&mut stream).await;
            assert!(!got.ends_with(b"0\r\n\r\n") && got.len() <= 200_032, "{} bytes", got.len());
            assert_eq!(attempt.outcome().await, Outcome::NotSent);
            rig.assert_no_other_connection().await;
        }
    });
}

#[test]
fn a_stream_is_sent_completely_after_its_idle_connection_closed() {
    on_local_set(async {
        let rig = Rig::new().await;
        reset(rig.idle_connection().await);
        let (feed, coming) = body_channel();
        let attempt = rig.post(1, "a", Upload::stream(vec![b'x'; 200_000].into(), Some(200_006), coming));
        feed.send(Ok(Bytes::from_static(b"theend"))).await.expect("capacity");
        feed.finish();
        let mut stream = rig.connection().await;
        read(&mut stream, "\r\n\r\n").await;
        let mut body = vec![0; 200_006];
        stream.read_exact(&mut body).await.expect("all of it");
        assert!(body[..200_000].iter().all(|b| *b == b'x') && body.ends_with(b"theend"));
        write(&mut stream, &valid_answer("a")).await;
        assert_eq!(attempt.outcome().await, Outcome::Ok);
        rig.assert_no_other_connection().await;
    });
}

// ---- Tests through the engine ---------------------------------------------------------------

/// Action of a server once it has read a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerAction {
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    End,
    /// Answers with this status and these headers.
    Answers(&'static str, &'static str),
    /// Answers with this status and a body that is longer than the client buffers.
    AnswersAtLength(&'static str),
    /// Answers with this status and a body that ends with its connection.
    AnswersWithoutLength(&'static str),
    /// Answers with a body that is shorter than announced.
    Cut,
    Malformed,
    /// Answers with the id of another try.
    WrongTryId,
    Nothing,
}

/// Starts two servers with the same action, which count the requests received by both.
async fn servers(action: ServerAction, received: &Rc<Cell<usize>>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        addresses.push(listener.local_addr().expect("an address"));
        let received = received.clone();
        spawn_local(async move {
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                read(&mut stream, "words").await;
                received.set(received.get() + 1);
                let text = match action {
                    ServerAction::Reset => {
                        reset(stream);
                        continue;
                    }
                    ServerAction::End => continue,
                    ServerAction::Answers(status, headers) => {
                        format!("HTTP/1.1 {status}\r\nTry-Id: a\r\n{headers}Content-Length: 0\r\n\r\n")
                    }
                    ServerAction::AnswersAtLength(status) => {
                        let length = TryIdDialect::default().held + 1;
                        let head =
                            format!("HTTP/1.1 {status}\r\nTry-Id: a\r\nContent-Length: {length}\r\n\r\n");
                        head + &"x".repeat(length)
                    }
                    ServerAction::AnswersWithoutLength(status) => {
                        write(&mut stream, &format!("HTTP/1.1 {status}\r\nTry-Id: a\r\n\r\nwords")).await;
                        continue;
                    }
                    ServerAction::Cut => {
                        let text =
                            "HTTP/1.1 200 OK\r\nTry-Id: a\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nw";
                        write(&mut stream, text).await;
                        continue;
                    }
                    ServerAction::Malformed => "\u{1}garbled\r\n\r\n".into(),
                    ServerAction::WrongTryId => valid_answer("another"),
                    ServerAction::Nothing => String::new(),
                };
                // The client may close the connection before it has read a long answer.
                let _ = stream.write_all(text.as_bytes()).await;
                open.push(stream);
            }
        });
    }
    addresses
}

fn once(repeat: Repeat) -> Setup {
    let mut setup = setup(Class { repeat, ..class() }, 2);
    setup.settings.parallel_tries = true;
    setup
}

/// Submits a request whose body is still arriving when its server, which may start early, reacts to a part of it.
async fn submit_upload(repeat: Repeat, react: impl FnOnce(TcpStream) + 'static) -> Answer<Response<Body>> {
    const START: usize = 100_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let clock = Rc::new(SystemClock::new());
    let client = Http1::with_dialect(TryIdDialect::default(), clock.clone(), CONNECTIONS);
    let mut setup = once(repeat);
    setup.settings.starts_early = true;
    let engine = Engine::new(&setup, clock, client);
    engine.start();
    // As in the system's proxies.
    engine.observe_executions(1000.0, Rc::new(|_, _, _| ()));
    let member = Member::ready("s-1", listener.local_addr().expect("an address"));
    fixed::tell(&engine.membership_sink(), vec![member]);
    let (feed, coming) = body_channel();
    let upload = Upload::stream(vec![b'x'; START].into(), Some(START as u64 + 1), coming);
    let request =
        Request { units: 1.0, spread: 1.0, time_left: 600.0, uploading: true, ..Request::default() };
    let server = spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_exact(&mut vec![0; START]).await.expect("a part");
        react(stream);
    });
    let answer = engine.submit_and_wait(request, forward("a", upload)).await;
    server.await.expect("the server's end");
    assert_eq!(engine.prevented_violations(), 0, "the module decided against the guard");
    drop(feed);
    answer
}

/// Guards against a refusal of an order whose server had begun it with a part of its body (REFUSED, review case 1).
#[test]
fn an_upload_that_breaks_off_at_a_server_that_starts_early_is_not_refused() {
    on_local_set(async {
        let ends: [fn(TcpStream); 2] = [reset, drop];
        for (repeat, end) in [Repeat::Unsafe, Repeat::Safe].into_iter().flat_map(|r| ends.map(|e| (r, e))) {
            let answer = submit_upload(repeat, end).await;
            assert!(matches!(answer, Answer::Failed), "{repeat:?}: {answer:?}");
        }
    });
}

/// Submits a request and returns how often it arrived and the client's answer.
async fn submit_to(action: ServerAction, repeat: Repeat) -> (usize, Answer<Response<Body>>) {
    let received = Rc::default();
    let addresses = servers(action, &received).await;
    let clock = Rc::new(SystemClock::new());
    let client = Http1::with_dialect(TryIdDialect::default(), clock.clone(), CONNECTIONS);
    let engine = Engine::new(&once(repeat), clock, client);
    engine.start();
    let members = addresses.iter().enumerate();
    fixed::tell(
        &engine.membership_sink(),
        members.map(|(n, at)| Member::ready(format!("s-{n}"), *at)).collect(),
    );
    let request = Request { units: 1.0, spread: 1.0, time_left: 600.0, ..Request::default() };
    let answer = engine.submit_and_wait(request, forward("a", Bytes::from_static(b"words").into())).await;
    (received.get(), answer)
}

#[test]
fn at_most_once_requests_are_retried_only_if_the_first_server_did_not_run_them() {
    on_local_set(async {
        let error = ServerAction::Answers("500 No", "");
        for action in [
            ServerAction::Reset,
            ServerAction::End,
            ServerAction::Cut,
            ServerAction::Malformed,
            ServerAction::WrongTryId,
            ServerAction::Nothing,
            error,
        ] {
            let (received, answer) = submit_to(action, Repeat::Unsafe).await;
            assert_eq!(received, 1, "{action:?}");
            assert!(
                !matches!(answer, Answer::Refused(_)),
                "{action:?}: a refusal although it may have run: {answer:?}"
            );
        }
        for action in
            [ServerAction::Answers("503 Full", "Not-Run: 1\r\n"), ServerAction::Answers("421 Moved", "")]
        {
            let (received, answer) = submit_to(action, Repeat::Unsafe).await;
            assert_eq!(received, 2, "{action:?}: both servers may be tried");
            assert!(matches!(answer, Answer::Refused(_) | Answer::Failed), "{action:?}: {answer:?}");
        }
        // A repeatable request is sent again, which shows that the servers count a second delivery.
        assert_eq!(submit_to(ServerAction::Reset, Repeat::Safe).await.0, 2);
    });
}

/// Failures whose status tells clients that the request has not run and never will.
const PROMISES: [&str; 3] = ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"];
/// Failures whose status leaves open whether the request ran, or says that it did.
const OTHER_FAILURES: [&str; 4] = ["400 Bad Request", "404 Not Found", "500 Failed", "504 Late"];

/// The status of a server's answer that was passed on; `None` if the client got an answer of the engine's own.
fn served_status(answer: &Answer<Response<Body>>) -> Option<u16> {
    match answer {
        Answer::Served(response) => Some(response.status().as_u16()),
        _ => None,
    }
}

fn code(status: &str) -> Option<u16> {
    status.split(' ').next()?.parse().ok()
}

/// Guards against a server's own 408, 429 or 503 becoming a false promise to the client of a request that ran (REFUSED,
/// review case 4).
#[test]
fn a_servers_failure_is_no_promise_to_the_client_of_an_at_most_once_request() {
    on_local_set(async {
        for status in PROMISES {
            for action in [
                ServerAction::Answers(status, "Retry-After: 1\r\n"),
                ServerAction::AnswersAtLength(status),
                ServerAction::AnswersWithoutLength(status),
            ] {
                let (received, answer) = submit_to(action, Repeat::Unsafe).await;
                assert_eq!(received, 1, "{action:?}: it may have run at the first server");
                assert!(matches!(answer, Answer::Failed), "{action:?}: {answer:?}");
            }
            let (received, answer) =
                submit_to(ServerAction::Answers(status, "Not-Run: 1\r\n"), Repeat::Unsafe).await;
            assert_eq!(received, 2, "{status}: the first server says that the request has not run");
            assert!(matches!(answer, Answer::Refused(_)), "{status}: {answer:?}");
        }
    });
}

#[test]
fn a_servers_failure_is_passed_on_unchanged_if_it_promises_nothing_or_the_request_may_be_repeated() {
    on_local_set(async {
        for status in OTHER_FAILURES {
            for repeat in [Repeat::Unsafe, Repeat::Safe] {
                let (_, answer) = submit_to(ServerAction::Answers(status, ""), repeat).await;
                assert_eq!(served_status(&answer), code(status), "{repeat:?}: {answer:?}");
            }
        }
        for status in PROMISES {
            for action in [ServerAction::Answers(status, ""), ServerAction::AnswersWithoutLength(status)] {
                let (_, answer) = submit_to(action, Repeat::Safe).await;
                assert_eq!(served_status(&answer), code(status), "{action:?}: {answer:?}");
            }
        }
    });
}

/// Guards against the same false promise while the body of the request is still arriving (REFUSED, review case 4).
#[test]
fn an_early_failure_is_no_promise_to_the_client_of_an_at_most_once_upload() {
    on_local_set(async {
        for status in PROMISES.into_iter().chain(OTHER_FAILURES) {
            let answer_early = move |mut stream: TcpStream| {
                spawn_local(async move {
                    let text = format!("HTTP/1.1 {status}\r\nTry-Id: a\r\nContent-Length: 0\r\n\r\n");
                    write(&mut stream, &text).await;
                    rest(&mut stream).await;
                });
            };
            let answer = submit_upload(Repeat::Unsafe, answer_early).await;
            let passed_on = code(status).filter(|_| OTHER_FAILURES.contains(&status));
            assert_eq!(served_status(&answer), passed_on, "{status}: {answer:?}");
            assert!(passed_on.is_some() || matches!(answer, Answer::Failed), "{status}: {answer:?}");
        }
    });
}
