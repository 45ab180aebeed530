//! Checks that each rule reports a history that violates it and accepts one that just keeps it.

use oatbank_simulation::checker::check;
use oatbank_simulation::history::{AppliedState, Content, Event, OperatorCommand, What};
use std::net::Ipv4Addr;
use std::rc::Rc;

const AT: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);

fn order(number: u64, built_on: u64, tag: u64, what: What) -> Event {
    Event::Ordered(OperatorCommand { number, built_on, tag, what })
}

fn content(number: u64, tags: &[u64]) -> Content {
    Content { number, tags: tags.to_vec() }
}

fn read(began: f64, number: u64, tags: &[u64]) -> Event {
    Event::Read(began, AT, 200, content(number, tags))
}

fn acts(process: u64, acts: bool, number: u64, tags: &[u64], servers: &[&str]) -> Event {
    let servers = Rc::new(servers.iter().map(ToString::to_string).collect());
    Event::Acts(
        0,
        process,
        AppliedState { acts, content: Rc::new(content(number, tags)), empty: Vec::new(), servers },
    )
}

/// Checks a history in which r1 and r2 are acknowledged at 100 and 200 ms, followed by `more`; returns the broken rules.
fn after_two(more: Vec<(f64, Event)>) -> Vec<&'static str> {
    let mut history = vec![
        (0.0, order(1, 0, 1, What::Replace)),
        (0.0, Event::Asked(0, AT)),
        (100.0, Event::OperatorAnswer(0, AT, Some(200))),
        (150.0, order(2, 1, 2, What::Change)),
        (150.0, Event::Asked(1, AT)),
        (200.0, Event::OperatorAnswer(1, AT, Some(200))),
    ];
    history.extend(more);
    check(&history).into_iter().map(|broken| broken.rule).collect()
}

#[test]
fn what_is_acknowledged_is_read_from_then_on() {
    assert!(after_two(vec![(300.0, read(250.0, 2, &[1, 2]))]).is_empty());
    assert!(
        after_two(vec![(300.0, read(150.0, 1, &[1]))]).is_empty(),
        "the read began before the acknowledgement"
    );
    assert_eq!(after_two(vec![(300.0, read(250.0, 1, &[1]))]), ["reads"]);
    assert_eq!(after_two(vec![(300.0, Event::Read(250.0, AT, 404, Content::default()))]), ["reads"]);
    assert!(after_two(vec![(300.0, Event::Read(250.0, AT, 504, Content::default()))]).is_empty());
    let newer = [(210.0, order(3, 2, 3, What::Replace)), (220.0, Event::Asked(2, AT))];
    let twice = |later| {
        let reads = [(300.0, read(250.0, 3, &[3])), (400.0, read(later, 2, &[1, 2]))];
        after_two(newer.iter().cloned().chain(reads).collect())
    };
    assert!(twice(290.0).is_empty(), "the reads overlap");
    assert_eq!(twice(310.0), ["reads"]);
}

#[test]
fn one_change_a_number_and_nothing_that_nobody_ordered() {
    let rival = |number, built_on, status| {
        vec![
            (210.0, order(number, built_on, 9, What::Replace)),
            (210.0, Event::Asked(2, AT)),
            (220.0, Event::OperatorAnswer(2, AT, Some(status))),
        ]
    };
    assert!(after_two(rival(2, 1, 412)).is_empty());
    assert!(after_two(rival(3, 2, 200)).is_empty());
    assert!(after_two(rival(2, 1, 200)).contains(&"one change a number"));
    assert!(after_two(rival(3, 1, 200)).contains(&"one change a number"), "same base version");
    assert_eq!(after_two(vec![(300.0, read(250.0, 3, &[7]))]), ["in force"]);
    assert_eq!(
        after_two(vec![(300.0, read(250.0, 2, &[2]))]),
        ["in force"],
        "the routes of the base version are missing"
    );
    let mut refused = rival(3, 2, 412);
    refused.push((300.0, read(250.0, 3, &[9])));
    assert!(after_two(refused).contains(&"refused"));
}

#[test]
fn what_was_taken_is_never_refused() {
    let again = |status| vec![(300.0, Event::Asked(1, AT)), (310.0, Event::OperatorAnswer(1, AT, status))];
    for status in [None, Some(200), Some(503), Some(504)] {
        assert!(after_two(again(status)).is_empty());
    }
    assert!(after_two(again(Some(412))).contains(&"refused"));
    assert!(after_two(again(Some(404))).contains(&"answers"));
}

#[test]
fn followers_never_go_back_and_stop_in_time() {
    let goes =
        |process| vec![(300.0, acts(1, true, 2, &[1, 2], &[])), (400.0, acts(process, true, 1, &[1], &[]))];
    assert!(after_two(goes(2)).is_empty(), "restarted process");
    assert_eq!(after_two(goes(1)), ["goes back"]);
    // During a fault, only an inactive follower may hold an old version after 5 s.
    let late = |at, does| vec![(0.0, Event::Trouble(true, String::new())), (at, acts(1, does, 1, &[1], &[]))];
    assert!(after_two(late(5100.0, true)).is_empty());
    assert!(after_two(late(5300.0, false)).is_empty());
    assert_eq!(after_two(late(5300.0, true)), ["old in force"]);
    // In a calm period the limit is 3 s, and the follower has to be active.
    let calm = |acts| vec![(5190.0, acts)];
    assert!(after_two(calm(acts(1, true, 2, &[1, 2], &[]))).is_empty());
    assert_eq!(after_two(calm(acts(1, true, 1, &[1], &[]))), ["applies"]);
    assert_eq!(after_two(calm(acts(1, false, 2, &[1, 2], &[]))), ["ready"]);
}

#[test]
fn no_server_is_lost_doubled_or_kept() {
    let id = || "i-1".to_owned();
    let day = |more: Vec<(f64, Event)>, at, servers: &[&str]| {
        let mut events = vec![(300.0, Event::Begins(id())), (400.0, Event::ReadAnswer(id(), 0))];
        events.extend(more);
        events.push((at, acts(1, true, 2, &[1, 2], servers)));
        after_two(events)
    };
    assert!(day(vec![], 5300.0, &["i-1"]).is_empty());
    assert_eq!(day(vec![], 5300.0, &[]), ["servers"], "lost");
    assert_eq!(day(vec![], 5300.0, &["i-1", "i-1"]), ["servers"], "duplicated");
    assert!(
        day(vec![(5000.0, Event::Trouble(true, String::new()))], 5300.0, &[]).is_empty(),
        "during a fault"
    );
    let leaves = || vec![(1000.0, Event::Leaves(id())), (1100.0, Event::ReadAnswer(id(), 1))];
    assert!(day(leaves(), 5300.0, &[]).is_empty());
    assert_eq!(day(leaves(), 5300.0, &["i-1"]), ["servers"], "kept");
    let crash = || vec![(1000.0, Event::Ended(id()))];
    assert!(day(crash(), 9000.0, &["i-1"]).is_empty());
    assert_eq!(day(crash(), 14_000.0, &["i-1"]), ["servers"], "kept");
}

#[test]
fn clients_are_sent_to_all_that_act_in_calm_times() {
    let sent = |at, status, fronts: &[&str]| {
        let fronts = fronts.iter().map(ToString::to_string).collect();
        after_two(vec![(4000.0, acts(1, true, 2, &[1, 2], &[])), (at, Event::Sent(AT, status, fronts))])
    };
    assert!(sent(5100.0, 200, &["10.0.2.1:8686"]).is_empty());
    assert!(sent(4900.0, 503, &[]).is_empty(), "the calm period has not begun");
    assert_eq!(sent(5100.0, 503, &[]), ["directory"]);
    assert_eq!(sent(5100.0, 200, &["10.0.2.1:8686", "10.0.2.2:8686"]), ["directory"]);
    assert_eq!(sent(5100.0, 404, &[]), ["answers", "directory"]);
}

#[test]
fn an_emptied_zone_stays_so_and_a_copy_of_an_old_call_makes_it_unclear() {
    let call = |order, at, status| {
        vec![(at, Event::Asked(order, AT)), (at + 50.0, Event::OperatorAnswer(order, AT, status))]
    };
    let mut history = vec![
        (0.0, order(0, 0, 8, What::Empty("z".into(), true))),
        (0.0, order(0, 0, 9, What::Empty("z".into(), false))),
    ];
    history.extend(call(0, 100.0, Some(200)));
    history.push((9000.0, acts(1, true, 0, &[], &[])));
    let rules = |history: &[(f64, Event)]| -> Vec<&'static str> {
        check(history).into_iter().map(|broken| broken.rule).collect()
    };
    assert_eq!(rules(&history), ["servers"]);
    // The opposite command follows while a duplicate of the first may still arrive.
    history.splice(2..2, call(0, 20.0, None));
    history.truncate(6);
    history.extend(call(1, 300.0, Some(200)));
    let Event::Acts(who, process, acting) = acts(1, true, 0, &[], &[]) else { unreachable!() };
    let empty = AppliedState { empty: vec!["z".into()], ..acting };
    history.push((9000.0, Event::Acts(who, process, empty)));
    assert!(rules(&history).is_empty());
}
