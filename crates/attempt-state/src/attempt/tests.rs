//! Tests of the parent module.

use super::*;

fn sent(whole: bool) -> RequestAttempts {
    let mut attempts = RequestAttempts::new(Idempotency::AtMostOnce);
    assert_eq!((attempts.begin(), attempts.send(0, whole)), (0, Ok(())));
    attempts
}

/// What each end of a first attempt allows: the state, a second server, and a promise.
#[test]
fn only_what_certainly_has_not_run_goes_on_or_is_promised() {
    use AttemptEnd::*;
    for (whole, how, state, free) in [
        (true, Succeeded, RequestState::Answered, false),
        (true, Failed, RequestState::Answered, false),
        (true, Lost, RequestState::MayHaveRun, false),
        (true, Cancelled, RequestState::MayHaveRun, false),
        (true, NotExecuted, RequestState::NotExecuted, true),
        (false, Cancelled, RequestState::NotExecuted, true),
        (false, Lost, RequestState::MayHaveRun, false),
    ] {
        let mut attempts = sent(whole);
        assert_eq!(attempts.state(), if whole { RequestState::MayHaveRun } else { RequestState::Sending });
        assert_eq!(
            attempts.clone().answer_client(ClientAnswer::Rejected).0,
            ClientAnswer::Failed,
            "while it is out there is no promise"
        );
        attempts.end(0, how);
        attempts.end(0, NotExecuted);
        assert_eq!(attempts.state(), state, "{how:?}: the first end counts");
        let second = attempts.begin();
        assert_eq!(attempts.clone().send(second, true).is_ok(), free, "{how:?}");
        let answered = attempts.answer_client(ClientAnswer::Rejected);
        let want = if free {
            (ClientAnswer::Rejected, None)
        } else {
            (ClientAnswer::Failed, Some(InvariantViolation::FalsePromise))
        };
        assert_eq!((answered, attempts.state()), (want, RequestState::Ended), "{how:?}");
    }
}

#[test]
fn a_body_that_has_gone_out_whole_may_have_run_and_one_that_is_kept_has_not() {
    let mut attempts = sent(false);
    attempts.mark_fully_sent(0);
    attempts.end(0, AttemptEnd::Cancelled);
    assert_eq!(attempts.state(), RequestState::MayHaveRun);
    let second = attempts.begin();
    assert_eq!(attempts.send(second, true), Err(InvariantViolation::SecondServer));
    attempts.end(second, AttemptEnd::Lost);
    assert_eq!(
        attempts.states,
        [AttemptState::Lost, AttemptState::NotExecuted],
        "what was not sent did not run, however it ends"
    );
}

#[test]
fn what_is_repeatable_is_left_to_its_sender() {
    let mut attempts = RequestAttempts::new(Idempotency::Repeatable);
    for attempt in 0..3 {
        assert_eq!((attempts.begin(), attempts.send(attempt, true)), (attempt, Ok(())));
    }
    assert_eq!(attempts.answer_client(ClientAnswer::Rejected), (ClientAnswer::Rejected, None));
}
