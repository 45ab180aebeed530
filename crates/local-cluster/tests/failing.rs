//! A backend that turns slow, fails and recovers, and outcome queries for requests with an unknown result.

mod common;

use common::{System, HOST, MS};
use oatbank_local_cluster::chart;
use oatbank_local_cluster::client::{try_at, ClientRequest, Try};
use oatbank_local_cluster::cluster::{Plan, INNER_PROXY, INNER_REGISTRY};
use oatbank_local_cluster::failing::{run, Options, Played};
use oatbank_local_cluster::http::HttpConnection;
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::server::Behaviour;
use oatbank_local_cluster::shell::{self, Table};
use oatbank_local_cluster::wait::{holds, until, LONG};
use std::process::Command;
use std::sync::atomic::AtomicBool;

fn played(duplicate: bool) -> (Played, Vec<String>) {
    let options = Options { span: 5000 * MS, step: 500 * MS, rate: 80.0, duplicate };
    let mut lines = Vec::new();
    let played = run(&options, &AtomicBool::new(false), |line| lines.push(line.to_owned())).unwrap();
    (played, lines)
}

#[test]
fn bookings_run_at_most_once_while_a_backend_fails_and_recovers() {
    let (played, lines) = played(false);
    assert!(played.wrongs.is_empty(), "{:#?}", played.wrongs);
    assert!(played.totals[0] > 300 && played.totals[2] > 250, "{:?}", played.totals);
    assert!(played.share("calm") > 0.1, "{}", lines.join("\n"));
    assert!(played.share("failing") < played.share("calm") / 2.0, "{}", lines.join("\n"));
    let (text, svg) = (played.json(), chart::draw(&played));
    assert!(text.contains("\"moments\":[{") && svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
}

#[test]
fn duplicated_booking_is_detected() {
    let (played, lines) = played(true);
    assert!(played.wrongs.iter().any(|w| w.contains("ran more than once")), "{:#?}", played.wrongs);
    assert!(lines.iter().any(|l| l.contains("ALARM")), "{}", lines.join("\n"));
}

fn outcome(system: &System, machine: usize, place: u16, id: &str) -> Table {
    shell::ask(system.cluster.inner(machine, place), &["outcome", id]).unwrap()
}

fn says(table: &Table, what: &str) -> bool {
    table.title.contains(&format!(": {what} ("))
}

#[test]
fn request_outcome_can_be_queried_and_a_disconnect_does_not_stop_a_write() {
    let configuration =
        TestConfiguration::new(HOST).route("/slow/", "unsafe", "slow").route("/full/", "unsafe", "full");
    let system = System::with(Plan::default(), configuration, &["slow", "full"], 500 * MS);
    system.of("full")[0].set_behaviour(Behaviour::Full);
    let (front, core, proxy) = (system.cluster.fronts()[0], 0, system.cluster.proxies().start);
    let text = |one: &Try| String::from_utf8_lossy(&one.got.as_ref().unwrap().body).into_owned();
    let server = system.of("slow")[0].id().to_owned();

    // The client times out while the request runs, and is told that it may have run.
    let asked = ClientRequest { within: 300 * MS, ..ClientRequest::post(HOST, "/slow/1", "a job") };
    let late = try_at(front, &asked);
    assert!(matches!(late.status(), 502 | 504), "{late:?}");
    assert!(text(&late).contains(&format!("may have run; server {server}; try {}", late.id)), "{late:?}");
    assert!(says(&outcome(&system, core, INNER_REGISTRY, &late.id), "running"));
    holds(LONG, "the request is done", || says(&outcome(&system, core, INNER_REGISTRY, &late.id), "done"))
        .unwrap();

    // A duplicate of the request is answered with 409, as it has run.
    let again = oatbank_local_cluster::client::try_with_id(front, &asked, &late.id);
    assert!(again.status() == 409 && text(&again).contains(&server), "{again:?}");
    assert_eq!(system.seen().iter().filter(|s| s.try_id == late.id).count(), 1);

    // A client disconnects while its request runs.
    let id = oatbank_local_cluster::client::try_id();
    let mut connection = HttpConnection::connect(front, LONG).unwrap();
    let head = format!(
        "POST /slow/2 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 2000\r\nContent-Length: 1\r\n\r\nx"
    );
    connection.send(head.as_bytes()).unwrap();
    let began = || system.seen().iter().any(|s| s.try_id == id);
    holds(LONG, "the request runs", began).unwrap();
    drop(connection);
    let other = system.cluster.proxies().start + 1;
    let done = until(LONG, "the request is done", || {
        Some(outcome(&system, other, INNER_PROXY, &id)).filter(|table| says(table, "done"))
    });
    assert_eq!(done.unwrap().cell(&server, "outcome"), Some("done"));
    assert_eq!(system.seen().iter().filter(|s| s.ran && s.try_id == id).count(), 1);

    // A refused request is reported as not run.
    let asked = ClientRequest { within: 600 * MS, ..ClientRequest::post(HOST, "/full/1", "a job") };
    let refused = try_at(front, &asked);
    assert!(refused.is_promise() && text(&refused).contains("has not run and never will"), "{refused:?}");
    assert!(says(&outcome(&system, proxy, INNER_PROXY, &refused.id), "did not run"));
    let again = oatbank_local_cluster::client::try_with_id(front, &asked, &refused.id);
    assert!(again.is_promise(), "a request that has not run may be sent again: {again:?}");

    // Other commands of the shell.
    let guard = shell::ask(system.cluster.inner(proxy, INNER_PROXY), &["guard"]).unwrap();
    assert_eq!((guard.cell("slow", "out"), guard.cell("slow", "kept from")), (Some("0"), Some("0")));
    let at = system.cluster.inner(core, INNER_REGISTRY);
    let rows = |words: &[&str]| shell::ask(at, words).map(|t| t.rows.len());
    assert_eq!((rows(&["servers"]), rows(&["servers", "slow"])), (Some(2), Some(1)));
    assert_eq!((rows(&["limiters"]), rows(&["core"]), rows(&["version"])), (Some(3), Some(3), Some(1)));
    let oatbankctl = oatbank_local_cluster::programs::folder().unwrap().join("oatbankctl");
    let run = |at: String, words: &[&str]| {
        let run = Command::new(&oatbankctl).args(["--at", &at]).args(words).output().unwrap();
        (run.status.code(), String::from_utf8_lossy(&run.stderr).into_owned())
    };
    let (code, error) = run(at.to_string(), &["server"]);
    assert!(
        code == Some(2) && error.contains("\"server\"") && error.contains("servers [SERVICE]"),
        "{error}"
    );
    let nobody = system.cluster.inner(core, 3).to_string();
    assert_eq!(run(nobody, &["core"]).0, Some(1));
    assert_eq!(run("here".into(), &["core"]).0, Some(2));
}
