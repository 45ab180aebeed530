//! Configuration changes: time until they apply, no return to older versions, conflicts, repeats and validation.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::changes;
use oatbank_local_cluster::client::{try_at, ClientRequest};
use oatbank_local_cluster::cluster::{call, Plan, Role};
use oatbank_local_cluster::operator::{Operator, TestConfiguration};
use oatbank_local_cluster::wait;
use std::time::{Duration, Instant};

const APPLY: Duration = Duration::from_millis(3000);
const GO_BACK: Duration = Duration::from_millis(250);

/// Returns the next version of a configuration, with its first route leading to another service.
fn moved(configuration: &TestConfiguration, service: &str) -> TestConfiguration {
    let mut next = configuration.next();
    next.routes[0].service = service.into();
    next
}

#[test]
fn change_applies_in_time_and_no_proxy_reverts_even_after_a_restart() {
    let mut configuration = TestConfiguration::new(HOST).route("/x/", "safe", "one");
    configuration.services.extend(["two".into(), "three".into()]);
    let system =
        System::serving(Plan::default(), configuration, &["one", "two", "three", "one", "two", "three"]);
    let (cluster, ask) = (&system.cluster, ClientRequest::get(HOST, "/x/1"));

    let running_tries = ContinuousTries::start(&cluster.fronts(), std::slice::from_ref(&ask));
    let reached = || system.of("one").iter().all(|s| !s.seen().is_empty());
    wait::holds(wait::LONG, "the first service receives requests", reached).unwrap();
    let second = moved(&system.configuration, "two");
    let acked = system.operator.must_put(&second).unwrap().at;
    running_tries.until_after(acked + APPLY);
    for (proxy, attempts) in running_tries.stop().iter().enumerate() {
        let late: Vec<_> =
            attempts.iter().filter(|t| t.sent > acked + APPLY).map(|t| system.served(t)).collect();
        assert!(late.iter().all(|s| *s == Some("two")), "proxy {proxy}: {late:?}");
        let new = attempts
            .iter()
            .find(|t| system.served(t) == Some("two"))
            .expect("a try served by the new service")
            .ended;
        let back = attempts.iter().find(|t| t.sent > new + GO_BACK && system.served(t) == Some("one"));
        assert!(back.is_none(), "proxy {proxy} reverted: {back:?}");
    }

    // One proxy is killed, misses a change, and finds no core that answers when it restarts.
    let proxy = cluster.proxies().start;
    let front = cluster.front(proxy);
    cluster.kill(proxy, Role::Proxy);
    system.operator.must_put(&moved(&second, "three")).unwrap();
    cluster.signal("STOP", &cluster.core()).unwrap();
    cluster.run(proxy, Role::Proxy).unwrap();
    let running_tries = ContinuousTries::start(&[front], std::slice::from_ref(&ask));
    wait::holds(wait::LONG, "the proxy reports that it is not ready", || cluster.ready(proxy) == Some(503))
        .unwrap();
    let until = Instant::now() + 800 * MS;
    while Instant::now() < until {
        assert_eq!(cluster.ready(proxy), Some(503), "ready without the newest configuration");
    }
    let without = running_tries.stop();
    assert!(without[0].iter().any(|t| t.status() == 503), "no request was refused: {without:?}");
    assert!(without[0].iter().all(|t| matches!(t.status(), 0 | 503)), "a request was served: {without:?}");

    let running_tries = ContinuousTries::start(&[front], std::slice::from_ref(&ask));
    cluster.signal("CONT", &cluster.core()).unwrap();
    wait::holds(wait::LONG, "the proxy is ready", || cluster.ready(proxy) == Some(200)).unwrap();
    system.until_served(front, &ask);
    running_tries.until_after(Instant::now());
    let services: Vec<_> =
        running_tries.stop()[0].iter().filter_map(|t| system.served(t).map(str::to_owned)).collect();
    assert!(!services.is_empty() && services.iter().all(|s| s == "three"), "{services:?}");
}

/// Guards against requests running at servers of a service that the configuration no longer has, and whose name the new
/// service's name ends in after a slash (CONFIG, review case 2).
#[test]
fn moved_route_runs_only_at_servers_of_the_service_it_names() {
    const NAMES: [&str; 4] = ["jobs", "north/jobs", "a/north/jobs", "all-jobs"];
    let configuration = TestConfiguration::new(HOST).route("/x/", "unsafe", NAMES[0]);
    let system = System::serving(Plan::default(), configuration, &[NAMES, NAMES].concat());
    let ask = ClientRequest::post(HOST, "/x/1", "order");
    let mut current = system.configuration.clone();
    for (step, at) in [1, 2, 0, 3, 1, 0].into_iter().enumerate() {
        let service = NAMES[at];
        current = moved(&current, service);
        // Every second version has all services, the others only that of the route.
        current.services =
            if step % 2 == 1 { NAMES.map(str::to_owned).to_vec() } else { vec![service.to_owned()] };
        let running_tries = ContinuousTries::start(&system.cluster.fronts(), std::slice::from_ref(&ask));
        let acked = system.operator.must_put(&current).unwrap().at;
        running_tries.until_after(acked + APPLY);
        for (proxy, attempts) in running_tries.stop().iter().enumerate() {
            let settled = attempts.iter().filter(|t| t.sent > acked + APPLY);
            let served: Vec<_> = settled.map(|t| system.served(t)).collect();
            assert!(served.iter().all(|s| *s == Some(service)), "proxy {proxy}, {service}: {served:?}");
        }
    }
}

#[test]
fn one_of_two_conflicting_changes_wins_and_invalid_configurations_are_rejected() {
    let system =
        System::serving(Plan::default(), TestConfiguration::new(HOST).route("/x/", "safe", "one"), &["one"]);
    let cluster = &system.cluster;
    let mut current = system.configuration.clone();
    for round in 0..6 {
        let controls = cluster.controls();
        let rivals: Vec<_> = (0..2)
            .map(|nth| {
                let mut next = current.next().route(&format!("/rival-{nth}/"), "safe", "one");
                next.version += nth;
                let operator = Operator::new(vec![controls[(round + nth as usize) % controls.len()]]);
                std::thread::spawn(move || (operator.put(&next).unwrap().status, next))
            })
            .collect();
        let answers: Vec<_> = rivals.into_iter().map(|r| r.join().unwrap()).collect();
        let mut statuses: Vec<u16> = answers.iter().map(|(status, _)| *status).collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412], "round {round}");
        let (_, winner) =
            answers.iter().find(|(status, _)| *status == 200).expect("one change must be accepted").clone();
        for control in controls {
            assert_eq!(
                Operator::new(vec![control]).put(&winner).unwrap().status,
                200,
                "a repeat of the accepted change must be accepted"
            );
        }
        assert_eq!(system.operator.read().unwrap().0, winner.version);
        current = winner;
        current.routes.truncate(1);
    }

    let next = current.next();
    let text = next.text();
    let keys = next.clone().tenant("a", &["same"], 0.0).tenant("b", &["same"], 0.0).text();
    let mut stale = next.clone();
    stale.version = next.built_on;
    let shares = "[{\"service\":\"one\",\"weight\":0}]";
    let weightless = text
        .replace("\"keyless\",\"service\"]", "\"keyless\",\"shares\"]")
        .replace("false,\"one\"]", &format!("false,{shares}]"));
    let invalid = [
        ("an unknown service", text.replace("false,\"one\"]", "false,\"none\"]")),
        ("the end of a service's name", text.replace("[\"one\",", "[\"north/one\",")),
        ("weights that add up to 0", weightless),
        ("a timeout over ten minutes", text.replace("2000,500,2,2", "600001,500,2,2")),
        ("no tries", text.replace("2000,500,2,2", "2000,500,2,0")),
        ("two tenants with one key", keys),
        ("a version that is not above", stale.text()),
        ("truncated JSON", text[..text.len() / 2].to_owned()),
        ("not JSON", "version: r9".to_owned()),
    ];
    let before = system.operator.read().unwrap();
    for (what, body) in &invalid {
        assert_ne!(*body, text, "{what}");
        let answer = call(cluster.control(0), "POST", "/settings/replace", body, wait::LONG).unwrap();
        assert!((400..500).contains(&answer.status), "{what}: {}", answer.status);
    }
    assert_eq!(system.operator.read().unwrap(), before, "an invalid configuration changed the one in force");
    for front in cluster.fronts() {
        assert_eq!(try_at(front, &ClientRequest::get(HOST, "/x/1")).status(), 200);
    }
    assert_eq!(
        system.operator.put(&next).unwrap().status,
        200,
        "the unmodified configuration must be accepted"
    );
}

#[test]
fn change_acknowledged_before_the_limiter_wait_ends_is_applied_everywhere() {
    let options = changes::Options { cores: 3, proxies: 4, changes: 8 };
    let played = changes::run(options, &false.into(), |_, _| ()).unwrap();
    assert_eq!(played.len(), 8, "a change was not accepted");
    let early: Vec<_> = played.iter().filter(|c| c.took < 400 * MS).collect();
    assert!(early.iter().all(|c| c.behind == 0), "{played:?}");
}
