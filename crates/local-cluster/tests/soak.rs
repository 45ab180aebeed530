//! Runs a short soak and tests that each of its rules detects a violation. `oatbank-local-cluster soak` runs longer ones.

use oatbank_local_cluster::server::ReceivedRequest;
use oatbank_local_cluster::soak::clients::{Exchange, Kind, Outcome};
use oatbank_local_cluster::soak::rules::{Evidence, Outage, Quota, GONE_AFTER};
use oatbank_local_cluster::soak::{run, Options};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Seeds of the fault schedule. With the first, 435 requests of the large tenant ran where 416 are allowed, when only the
/// usual response time of a quota's owner bounded what limiters admitted ahead of its answer.
const SEEDS: [u64; 2] = [2, 3];

#[test]
fn soak_under_overlapping_faults_has_no_violations() {
    for seed in SEEDS {
        println!("seed {seed}");
        let report = run(&Options { seed, span: 12_000 * MS, proxies: 6 }).unwrap();
        println!("{:?}", report.fullest);
        assert!(report.violations.is_empty(), "seed {seed}:\n{}", report.violations.join("\n"));
        assert!(report.served > 200 && report.left > 50, "seed {seed}: {report:?}");
    }
}

fn exchange(kind: Kind, outcome: Outcome, took: Duration) -> Exchange {
    let sent = Instant::now();
    Exchange { id: "1".into(), kind, proxy: 0, sent, ended: sent + took, outcome }
}

fn arrival(try_id: &str, at: Instant, works: Duration) -> (String, ReceivedRequest) {
    let what = ("GET".to_owned(), "/read/1".to_owned(), Vec::new());
    let (try_id, ended) = (try_id.to_owned(), Some(at + works));
    ("i-1".into(), ReceivedRequest { at, try_id, what, customer: None, key: false, ran: true, ended })
}

/// Returns the verdict names found for one request that arrived `arrivals` times and ran for `works` each time.
fn found(exchange: &Exchange, arrivals: usize, works: Duration, outages: Vec<Outage>) -> Vec<String> {
    let received = (0..arrivals).map(|_| arrival("1", exchange.sent, works)).collect();
    let evidence = Evidence { exchanges: vec![exchange.clone()], received, outages, ..Evidence::default() };
    evidence.violations().iter().map(|line| line.split(':').next().unwrap_or_default().to_owned()).collect()
}

#[test]
fn each_soak_rule_detects_its_violation() {
    let none = Vec::<String>::new();
    let left = exchange(Kind::Read, Outcome::Left, 10 * MS);
    assert_eq!(found(&left, 1, 10 * MS + GONE_AFTER + MS, Vec::new()), ["GONE"]);
    assert_eq!(found(&left, 1, 10 * MS + GONE_AFTER - MS, Vec::new()), none);
    let write = exchange(Kind::Write, Outcome::Left, 10 * MS);
    assert_eq!(
        found(&write, 1, 2000 * MS, Vec::new()),
        none,
        "at-most-once requests continue after a disconnect"
    );

    let unanswered = |took| exchange(Kind::Read, Outcome::Unanswered, took);
    assert_eq!(found(&unanswered(MS), 1, MS, Vec::new()), ["LOST"]);
    assert_eq!(
        found(&unanswered(MS), 0, MS, Vec::new()),
        none,
        "the request crossed the closing of the connection"
    );
    assert_eq!(found(&unanswered(300 * MS), 0, MS, Vec::new()), ["LOST"]);
    let behind = exchange(Kind::Read, Outcome::BehindLastAnswer, MS);
    assert_eq!(found(&behind, 1, MS, Vec::new()), ["LOST"]);
    assert_eq!(found(&behind, 0, MS, Vec::new()), none, "a request after the last answer counts as unread");
    let killed = Outage { proxy: 0, from: behind.sent, until: behind.ended };
    assert_eq!(found(&behind, 1, MS, vec![killed]), none, "the proxy was killed");

    assert_eq!(found(&write, 2, MS, Vec::new()), ["TWICE"]);
    let refused = exchange(Kind::Write, Outcome::Answered(503, None), MS);
    assert_eq!(found(&refused, 1, MS, Vec::new()), ["REFUSED"]);
    let mixed = exchange(Kind::Read, Outcome::Answered(200, Some("i-2".into())), MS);
    assert_eq!(found(&mixed, 1, MS, Vec::new()), ["MIXED"]);
    let stranger = Evidence { received: vec![arrival("2", Instant::now(), MS)], ..Evidence::default() };
    assert!(stranger.violations()[0].starts_with("UNASKED"));
}

#[test]
fn one_request_over_the_quota_is_detected() {
    let begun = Instant::now();
    let quota = Quota { tenant: "large".into(), window: 5000 * MS, allowed: 10 };
    let found = |sent: &[u32]| {
        let exchanges = sent.iter().enumerate().map(|(nth, at)| {
            let (id, sent) = (nth.to_string(), begun + *at * MS);
            Exchange { id, sent, ended: sent, ..exchange(Kind::Read, Outcome::Left, MS) }
        });
        let exchanges: Vec<Exchange> = exchanges.collect();
        let received = exchanges.iter().flat_map(|exchange| {
            let (server, request) = arrival(&exchange.id, exchange.sent + 400 * MS, MS);
            let request = ReceivedRequest { customer: Some("large".into()), ..request };
            // A request that was tried at two servers counts once.
            [(server.clone(), request.clone()), (server, request)]
        });
        let received = received.collect();
        let quotas = vec![quota.clone()];
        Evidence { exchanges, received, quotas, ..Evidence::default() }.violations().len()
    };
    let every = |ms: u32, count: u32| (0..count).map(|nth| nth * ms).collect::<Vec<u32>>();
    assert_eq!(found(&every(400, 11)), 1);
    assert_eq!(found(&every(400, 10)), 0);
    assert_eq!(found(&every(480, 40)), 0, "only requests both sent and run within the 5 s window count");
}
