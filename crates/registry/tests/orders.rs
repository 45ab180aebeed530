//! What an order makes of what is decided: one number, one change, and what is told of numbers long past.

use assert_matches::assert_matches;
use oatbank_cluster_state::messages::{Decided, Taken, LONGEST_CONFIG};
use oatbank_config_model::{Playbill, Proposal};
use oatbank_node_runtime::error_kind::Kind;
use oatbank_registry::operator_command::{settle, Order, Refusal, Settled, REMEMBERED};
use prost::Message;

fn body(version: u64, built_on: u64, path: &str) -> String {
    let built_on = if built_on == 0 { "0".to_owned() } else { format!("\"r{built_on}\"") };
    format!(
        r#"{{"version":"r{version}","builtOn":{built_on},"routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"],"rows":[["r","h","{path}","safe",1000,400,2,2,"s"]]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
    )
}

fn put(version: u64, built_on: u64, path: &str) -> Order {
    Order::Settings(Proposal::replace(body(version, built_on, path).as_bytes()).expect("readable"))
}

fn change(version: u64, built_on: u64) -> Order {
    let body =
        format!(r#"{{"version":"r{version}","builtOn":"r{built_on}","remove":{{"routes":["none"]}}}}"#);
    Order::Settings(Proposal::change(body.as_bytes()).expect("readable"))
}

fn next(decided: &Decided, order: &Order) -> Decided {
    match settle(decided, order) {
        Ok(Settled::Next(next)) => *next,
        other => panic!("not taken: {other:?}"),
    }
}

fn kind(decided: &Decided, order: &Order) -> Option<Kind> {
    settle(decided, order).err().map(|refusal| refusal.kind)
}

fn version(decided: &Decided) -> u64 {
    Playbill::read(&decided.config).expect("a configuration").version
}

#[test]
fn a_repeat_is_taken_and_changes_nothing_and_a_rival_is_stale() {
    let first = next(&Decided::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    assert_eq!(settle(&second, &put(7, 3, "/p/")), Ok(Settled::Already), "the same again");
    assert_eq!(settle(&second, &put(3, 0, "/p/")), Ok(Settled::Already), "an older one again");
    assert_eq!(kind(&second, &put(8, 3, "/p/")), Some(Kind::Stale));
    assert_eq!(kind(&first, &put(3, 3, "/p/")), Some(Kind::Invalid), "not above the current one");
    assert_eq!(kind(&second, &put(7, 3, "/q/")), Some(Kind::Stale), "its number is another's");
    assert_eq!(kind(&second, &put(5, 3, "/p/")), Some(Kind::Stale), "between two that follow each other");
    assert_eq!(kind(&second, &put(2, 0, "/p/")), Some(Kind::Unsure), "before the oldest that is remembered");
    assert_eq!(
        kind(&second, &put(2, 3, "/p/")),
        Some(Kind::Stale),
        "nothing taken lies below what it builds on"
    );
}

#[test]
fn what_was_sent_is_told_apart_by_its_content_and_its_call_and_not_by_its_white_space() {
    let first = next(&Decided::default(), &put(3, 0, "/p/"));
    let spaced = body(3, 0, "/p/").replace(",\"", " ,\n \"");
    let spaced = Order::Settings(Proposal::replace(spaced.as_bytes()).expect("readable"));
    assert_eq!(settle(&first, &spaced), Ok(Settled::Already), "it is the same change");
    assert_eq!(kind(&first, &put(9, 0, "/p/")), Some(Kind::Stale), "the same content under another number");

    let second = next(&first, &change(9, 3));
    assert_eq!(settle(&second, &change(9, 3)), Ok(Settled::Already));
    assert_eq!(
        kind(&second, &put(9, 3, "/p/")),
        Some(Kind::Stale),
        "a whole one under the number of a change"
    );
    let third = next(&second, &put(12, 9, "/p/"));
    assert_eq!(kind(&third, &change(12, 9)), Some(Kind::Stale), "a change under the number of a whole one");

    // No body is read by both calls.
    assert!(Proposal::change(body(9, 3, "/p/").as_bytes()).is_err());
    assert!(Proposal::replace(br#"{"version":"r9","builtOn":"r3"}"#).is_err());
}

#[test]
fn whatever_is_forgotten_is_unclear_and_never_refused_or_taken_again() {
    let mut decided = Decided::default();
    let mut before = 0;
    let number = |nth: u64| 10 + 3 * nth;
    let many = REMEMBERED as u64 + 300;
    for nth in 0..many {
        decided = next(&decided, &put(number(nth), before, "/p/"));
        before = number(nth);
    }
    let built_on = |nth: u64| if nth == 0 { 0 } else { number(nth - 1) };
    for nth in (0..many).step_by(7) {
        let told = settle(&decided, &put(number(nth), built_on(nth), "/p/"));
        match nth < 300 {
            true => assert_matches!(told, Err(Refusal { kind: Kind::Unsure, .. }), "{nth}"),
            false => assert_eq!(told, Ok(Settled::Already), "{nth}"),
        }
    }
    let last = many - 1;
    assert_eq!(kind(&decided, &put(number(last), built_on(last), "/q/")), Some(Kind::Stale), "a rival");
    assert_eq!(kind(&decided, &put(number(last) - 1, built_on(last), "/q/")), Some(Kind::Stale), "in a gap");
    assert_eq!(kind(&decided, &put(number(last) + 9, built_on(last), "/q/")), Some(Kind::Stale), "too late");
    let impossible = put(number(0), number(last), "/q/");
    assert_eq!(kind(&decided, &impossible), Some(Kind::Invalid), "it lies below what it builds on");
    let bare = Decided { steps: Vec::new(), digests: Vec::new(), ..decided.clone() };
    let cost = decided.encoded_len() - bare.encoded_len();
    assert!(cost <= 10 * REMEMBERED, "{cost} bytes for {REMEMBERED} versions");
    assert_eq!(decided.digests.len(), REMEMBERED);
}

#[test]
fn the_list_of_programs_before_is_gone_on_from_and_a_lost_one_makes_everything_unclear() {
    let first = next(&Decided::default(), &put(3, 0, "/p/"));
    let second = next(&first, &put(7, 3, "/p/"));
    // As one that knows nothing of the packed list has left it.
    let digest = second.digests[1];
    let old = Decided {
        taken: vec![Taken { version: 7, digest }],
        steps: Vec::new(),
        digests: Vec::new(),
        ..second.clone()
    };
    assert_eq!(settle(&old, &put(7, 3, "/p/")), Ok(Settled::Already));
    assert_eq!(kind(&old, &put(3, 0, "/p/")), Some(Kind::Unsure));
    let third = next(&old, &put(8, 7, "/p/"));
    assert!(third.taken.is_empty());
    assert_eq!(settle(&third, &put(7, 3, "/p/")), Ok(Settled::Already));
    assert_eq!(settle(&third, &put(8, 7, "/p/")), Ok(Settled::Already));
    let lost = Decided { taken: Vec::new(), ..old };
    assert_eq!(kind(&lost, &put(7, 3, "/p/")), Some(Kind::Unsure));
    assert_eq!(version(&next(&lost, &put(8, 7, "/p/"))), 8);
}

#[test]
fn what_would_be_too_long_to_be_told_on_is_refused_with_the_bound() {
    let long =
        |version, built_on, length: usize| put(version, built_on, &format!("/{}/", "x".repeat(length)));
    let first = next(&Decided::default(), &put(3, 0, "/p/"));
    let room = LONGEST_CONFIG + 1 - next(&first, &long(7, 3, 1)).config.len();
    let largest = next(&first, &long(7, 3, room));
    assert_eq!(largest.config.len(), LONGEST_CONFIG);
    let refusal = settle(&first, &long(7, 3, room + 1)).expect_err("a byte more");
    assert_eq!(refusal.kind, Kind::TooLong);
    assert!(refusal.problem.contains(&LONGEST_CONFIG.to_string()), "{}", refusal.problem);
    // A change may make it too long as well, however short it is itself.
    let add = r#"{"version":"r9","builtOn":"r7","putItems":{"services":{"columns":["name"],"rows":[["another"]]}}}"#;
    let add = Order::Settings(Proposal::change(add.as_bytes()).expect("readable"));
    assert_eq!(kind(&largest, &add), Some(Kind::TooLong));
    assert_eq!(version(&next(&largest, &put(9, 7, "/p/"))), 9, "and a shorter one is taken");
}

#[test]
fn zones_are_emptied_and_taken_back_and_outlive_configurations() {
    let order = |zone: &str, begin| Order::Empty { zone: zone.into(), begin };
    let decided = next(&Decided::default(), &order("z", true));
    assert_eq!(settle(&decided, &order("z", true)), Ok(Settled::Already), "again");
    let decided = next(&decided, &put(3, 0, "/p/"));
    assert_eq!(decided.empty, ["z"]);
    let back = next(&decided, &order("z", false));
    assert!(back.empty.is_empty());
    assert_eq!(settle(&back, &order("z", false)), Ok(Settled::Already));
}
