//! Parsing of API calls, and the agreement of [`CALLS`] with the API description.

use assert_matches::assert_matches;
use oatbank_config_model::{parse_call, ApiCall, CALLS};

const DESCRIPTION: &str = include_str!("../../../docs/api/control.yaml");

/// Extracts the methods and paths of the description: the keys indented by two under `paths`, and their methods.
fn described() -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut path = "";
    let lines = DESCRIPTION.lines().skip_while(|line| *line != "paths:").skip(1);
    for line in lines.take_while(|line| line.starts_with(' ')) {
        if let Some(key) = line.strip_prefix("  /").and_then(|rest| rest.strip_suffix(':')) {
            path = key;
        } else if let Some(method @ ("get" | "post" | "put" | "delete")) =
            line.strip_prefix("    ").and_then(|rest| rest.strip_suffix(':'))
        {
            found.push((method.to_uppercase(), format!("/{path}")));
        }
    }
    found
}

#[test]
fn api_description_lists_the_same_calls() {
    let calls: Vec<_> = CALLS.iter().map(|(method, path)| (method.to_string(), path.to_string())).collect();
    assert_eq!(described(), calls);
}

#[test]
fn every_call_is_parsed_only_with_its_own_method() {
    let mut seen = Vec::new();
    for (method, template) in CALLS {
        let path = template.replace("{id}", "i-7f3a91c2").replace("{zone}", "ub-east-hall");
        let call = parse_call(method, &path).expect(template);
        assert!(!seen.contains(&call), "{template} is parsed as another call");
        seen.push(call);
        let other = if *method == "GET" { "POST" } else { "GET" };
        assert_matches!(parse_call(other, &path), None, "{other} {path}");
        assert_matches!(parse_call(method, &format!("{path}/more")), None);
    }
}

#[test]
fn path_names_are_decoded_and_empty_ones_rejected() {
    assert_matches!(parse_call("POST", "/servers/i%2F7%20%C3%A9/beat?x=1"), Some(ApiCall::Heartbeat(id)) if id == "i/7 é");
    assert_matches!(parse_call("POST", "/empty/a+b/end"), Some(ApiCall::EmptyEnd(zone)) if zone == "a+b");
    assert_matches!(parse_call("POST", "/servers//beat"), None);
    assert_matches!(parse_call("POST", "/servers/%FF/beat"), None);
    assert_matches!(parse_call("POST", "servers/i/beat"), None);
}

#[test]
fn lookup_query_gives_host_region_and_zone() {
    let lookup = |name: &str, region: &str, zone: &str| {
        Some(ApiCall::Lookup { name: name.into(), region: region.into(), zone: zone.into() })
    };
    let asked = "/lookup?name=jepu9.example&region=ulaan+baatar&zone=ub%2Deast&other=1";
    assert_eq!(parse_call("GET", asked), lookup("jepu9.example", "ulaan baatar", "ub-east"));
    assert_eq!(parse_call("GET", "/lookup?zone=z"), lookup("", "", "z"));
}
