//! A key that was taken away fails in time also where news does not get through.

mod common;

use common::{Hammer, System, HOST, MS};
use oatbank_local_cluster::client::{try_at, Ask};
use oatbank_local_cluster::cluster::{Plan, Role};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::wait;
use std::time::Duration;

const REVOKE: Duration = Duration::from_millis(5000);

#[test]
fn a_proxy_that_is_cut_off_refuses_before_a_key_that_was_taken_away_must_fail() {
    let configuration =
        TestConfiguration::new(HOST).route("/x/", "unsafe", "s").tenant("t", &["kept", "lost"], 0.0);
    let plan = Plan::default().bound("revokedFail", true).bound("revokeMs", REVOKE.as_millis());
    let system = System::serving(plan, configuration, &["s", "s", "s"]);
    let cluster = &system.cluster;
    let ask = |key: &str| Ask { within: 1000 * MS, ..Ask::post(HOST, "/x/1", "words").key(key) };
    let cut_off = cluster.proxies().start;
    let front = cluster.front(cut_off);
    for key in ["kept", "lost"] {
        system.until_served(front, &ask(key));
    }

    // It hears nothing of the change, and of the others nothing more at all.
    cluster.signal("STOP", &[(cut_off, Role::Proxy)]).unwrap();
    let mut next = system.configuration.next();
    next.tenants[0].keys.retain(|k| k != "lost");
    let acked = system.operator.must_put(&next).unwrap().at;
    let mut others = cluster.core();
    others.extend(cluster.proxies().filter(|p| *p != cut_off).map(|p| (p, Role::Proxy)));
    cluster.signal("STOP", &others).unwrap();
    let hammer = Hammer::start(&[front], &[ask("lost"), ask("kept")]);
    cluster.signal("CONT", &[(cut_off, Role::Proxy)]).unwrap();
    hammer.until_after(acked + REVOKE);
    let attempts = hammer.stop();
    let served = attempts.iter().flatten().filter(|t| t.served_by().is_some()).count();
    assert!(served > 0, "it went on for a while, by what it knew");
    for one in attempts.iter().flatten().filter(|t| t.sent > acked + REVOKE) {
        assert!(one.is_promise() && system.runs(one) == 0, "{:?} after {:?}", one, one.sent - acked);
    }

    // The core is back, and so is the proxy, by the newest.
    cluster.signal("CONT", &others).unwrap();
    system.until_served(front, &ask("kept"));
    for front in cluster.fronts() {
        let refused = || try_at(front, &ask("lost")).status() == 401;
        wait::holds(wait::LONG, "the key is unknown everywhere", refused).unwrap();
    }
    let seen = system.seen();
    assert!(
        seen.iter().all(|s| s.customer.as_deref() == Some("t") && !s.key),
        "the tenant is told, its key is not"
    );
}
