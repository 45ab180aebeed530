//! Tests of the parent module.

use super::*;

fn sent(complete: bool) -> RequestAttempts {
    sent_to(ExecutionStart::WholeRequest, complete)
}

fn sent_to(execution_start: ExecutionStart, complete: bool) -> RequestAttempts {
    let mut attempts = RequestAttempts::new(Idempotency::AtMostOnce, execution_start);
    assert_eq!((attempts.begin(), attempts.send(0, complete)), (0, Ok(())));
    attempts
}

/// For each end of the first attempt: checks the state, whether a second server is permitted, and the permitted answer.
#[test]
fn only_requests_that_certainly_have_not_run_may_be_retried_or_rejected() {
    use AttemptEnd::*;
    for (complete, end, state, may_retry) in [
        (true, Succeeded, RequestState::Answered, false),
        (true, Failed, RequestState::Answered, false),
        (true, Lost, RequestState::MayHaveRun, false),
        (true, Cancelled, RequestState::MayHaveRun, false),
        (true, NotExecuted, RequestState::NotExecuted, true),
        (false, Cancelled, RequestState::NotExecuted, true),
        (false, Lost, RequestState::MayHaveRun, false),
    ] {
        let mut attempts = sent(complete);
        assert_eq!(attempts.state(), if complete { RequestState::MayHaveRun } else { RequestState::Sending });
        assert_eq!(
            attempts.clone().answer_client(ClientAnswer::Rejected).0,
            ClientAnswer::Failed,
            "no rejection while the attempt is in flight"
        );
        attempts.end(0, end);
        attempts.end(0, NotExecuted);
        assert_eq!(attempts.state(), state, "{end:?}: the first end counts");
        let second = attempts.begin();
        assert_eq!(attempts.clone().send(second, true).is_ok(), may_retry, "{end:?}");
        assert_eq!(attempts.permits_rejection(), may_retry, "{end:?}: in a server's words");
        let answered = attempts.answer_client(ClientAnswer::Rejected);
        let expected = if may_retry {
            (ClientAnswer::Rejected, None)
        } else {
            (ClientAnswer::Failed, Some(InvariantViolation::FalsePromise))
        };
        assert_eq!((answered, attempts.state()), (expected, RequestState::Ended), "{end:?}");
    }
}

/// Guards against the assertion that a request has not run, while a server that had part of it has begun it (REFUSED).
#[test]
fn a_server_that_may_begin_early_leaves_a_partly_sent_request_in_doubt() {
    use AttemptEnd::*;
    for (end, state, may_retry) in [
        (Cancelled, RequestState::MayHaveRun, false),
        (Lost, RequestState::MayHaveRun, false),
        (Failed, RequestState::Answered, false),
        (NotExecuted, RequestState::NotExecuted, true),
    ] {
        let mut attempts = sent_to(ExecutionStart::FirstBytes, false);
        attempts.end(0, end);
        assert_eq!(attempts.state(), state, "{end:?}");
        let second = attempts.begin();
        assert_eq!(attempts.clone().send(second, true).is_ok(), may_retry, "{end:?}");
        let (answer, violation) = attempts.answer_client(ClientAnswer::Rejected);
        assert_eq!(
            (answer == ClientAnswer::Rejected, violation.is_none()),
            (may_retry, may_retry),
            "{end:?}"
        );
    }
}

#[test]
fn a_fully_sent_body_may_have_run_and_an_unsent_attempt_has_not() {
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
        "an unsent attempt did not run, however it ends"
    );
}

#[test]
fn repeatable_requests_are_not_restricted() {
    let mut attempts = RequestAttempts::new(Idempotency::Repeatable, ExecutionStart::FirstBytes);
    for attempt in 0..3 {
        assert_eq!((attempts.begin(), attempts.send(attempt, true)), (attempt, Ok(())));
    }
    assert!(attempts.is_in_doubt() && attempts.permits_rejection());
    assert_eq!(attempts.answer_client(ClientAnswer::Rejected), (ClientAnswer::Rejected, None));
}
