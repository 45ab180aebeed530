//! Applying commands to the agreed state: each version is accepted at most once, and the outcome of versions that are no
//! longer remembered is unknown.

use assert_matches::assert_matches;
use oatbank_cluster_state::messages::{AcceptedVersion, AgreedState, MAX_CONFIG_BYTES};
use oatbank_config_model::{Configuration, Proposal};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_registry::operator_command::{apply, Applied, OperatorCommand, Rejection, REMEMBERED_VERSIONS};
use prost::Message;

fn body(version: u64, built_on: u64, path: &str) -> String {
    let built_on = if built_on == 0 { "0".to_owned() } else { format!("\"r{built_on}\"") };
    format!(
        r#"{{"version":"r{version}","builtOn":{built_on},"routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"],"rows":[["r","h","{path}","safe",1000,400,2,2,"s"]]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
    )
}

fn put(version: u64, built_on: u64, path: &str) -> OperatorCommand {
    OperatorCommand::Configure(Proposal::replace(body(version, built_on, path).as_bytes()).expect("readable"))
}

fn change(version: u64, built_on: u64) -> OperatorCommand {
    let body =
        format!(r#"{{"version":"r{version}","builtOn":"r{built_on}","remove":{{"routes":["none"]}}}}"#);
    OperatorCommand::Configure(Proposal::change(body.as_bytes()).expect("readable"))
}

fn next(agreed_state: &AgreedState, command: &OperatorCommand) -> AgreedState {
    match apply(agreed_state, command) {
        Ok(Applied::Next(next)) => *next,
        other => panic!("not accepted: {other:?}"),
    }
}

fn kind(agreed_state: &AgreedState, command: &OperatorCommand) -> Option<ErrorKind> {
    apply(agreed_state, command).err().map(|rejection| rejection.kind)
}

fn version(agreed_state: &AgreedState) -> u64 {
    Configuration::read(&agreed_state.config).expect("a configuration").version
}

#[test]
fn repeated_version_is_already_in_force_and_a_conflicting_one_is_stale() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    assert_eq!(apply(&second, &put(7, 3, "/p/")), Ok(Applied::AlreadyInForce), "the same version repeated");
    assert_eq!(apply(&second, &put(3, 0, "/p/")), Ok(Applied::AlreadyInForce), "an older version repeated");
    assert_eq!(kind(&second, &put(8, 3, "/p/")), Some(ErrorKind::StaleVersion));
    assert_eq!(kind(&first, &put(3, 3, "/p/")), Some(ErrorKind::Invalid), "not above the current one");
    assert_eq!(
        kind(&second, &put(7, 3, "/q/")),
        Some(ErrorKind::StaleVersion),
        "its version belongs to another proposal"
    );
    assert_eq!(
        kind(&second, &put(5, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "between two consecutive accepted versions"
    );
    assert_eq!(
        kind(&second, &put(2, 0, "/p/")),
        Some(ErrorKind::OutcomeUnknown),
        "below the oldest remembered version"
    );
    assert_eq!(
        kind(&second, &put(2, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "an accepted version is above the one it builds on"
    );
}

#[test]
fn proposals_are_compared_by_content_and_call_but_not_by_white_space() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let reformatted = body(3, 0, "/p/").replace(",\"", " ,\n \"");
    let reformatted =
        OperatorCommand::Configure(Proposal::replace(reformatted.as_bytes()).expect("readable"));
    assert_eq!(apply(&first, &reformatted), Ok(Applied::AlreadyInForce), "only white space differs");
    assert_eq!(
        kind(&first, &put(9, 0, "/p/")),
        Some(ErrorKind::StaleVersion),
        "the same content under another version"
    );

    let second = next(&first, &change(9, 3));
    assert_eq!(apply(&second, &change(9, 3)), Ok(Applied::AlreadyInForce));
    assert_eq!(
        kind(&second, &put(9, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "a replacement under the version of a change"
    );
    let third = next(&second, &put(12, 9, "/p/"));
    assert_eq!(
        kind(&third, &change(12, 9)),
        Some(ErrorKind::StaleVersion),
        "a change under the version of a replacement"
    );

    // No body is valid for both calls.
    assert!(Proposal::change(body(9, 3, "/p/").as_bytes()).is_err());
    assert!(Proposal::replace(br#"{"version":"r9","builtOn":"r3"}"#).is_err());
}

#[test]
fn outcome_of_a_forgotten_version_is_unknown() {
    let mut agreed_state = AgreedState::default();
    let mut before = 0;
    let version_at = |i: u64| 10 + 3 * i;
    let count = REMEMBERED_VERSIONS as u64 + 300;
    for i in 0..count {
        agreed_state = next(&agreed_state, &put(version_at(i), before, "/p/"));
        before = version_at(i);
    }
    let built_on = |i: u64| if i == 0 { 0 } else { version_at(i - 1) };
    for i in (0..count).step_by(7) {
        let result = apply(&agreed_state, &put(version_at(i), built_on(i), "/p/"));
        match i < 300 {
            true => assert_matches!(result, Err(Rejection { kind: ErrorKind::OutcomeUnknown, .. }), "{i}"),
            false => assert_eq!(result, Ok(Applied::AlreadyInForce), "{i}"),
        }
    }
    let last = count - 1;
    assert_eq!(
        kind(&agreed_state, &put(version_at(last), built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "a conflicting proposal"
    );
    assert_eq!(
        kind(&agreed_state, &put(version_at(last) - 1, built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "between two accepted versions"
    );
    assert_eq!(
        kind(&agreed_state, &put(version_at(last) + 9, built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "built on a version that is no longer in force"
    );
    let impossible = put(version_at(0), version_at(last), "/q/");
    assert_eq!(
        kind(&agreed_state, &impossible),
        Some(ErrorKind::Invalid),
        "its version is below the one it builds on"
    );
    let without_versions = AgreedState { steps: Vec::new(), digests: Vec::new(), ..agreed_state.clone() };
    let bytes = agreed_state.encoded_len() - without_versions.encoded_len();
    assert!(bytes <= 10 * REMEMBERED_VERSIONS, "{bytes} bytes for {REMEMBERED_VERSIONS} versions");
    assert_eq!(agreed_state.digests.len(), REMEMBERED_VERSIONS);
}

#[test]
fn unpacked_list_of_earlier_releases_is_continued_and_a_lost_list_makes_outcomes_unknown() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    // The state as written by a release that does not know the packed list.
    let digest = second.digests[1];
    let old = AgreedState {
        accepted: vec![AcceptedVersion { version: 7, digest }],
        steps: Vec::new(),
        digests: Vec::new(),
        ..second.clone()
    };
    assert_eq!(apply(&old, &put(7, 3, "/p/")), Ok(Applied::AlreadyInForce));
    assert_eq!(kind(&old, &put(3, 0, "/p/")), Some(ErrorKind::OutcomeUnknown));
    let third = next(&old, &put(8, 7, "/p/"));
    assert!(third.accepted.is_empty());
    assert_eq!(apply(&third, &put(7, 3, "/p/")), Ok(Applied::AlreadyInForce));
    assert_eq!(apply(&third, &put(8, 7, "/p/")), Ok(Applied::AlreadyInForce));
    let lost = AgreedState { accepted: Vec::new(), ..old };
    assert_eq!(kind(&lost, &put(7, 3, "/p/")), Some(ErrorKind::OutcomeUnknown));
    assert_eq!(version(&next(&lost, &put(8, 7, "/p/"))), 8);
}

#[test]
fn too_long_configuration_is_rejected_with_the_limit() {
    let long =
        |version, built_on, length: usize| put(version, built_on, &format!("/{}/", "x".repeat(length)));
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let available_length = MAX_CONFIG_BYTES + 1 - next(&first, &long(7, 3, 1)).config.len();
    let largest = next(&first, &long(7, 3, available_length));
    assert_eq!(largest.config.len(), MAX_CONFIG_BYTES);
    let rejection = apply(&first, &long(7, 3, available_length + 1)).expect_err("one byte too long");
    assert_eq!(rejection.kind, ErrorKind::TooLong);
    assert!(rejection.problem.contains(&MAX_CONFIG_BYTES.to_string()), "{}", rejection.problem);
    // A short change may also make the configuration too long.
    let add = r#"{"version":"r9","builtOn":"r7","putItems":{"services":{"columns":["name"],"rows":[["another"]]}}}"#;
    let add = OperatorCommand::Configure(Proposal::change(add.as_bytes()).expect("readable"));
    assert_eq!(kind(&largest, &add), Some(ErrorKind::TooLong));
    assert_eq!(version(&next(&largest, &put(9, 7, "/p/"))), 9, "a shorter configuration is accepted");
}

#[test]
fn evacuations_begin_and_end_independently_of_configurations() {
    let command = |zone: &str, begin| OperatorCommand::Evacuate { zone: zone.into(), begin };
    let agreed_state = next(&AgreedState::default(), &command("z", true));
    assert_eq!(apply(&agreed_state, &command("z", true)), Ok(Applied::AlreadyInForce), "repeated");
    let agreed_state = next(&agreed_state, &put(3, 0, "/p/"));
    assert_eq!(agreed_state.evacuated_zones, ["z"]);
    let back = next(&agreed_state, &command("z", false));
    assert!(back.evacuated_zones.is_empty());
    assert_eq!(apply(&back, &command("z", false)), Ok(Applied::AlreadyInForce));
}
