//! Tests of the parent module.

use super::*;

fn lease(revoked_fail: bool) -> Lease {
    let text = include_str!("../../../node-runtime/tests/node.toml");
    let text = text.replace("revokedFail = false", &format!("revokedFail = {revoked_fail}"));
    Lease::new(&oatbank_node_runtime::settings::Settings::parse(&text).expect("settings").bounds)
}

#[test]
fn an_unconfirmed_limiter_stops_before_revoked_keys_must_fail() {
    let lease = lease(true);
    assert!(lease.is_valid(Some(3400.0)) && !lease.is_valid(Some(3500.0)) && !lease.is_valid(None));
    assert!(!lease.may_start(60_000.0, None), "a limited lease needs a confirmation, whatever the uptime");
}

#[test]
fn without_a_lease_limit_only_the_start_waits_for_a_confirmation() {
    let lease = lease(false);
    assert!(lease.is_valid(None));
    assert!(
        !lease.may_start(1000.0, None)
            && lease.may_start(1000.0, Some(900.0))
            && lease.may_start(2500.0, None)
    );
}
