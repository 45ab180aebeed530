//! A revoked key is refused in time even by a proxy that is cut off from the core.

mod common;

use common::{ContinuousTries, System, HOST, MS};
use oatbank_local_cluster::client::{try_at, ClientRequest};
use oatbank_local_cluster::cluster::{Plan, Role};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::wait;
use std::time::Duration;

const REVOKE: Duration = Duration::from_millis(5000);

#[test]
fn isolated_proxy_refuses_requests_before_a_revoked_key_must_fail() {
    let configuration =
        TestConfiguration::new(HOST).route("/x/", "unsafe", "s").tenant("t", &["kept", "lost"], 0.0);
    let plan = Plan::default().bound("revokedFail", true).bound("revokeMs", REVOKE.as_millis());
    let system = System::serving(plan, configuration, &["s", "s", "s"]);
    let cluster = &system.cluster;
    let ask = |key: &str| ClientRequest {
        within: 1000 * MS,
        ..ClientRequest::post(HOST, "/x/1", "words").key(key)
    };
    let cut_off = cluster.proxies().start;
    let front = cluster.front(cut_off);
    for key in ["kept", "lost"] {
        system.until_served(front, &ask(key));
    }

    // The proxy is stopped during the change. Afterwards all other processes are stopped, so that it learns nothing.
    cluster.signal("STOP", &[(cut_off, Role::Proxy)]).unwrap();
    let mut next = system.configuration.next();
    next.tenants[0].keys.retain(|k| k != "lost");
    let acked = system.operator.must_put(&next).unwrap().at;
    let mut others = cluster.core();
    others.extend(cluster.proxies().filter(|p| *p != cut_off).map(|p| (p, Role::Proxy)));
    cluster.signal("STOP", &others).unwrap();
    let running_tries = ContinuousTries::start(&[front], &[ask("lost"), ask("kept")]);
    cluster.signal("CONT", &[(cut_off, Role::Proxy)]).unwrap();
    running_tries.until_after(acked + REVOKE);
    let attempts = running_tries.stop();
    let served = attempts.iter().flatten().filter(|t| t.served_by().is_some()).count();
    assert!(served > 0, "the proxy must serve from its known state at first");
    for one in attempts.iter().flatten().filter(|t| t.sent > acked + REVOKE) {
        assert!(one.is_promise() && system.runs(one) == 0, "{:?} after {:?}", one, one.sent - acked);
    }

    // The core resumes, and the proxy serves by the newest configuration.
    cluster.signal("CONT", &others).unwrap();
    system.until_served(front, &ask("kept"));
    for front in cluster.fronts() {
        let refused = || try_at(front, &ask("lost")).status() == 401;
        wait::holds(wait::LONG, "every proxy refuses the revoked key", refused).unwrap();
    }
    let seen = system.seen();
    assert!(
        seen.iter().all(|s| s.customer.as_deref() == Some("t") && !s.key),
        "servers must get the tenant but not its key"
    );
}
