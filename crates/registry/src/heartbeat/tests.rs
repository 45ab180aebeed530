//! Tests of the parent module.

use super::*;

const VALID: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":3,"serverState":"draining","coldLeftMs":12.5,"callCount":4,"new":[1]}"#;

#[test]
fn mesh_becomes_a_prefix_of_the_service_name() {
    let service = |mesh: &str, service: &str| {
        let heartbeat =
            VALID.replace("{\"service\":\"huvo11a\"", &format!("{{{mesh}\"service\":\"{service}\""));
        parse("i-1", heartbeat.as_bytes()).map(|row| row.service)
    };
    assert_eq!(service("\"mesh\":\"north\",", "hall").as_deref(), Ok("north/hall"));
    assert_eq!(service("\"mesh\":\"north\",", "north/hall").as_deref(), Ok("north/hall"));
    assert_eq!(service("\"mesh\":null,", "hall").as_deref(), Ok("hall"));
    assert_eq!(service("", "north/hall").as_deref(), Ok("north/hall"));
    assert!(service("\"mesh\":\"south\",", "north/hall").is_err());
    assert!(service("\"mesh\":\"a/b\",", "hall").is_err());
}

#[test]
fn valid_heartbeat_is_parsed_and_an_invalid_one_names_the_field() {
    let row = parse("i-1", VALID.as_bytes()).expect("a heartbeat");
    assert_eq!((row.state, row.warmup_ms, row.call_count, row.slots), (server_state::DRAINING, 13, 4, 3));
    for (from, to, key) in [
        ("draining", "resting", "serverState"),
        ("10.128.0.9:8080", "here", "address"),
        ("\"callCount\":4", "\"callCount\":-4", "callCount"),
        ("\"service\":\"huvo11a\",", "", "service"),
    ] {
        let invalid = VALID.replace(from, to);
        assert!(parse("i-1", invalid.as_bytes()).expect_err(key).to_string().contains(key), "{invalid}");
    }
    assert!(parse("i-1", &VALID.as_bytes()[..40]).is_err());
}
