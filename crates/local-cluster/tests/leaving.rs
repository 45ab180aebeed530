//! Graceful shutdown of servers and proxies.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::client::{lookup, ClientRequest, RequestOutcome};
use oatbank_local_cluster::cluster::{Plan, Role, ZONES};
use oatbank_local_cluster::http::HttpError;
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::traffic::Traffic;
use oatbank_local_cluster::wait;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(3000);

#[test]
fn leaving_server_gets_no_requests_even_if_the_acknowledging_registry_dies() {
    let configuration = TestConfiguration::new(HOST).route("/x/", "safe", "s");
    let system =
        System::serving(Plan::default().bound("drainMs", DRAIN.as_millis()), configuration, &["s"; 5]);
    let cluster = &system.cluster;
    let running_tries = ContinuousTries::start(
        &cluster.fronts(),
        &[ClientRequest::get(HOST, "/x/1"), ClientRequest::get(HOST, "/x/2")],
    );
    let all = system.of("s");
    wait::holds(wait::LONG, "all servers receive requests", || all.iter().all(|s| s.seen().len() > 5))
        .unwrap();
    let (drains, leaves) = (all[0], all[1]);
    let by = cluster.control(0);
    drains.stop_heartbeats();
    let acked: Vec<_> = [drains, leaves]
        .into_iter()
        .map(|server| {
            server.prefer_registry(by);
            let acked = if std::ptr::eq(server, drains) { server.drain() } else { server.leave() }.unwrap();
            (server, acked)
        })
        .collect();
    cluster.kill(0, Role::Registry);
    assert!(acked.iter().all(|(_, a)| a.by == by), "acknowledged by another registry than the killed one");
    running_tries.until_after(acked[1].1.at + DRAIN);
    let attempts = running_tries.stop();
    for (server, acked) in &acked {
        let late = server.seen().into_iter().filter(|s| s.at > acked.at + DRAIN).count();
        let last = server.seen().last().map(|s| s.at.saturating_duration_since(acked.at));
        assert_eq!(late, 0, "last request {last:?} after the acknowledgement");
    }
    let since = acked[1].1.at;
    for (nth, attempts) in attempts.iter().enumerate() {
        assert!(
            attempts.iter().all(|t| t.is_success() && !t.is_mixed()),
            "thread {nth}: a try was not served"
        );
    }
    let others = all[2..].iter().map(|s| s.seen().iter().filter(|s| s.at > since + DRAIN).count());
    assert!(others.sum::<usize>() > 3, "the other servers received too few requests");
}

#[test]
fn proxy_shutdown_loses_no_request() {
    let configuration =
        TestConfiguration::new(HOST).route("/read/", "safe", "s").route("/write/", "unsafe", "s");
    let grace = Duration::from_secs(4);
    let plan = Plan::default().bound("graceS", grace.as_secs());
    let system = System::with(plan, configuration, &["s"; 4], 80 * MS);
    let cluster = &system.cluster;
    let asks = [ClientRequest::get(HOST, "/read/1"), ClientRequest::post(HOST, "/write/1", "words")];
    let traffic = Traffic::start(&cluster.directories(), &asks, 200.0, true);
    let leaves = cluster.proxies().start;
    let front = cluster.front(leaves);
    let seen = || system.seen().len() > 150;
    wait::holds(wait::LONG, "traffic flows", seen).unwrap();
    cluster.signal("TERM", &[(leaves, Role::Proxy)]).unwrap();
    let acknowledged = Instant::now();
    wait::holds(Duration::from_secs(1), "the proxy is not ready", || cluster.ready(leaves) == Some(503))
        .unwrap();
    for directory in cluster.directories() {
        let gone =
            || lookup(directory, HOST, ZONES[0]).is_ok_and(|(at, _)| !at.is_empty() && !at.contains(&front));
        wait::holds(Duration::from_secs(1), "the directory no longer returns the proxy", gone).unwrap();
    }
    let status = cluster.ended(leaves, Role::Proxy, grace + 500 * MS).unwrap();
    assert!(status.success(), "{status}");
    let ended = Instant::now();
    wait::moment(ended + 300 * MS);
    let count = traffic.stop();
    let ran: HashSet<String> = system.seen().into_iter().map(|s| s.try_id).collect();
    let attempts: Vec<_> = count.attempts.iter().flat_map(|(_, attempts)| attempts).collect();
    assert!(
        attempts.iter().filter(|t| t.to == front && t.sent < acknowledged && t.ended > acknowledged).count()
            > 0,
        "no try was in flight at the signal"
    );
    for one in &attempts {
        let error = one.got.as_ref().err();
        assert!(!matches!(one.status(), 500 | 502 | 504), "{one:?}");
        assert!(error.is_none() || !ran.contains(&one.id), "reached a server, but got no answer: {one:?}");
        // A keep-alive connection may be closed just as a request is sent. The request is then unread.
        let unread = error.is_none_or(|e| *e == HttpError::Unreachable || one.ended - one.sent < 200 * MS);
        assert!(unread, "held and then dropped: {one:?}");
    }
    let bad = |(end, attempts): &&(RequestOutcome, Vec<oatbank_local_cluster::client::Try>)| {
        *end != RequestOutcome::Served
            && attempts.iter().all(|t| t.got.is_ok() || t.ended - t.sent >= 200 * MS)
    };
    assert_eq!(count.attempts.iter().filter(bad).count(), 0, "{}", count.line());
    assert!(count.ends[0] > 100 && count.mixed == 0, "{}", count.line());
}
