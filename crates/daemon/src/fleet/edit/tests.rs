//! Tests of the parent module.

use super::*;

const TEXT: &str = "# rules\nmax_units = 9.0\n[[servers]]\nid = \"a\"\nsuspended_by = \"x\"\n";

fn ids(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| id.to_string()).collect()
}

#[test]
fn only_the_one_line_changes_and_it_can_be_taken_back() {
    let out = suspend(TEXT, &ids(&["b", "a"]), true).expect("changed");
    assert_eq!(out, format!("suspended = [\"a\", \"b\"]\n{TEXT}"));
    let more = suspend(&out, &ids(&["c", "a"]), true).expect("changed");
    assert_eq!(listed(&read(&more).expect("toml")), ["a", "b", "c"]);
    let less = suspend(&more, &ids(&["a", "c", "never"]), false).expect("changed");
    assert_eq!(less, format!("suspended = [\"b\"]\n{TEXT}"));
}

#[test]
fn zones_are_left_beside_what_is_suspended() {
    let out = suspend(TEXT, &ids(&["a"]), true).expect("changed");
    let a = ReducedZone { zone: "a".into(), share: 1.0 / 24.0, by: oatbank_zones::ReductionCause::Evidence };
    let both = left(&out, std::slice::from_ref(&a)).expect("changed");
    let read = read(&both).expect("toml");
    assert_eq!(read["left"].clone().try_into::<Vec<ReducedZone>>().expect("zones"), [a]);
    assert_eq!(listed(&read), ["a"]);
    assert_eq!(left(&both, &[]).expect("changed"), format!("left = []\n{out}"));
}

#[test]
fn what_was_written_otherwise_is_left_to_its_writer() {
    let lines = "suspended = [\n  \"a\",\n]\n[[servers]]\nid = \"a\"\n";
    let why = suspend(lines, &ids(&["b"]), true).expect_err("over several lines");
    assert!(why.contains("on one line"), "{why}");
    assert!(suspend("no toml", &ids(&["b"]), true).is_err());
}
