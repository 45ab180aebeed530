//! A small run of `scale`: it measures followers that take in, and fails for those that take in nothing.

use std::process::{Command, Output};

fn scale(words: &[&str]) -> Output {
    let held = [
        "--cores",
        "3",
        "--proxies",
        "1",
        "--servers",
        "6",
        "--beats",
        "12",
        "--churn",
        "0",
        "--routes",
        "20",
    ];
    let held = [&held[..], &["--tenants", "5", "--services", "5", "--changes", "2", "--span", "2"]].concat();
    Command::new(env!("CARGO_BIN_EXE_scale")).args(held).args(words).output().expect("it runs")
}

fn value(text: &str, line: &str, resource: &str) -> f64 {
    let line = text.lines().find(|l| l.starts_with(line)).unwrap_or_else(|| panic!("{line} in {text}"));
    let value = line
        .split("; ")
        .flat_map(|part| part.rsplit_once(": ").map_or(part, |(_, rest)| rest).rsplit_once(' '));
    let mut value = value.filter(|(name, _)| name.trim() == resource);
    let (_, number) = value.next().unwrap_or_else(|| panic!("{resource} in {line}"));
    number.trim_end_matches(';').parse().expect("a number")
}

#[test]
fn a_small_run_measures_each_role_and_fits() {
    let output = scale(&["followers", "--sizes", "2,6,18", "--patience", "40"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for size in [2, 6, 18] {
        let of = |role: &str, resource: &str| value(&text, &format!("followers {size}, {role}:"), resource);
        assert!(of("follower", "kB/s in from registry") > 0.1, "{text}");
        assert!(of("follower", "calls/s") > 1.0 && of("registry", "peak MB") > 1.0, "{text}");
        assert!(of("registry", "kB/s in from load") > 0.1 && of("store", "disk MB") > 0.0, "{text}");
        assert!(of("order", "in force after sending, most ms") > 0.0, "{text}");
        assert!(
            of("shell", "servers rows") >= 6.0 && of("shell", "limiters rows") >= f64::from(size),
            "{text}"
        );
        // What followers are told is what registries tell them.
        let acknowledged = 3.0 * of("registry", "kB/s out to follower");
        let heard = f64::from(size) * of("follower", "kB/s in from registry");
        assert!((acknowledged - heard).abs() < 0.2 * acknowledged.max(heard), "{acknowledged} {heard}");
    }
    assert!(text.contains("fit followers, registry, connections: "), "{text}");
}

#[test]
fn a_run_whose_followers_take_in_nothing_fails() {
    for deaf in ["4", "1"] {
        let output = scale(&["followers", "--sizes", "4", "--patience", "6", "--deaf", deaf]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(!output.status.success(), "{deaf} of 4 deaf: {text}");
        let acknowledged =
            format!("{deaf} of 4 followers have taken in no configuration, the least knowing one 0 of 6");
        assert!(text.contains(&acknowledged), "{text}");
    }
}

#[test]
fn a_small_bad_day_says_how_long_all_take_and_fails_where_one_never_does() {
    let output = scale(&["bad-day", "--sizes", "3", "--patience", "40"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(value(&text, "bad day 3, back:", "s until the last knows all") > 0.0, "{text}");
    assert!(value(&text, "bad day 3, back, registries:", "kB out") > 0.1, "{text}");
    assert!(value(&text, "bad day 3, restart:", "s until the last acts by it") > 0.0, "{text}");
    let output = scale(&["bad-day", "--sizes", "3", "--patience", "6", "--deaf", "1"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(!output.status.success() && text.contains("1 of 3 followers have taken in no"), "{text}");
}

#[test]
fn what_is_asked_wrongly_is_named_with_what_is_allowed() {
    let output = scale(&["followrs"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && text.contains("followrs") && text.contains("followers, servers"),
        "{text}"
    );
}
