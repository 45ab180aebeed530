//! The states of one request and its attempts, and the actions that each state permits.
//!
//! | state | another server | assertion that it has not run |
//! | --- | --- | --- |
//! | [`RequestState::NotSent`], [`RequestState::NotExecuted`] | yes | yes |
//! | [`RequestState::Sending`]: its body is still being sent | no | no: it may be complete in a moment, or begun already |
//! | [`RequestState::MayHaveRun`], [`RequestState::Answered`] | only if it may be repeated | only if it may be repeated |
//! | [`RequestState::Ended`]: the client has its answer | no | no |

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request must run at most once.
    AtMostOnce,
    /// The request may be repeated under the sender's own rules; no restriction is enforced here.
    #[default]
    Repeatable,
}

/// When a server may begin to execute a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExecutionStart {
    /// Once it has received the whole request.
    #[default]
    WholeRequest,
    /// Once it has received a part of it.
    FirstBytes,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// No part of the request was sent to any server.
    NotSent,
    /// The body is being sent to a server and is not complete there.
    Sending,
    /// A server has received the whole request, and nothing proves that it did not run.
    MayHaveRun,
    /// A server has reported the result.
    Answered,
    /// No server that received the request has run it or will run it.
    NotExecuted,
    /// The client has received an answer.
    Ended,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request ran and the server answered with success.
    Succeeded,
    /// The request ran and the server answered with a failure.
    Failed,
    /// The request has certainly not run and never will.
    NotExecuted,
    /// Cancelled by the proxy.
    Cancelled,
    /// Any other end: the request may have run.
    Lost,
}

/// The kind of answer that the client receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The answer of a server. Its status must not assert more than [`RequestAttempts::permits_rejection`] allows.
    Served,
    /// An assertion that the request has not run and never will.
    Rejected,
    /// A failure that leaves open whether the request ran.
    Failed,
}

/// An action that was refused because it would have violated at-most-once execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// Sending a request that may have run to a second server.
    SecondServer,
    /// Asserting that a request has not run although it may have run.
    FalsePromise,
}

impl InvariantViolation {
    /// A description for logs.
    pub fn text(self) -> &'static str {
        match self {
            InvariantViolation::SecondServer => {
                "refused to send an attempt to a second server: the request may have run"
            }
            InvariantViolation::FalsePromise => {
                "refused to assert that a request has not run, since it may have run; answered as failed"
            }
        }
    }
}

/// The state of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// No part of the attempt was sent.
    Queued,
    /// The body is being sent.
    Sending,
    /// The whole attempt was sent.
    Sent,
    Succeeded,
    Failed,
    NotExecuted,
    Lost,
}

impl AttemptState {
    fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptState::Sent | AttemptState::Succeeded | AttemptState::Failed | AttemptState::Lost
        )
    }

    fn is_live(self) -> bool {
        matches!(self, AttemptState::Sending | AttemptState::Sent)
    }
}

/// The attempts of one request, numbered from 0 in the order in which they were begun.
#[derive(Clone, Debug, Default)]
pub struct RequestAttempts {
    idempotency: Idempotency,
    execution_start: ExecutionStart,
    states: Vec<AttemptState>,
    is_answered: bool,
}

impl RequestAttempts {
    /// A request without an attempt, to servers that begin to execute it as `execution_start` says.
    pub fn new(idempotency: Idempotency, execution_start: ExecutionStart) -> Self {
        RequestAttempts { idempotency, execution_start, states: Vec::new(), is_answered: false }
    }

    /// Whether the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.idempotency == Idempotency::AtMostOnce
    }

    /// The state of the request, derived from its attempts.
    pub fn state(&self) -> RequestState {
        let any = |state| self.states.contains(&state);
        if self.is_answered {
            RequestState::Ended
        } else if any(AttemptState::Succeeded) || any(AttemptState::Failed) {
            RequestState::Answered
        } else if any(AttemptState::Sent) || any(AttemptState::Lost) {
            RequestState::MayHaveRun
        } else if any(AttemptState::Sending) {
            RequestState::Sending
        } else if any(AttemptState::NotExecuted) {
            RequestState::NotExecuted
        } else {
            RequestState::NotSent
        }
    }

    /// Whether the request may have run after its attempts so far, but for those whose body is still being sent: a server
    /// may have begun it, has answered it, or its connection was lost.
    pub fn may_have_run(&self) -> bool {
        self.states.iter().any(|state| state.may_have_run())
    }

    /// Whether an attempt is in flight that may still run the request.
    pub fn is_in_flight(&self) -> bool {
        self.states.iter().any(|state| state.is_live())
    }

    /// Whether a server has received the whole request and has not answered.
    pub fn is_executing(&self) -> bool {
        self.states.contains(&AttemptState::Sent)
    }

    /// Whether this attempt was sent completely and has not ended.
    pub fn is_fully_sent(&self, attempt: usize) -> bool {
        self.states.get(attempt) == Some(&AttemptState::Sent)
    }

    /// Begins the next attempt and returns its number. It must not be sent before [`RequestAttempts::send`] permits it.
    pub fn begin(&mut self) -> usize {
        self.states.push(AttemptState::Queued);
        self.states.len() - 1
    }

    /// Requests permission to send an attempt; `complete` if its whole body is sent at once.
    ///
    /// # Errors
    /// When the request could run a second time.
    pub fn send(&mut self, attempt: usize, complete: bool) -> Result<(), InvariantViolation> {
        let blocks = |state: &AttemptState| state.may_have_run() || state.is_live();
        if self.is_at_most_once() && self.states.iter().any(blocks) {
            return Err(InvariantViolation::SecondServer);
        }
        if let Some(state) = self.states.get_mut(attempt).filter(|state| **state == AttemptState::Queued) {
            *state = if complete { AttemptState::Sent } else { AttemptState::Sending };
        }
        Ok(())
    }

    /// Records that the last byte of an attempt's body was sent.
    pub fn mark_fully_sent(&mut self, attempt: usize) {
        if let Some(state) = self.states.get_mut(attempt).filter(|state| **state == AttemptState::Sending) {
            *state = AttemptState::Sent;
        }
    }

    /// Records the end of an attempt. Only the first end counts.
    pub fn end(&mut self, attempt: usize, end: AttemptEnd) {
        use AttemptState::{Failed, Lost, NotExecuted, Queued, Sending, Sent, Succeeded};
        let may_have_begun = self.execution_start == ExecutionStart::FirstBytes;
        let Some(state) = self.states.get_mut(attempt) else { return };
        *state = match (*state, end) {
            (Sending, AttemptEnd::Cancelled) if may_have_begun => Lost,
            (Queued, _) | (Sending, AttemptEnd::Cancelled) => NotExecuted,
            (Sending | Sent, AttemptEnd::Succeeded) => Succeeded,
            (Sending | Sent, AttemptEnd::Failed) => Failed,
            (Sending | Sent, AttemptEnd::NotExecuted) => NotExecuted,
            (Sending | Sent, AttemptEnd::Lost) | (Sent, AttemptEnd::Cancelled) => Lost,
            (ended, _) => ended,
        };
    }

    /// Whether the request may have run, or may still run.
    pub fn is_in_doubt(&self) -> bool {
        self.may_have_run() || self.is_in_flight()
    }

    /// Whether the client may be told that the request has not run and never will, in the proxy's own words or in a
    /// server's.
    pub fn permits_rejection(&self) -> bool {
        !(self.is_at_most_once() && self.is_in_doubt())
    }

    /// Ends the request with an answer to the client, and is to be called once. Returns the permitted answer, and the
    /// violation if it differs from `answer`.
    pub fn answer_client(&mut self, answer: ClientAnswer) -> (ClientAnswer, Option<InvariantViolation>) {
        self.is_answered = true;
        if answer == ClientAnswer::Rejected && !self.permits_rejection() {
            return (ClientAnswer::Failed, Some(InvariantViolation::FalsePromise));
        }
        (answer, None)
    }
}

#[cfg(test)]
mod tests;
