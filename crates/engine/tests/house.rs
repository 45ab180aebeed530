//! Tests of the try-id dialect against a server with scripted responses.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response};
use http_body_util::BodyExt;
use oatbank_engine::body::Body;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::upstream::{AttemptJob, End, Upstream};
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_engine::upstreams::try_id::TryIdDialect;
use oatbank_limiter_core::interface::{Millis, Outcome, ServerId};
use oatbank_testkit::conformance::on_local_set;
use oatbank_testkit::{Act, Message, Server};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Clock that the test sets.
struct ManualClock(Cell<Millis>);

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        self.0.get()
    }

    fn until(&self, at: Millis) -> oatbank_engine::ports::LocalFuture<()> {
        SystemClock::starting_at(self.now()).until(at)
    }
}

struct Harness {
    upstream: Http1<TryIdDialect>,
    clock: Rc<ManualClock>,
    server: Server,
}

impl Harness {
    fn new(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Harness {
        let connections = Connections { idle: 10_000.0, connect_timeout: 1000.0, most: 16, bodies_kib: 4096 };
        let clock = Rc::new(ManualClock(Cell::new(1e12)));
        let dialect = TryIdDialect { held: 64, ..TryIdDialect::default() };
        Harness {
            upstream: Http1::with_dialect(dialect, clock.clone(), connections),
            clock,
            server: Server::start(act),
        }
    }

    async fn send(&self, method: Method, id: &'static str) -> End<Response<Body>> {
        let mut headers = HeaderMap::new();
        headers.insert("host", HeaderValue::from_static("shop.example"));
        headers.insert("try-id", HeaderValue::from_static(id));
        headers.insert("meant-server", HeaderValue::from_static("forged"));
        let (uri, body) = ("/x?y=1".parse().expect("a path"), Bytes::new().into());
        let request = Arc::new(Forward { method, uri, headers, body, permit: None });
        let job = AttemptJob {
            server: ServerId(1),
            name: "s-1".into(),
            address: self.server.address,
            request,
            span: 750.9,
            starts_early: false,
            may_send: Rc::new(|| true),
            progress: Rc::new(|_| ()),
        };
        self.upstream.attempt(job).await
    }

    async fn get(&self, id: &'static str) -> End<Response<Body>> {
        self.send(Method::GET, id).await
    }

    fn connections(&self) -> usize {
        self.server.connections.load(Ordering::SeqCst)
    }
}

/// Returns a response with the try id of the request.
fn response_to(m: &Message, status: &str, headers: &str, body: &str) -> Vec<u8> {
    let (id, length) = (m.header("Try-Id").expect("a name"), body.len());
    format!("HTTP/1.1 {status}\r\nTry-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn sealed_success(m: &Message) -> Vec<u8> {
    response_to(m, "200 OK", "Server-Seal: s\r\n", "well")
}

fn respond_with(status: &'static str, headers: &'static str) -> impl Fn(&Message) -> Act + Send + Sync {
    move |m| Act::Write(response_to(m, status, headers, "said"))
}

/// Sends two requests; returns the first result, and whether the second request reused its connection.
async fn send_two(harness: &Harness) -> (End<Response<Body>>, bool) {
    let first = harness.get("a").await;
    harness.get("b").await;
    (first, harness.connections() == 1)
}

#[test]
fn requests_carry_host_server_id_and_time_left() {
    on_local_set(async {
        let harness = Harness::new(|m| Act::Write(sealed_success(m)));
        assert_eq!(harness.get("a").await.outcome, Outcome::Ok);
        let seen = harness.server.seen.lock().expect("a lock").remove(0);
        for (name, value) in [("Host", "shop.example"), ("Time-Left-Ms", "750"), ("Meant-Server", "s-1")] {
            let values: Vec<_> = seen.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).collect();
            assert_eq!(values.len(), 1, "{name}");
            assert_eq!(values[0].1, value);
        }
    });
}

#[test]
fn a_sealed_success_is_forwarded_without_hop_by_hop_headers() {
    on_local_set(async {
        let headers = "Server-Seal: s\r\nX-A: 1\r\nX-A: 2\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\
             Keep-Alive: timeout=5\r\nProxy-Status: x\r\n";
        let harness = Harness::new(respond_with("206 Some of it", headers));
        let (end, kept) = send_two(&harness).await;
        assert!(end.outcome == Outcome::Ok && kept);
        let (head, body) = end.answer.expect("an answer").into_parts();
        assert_eq!(head.status, 206);
        let named: Vec<_> =
            head.headers.iter().map(|(n, v)| (n.as_str(), v.to_str().expect("text"))).collect();
        let want =
            [("try-id", "a"), ("server-seal", "s"), ("x-a", "1"), ("x-a", "2"), ("content-length", "4")];
        assert_eq!(named, want);
        assert_eq!(body.whole().expect("a whole body"), "said");
    });
}

#[test]
fn response_head_decides_outcome_and_connection_reuse() {
    use Outcome::*;
    let cases = [
        ("200 OK", "Server-Seal: s\r\n", Ok, true, true),
        ("200 OK", "", Error, false, false),
        ("200 OK", "Server-Seal: s\r\nContent-Encoding: gzip\r\n", Error, false, false),
        ("404 No", "Content-Encoding: identity\r\n", Error, false, false),
        ("200 OK", "Server-Seal: s\r\nTry-Id: z\r\n", Reset, false, false),
        ("503 Full", "Not-Run: 1\r\n", Full, false, true),
        ("429 Full", "Not-Run: 1\r\n", Full, false, true),
        ("400 Bad", "Not-Run: 1\r\n", Full, false, true),
        ("500 No", "Not-Run: 1\r\n", Error, true, true),
        ("503 Full", "", Error, true, true),
        ("421 Moved", "", ConnectFailed, false, false),
        ("302 Found", "Location: /y\r\n", Error, true, true),
        ("404 No", "", Error, true, true),
        ("500 No", "", Error, true, true),
        ("500 No", "Connection: close\r\n", Error, true, false),
    ];
    on_local_set(async move {
        for (status, headers, outcome, given, expect_reuse) in cases {
            let harness = Harness::new(respond_with(status, headers));
            let (end, reused) = send_two(&harness).await;
            assert_eq!(
                (end.outcome, end.answer.is_some(), reused),
                (outcome, given, expect_reuse),
                "{status} {headers}"
            );
            if let Some(answer) = end.answer {
                assert_eq!(answer.into_body().whole().expect("a whole body"), "said");
            }
        }
    });
}

#[test]
fn a_response_without_the_matching_try_id_is_discarded() {
    on_local_set(async {
        for name in ["", "Try-Id: other\r\n"] {
            let answer = format!("HTTP/1.1 200 OK\r\n{name}Server-Seal: s\r\nContent-Length: 2\r\n\r\nno");
            let harness = Harness::new(move |_| Act::Write(answer.clone().into_bytes()));
            let (end, reused) = send_two(&harness).await;
            assert!(end.outcome == Outcome::Reset && end.answer.is_none() && !reused, "{name}");
        }
    });
}

#[test]
fn a_duplicate_response_closes_its_connection_unused() {
    on_local_set(async {
        let harness =
            Harness::new(|m| Act::Twice(sealed_success(m), std::time::Duration::ZERO, sealed_success(m)));
        for (asked, id) in ["a", "b", "c"].into_iter().enumerate() {
            let end = harness.get(id).await;
            let answer = end.answer.expect("an answer");
            assert_eq!(answer.headers()["try-id"], id);
            assert_eq!((end.outcome, harness.connections()), (Outcome::Ok, asked + 1));
        }
    });
}

#[test]
fn a_truncated_short_body_is_a_reset() {
    on_local_set(async {
        for coded in [false, true] {
            let harness = Harness::new(move |m| {
                let id = m.header("Try-Id").expect("a name");
                let (length, body) = if coded {
                    ("Transfer-Encoding: chunked", "9\r\nsai")
                } else {
                    ("Content-Length: 9", "sai")
                };
                let text =
                    format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\n{length}\r\n\r\n{body}");
                Act::Close(text.into_bytes())
            });
            let end = harness.get("a").await;
            assert!(end.outcome == Outcome::Reset && end.answer.is_none(), "{:?}", end.outcome);
        }
    });
}

#[test]
fn a_long_body_is_streamed_and_a_truncated_one_ends_with_an_error() {
    on_local_set(async {
        for (cut, length) in [(false, true), (true, true), (false, false), (true, false)] {
            let harness = Harness::new(move |m| {
                let (id, body) = (m.header("Try-Id").expect("a name"), "x".repeat(200));
                let framing = if length { "Content-Length: 200" } else { "Transfer-Encoding: chunked" };
                let coded = if length { body } else { format!("c8\r\n{body}\r\n0\r\n\r\n") };
                let head = format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\n{framing}\r\n\r\n");
                match cut {
                    true => Act::Close(format!("{head}{}", &coded[..150]).into_bytes()),
                    false => Act::Write(format!("{head}{coded}").into_bytes()),
                }
            });
            let end = harness.get("a").await;
            if cut && !length {
                // The data arrived together with the head, so the truncation may be detected before the body counts as
                // long.
                if end.outcome == Outcome::Reset {
                    continue;
                }
            }
            assert_eq!(end.outcome, Outcome::Ok);
            let answer = end.answer.expect("an answer");
            let has_length = answer.headers().get("content-length").is_some();
            assert_eq!(has_length, length);
            let body = BodyExt::collect(answer.into_body()).await;
            assert_eq!(body.map(|b| b.to_bytes().len()).ok(), (!cut).then_some(200));
        }
    });
}

#[test]
fn responses_without_a_body_need_no_length() {
    on_local_set(async {
        let harness = Harness::new(|m| {
            let id = m.header("Try-Id").expect("a name");
            let status = if m.start.starts_with("HEAD") { "200 OK" } else { "204 No Content" };
            Act::Write(format!("HTTP/1.1 {status}\r\nTry-Id: {id}\r\nServer-Seal: s\r\n\r\n").into_bytes())
        });
        for method in [Method::HEAD, Method::GET, Method::DELETE] {
            let end = harness.send(method, "a").await;
            let answer = end.answer.expect("an answer");
            assert!(answer.body().whole().expect("a whole body").is_empty());
        }
        assert_eq!(harness.connections(), 1);
    });
}

#[test]
fn an_idle_connection_is_dropped_before_the_servers_timeout() {
    on_local_set(async {
        let harness = Harness::new(respond_with("200 OK", "Server-Seal: s\r\nKeep-Alive: timeout=2\r\n"));
        for (passed, connections) in [(0.0, 1), (1100.0, 1), (1250.0, 2), (1100.0, 2)] {
            harness.clock.0.set(harness.clock.now() + passed);
            assert_eq!(harness.get("a").await.outcome, Outcome::Ok);
            assert_eq!(harness.connections(), connections, "after {passed} ms");
        }
    });
}
