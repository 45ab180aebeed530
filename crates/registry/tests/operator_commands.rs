//! What an order makes of what is decided: one number, one change, and what is told of numbers long past.

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

fn next(agreed_state: &AgreedState, order: &OperatorCommand) -> AgreedState {
    match apply(agreed_state, order) {
        Ok(Applied::Next(next)) => *next,
        other => panic!("not taken: {other:?}"),
    }
}

fn kind(agreed_state: &AgreedState, order: &OperatorCommand) -> Option<ErrorKind> {
    apply(agreed_state, order).err().map(|refusal| refusal.kind)
}

fn version(agreed_state: &AgreedState) -> u64 {
    Configuration::read(&agreed_state.config).expect("a configuration").version
}

#[test]
fn a_repeat_is_taken_and_changes_nothing_and_a_rival_is_stale() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    assert_eq!(apply(&second, &put(7, 3, "/p/")), Ok(Applied::AlreadyInForce), "the same again");
    assert_eq!(apply(&second, &put(3, 0, "/p/")), Ok(Applied::AlreadyInForce), "an older one again");
    assert_eq!(kind(&second, &put(8, 3, "/p/")), Some(ErrorKind::StaleVersion));
    assert_eq!(kind(&first, &put(3, 3, "/p/")), Some(ErrorKind::Invalid), "not above the current one");
    assert_eq!(kind(&second, &put(7, 3, "/q/")), Some(ErrorKind::StaleVersion), "its number is another's");
    assert_eq!(
        kind(&second, &put(5, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "between two that follow each other"
    );
    assert_eq!(
        kind(&second, &put(2, 0, "/p/")),
        Some(ErrorKind::OutcomeUnknown),
        "before the oldest that is remembered"
    );
    assert_eq!(
        kind(&second, &put(2, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "nothing taken lies below what it builds on"
    );
}

#[test]
fn what_was_sent_is_told_apart_by_its_content_and_its_call_and_not_by_its_white_space() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let spaced = body(3, 0, "/p/").replace(",\"", " ,\n \"");
    let spaced = OperatorCommand::Configure(Proposal::replace(spaced.as_bytes()).expect("readable"));
    assert_eq!(apply(&first, &spaced), Ok(Applied::AlreadyInForce), "it is the same change");
    assert_eq!(
        kind(&first, &put(9, 0, "/p/")),
        Some(ErrorKind::StaleVersion),
        "the same content under another number"
    );

    let second = next(&first, &change(9, 3));
    assert_eq!(apply(&second, &change(9, 3)), Ok(Applied::AlreadyInForce));
    assert_eq!(
        kind(&second, &put(9, 3, "/p/")),
        Some(ErrorKind::StaleVersion),
        "a whole one under the number of a change"
    );
    let third = next(&second, &put(12, 9, "/p/"));
    assert_eq!(
        kind(&third, &change(12, 9)),
        Some(ErrorKind::StaleVersion),
        "a change under the number of a whole one"
    );

    // No body is read by both calls.
    assert!(Proposal::change(body(9, 3, "/p/").as_bytes()).is_err());
    assert!(Proposal::replace(br#"{"version":"r9","builtOn":"r3"}"#).is_err());
}

#[test]
fn whatever_is_forgotten_is_unclear_and_never_refused_or_taken_again() {
    let mut agreed_state = AgreedState::default();
    let mut before = 0;
    let number = |nth: u64| 10 + 3 * nth;
    let many = REMEMBERED_VERSIONS as u64 + 300;
    for nth in 0..many {
        agreed_state = next(&agreed_state, &put(number(nth), before, "/p/"));
        before = number(nth);
    }
    let built_on = |nth: u64| if nth == 0 { 0 } else { number(nth - 1) };
    for nth in (0..many).step_by(7) {
        let told = apply(&agreed_state, &put(number(nth), built_on(nth), "/p/"));
        match nth < 300 {
            true => assert_matches!(told, Err(Rejection { kind: ErrorKind::OutcomeUnknown, .. }), "{nth}"),
            false => assert_eq!(told, Ok(Applied::AlreadyInForce), "{nth}"),
        }
    }
    let last = many - 1;
    assert_eq!(
        kind(&agreed_state, &put(number(last), built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "a rival"
    );
    assert_eq!(
        kind(&agreed_state, &put(number(last) - 1, built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "in a gap"
    );
    assert_eq!(
        kind(&agreed_state, &put(number(last) + 9, built_on(last), "/q/")),
        Some(ErrorKind::StaleVersion),
        "too late"
    );
    let impossible = put(number(0), number(last), "/q/");
    assert_eq!(kind(&agreed_state, &impossible), Some(ErrorKind::Invalid), "it lies below what it builds on");
    let bare = AgreedState { steps: Vec::new(), digests: Vec::new(), ..agreed_state.clone() };
    let cost = agreed_state.encoded_len() - bare.encoded_len();
    assert!(cost <= 10 * REMEMBERED_VERSIONS, "{cost} bytes for {REMEMBERED_VERSIONS} versions");
    assert_eq!(agreed_state.digests.len(), REMEMBERED_VERSIONS);
}

#[test]
fn the_list_of_programs_before_is_gone_on_from_and_a_lost_one_makes_everything_unclear() {
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    // As one that knows nothing of the packed list has left it.
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
fn what_would_be_too_long_to_be_told_on_is_refused_with_the_bound() {
    let long =
        |version, built_on, length: usize| put(version, built_on, &format!("/{}/", "x".repeat(length)));
    let first = next(&AgreedState::default(), &put(3, 0, "/p/"));
    let room = MAX_CONFIG_BYTES + 1 - next(&first, &long(7, 3, 1)).config.len();
    let largest = next(&first, &long(7, 3, room));
    assert_eq!(largest.config.len(), MAX_CONFIG_BYTES);
    let refusal = apply(&first, &long(7, 3, room + 1)).expect_err("a byte more");
    assert_eq!(refusal.kind, ErrorKind::TooLong);
    assert!(refusal.problem.contains(&MAX_CONFIG_BYTES.to_string()), "{}", refusal.problem);
    // A change may make it too long as well, however short it is itself.
    let add = r#"{"version":"r9","builtOn":"r7","putItems":{"services":{"columns":["name"],"rows":[["another"]]}}}"#;
    let add = OperatorCommand::Configure(Proposal::change(add.as_bytes()).expect("readable"));
    assert_eq!(kind(&largest, &add), Some(ErrorKind::TooLong));
    assert_eq!(version(&next(&largest, &put(9, 7, "/p/"))), 9, "and a shorter one is taken");
}

#[test]
fn zones_are_emptied_and_taken_back_and_outlive_configurations() {
    let order = |zone: &str, begin| OperatorCommand::Evacuate { zone: zone.into(), begin };
    let agreed_state = next(&AgreedState::default(), &order("z", true));
    assert_eq!(apply(&agreed_state, &order("z", true)), Ok(Applied::AlreadyInForce), "again");
    let agreed_state = next(&agreed_state, &put(3, 0, "/p/"));
    assert_eq!(agreed_state.evacuated_zones, ["z"]);
    let back = next(&agreed_state, &order("z", false));
    assert!(back.evacuated_zones.is_empty());
    assert_eq!(apply(&back, &order("z", false)), Ok(Applied::AlreadyInForce));
}
