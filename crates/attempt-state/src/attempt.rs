//! The states of one request and its attempts, and what each of them allows.
//!
//! | state | another server | a promise that it has not run |
//! | --- | --- | --- |
//! | [`RequestState::NotSent`], [`RequestState::NotExecuted`] | yes | yes |
//! | [`RequestState::Sending`]: its body is still being sent | no | no: it may be complete in a moment |
//! | [`RequestState::MayHaveRun`], [`RequestState::Answered`] | only if it may be repeated | only if it may be repeated |
//! | [`RequestState::Ended`]: the client has its answer | no | no |

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It runs at most once.
    AtMostOnce,
    /// It may be repeated, by whatever rules its sender has: nothing is guarded here.
    #[default]
    Repeatable,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Nothing of it was sent to any server.
    NotSent,
    /// Its body is being sent to a server, and not complete there.
    Sending,
    /// A server has all of it, or had: nothing proves that it did not run.
    MayHaveRun,
    /// A server has said what came of it.
    Answered,
    /// No server that it was sent to has run it or ever will.
    NotExecuted,
    /// Its client has an answer.
    Ended,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ran, and was answered with a success.
    Succeeded,
    /// It ran, and was answered with a failure.
    Failed,
    /// It certainly has not run and never will.
    NotExecuted,
    /// Given up from this side.
    Cancelled,
    /// Anything else: it may have run.
    Lost,
}

/// What a client is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// A server's own answer.
    Served,
    /// A promise: it has not run and never will.
    Rejected,
    /// No promise.
    Failed,
}

/// A decision that was not carried out, because it would have broken the at-most-once rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// A second server, for a request that may have run.
    SecondServer,
    /// A promise that it has not run, for a request that may have run.
    FalsePromise,
}

impl InvariantViolation {
    /// A sentence for logs.
    pub fn text(self) -> &'static str {
        match self {
            InvariantViolation::SecondServer => {
                "a second server was asked for a try that may have run; it was not sent"
            }
            InvariantViolation::FalsePromise => {
                "a promise was asked for a try that may have run; told as failed"
            }
        }
    }
}

/// Where one attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// Nothing of it was sent.
    Queued,
    /// Its body is being sent.
    Sending,
    /// All of it was sent.
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
    states: Vec<AttemptState>,
    is_answered: bool,
}

impl RequestAttempts {
    /// A request without an attempt.
    pub fn new(idempotency: Idempotency) -> Self {
        RequestAttempts { idempotency, states: Vec::new(), is_answered: false }
    }

    /// Whether it runs at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.idempotency == Idempotency::AtMostOnce
    }

    /// Where the request stands.
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

    /// Whether nothing proves that it has not run.
    pub fn may_have_run(&self) -> bool {
        self.states.iter().any(|state| state.may_have_run())
    }

    /// Whether an attempt is in flight that may yet run it.
    pub fn is_in_flight(&self) -> bool {
        self.states.iter().any(|state| state.is_live())
    }

    /// Whether a server has all of it and has not answered.
    pub fn is_executing(&self) -> bool {
        self.states.contains(&AttemptState::Sent)
    }

    /// Whether this attempt was sent completely and has not ended.
    pub fn is_fully_sent(&self, attempt: usize) -> bool {
        self.states.get(attempt) == Some(&AttemptState::Sent)
    }

    /// Begins the next attempt and returns its number; nothing of it is sent before [`RequestAttempts::send`] allows it.
    pub fn begin(&mut self) -> usize {
        self.states.push(AttemptState::Queued);
        self.states.len() - 1
    }

    /// Asks to send an attempt that was begun; `complete`: with all of its body.
    ///
    /// # Errors
    /// When the request might run a second time by that.
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

    /// The last byte of an attempt's body is sent.
    pub fn mark_fully_sent(&mut self, attempt: usize) {
        if let Some(state) = self.states.get_mut(attempt).filter(|state| **state == AttemptState::Sending) {
            *state = AttemptState::Sent;
        }
    }

    /// An attempt has ended. Only its first end counts.
    pub fn end(&mut self, attempt: usize, end: AttemptEnd) {
        use AttemptState::{Failed, Lost, NotExecuted, Queued, Sending, Sent, Succeeded};
        let Some(state) = self.states.get_mut(attempt) else { return };
        *state = match (*state, end) {
            (Queued, _) | (Sending, AttemptEnd::Cancelled) => NotExecuted,
            (Sending | Sent, AttemptEnd::Succeeded) => Succeeded,
            (Sending | Sent, AttemptEnd::Failed) => Failed,
            (Sending | Sent, AttemptEnd::NotExecuted) => NotExecuted,
            (Sending | Sent, AttemptEnd::Lost) | (Sent, AttemptEnd::Cancelled) => Lost,
            (ended, _) => ended,
        };
    }

    /// Asks to answer the client; returns what it may be answered, and the violation if that differs. To be called once:
    /// with the answer the request has ended.
    pub fn answer_client(&mut self, answer: ClientAnswer) -> (ClientAnswer, Option<InvariantViolation>) {
        self.is_answered = true;
        let in_doubt = self.may_have_run() || self.is_in_flight();
        if answer == ClientAnswer::Rejected && self.is_at_most_once() && in_doubt {
            return (ClientAnswer::Failed, Some(InvariantViolation::FalsePromise));
        }
        (answer, None)
    }
}

#[cfg(test)]
mod tests;
