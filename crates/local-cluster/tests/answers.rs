//! Answers of faulty servers: nothing runs twice, promises not to run hold, and no 2xx answer is truncated or belongs to
//! another request.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::client::{try_at, try_id, Client, ClientRequest, Try};
use oatbank_local_cluster::cluster::{Plan, Role, ZONES};
use oatbank_local_cluster::http::HttpConnection;
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::server::Behaviour;
use oatbank_local_cluster::wait::{holds, LONG};
use std::time::{Duration, Instant};

fn plan() -> Plan {
    // The retry budget is not under test here, so it is large.
    Plan::default().bound("extraTries", 2000)
}

#[test]
fn only_requests_that_have_not_run_are_retried_at_another_server() {
    let services = ["reset", "close", "cut", "part", "garbled", "full", "moved", "gone", "shut"];
    let configuration = services.iter().fold(TestConfiguration::new(HOST), |configuration, s| {
        configuration.route(&format!("/{s}/"), "unsafe", s)
    });
    let twice: Vec<&str> = services.iter().flat_map(|s| [*s, *s]).collect();
    let system = System::serving(plan(), configuration, &twice);
    let set_behaviour = |service: &str, behaviours: [Behaviour; 2]| {
        system.of(service).iter().zip(behaviours).for_each(|(s, m)| s.set_behaviour(m));
    };
    set_behaviour("reset", [Behaviour::RunThenReset; 2]);
    set_behaviour("close", [Behaviour::RunThenClose; 2]);
    set_behaviour("cut", [Behaviour::Cut; 2]);
    set_behaviour("part", [Behaviour::WithoutLengthReset; 2]);
    set_behaviour("garbled", [Behaviour::Garbled; 2]);
    set_behaviour("full", [Behaviour::Full, Behaviour::Serve]);
    set_behaviour("moved", [Behaviour::Misdirected, Behaviour::Serve]);
    set_behaviour("shut", [Behaviour::Full; 2]);
    let gone = system.of("gone")[0];
    gone.stop_heartbeats();
    gone.crash();

    // Each service has two servers, so a retry at another one is possible.
    let fronts = system.cluster.fronts();
    let attempts = |service: &str| -> Vec<Try> {
        let ask = ClientRequest::post(HOST, &format!("/{service}/1"), "words");
        (0..24).map(|nth| try_at(fronts[nth % fronts.len()], &ask)).collect()
    };
    for service in ["reset", "close", "cut", "part", "garbled"] {
        let attempts = attempts(service);
        let ran = attempts.iter().filter(|t| system.runs(t) == 1).count();
        assert!(ran > 2, "{service}: only {ran} tries ran");
        for one in &attempts {
            match system.runs(one) {
                // The proxy refused it without sending it, as the servers had failed too often.
                0 => assert!(one.is_promise(), "{service}: {one:?}"),
                1 => assert_eq!(one.status(), 502, "{service}: {one:?}"),
                more => panic!("{service}: ran {more} times: {one:?}"),
            }
        }
    }
    for service in ["full", "moved", "gone"] {
        for one in attempts(service) {
            assert!(one.served_by().is_some() && system.runs(&one) == 1, "{service}: {one:?}");
        }
        let bad = system.of(service)[0];
        let turned_away = bad.seen().iter().filter(|s| !s.ran).count();
        assert!(service == "gone" || turned_away > 0, "{service}: the faulty server was never tried");
    }
    for one in attempts("shut") {
        assert!(one.is_promise() && system.runs(&one) == 0, "{one:?}");
    }
    let seen = system.seen();
    assert!(seen.iter().all(|s| s.what.0 == "POST" && s.what.2 == b"words"), "a request arrived altered");
}

/// Guards against bookings that are made twice, because a server's own 408, 429 or 503 reached the client as a promise that
/// the booking had not run (REFUSED, review case 4).
#[test]
fn a_failure_after_the_run_reaches_the_client_as_no_promise() {
    const PROMISES: [u16; 3] = [408, 429, 503];
    const OTHERS: [u16; 3] = [404, 500, 504];
    let service = |status: u16| format!("fails-{status}");
    let (mut configuration, mut services) = (TestConfiguration::new(HOST), Vec::new());
    for status in PROMISES.into_iter().chain(OTHERS) {
        let service = service(status);
        configuration = configuration.route(&format!("/unsafe/{status}/"), "unsafe", &service);
        configuration = configuration.route(&format!("/safe/{status}/"), "safe", &service);
        services.extend([service.clone(), service]);
    }
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let system = System::serving(plan(), configuration, &services);
    for status in PROMISES.into_iter().chain(OTHERS) {
        system.of(&service(status)).iter().for_each(|s| s.set_behaviour(Behaviour::FailsWith(status)));
    }
    for (nth, front) in system.cluster.fronts().into_iter().cycle().take(6).enumerate() {
        for status in PROMISES.into_iter().chain(OTHERS) {
            let booking =
                try_at(front, &ClientRequest::post(HOST, &format!("/unsafe/{status}/{nth}"), "words"));
            let text = String::from_utf8_lossy(&booking.got.as_ref().unwrap().body).into_owned();
            match system.runs(&booking) {
                // The proxy refused it without sending it, as the servers had failed too often.
                0 => assert!(booking.is_promise(), "{status}: {booking:?}"),
                1 if PROMISES.contains(&status) => {
                    assert!(
                        booking.status() == 502 && text.contains("may have run"),
                        "{status}: {booking:?}"
                    );
                }
                1 => assert_eq!((booking.status(), &*text), (status, "failed"), "{booking:?}"),
                more => panic!("{status}: ran {more} times: {booking:?}"),
            }
            let query = try_at(front, &ClientRequest::get(HOST, &format!("/safe/{status}/{nth}")));
            assert!(system.runs(&query) == 0 || query.status() == status, "{status}: {query:?}");
        }
    }
    for status in PROMISES.into_iter().chain(OTHERS) {
        let ran = |method: &str| {
            let servers = system.of(&service(status));
            servers.iter().any(|server| server.seen().iter().any(|seen| seen.ran && seen.what.0 == method))
        };
        assert!(ran("POST") && ran("GET"), "{status}: no request of each kind has run");
    }
}

#[test]
fn no_success_is_corrupt_or_belongs_to_another_request() {
    let behaviours = [
        ("surplus", Behaviour::Surplus),
        ("late", Behaviour::Late),
        ("other", Behaviour::WrongTry),
        ("unsealed", Behaviour::Unsealed),
        ("coded", Behaviour::Coded),
        ("whole", Behaviour::WithoutLength),
        ("part", Behaviour::WithoutLengthReset),
        ("cut", Behaviour::Cut),
        ("garbled", Behaviour::Garbled),
    ];
    let mut configuration = TestConfiguration::new(HOST);
    for (service, _) in behaviours {
        configuration = configuration.route(&format!("/{service}/"), "safe", service);
        configuration = configuration.route(&format!("/post/{service}/"), "unsafe", service);
        configuration = configuration.route(&format!("/down/{service}/"), "download", service);
    }
    let twice: Vec<&str> = behaviours.iter().flat_map(|(s, _)| [*s, *s]).collect();
    let system = System::serving(plan(), configuration, &twice);
    let directories = system.cluster.directories();
    for all_bad in [false, true] {
        for (service, behaviour) in behaviours {
            let servers = system.of(service);
            servers[0].set_behaviour(behaviour);
            servers[1].set_behaviour(if all_bad { behaviour } else { Behaviour::Serve });
        }
        let clients: Vec<_> = behaviours
            .iter()
            .flat_map(|(service, _)| [0, 1].map(|nth| (*service, nth)))
            .map(|(service, nth)| {
                let directories = directories.clone();
                std::thread::spawn(move || {
                    let mut client = Client::new(directories, ZONES[nth]);
                    let mut attempts = Vec::new();
                    for turn in 0..if all_bad { 8 } else { 24 } {
                        let ask = match turn % 4 {
                            0 | 1 => ClientRequest::get(HOST, &format!("/{service}/{turn}")),
                            2 => ClientRequest::post(HOST, &format!("/post/{service}/{turn}"), "words"),
                            _ => ClientRequest::get(HOST, &format!("/down/{service}/large")),
                        };
                        let within = if all_bad { 300 * MS } else { Duration::from_secs(3) };
                        attempts.extend(client.ask(&ClientRequest { within, ..ask }).1);
                    }
                    (service, attempts)
                })
            })
            .collect();
        for client in clients {
            let (service, attempts) = client.join().unwrap();
            let mixed: Vec<_> =
                attempts.iter().filter(|t| t.is_mixed()).map(|t| (&t.id, t.status())).collect();
            assert!(mixed.is_empty(), "{service}: {mixed:?}");
            let served = attempts.iter().filter(|t| t.served_by().is_some()).count();
            let sound = matches!(service, "surplus" | "late" | "whole");
            assert!(served > 0 || all_bad, "{service}: none of {} tries was served", attempts.len());
            assert!(served == 0 || !all_bad || sound, "{service}: served although all servers are faulty");
            let seen = system.seen();
            let ran = |t: &&Try| seen.iter().any(|s| s.ran && s.try_id == t.id && s.what.0 == "POST");
            let refused = attempts.iter().filter(|t| t.is_promise()).find(ran);
            assert!(refused.is_none(), "{service}: refused although it ran: {refused:?}");
            let twice = |t: &&Try| {
                seen.iter().filter(|s| s.ran && s.try_id == t.id && s.what.0 == "POST").count() > 1
            };
            assert!(!attempts.iter().any(|t| twice(&t)), "{service}: a try ran twice");
        }
        let bad = |s: &str| system.of(s)[0].seen().iter().filter(|s| s.ran).count();
        assert!(behaviours.iter().all(|(s, _)| bad(s) > 0), "a faulty server was never used");
    }
}

/// Guards against requests answered 502 because their server's answer has no length, although it was whole and on its way
/// (LOST, review case 3).
#[test]
fn answers_without_a_length_arrive_whole() {
    const KINDS: [&str; 3] = ["unsafe", "safe", "download"];
    let configuration = KINDS.iter().fold(TestConfiguration::new(HOST), |configuration, kind| {
        configuration.route(&format!("/{kind}/"), kind, "service")
    });
    let system = System::serving(plan(), configuration, &["service", "service"]);
    system.of("service").iter().for_each(|server| server.set_behaviour(Behaviour::WithoutLength));
    for (nth, front) in system.cluster.fronts().into_iter().cycle().take(24).enumerate() {
        let kind = KINDS[nth % KINDS.len()];
        // Every fourth answer is longer than a proxy buffers.
        let path = if nth % 4 == 3 { format!("/{kind}/large") } else { format!("/{kind}/{nth}") };
        let ask = match kind {
            "unsafe" => ClientRequest::post(HOST, &path, "words"),
            _ => ClientRequest::get(HOST, &path),
        };
        let one = try_at(front, &ask);
        assert!(one.served_by().is_some() && system.runs(&one) == 1, "{path}: {}", one.status());
    }
}

/// Guards against requests that are served after their time, as it began only when their body had arrived (review case 8).
#[test]
fn the_time_in_which_a_body_arrives_counts() {
    const WORK: Duration = Duration::from_millis(500);
    const TIME_LEFT: Duration = Duration::from_millis(900);
    let configuration = TestConfiguration::new(HOST)
        .route("/unsafe/", "unsafe", "service")
        .route("/safe/", "safe", "service");
    let system = System::with(plan(), configuration, &["service"], WORK);
    let ask = |path: &str, pause: Duration| {
        let mut connection = HttpConnection::connect(system.cluster.fronts()[0], LONG).unwrap();
        let (id, time_left) = (try_id(), TIME_LEFT.as_millis());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: {time_left}\r\nContent-Length: 5\r\n\r\n"
        );
        connection.send(head.as_bytes()).unwrap();
        std::thread::sleep(pause);
        connection.send(b"words").unwrap();
        connection.answer(Instant::now() + LONG).unwrap().status
    };
    for path in ["/unsafe/1", "/safe/1"] {
        assert_eq!(ask(path, Duration::ZERO), 200, "{path}");
        // The server would end its work after the request's time, but within as much from the end of the body.
        let status = ask(path, WORK);
        assert!(matches!(status, 502..=504), "{path}: {status}");
    }
}

#[test]
fn at_most_once_request_pipelined_after_a_truncated_answer_does_not_run() {
    let configuration =
        TestConfiguration::new(HOST).route("/cut/", "download", "cut").route("/once/", "unsafe", "once");
    let system = System::serving(plan(), configuration, &["cut", "once"]);
    system.of("cut")[0].set_behaviour(Behaviour::Cut);
    let front = system.cluster.fronts()[0];
    let (first, behind, alone) = (try_id(), try_id(), try_id());
    let get = |path: &str, id: &str| {
        format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 2000\r\n\r\n")
    };
    let came = |id: &str| system.seen().iter().filter(|s| s.try_id == id).count();

    let mut connection = HttpConnection::connect(front, LONG).unwrap();
    connection.send((get("/cut/large", &first) + &get("/once/1", &behind)).as_bytes()).unwrap();
    let until = Instant::now() + LONG;
    assert!(connection.answer(until).is_err(), "the answer must be truncated");
    assert!(connection.answer(until).is_err(), "no answer may follow the truncated one");
    assert_eq!((came(&first), came(&behind)), (1, 0));

    // Without a fault, the second request is forwarded once the first is answered.
    system.of("cut")[0].set_behaviour(Behaviour::Serve);
    let mut connection = HttpConnection::connect(front, LONG).unwrap();
    connection.send((get("/cut/1", &first) + &get("/once/2", &alone)).as_bytes()).unwrap();
    for id in [&first, &alone] {
        let answer = connection.answer(until).unwrap();
        assert_eq!((answer.status, answer.field("try-id")), (200, Some(&**id)));
    }
    holds(LONG, "the second request ran", || came(&alone) == 1).unwrap();
}

#[test]
fn core_answers_pipelined_requests_in_order_and_a_lost_answer_can_be_requested_again() {
    let system = System::serving(plan(), TestConfiguration::new(HOST).route("/x/", "safe", "one"), &["one"]);
    let (cluster, next) = (&system.cluster, system.configuration.next());
    let call = |method: &str, path: &str, body: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: core\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let put = |configuration: &TestConfiguration| call("POST", "/settings/replace", &configuration.text());
    let read = call("GET", "/settings/read", "");
    let all =
        call("POST", "/empty/nowhere/begin", "") + &read + &put(&next) + &read + &call("GET", "/ready", "");
    let mut connection = HttpConnection::connect(cluster.control(0), LONG).unwrap();
    connection.send(all.as_bytes()).unwrap();
    let until = Instant::now() + LONG;
    let (old, new) =
        (format!("\"r{}\"", system.configuration.version), format!("\"version\":\"r{}\"", next.version));
    for (status, holds) in [(404, "no such zone"), (200, &*old), (200, "{}"), (200, &*new), (200, "{}")] {
        let answer = connection.answer(until).unwrap();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.status == status && text.contains(holds), "{holds}: {} {text}", answer.status);
    }

    // The caller disconnects before its answer. The change may or may not be in force, and may be resent to any machine.
    let after = next.next().route("/y/", "safe", "one");
    let mut connection = HttpConnection::connect(cluster.control(1), LONG).unwrap();
    connection.send(put(&after).as_bytes()).unwrap();
    connection.linger_none();
    drop(connection);
    assert_eq!(system.operator.put(&after).unwrap().status, 200);
    assert_eq!(system.operator.read().unwrap().0, after.version);
}

#[test]
fn bookings_run_at_most_once_under_frozen_and_killed_processes_and_lost_answers() {
    let configuration = TestConfiguration::new(HOST).route("/book/", "unsafe", "book");
    let system = System::with(plan(), configuration, &["book"; 4], 20 * MS);
    let (cluster, servers) = (&system.cluster, system.of("book"));
    let ask = ClientRequest { within: 400 * MS, ..ClientRequest::post(HOST, "/book/1", "words") };
    let (fronts, proxies) = (cluster.fronts(), cluster.proxies());
    // The third proxy serves throughout; the first is frozen and the second is killed.
    let (steady, shaken) = (
        ContinuousTries::start(&fronts[2..], std::slice::from_ref(&ask)),
        ContinuousTries::start(&fronts[..2], std::slice::from_ref(&ask)),
    );
    let goes_on = || steady.until_after(Instant::now());
    let (first, second) = (proxies.start, proxies.start + 1);
    let behaviours = [
        Behaviour::RunThenReset,
        Behaviour::Late,
        Behaviour::WrongTry,
        Behaviour::RunThenClose,
        Behaviour::Surplus,
    ];
    for (round, behaviour) in behaviours.into_iter().enumerate() {
        servers[round % 4].set_behaviour(behaviour);
        cluster.signal("STOP", &[(first, Role::Proxy)]).unwrap();
        goes_on();
        cluster.signal("STOP", &cluster.core()).unwrap();
        goes_on();
        cluster.signal("CONT", &[(first, Role::Proxy)]).unwrap();
        cluster.kill(second, Role::Proxy);
        goes_on();
        cluster.signal("CONT", &cluster.core()).unwrap();
        cluster.run(second, Role::Proxy).unwrap();
        holds(LONG, "the restarted proxy is ready", || cluster.ready(second) == Some(200)).unwrap();
        goes_on();
        servers[round % 4].set_behaviour(Behaviour::Serve);
    }
    shaken.until_after(Instant::now());
    let attempts: Vec<Try> = [steady.stop(), shaken.stop()].concat().into_iter().flatten().collect();
    let seen = system.seen();
    let runs = |t: &Try| seen.iter().filter(|s| s.ran && s.try_id == t.id).count();
    assert!(attempts.iter().filter(|t| t.served_by().is_some()).count() > 50, "{} tries", attempts.len());
    for one in &attempts {
        assert!(runs(one) <= 1, "ran {} times: {one:?}", runs(one));
        assert!(runs(one) == 0 || !one.is_promise(), "promised not to run, but ran: {one:?}");
        assert!(runs(one) == 1 || one.served_by().is_none(), "served, but did not run: {one:?}");
        assert!(!one.is_mixed(), "answer of another try: {one:?}");
    }
    let known = |id: &String| attempts.iter().any(|t| t.id == *id);
    assert!(seen.iter().all(|s| known(&s.try_id)), "a server received a try that no client sent");
}
