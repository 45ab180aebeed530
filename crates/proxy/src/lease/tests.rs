//! Tests of the parent module.

use super::*;

fn lease(revoked_fail: bool) -> Lease {
    let text = include_str!("../../../node-runtime/tests/node.toml");
    let text = text.replace("revokedFail = false", &format!("revokedFail = {revoked_fail}"));
    Lease::new(&oatbank_node_runtime::settings::Settings::parse(&text).expect("settings").bounds)
}

#[test]
fn a_limiter_that_was_not_confirmed_stops_before_a_key_must_fail() {
    let lease = lease(true);
    assert!(lease.is_valid(Some(3400.0)) && !lease.is_valid(Some(3500.0)) && !lease.is_valid(None));
    assert!(!lease.may_start(60_000.0, None), "however long it waits");
}

#[test]
fn without_the_rule_it_goes_on_for_ever_but_begins_confirmed_if_it_can() {
    let lease = lease(false);
    assert!(lease.is_valid(None));
    assert!(
        !lease.may_start(1000.0, None)
            && lease.may_start(1000.0, Some(900.0))
            && lease.may_start(2500.0, None)
    );
}
