//! Tests of the parent module.

use super::*;
use serde_json::json;

fn file() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "counter": "127.0.0.1:3",
        "known": {}, "settings": {
            "balancers": 2, "classes": [
                {"name": "a", "deadline": 100, "goal_time": 50, "idempotency": "free", "importance": 1},
                {"name": "b", "deadline": 100.5, "idempotency": "single_shot", "importance": 1},
            ],
            "plans": [{"name": "p", "rate": 1}],
            "ceilings": {"max_attempts": 4, "conn_idle": 1000}, "safety": {"warm_after": 1},
        }
    })
}

/// Checks the file with the value at `path` replaced, appended to a list, or removed.
fn with(path: &str, value: Option<Value>) -> Result<(), String> {
    let mut now = file();
    let (parent, key) = path.rsplit_once('/').expect("a pointer");
    let parent = now.pointer_mut(parent).expect("a parent");
    match (parent, value) {
        (Value::Array(list), Some(value)) => list.push(value),
        (Value::Array(list), None) => drop(list.remove(key.parse().expect("a number"))),
        (Value::Object(fields), Some(value)) => drop(fields.insert(key.into(), value)),
        (Value::Object(fields), None) => drop(fields.remove(key)),
        other => panic!("{path} is {other:?}"),
    }
    check(&file(), &now)
}

#[test]
fn valid_changes_are_accepted() {
    let class =
        json!({"name": "c", "deadline": 1, "idempotency": "guarded", "importance": 2, "group": "all"});
    assert_eq!(check(&file(), &file()), Ok(()));
    assert_eq!(with("/settings/classes/2", Some(class)), Ok(()));
    assert_eq!(with("/settings/classes/0", None), Ok(()));
    assert_eq!(with("/settings/classes/0/idempotency", Some(json!("single_shot"))), Ok(()));
    assert_eq!(with("/settings/ceilings/max_attempts", Some(json!(1))), Ok(()));
    assert_eq!(with("/known", None), Ok(()));
}

#[test]
fn a_missing_key_is_reported_by_name() {
    for path in [
        "/listen",
        "/counter",
        "/settings",
        "/settings/classes",
        "/settings/plans",
        "/settings/ceilings",
        "/settings/safety",
        "/settings/balancers",
        "/settings/safety/warm_after",
        "/settings/ceilings/max_attempts",
        "/settings/classes/0/deadline",
        "/settings/classes/1/name",
        "/settings/classes/1/idempotency",
        "/settings/classes/0/importance",
        "/settings/plans/0/name",
    ] {
        let key = path.trim_start_matches('/').replace('/', ".");
        let told = with(path, None).expect_err(path);
        assert!(told.starts_with(&key), "{path}: {told}");
    }
    assert!(check(&file(), &Value::Null).is_err());
}

#[test]
fn deadlines_and_attempt_limits_must_be_positive() {
    for bad in [json!(0), json!(-1), json!("4"), json!(null), json!([4]), json!(true)] {
        for path in ["/settings/classes/0/deadline", "/settings/ceilings/max_attempts"] {
            assert!(with(path, Some(bad.clone())).is_err(), "{path}: {bad}");
        }
    }
    assert!(with("/settings/ceilings/max_attempts", Some(json!(1.5))).is_err());
    let twice = json!({"name": "a", "deadline": 1, "idempotency": "free", "importance": 1});
    assert!(with("/settings/classes/2", Some(twice)).is_err());
}

#[test]
fn restart_only_changes_are_reported() {
    let mut now = file();
    now["limits"] = json!({"sockets": 2});
    now["settings"]["ceilings"]["max_attempts"] = json!(2);
    assert_eq!(restart_only_changes(&file(), &now).collect::<Vec<_>>(), ["limits"]);
}
