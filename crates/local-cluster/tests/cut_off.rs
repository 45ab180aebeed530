//! A core machine that is stopped for 20 s with unread calls in its sockets, and one that is isolated for as long.
//! Processes are stopped by signals, as the loopback interface has no links to cut.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::client::{lookup, ClientRequest};
use oatbank_local_cluster::cluster::{call, get, LocalCluster, Plan, CORE, INNER_REGISTRY, ZONES};
use oatbank_local_cluster::http::{HttpConnection, HttpError, Message};
use oatbank_local_cluster::operator::{Operator, TestConfiguration};
use oatbank_local_cluster::shell;
use oatbank_local_cluster::wait;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const LONG_CUT: Duration = Duration::from_secs(20);

/// Returns a heartbeat body for a server of a service that no route leads to.
fn heartbeat(cluster: &LocalCluster, calls: u64) -> String {
    format!(
        r#"{{"service":"g","address":"{}:9","zone":"{}","serverState":"ready","slots":4,"callCount":{calls}}}"#,
        cluster.server_ip(99),
        ZONES[0].0
    )
}

/// Sends a call without reading its answer.
fn leave_there(to: SocketAddr, path: &str, body: &str) -> HttpConnection {
    let mut connection = HttpConnection::connect(to, SECOND).unwrap();
    let text = format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.send(text.as_bytes()).unwrap();
    connection
}

fn answer(mut connection: HttpConnection) -> Result<Message, HttpError> {
    connection.answer(Instant::now() + 3 * SECOND)
}

/// Returns whether a core machine lists the server as ready.
fn lists(cluster: &LocalCluster, machine: usize, id: &str) -> bool {
    let table = shell::ask(cluster.inner(machine, INNER_REGISTRY), &["servers"]).expect("it answers");
    table.cell(id, "state").is_some_and(|state| state == "ready")
}

#[test]
fn core_machine_that_resumes_rejects_stale_heartbeats_and_operator_calls() {
    let configuration = TestConfiguration::new(HOST).route("/x/", "safe", "s");
    let system = System::serving(Plan::default(), configuration, &["s"; 3]);
    let cluster = &system.cluster;
    let (ghost, zone) = ("i-ghost", ZONES[0].0);
    let path = format!("/servers/{ghost}/beat");
    let said = call(cluster.control(1), "POST", &path, &heartbeat(cluster, 1), SECOND).unwrap();
    assert_eq!(said.status, 200);
    let begin = format!("/empty/{zone}/begin");
    let running_tries = ContinuousTries::start(&cluster.fronts(), &[ClientRequest::get(HOST, "/x/1")]);

    let sleeper = CORE.map(|role| (0, role));
    cluster.signal("STOP", &sleeper).unwrap();
    let asleep = Instant::now();
    let order = leave_there(cluster.control(0), &begin, "");
    let word = leave_there(cluster.control(0), &path, &heartbeat(cluster, 9));
    let put = leave_there(cluster.control(0), "/settings/replace", &system.configuration.next().text());
    // The other machines continue: they accept the same operator call and its reversal.
    let others = Operator::new(vec![cluster.control(1), cluster.control(2)]);
    for end in ["begin", "end"] {
        let (done, _) = others.send("POST", &format!("/empty/{zone}/{end}"), "", wait::LONG).unwrap();
        assert_eq!(done.status, 200, "{end}");
    }
    let newer = system.configuration.next().route("/y/", "safe", "s");
    others.must_put(&newer).unwrap();
    wait::holds(LONG_CUT, "the ghost is no longer listed", || !lists(cluster, 1, ghost)).unwrap();
    wait::moment(asleep + LONG_CUT);
    cluster.signal("CONT", &sleeper).unwrap();
    let woke = Instant::now();
    let statuses = [answer(word), answer(order), answer(put)].map(|a| a.map(|a| a.status));
    assert_eq!(statuses, [Ok(503), Ok(503), Ok(503)], "a stale call was accepted");
    // Long enough for the failure detector to judge the ghost's silence again.
    while woke.elapsed() < 4 * SECOND {
        assert!(
            !lists(cluster, 1, ghost) && !lists(cluster, 2, ghost),
            "listed {:?} after resuming",
            woke.elapsed()
        );
        std::thread::sleep(100 * MS);
    }
    // The machine takes part again and knows the configuration accepted meanwhile.
    let read = get(cluster.control(0), "/settings/read", SECOND).unwrap();
    assert!(read.status == 200 && String::from_utf8_lossy(&read.body).contains("\"/y/\""));
    assert_eq!(call(cluster.control(0), "POST", &begin, "", 2 * SECOND).unwrap().status, 200);
    let attempts = running_tries.stop();
    assert!(attempts.iter().flatten().all(|t| t.is_success()), "a try was not served");
    assert!(cluster.lost().is_empty());
}

#[test]
fn isolated_core_machine_acknowledges_nothing_and_returns_no_stale_data() {
    let configuration = TestConfiguration::new(HOST).route("/x/", "safe", "s");
    let system = System::serving(Plan::default(), configuration, &["s"; 3]);
    let cluster = &system.cluster;
    let alone = cluster.control(0);
    let path = "/servers/i-other/beat";
    let (begin, next) = (format!("/empty/{}/begin", ZONES[0].0), system.configuration.next());
    let running_tries = ContinuousTries::start(&cluster.fronts(), &[ClientRequest::get(HOST, "/x/1")]);
    let rest: Vec<_> = [1, 2].into_iter().flat_map(|m| CORE.map(|role| (m, role))).collect();
    cluster.signal("STOP", &rest).unwrap();
    let cut = Instant::now();
    let mut calls = 0;
    let mut worst = [Duration::ZERO; 4];
    while cut.elapsed() < LONG_CUT {
        calls += 1;
        let since = cut.elapsed();
        let mut timed = |nth: usize, asked: Instant| worst[nth] = worst[nth].max(asked.elapsed());
        let asked = Instant::now();
        let said = call(alone, "POST", path, &heartbeat(cluster, calls), SECOND).unwrap().status;
        // 1.5 s from its last request to the others, and 0.3 s for which an answer may have been held.
        assert!(said == 503 || said == 200 && since < 1900 * MS, "beat: {said} at {since:?}");
        timed(0, asked);
        let asked = Instant::now();
        let said = call(alone, "POST", "/servers/i-other/leave", "", SECOND).unwrap().status;
        assert_eq!(said, 503, "leave at {since:?}");
        timed(1, asked);
        let asked = Instant::now();
        let said = get(alone, "/settings/read", SECOND).unwrap().status;
        assert_eq!(said, 504, "read at {since:?}");
        timed(2, asked);
        for (method, path, body) in [("POST", &*begin, ""), ("POST", "/settings/replace", &*next.text())] {
            let asked = Instant::now();
            let said = call(alone, method, path, body, 2 * SECOND).unwrap().status;
            assert!(matches!(said, 503 | 504), "{path}: {said} at {since:?}");
            if since > 3500 * MS {
                timed(3, asked);
            }
        }
        let named = lookup(cluster.directory(0), HOST, ZONES[0]);
        assert!(named.as_ref().map_or(true, |(at, _)| at.iter().all(|a| cluster.fronts().contains(a))));
    }
    println!("longest answers: beat, leave, read, orders past 3.5 s: {worst:?}");
    assert!(worst[0] < 200 * MS && worst[1] < 900 * MS && worst[2] < 700 * MS && worst[3] < 200 * MS);
    cluster.signal("CONT", &rest).unwrap();
    system.operator.must_put(&next).unwrap();
    assert_eq!(system.operator.read().unwrap().0, next.version);
    let attempts = running_tries.stop();
    assert!(attempts.iter().flatten().all(|t| t.is_success()), "a try was not served from the known state");
    assert!(cluster.lost().is_empty());
}
