//! Tests of the parent module.

use super::*;
use serde_json::json;

#[test]
fn nested_settings_are_flattened_to_lines() {
    let lines = flatten(&json!({
        "balancers": 3, "discovery": "pushed", "areas": ["a b", "c"],
        "classes": [{"name": "x", "deadline": 4000.0}], "safety": {"warm_after": 16000.0}, "plans": []
    }));
    let mut lines: Vec<&str> = lines.lines().collect();
    lines.sort_unstable();
    let want = [
        "areas=a_b,c",
        "balancers=3",
        "classes.0.deadline=4000.0",
        "classes.0.name=x",
        "classes.count=1",
        "discovery=pushed",
        "plans.count=0",
        "safety.warm_after=16000.0",
    ];
    assert_eq!(lines, want);
}

#[test]
fn a_configuration_without_classes_is_rejected() {
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}"#;
    assert!(matches!(Config::parse(text), Err(ConfigError::Settings(_))));
    assert!(matches!(Config::parse("{"), Err(ConfigError::Malformed(_))));
}
