//! Tests of the parent module.

use super::*;

const TEXT: &str = "# rules\nmax_units = 9.0\n[[servers]]\nid = \"a\"\nsuspended_by = \"x\"\n";

fn ids(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| id.to_string()).collect()
}

#[test]
fn suspend_changes_one_line_and_can_be_reverted() {
    let out = suspend(TEXT, &ids(&["b", "a"]), true).expect("changed");
    assert_eq!(out, format!("suspended = [\"a\", \"b\"]\n{TEXT}"));
    let more = suspend(&out, &ids(&["c", "a"]), true).expect("changed");
    assert_eq!(listed(&read(&more).expect("toml")), ["a", "b", "c"]);
    let less = suspend(&more, &ids(&["a", "c", "never"]), false).expect("changed");
    assert_eq!(less, format!("suspended = [\"b\"]\n{TEXT}"));
}

#[test]
fn reduced_zones_and_suspended_servers_are_independent() {
    let out = suspend(TEXT, &ids(&["a"]), true).expect("changed");
    let a = ReducedZone { zone: "a".into(), share: 1.0 / 24.0, by: oatbank_zones::ReductionCause::Evidence };
    let both = left(&out, std::slice::from_ref(&a)).expect("changed");
    let read = read(&both).expect("toml");
    assert_eq!(read["left"].clone().try_into::<Vec<ReducedZone>>().expect("zones"), [a]);
    assert_eq!(listed(&read), ["a"]);
    assert_eq!(left(&both, &[]).expect("changed"), format!("left = []\n{out}"));
}

#[test]
fn a_key_in_another_form_is_rejected() {
    let lines = "suspended = [\n  \"a\",\n]\n[[servers]]\nid = \"a\"\n";
    let why = suspend(lines, &ids(&["b"]), true).expect_err("over several lines");
    assert!(why.contains("on one line"), "{why}");
    assert!(suspend("no toml", &ids(&["b"]), true).is_err());
}
