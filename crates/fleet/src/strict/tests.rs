//! Tests of the parent module.

use super::*;
use oatbank_limiter_core::interface::Group;

fn rules(rate: f64, repeat: Repeat, servers: &[&str]) -> Rules {
    let plan = Plan { rate, burst: 2.0 * rate, price: 1.0, ..Plan::default() };
    let class = Class { target: 100.0, deadline: 1000.0, repeat, ..Class::default() };
    Rules {
        classes: vec![("quote".into(), class)],
        plans: vec![("team".into(), plan)],
        servers: servers.iter().map(|s| s.to_string()).collect(),
        suspended: BTreeSet::new(),
        left: BTreeMap::new(),
        max_attempts: 3,
    }
}

#[test]
fn contradictions_are_named_and_stricter_rules_allow_no_more_than_either_set() {
    let keyed = Repeat::Keyed { group: Group::All, window: 5000.0 };
    let (a, b) = (rules(50.0, Repeat::Safe, &["s1", "s2"]), rules(20.0, keyed, &["s2", "s3"]));
    let found = contradictions(&a, &b);
    assert_eq!(found, ["classes.quote", "plans.team", "servers.s1", "servers.s3"]);
    assert!(contradictions(&a, &a).is_empty());
    let suspending = |id: &str| Rules { suspended: [id.to_owned()].into(), ..a.clone() };
    assert_eq!(contradictions(&suspending("s1"), &suspending("s2")), ["suspended.s1", "suspended.s2"]);
    let with_share = |share: f64| Rules { left: [("a".to_owned(), share)].into(), ..a.clone() };
    assert_eq!(contradictions(&with_share(0.0), &a), ["left.a"]);
    assert!(contradictions(&with_share(0.5), &a).is_empty(), "a smaller share of a zone is no contradiction");
    assert_eq!(stricter(&with_share(0.5), &with_share(0.2)).left["a"], 0.2);
    assert_eq!(stricter(&with_share(0.5), &a).left["a"], 0.5);
    let both: Vec<String> = stricter(&suspending("s1"), &suspending("s2")).suspended.into_iter().collect();
    assert_eq!(both, ["s1", "s2"], "a server suspended by either set stays suspended");
    for strict in [stricter(&a, &b), stricter(&b, &a)] {
        assert_eq!((strict.plans[0].1.rate, strict.plans[0].1.burst), (20.0, 40.0));
        assert_eq!(strict.classes[0].1.repeat, keyed);
        assert_eq!(strict.servers, ["s2"]);
    }
}

#[test]
fn a_limit_is_stricter_than_none_and_different_key_groups_forbid_repeats() {
    let (none, some) = (rules(0.0, Repeat::Unsafe, &[]), rules(7.0, Repeat::Safe, &[]));
    let strict = stricter(&none, &some);
    assert_eq!((strict.plans[0].1.rate, strict.plans[0].1.burst), (7.0, 14.0));
    assert_eq!(strict.classes[0].1.repeat, Repeat::Unsafe);
    let zone = Repeat::Keyed { group: Group::Zone, window: 1.0 };
    let cell = Repeat::Keyed { group: Group::Cell, window: 1.0 };
    assert_eq!(stricter_repeat(zone, cell), Repeat::Unsafe);
}
