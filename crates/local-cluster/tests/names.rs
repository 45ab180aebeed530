//! Services with the same name in several meshes: no request runs at a server of another mesh, and each is answered.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::client::{try_at, ClientRequest, Try};
use oatbank_local_cluster::cluster::{Plan, INNER_PROXY, INNER_REGISTRY};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::shell;
use oatbank_local_cluster::wait::{holds, LONG};
use std::time::{Duration, Instant};

fn confirm(path: &str) -> ClientRequest {
    ClientRequest { within: 1000 * MS, ..ClientRequest::post(HOST, path, "the hall, the date") }
}

#[test]
fn contested_server_id_gets_no_requests_and_other_mesh_is_unaffected() {
    let configuration = TestConfiguration::new(HOST).route("/north/", "unsafe", "north/hall").route(
        "/south/",
        "unsafe",
        "south/hall",
    );
    // The last server registers without naming a mesh.
    let system =
        System::serving(Plan::default(), configuration, &["north/hall", "south/hall", "south/hall", "hall"]);
    let fronts: Vec<_> = system.cluster.fronts();
    for front in &fronts {
        system.until_served(*front, &confirm("/north/1"));
        system.until_served(*front, &confirm("/south/1"));
    }
    let running_tries = ContinuousTries::start(&fronts, &[confirm("/north/2"), confirm("/south/2")]);

    // A rival address sends heartbeats with the id of north's only server and a higher call count.
    let (victim, rival) = (system.of("north/hall")[0], system.of("hall")[0]);
    let heartbeat = |calls: u32| {
        let body = format!(
            r#"{{"mesh":"south","service":"hall","address":"{}","zone":"east-1","slots":8,"serverState":"ready","callCount":{calls}}}"#,
            rival.address()
        );
        let path = format!("/servers/{}/beat", victim.id());
        system.operator.send("POST", &path, &body, LONG).unwrap();
    };
    heartbeat(1000);
    let refused = |t: &Try| t.status() == 503;
    let all = || fronts.iter().all(|front| refused(&try_at(*front, &confirm("/north/3"))));
    holds(LONG, "no proxy sends requests to the contested server", all).unwrap();
    // The shell reports the conflict at a proxy and at a core machine.
    let (proxy, core) = (system.cluster.proxies().start, system.cluster.cores().start);
    for at in [system.cluster.inner(proxy, INNER_PROXY), system.cluster.inner(core, INNER_REGISTRY)] {
        let table = shell::ask(at, &["who-owns", victim.id()]).expect("the shell must answer");
        let contested = |cell: &String| cell.starts_with("contested");
        assert!(table.rows.iter().flatten().any(contested), "{table:?}");
    }
    let since = Instant::now();
    running_tries.until_after(since + 300 * MS);
    heartbeat(1001);
    let until = Instant::now();
    // The rival stops its heartbeats, and the original server is used again.
    for front in &fronts {
        system.until_served(*front, &confirm("/north/4"));
    }
    assert!(until.elapsed() < Duration::from_secs(8), "{:?}", until.elapsed());

    // Tries are grouped by proxy, and for each proxy by mesh: north, then south.
    let attempts = running_tries.stop();
    for (nth, one) in
        attempts.iter().enumerate().flat_map(|(nth, attempts)| attempts.iter().map(move |t| (nth, t)))
    {
        match system.served(one) {
            Some(service) => assert_eq!(service, ["north/hall", "south/hall"][nth % 2], "{one:?}"),
            None => assert!(one.is_promise() && system.runs(one) == 0, "{one:?}"),
        }
        assert!(nth % 2 == 0 || system.served(one).is_some(), "south is affected: {one:?}");
    }
    for north in attempts.iter().step_by(2) {
        let between: Vec<&Try> = north.iter().filter(|t| t.sent > since && t.sent < until).collect();
        assert!(between.len() > 3 && between.iter().all(|t| refused(t)), "{between:?}");
    }
    assert!(rival.seen().iter().all(|seen| !seen.ran), "the server without a mesh ran a request");
}
