//! Tests of the core: counter calls and client disconnects.

use super::*;
use std::sync::mpsc;

/// A core with one plan with a burst of 10 units, which has called the counter for its first customer at 1000 ms.
fn core_with_counter_call() -> (Core<(), ()>, CallId) {
    let class = Class { target: 500.0, deadline: 1500.0, worth: 1.0, ..Class::default() };
    let plan = Plan { rate: 5.0, burst: 10.0, price: 1.0, over_cost: 1.0, ..Plan::default() };
    let settings = Settings {
        gateways: 1.0,
        classes: vec![class],
        plans: vec![plan],
        max_units: 1.0,
        counter: true,
        counter_timeout: 50.0,
        ..Settings::default()
    };
    let mut core = Core::new(&Setup { settings, ..Setup::default() });
    ask(&mut core, 1000.0);
    let call = std::iter::from_fn(|| core.output()).find_map(|o| match o {
        Output::Count(call) => Some(call.id),
        _ => None,
    });
    (core, call.expect("a call to the counter"))
}

fn ask(core: &mut Core<(), ()>, now: Millis) -> mpsc::Receiver<Answer<()>> {
    let (tell, told) = mpsc::channel();
    let request = Request { units: 1.0, time_left: 1500.0, spread: 1.0, ..Request::default() };
    core.submit(now, request, (), Box::new(move |answer| _ = tell.send(answer)));
    told
}

fn run_timers(core: &mut Core<(), ()>, until: Millis) {
    while core.run_due_timer(until) {}
}

#[test]
fn a_total_that_arrives_after_the_timeout_is_applied() {
    // With a counter delay of 60 ms and a timeout of 30 ms, every total used to be discarded.
    let (mut core, call) = core_with_counter_call();
    run_timers(&mut core, 1120.0);
    core.call_ended(1120.0, call, CallEnd::Added(100.0));
    let answer = ask(&mut core, 1121.0).try_recv();
    assert!(matches!(answer, Ok(Answer::Refused(_))), "the quota is known to be exhausted: {answer:?}");
}

#[test]
fn a_counter_call_without_an_answer_is_abandoned() {
    let (mut core, call) = core_with_counter_call();
    run_timers(&mut core, 1000.0 + COUNTER_TIMEOUT_FACTOR * 50.0 + 1.0);
    core.call_ended(1300.0, call, CallEnd::Added(100.0));
    let answer = ask(&mut core, 1301.0).try_recv();
    assert!(answer.is_err(), "the late total is dropped and the request waits for a server: {answer:?}");
}

/// A core with one server and an attempt in flight since 1000 ms.
fn core_with_attempt_in_flight(cancels_on_disconnect: bool, repeat: Repeat) -> (Core<(), ()>, RequestId) {
    let class = Class { target: 500.0, deadline: 3000.0, worth: 1.0, repeat, ..Class::default() };
    let settings = Settings { gateways: 1.0, classes: vec![class], max_units: 1.0, ..Settings::default() };
    let mut core: Core<(), ()> = Core::new(&Setup { settings, ..Setup::default() });
    if cancels_on_disconnect {
        core.cancel_on_disconnect();
    }
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    core.members(900.0, &News::Complete(vec![crate::ports::membership::Member::ready("s-1", address)]));
    let request = Request { units: 1.0, time_left: 3000.0, spread: 1.0, ..Request::default() };
    let id = core.submit(1000.0, request, (), Box::new(|_| ()));
    let is_out = std::iter::from_fn(|| core.output()).any(|output| matches!(output, Output::Attempt { .. }));
    assert!(is_out, "an attempt");
    (core, id)
}

fn has_cancelled_attempt(core: &mut Core<(), ()>) -> bool {
    std::iter::from_fn(|| core.output()).any(|output| matches!(output, Output::CancelAttempt { .. }))
}

#[test]
fn repeatable_attempts_are_cancelled_on_disconnect() {
    let (mut core, id) = core_with_attempt_in_flight(true, Repeat::Safe);
    core.client_left(1100.0, id);
    assert!(has_cancelled_attempt(&mut core) && core.requests.is_empty());
    let departures = Departures { clients: 1, cancelled_attempts: 1, abandoned_attempts: 0 };
    assert_eq!(core.departures(), departures);
    // The end still arrives and changes nothing.
    core.attempt_ended(1900.0, id, 0, End::without_answer(Outcome::Cancelled));
    assert_eq!(core.departures(), departures);
}

#[test]
fn at_most_once_attempts_are_neither_cancelled_nor_abandoned_on_disconnect() {
    let (mut core, id) = core_with_attempt_in_flight(true, Repeat::Unsafe);
    core.client_left(1100.0, id);
    assert!(!has_cancelled_attempt(&mut core) && core.at_most_once_in_flight() == 1);
    core.attempt_ended(1900.0, id, 0, End::without_answer(Outcome::Error));
    assert_eq!(core.departures(), Departures { clients: 1, ..Departures::default() });
}

#[test]
fn attempts_that_outlive_the_disconnect_count_as_abandoned() {
    for (ends, abandoned) in [(1300.0, 0), (1400.0, 1)] {
        let (mut core, id) = core_with_attempt_in_flight(false, Repeat::Safe);
        core.client_left(1100.0, id);
        assert!(!has_cancelled_attempt(&mut core));
        core.attempt_ended(ends, id, 0, End::without_answer(Outcome::Error));
        assert_eq!(core.departures().abandoned_attempts, abandoned, "ended at {ends}");
    }
}

/// The attempt of a request whose body is streamed from 1000 ms on, with 3000 ms left, and the receiver of its answer.
fn streamed_request(
    upload_time_counts: bool,
    repeat: Repeat,
) -> (Core<(), ()>, RequestId, Millis, mpsc::Receiver<Answer<()>>) {
    let class = Class { target: 500.0, deadline: 3000.0, late_worth: 0.3, worth: 1.0, repeat };
    let settings = Settings {
        gateways: 1.0,
        classes: vec![class],
        max_units: 1.0,
        starts_early: true,
        upload_time_counts,
        ..Settings::default()
    };
    let mut core: Core<(), ()> = Core::new(&Setup { settings, ..Setup::default() });
    core.report_executions(400.0);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    core.members(900.0, &News::Complete(vec![crate::ports::membership::Member::ready("s-1", address)]));
    let (tell, told) = mpsc::channel();
    let request =
        Request { units: 1.0, time_left: 3000.0, spread: 1.0, uploading: true, ..Request::default() };
    let id = core.submit(1000.0, request, (), Box::new(move |answer| _ = tell.send(answer)));
    let span = std::iter::from_fn(|| core.output()).find_map(|output| match output {
        Output::Attempt { span, .. } => Some(span),
        _ => None,
    });
    (core, id, span.expect("an attempt"), told)
}

/// Guards against uploads to a slow server that are never answered: their own time, and their route's, began only with the
/// last byte of the body, and the server was handed 17 minutes (CONFIG, review case 8).
#[test]
fn a_streamed_request_is_answered_within_its_time_from_its_head() {
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        for sent_at in [None, Some(3500.0)] {
            let (mut core, id, span, told) = streamed_request(true, repeat);
            assert!(span <= 3000.0, "{repeat:?}: the server is handed {span} ms");
            if let Some(at) = sent_at {
                run_timers(&mut core, at);
                core.progress(at, id, 0, Progress::Sent);
            }
            run_timers(&mut core, 3900.0);
            assert!(told.try_recv().is_err(), "{repeat:?} {sent_at:?}: it still has time");
            run_timers(&mut core, 4000.0);
            let answer = told.try_recv();
            let is_unserved = matches!(answer, Ok(Answer::Failed | Answer::TimedOut));
            assert!(is_unserved, "{repeat:?} {sent_at:?}: {answer:?}");
        }
    }
}

#[test]
fn elsewhere_the_time_of_a_streamed_request_starts_with_the_end_of_its_body() {
    let (mut core, id, _, told) = streamed_request(false, Repeat::Unsafe);
    run_timers(&mut core, 9000.0);
    core.progress(9000.0, id, 0, Progress::Sent);
    run_timers(&mut core, 11_900.0);
    assert!(told.try_recv().is_err());
    run_timers(&mut core, 12_000.0);
    assert!(matches!(told.try_recv(), Ok(Answer::Failed | Answer::TimedOut)));
}
