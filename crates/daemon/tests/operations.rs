//! Operating the daemon: the control address, suspended servers and settings changes.

use oatbank_testkit::*;
use std::io::Write;
use std::time::{Duration, Instant};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");

/// Starts a limiter with a control address in front of these servers, named s-1, s-2 and so on.
fn before(servers: &[&Server]) -> (Setup, Limiter, Discovery, Counter) {
    let known = all_ready(1, servers);
    let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
    let setup = Setup { control: true, ..Setup::new(discovery.address, counter.address, &known) };
    let limiter = setup.start(OATBANK);
    (setup, limiter, discovery, counter)
}

fn ok(body: &[u8]) -> Vec<u8> {
    answer("200 OK", "", body)
}

#[test]
fn the_control_address_answers_each_call_with_its_documented_status() {
    let server = Server::ok();
    let (_, limiter, _discovery, _counter) = before(&[&server]);
    for (method, path, status) in [
        ("GET", "/v1/readyz", 200),
        ("POST", "/v1/readyz", 405),
        ("GET", "/v1/servers/s-1/suspend", 405),
        ("POST", "/v1/servers/s-1/suspend", 200),
        ("POST", "/v1/servers/s-1/suspend", 200),
        ("POST", "/v1/servers/s%2D1/resume", 200),
        ("POST", "/v1/servers/s-1/resume", 200),
        ("POST", "/v1/servers/s-9/suspend", 404),
        ("POST", "/v1/servers/s-9/resume", 404),
        ("POST", "/v1/servers//suspend", 404),
        ("POST", "/v1/servers/s-1/%ff", 404),
        ("POST", "/v1/servers/%ff/suspend", 400),
        ("GET", "/elsewhere", 404),
    ] {
        assert_eq!(limiter.call(method, path).0, status, "{method} {path}");
    }
    // Each connection takes one call.
    let mut client = Client::connect(limiter.control.expect("a control address"));
    let twice = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2);
    assert_eq!(client.raw(twice.as_bytes()).map(|m| m.status()), Some(200));
    assert!(client.read().is_none());
}

#[test]
fn an_unusable_control_address_is_reported_with_its_key() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address").to_string();
    let setup = Setup::new(at.parse().expect("an address"), at.parse().expect("an address"), "{}");
    let config = std::env::temp_dir().join(format!("oatbank-control-{}.json", std::process::id()));
    std::fs::write(&config, setup.config().replace(r#""known":{},"#, "")).expect("a configuration");
    for (control, told) in [(at.as_str(), "control"), ("nowhere", "PROXY_CONTROL")] {
        let out = std::process::Command::new(OATBANK)
            .env("PROXY_CONFIG", &config)
            .env("PROXY_CONTROL", control)
            .output()
            .expect("the limiter");
        let log = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && log.contains(told), "{control}: {log}");
    }
    let _ = std::fs::remove_file(config);
}

#[test]
fn incomplete_or_silent_connections_do_not_block_calls() {
    let server = Server::ok();
    let (_, limiter, _discovery, _counter) = before(&[&server]);
    let address = limiter.control.expect("a control address");
    let flood: Vec<Client> = (0..200)
        .map(|i| {
            let mut client = Client::connect(address);
            let half: &[u8] = if i % 2 == 0 { b"" } else { b"POST /v1/servers/s-1/suspend HTT" };
            let _ = client.stream.write_all(half);
            client
        })
        .collect();
    let asked = Instant::now();
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/suspend").0, 200);
    assert!(asked.elapsed() < Duration::from_secs(1), "after {:?}", asked.elapsed());
    drop(flood);
}

#[test]
fn a_suspended_server_gets_no_requests_whatever_discovery_reports() {
    let (a, b, moved) = (Server::ok(), Server::ok(), Server::ok());
    let (_, limiter, discovery, _counter) = before(&[&a, &b]);
    let mut client = limiter.client();
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/suspend").0, 200);
    let seen = a.count();
    let news = [
        list(2, false, &[member("s-1", a.address, "Ready")]),
        list(3, false, &[member("s-1", a.address, "Gone")]),
        list(4, false, &[member("s-1", moved.address, "Ready")]),
        list(5, true, &[member("s-1", moved.address, "Ready"), member("s-2", b.address, "Ready")]),
    ];
    eventually("a watch", || discovery.watching() > 0);
    for line in news {
        discovery.write(&(line + "\n"));
        (0..30).for_each(|_| assert_eq!(client.look_of_one().status(), 200));
    }
    assert_eq!((a.count(), moved.count()), (seen, 0), "no new request reached the suspended server");
    // With all servers suspended, requests are rejected at once with a retry time.
    assert_eq!(limiter.call("POST", "/v1/servers/s-2/suspend").0, 200);
    let asked = Instant::now();
    let refused = client.look_of_one();
    assert_eq!(refused.status(), 429);
    assert!(refused.header("retry-after").is_some() && asked.elapsed() < Duration::from_millis(700));
    // A resumed server is used again within seconds, although it counts as cold.
    assert_eq!(limiter.call("POST", "/v1/servers/s-2/resume").0, 200);
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/resume").0, 200);
    eventually("it is used again", || {
        client.look_of_one();
        moved.count() > 0
    });
}

#[test]
fn a_reload_is_atomic_and_open_requests_keep_their_settings() {
    let (asked, go) = (std::sync::mpsc::channel(), std::sync::Arc::new(std::sync::Mutex::new(())));
    let (told, gate) = (std::sync::Mutex::new(asked.0), go.clone());
    let server = Server::start(move |m| {
        if m.start.starts_with("POST /once") {
            told.lock().expect("a lock").send(()).expect("the test");
            drop(gate.lock().expect("a lock"));
        }
        Act::Write(ok(b"done"))
    });
    let (setup, limiter, discovery, _counter) = before(&[&server]);
    let mut uploading = limiter.client();
    let held = go.lock().expect("a lock");
    uploading.send("POST", "once", "X-Time-Left: 2.0\r\n", b"{}");
    asked.1.recv_timeout(PATIENCE).expect("the server has it");
    // The reload adds a class in front, drops one, and makes another repeatable.
    let new = r#""classes":[{"name":"fresh","deadline":2000,"goal_time":1500,"importance":2,"idempotency":"free","group":"all","repeat_window":25000,"late_value":0},"#;
    let with_new =
        setup.config().replace(r#""classes":["#, new).replace(r#"{"name":"once""#, r#"{"name":"gone""#);
    limiter.reload(&with_new);
    eventually("the new class", || limiter.client().of_one("GET", "fresh").1.status() == 200);
    assert_eq!(limiter.client().of_one("POST", "once").1.status(), 404, "a class that was dropped");
    drop(held);
    assert_eq!(
        uploading.read().expect("an answer").status(),
        200,
        "an open request is answered by its old settings"
    );
    // No part of an invalid file is applied: neither its discovery address nor a class.
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let elsewhere =
        with_new.replace(&discovery.address.to_string(), &dead.to_string()).replace("fresh", "worse");
    let cut = &elsewhere[..elsewhere.len() / 2];
    for (broken, key) in [
        ("", "EOF"),
        (cut, "EOF"),
        (
            &elsewhere.replace(r#""name":"worse","deadline":2000"#, r#""name":"worse","deadline":-5"#),
            "deadline",
        ),
        (&elsewhere.replace(r#""name":"worse","deadline":2000,"#, r#""name":"worse","#), "deadline"),
        (&elsewhere.replace(r#""max_attempts":4,"#, ""), "max_attempts"),
        (&elsewhere.replace(r#""max_attempts":4,"#, r#""max_attempts":0,"#), "max_attempts"),
    ] {
        let before = limiter.said(key);
        limiter.reload(broken);
        eventually(key, || limiter.said(key) > before);
        assert_eq!(limiter.client().of_one("GET", "worse").1.status(), 404, "{key}");
        assert_eq!(limiter.client().of_one("GET", "fresh").1.status(), 200, "{key}");
    }
    assert_eq!(limiter.said(&dead.to_string()), 0, "the discovery of a broken file");
}
