//! Tests of the parent module.

use super::*;

/// An example settings file from the users.
pub(crate) const EXAMPLE: &str = include_str!("../../tests/node.toml");

#[test]
fn example_settings_file_is_read() {
    let settings = Settings::parse(EXAMPLE).expect("readable");
    assert_eq!(settings.node_name, "edge-akl-penrose-1");
    assert_eq!(settings.rpc_address(2), "10.1.0.35:7742".parse().expect("an address"));
    assert_eq!(settings.listen_address("front"), "10.1.0.35:8686".parse().ok());
    assert_eq!(settings.region_of("chc-hornby"), Some("chc"));
    assert_eq!((settings.bounds.revoke_ms, settings.bounds.revoked_fail), (5000.0, false));
}

#[test]
fn all_errors_are_reported_together_with_line_and_key() {
    let bad = EXAMPLE
        .replace("ip = \"10.1.0.35\"", "ip = \"here\"")
        .replace("innerPorts = [7740,7755]", "innerPorts = [7740]")
        .replace("drainMs = 3000", "drainMs = -1")
        .replace("beatEveryMs = 1500\n", "");
    let errors = Settings::parse(&bad).expect_err("four errors");
    let keys: Vec<&str> = errors.iter().map(|m| m.key.as_str()).collect();
    assert_eq!(keys, ["ip", "innerPorts", "beatEveryMs", "bounds.drainMs"]);
    assert_eq!(errors[0].to_string(), "line 5: ip: is \"here\"; allowed: an IPv4 address");
    assert_eq!(errors[2].line, 0, "a missing key has no line");
    assert!(Settings::parse("a = \n").expect_err("invalid TOML")[0].line == 1);
}
