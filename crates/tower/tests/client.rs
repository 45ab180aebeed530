//! Tests of the client against test servers on loopback.

use bytes::Bytes;
use http::{Method, Request};
use oatbank_testkit::{answer, eventually, Act, Server};
use oatbank_tower::{Builder, Client, Config, CounterTotals, Member, News, PlatformPath};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tower::ServiceExt;

const CONFIG: &str = r#"
    [attempts]
    hedged = false
    [[classes]]
    name = "look"
    aim_ms = 1500
    deadline_ms = 2000
    repeat = "safe"
    [[classes]]
    name = "book"
    aim_ms = 1500
    deadline_ms = 2000
    repeat = "keyed"
    key_window_ms = 25000
    [[classes]]
    name = "brief"
    aim_ms = 1500
    deadline_ms = 2000
    repeat = "keyed"
    key_window_ms = 1
    [[plans]]
    name = "team"
    rate = 100000
    burst = 100000
"#;

fn client(servers: &[&Server]) -> Client {
    let mut config = Config::parse(CONFIG).expect("a configuration");
    let ready = |(i, s): (usize, &&Server)| Member::ready(format!("s-0000000{}", i + 1), s.address);
    config.members = servers.iter().enumerate().map(ready).collect();
    Client::start(config).expect("a client")
}

fn request(class: &str) -> Request<Bytes> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    Request::builder()
        .method(if class == "look" { Method::GET } else { Method::POST })
        .uri(format!("/{class}?customer=000000000000002a"))
        .header("x-service-class", class)
        .header("x-plan", "team")
        .header("x-correlation-id", format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed)))
        .header("x-time-left", "1.9")
        .header("idempotency-key", "5c0f6e")
        .header("x-quota", "units=1,spread=1,first=0")
        .body(Bytes::new())
        .expect("a request")
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

#[test]
fn requests_from_many_threads_are_each_answered_with_their_own_answer() {
    let server = Server::start(|m| {
        let id = m.header("x-correlation-id").expect("an id").to_owned();
        Act::Write(answer("200 OK", "", id.as_bytes()))
    });
    let (client, runtime) = (client(&[&server]), runtime());
    let asked: Vec<_> = (0..8)
        .map(|_| {
            let client = client.clone();
            runtime.spawn(async move {
                for _ in 0..25 {
                    let request = request("look");
                    let id = request.headers()["x-correlation-id"].clone();
                    let got = client.clone().oneshot(request).await.expect("an answer");
                    assert_eq!(
                        (got.status().as_u16(), got.body().whole().map(|b| &b[..])),
                        (200, Some(id.as_bytes()))
                    );
                }
            })
        })
        .collect();
    asked.into_iter().for_each(|task| runtime.block_on(task).expect("a task"));
}

/// Guards against a response without a length being lost although it is whole and ends with its connection.
#[test]
fn a_response_without_a_length_is_whole_when_its_connection_ends() {
    let server = Server::start(|_| Act::Close(b"HTTP/1.1 200 OK\r\n\r\nall of it".to_vec()));
    let (client, runtime) = (client(&[&server]), runtime());
    for asked in 1..=3 {
        let got = runtime.block_on(client.clone().oneshot(request("book"))).expect("an answer");
        let status = got.status().as_u16();
        let body = runtime.block_on(got.into_body().collect(100)).expect("a whole body");
        assert_eq!((status, &body[..]), (200, &b"all of it"[..]));
        assert_eq!(server.count(), asked, "a request was sent again");
    }
}

#[test]
fn a_keyed_request_is_repeated_within_its_window_and_never_after_it() {
    let server = || Server::start(|_| Act::Late(Duration::from_millis(40), answer("500 No", "", b"")));
    let (one, two) = (server(), server());
    let (client, runtime) = (client(&[&one, &two]), runtime());
    let count = || one.count() + two.count();
    let brief = runtime.block_on(client.clone().oneshot(request("brief"))).expect("an answer");
    assert_eq!((count(), brief.status().is_success()), (1, false), "retried after its key window");
    let book = runtime.block_on(client.clone().oneshot(request("book"))).expect("an answer");
    assert!(count() >= 3, "{} attempts in all", count());
    assert!(!book.status().is_success());
}

#[test]
fn a_dropped_response_closes_the_attempt_and_is_never_sent_again() {
    let server = Server::start(|m| match m.header("x-service-class") {
        Some("book") => Act::Silence,
        _ => Act::Write(answer("200 OK", "", b"made")),
    });
    let (client, runtime) = (client(&[&server]), runtime());
    // Dropped after the attempt was sent.
    let open = runtime.spawn(client.clone().oneshot(request("book")));
    eventually("the attempt", || server.count() == 1);
    open.abort();
    server.closed.recv_timeout(Duration::from_secs(10)).expect("a closed connection");
    // Dropped before: without a server the request can only wait, and a server that joins later must not get it.
    client.tell(News::Complete(Vec::new()));
    let held = runtime.block_on(async {
        tokio::time::timeout(Duration::from_millis(1), client.clone().oneshot(request("book"))).await
    });
    assert!(held.is_err() || held.expect("in time").expect("an answer").status() == 429);
    client.tell(News::Complete(vec![Member::ready("s-00000001", server.address)]));
    let got = runtime.block_on(client.clone().oneshot(request("look"))).expect("an answer");
    assert_eq!((got.status().as_u16(), server.count()), (200, 2));
}

#[test]
fn a_server_that_drains_is_sent_nothing_new_once_that_was_told() {
    let slow = || Server::start(|_| Act::Late(Duration::from_millis(30), answer("200 OK", "", b"made")));
    let (one, two) = (slow(), slow());
    let (client, runtime) = (client(&[&one, &two]), runtime());
    // Sent concurrently, so that each server gets some.
    let asked: Vec<_> = (0..8).map(|_| runtime.spawn(client.clone().oneshot(request("look")))).collect();
    asked.into_iter().for_each(|task| _ = runtime.block_on(task).expect("a task"));
    assert!(one.count() > 0 && two.count() > 0);
    let ask = || runtime.block_on(client.clone().oneshot(request("look"))).expect("an answer").status();
    client.tell(News::Complete(vec![Member::ready("s-00000001", one.address)]));
    // An update takes effect before requests that are made after it.
    let before = two.count();
    assert!((0..20).all(|_| ask() == 200));
    assert_eq!(two.count(), before);
}

#[test]
fn the_name_of_an_open_request_is_not_taken_twice() {
    let server = Server::start(|_| Act::Late(Duration::from_millis(200), answer("200 OK", "", b"mine")));
    let (client, runtime) = (client(&[&server]), runtime());
    let first = request("look");
    let mut other = request("look");
    other.headers_mut().insert("x-correlation-id", first.headers()["x-correlation-id"].clone());
    let open = runtime.spawn(client.clone().oneshot(first));
    eventually("the attempt", || server.count() == 1);
    let twice = runtime.block_on(client.clone().oneshot(other)).expect("an answer");
    assert_eq!(twice.status(), 409);
    assert_eq!(runtime.block_on(open).expect("a task").expect("an answer").status(), 200);
}

#[test]
fn a_shutdown_answers_what_is_open() {
    let server = Server::start(|_| Act::Late(Duration::from_millis(200), answer("200 OK", "", b"made")));
    let (client, runtime) = (client(&[&server]), runtime());
    let open = runtime.spawn(client.clone().oneshot(request("look")));
    eventually("the attempt", || server.count() == 1);
    runtime.block_on(client.shutdown());
    assert_eq!(runtime.block_on(open).expect("a task").expect("an answer").status(), 200);
    let late = runtime.block_on(client.clone().oneshot(request("look"))).expect("an answer");
    assert_eq!(late.status(), 503);
}

#[test]
fn too_long_a_body_is_answered_413_and_an_unknown_path_404() {
    let server = Server::ok();
    let (client, runtime) = (client(&[&server]), runtime());
    let long = request("book").map(|_| Bytes::from(vec![b'x'; 64 * 1024 * 1024 + 1]));
    let got = runtime.block_on(client.clone().oneshot(long)).expect("an answer");
    assert_eq!(got.status(), 413);
    let mut unknown = request("look");
    *unknown.uri_mut() = "/elsewhere?customer=000000000000002a".parse().expect("a path");
    let got = runtime.block_on(client.clone().oneshot(unknown)).expect("an answer");
    assert_eq!((got.status().as_u16(), server.count()), (404, 0));
}

#[test]
fn two_limiters_of_one_process_share_its_numbers() {
    let server = Server::ok();
    let thin = CONFIG.replace("rate = 100000", "rate = 0.001").replace("burst = 100000", "burst = 40");
    let mut config = Config::parse(&thin).expect("a configuration");
    config.members = vec![Member::ready("s-00000001", server.address)];
    let numbers = CounterTotals::default();
    let builder = Builder::new(config).numbers(numbers.clone());
    let one = Client::build(builder.clone(), PlatformPath).expect("a client");
    let other = Client::build(builder, PlatformPath).expect("a client");
    let runtime = runtime();
    let ask = |client: &Client| runtime.block_on(client.clone().oneshot(request("look"))).expect("an answer");
    for _ in 0..40 {
        assert_eq!(ask(&one).status(), 200);
    }
    let told = || numbers.snapshot(0.0).iter().map(|(_, total)| total).sum::<f64>();
    eventually("the shared total reaches 40", || told() == 40.0);
    // The first request of an account uses this limiter's own count and triggers a read of the shared one.
    eventually("the other limiter refuses the account", || ask(&other).status() == 429);
    assert!(server.count() < 60, "{} requests of a quota of 40", server.count());
}

#[test]
fn dropping_the_last_clone_ends_the_engine_and_its_connections() {
    let server = Server::ok();
    let (client, runtime) = (client(&[&server]), runtime());
    let other = client.clone();
    assert_eq!(runtime.block_on(client.oneshot(request("look"))).expect("an answer").status(), 200);
    // The clone that sent the request is dropped; the other one still works.
    assert_eq!(runtime.block_on(other.clone().oneshot(request("look"))).expect("an answer").status(), 200);
    drop(other);
    let quiet = server.closed.recv_timeout(Duration::from_secs(10)).expect("a closed connection");
    assert!(quiet < Duration::from_secs(6), "an idle connection is retired after 9 s: {quiet:?}");
}
