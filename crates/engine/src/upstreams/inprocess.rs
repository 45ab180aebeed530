//! In-process upstream: the application runs its own handler and reports the outcome.

use crate::ports::upstream::{AttemptJob, End, Upstream};
use crate::ports::LocalFuture;
use oatbank_limiter_core::interface::Outcome;
use std::cell::RefCell;
use tokio::sync::oneshot;

/// The upstream whose only server is the application's handler.
#[derive(Clone, Copy, Debug, Default)]
pub struct InProcess;

/// The request type of [`InProcess`]: sends the application the permit to run its handler.
pub struct Start {
    go: RefCell<Option<oneshot::Sender<Permit>>>,
}

impl Start {
    /// Returns a start and the receiver of its permit.
    pub fn new() -> (Self, oneshot::Receiver<Permit>) {
        let (go, permit) = oneshot::channel();
        (Start { go: RefCell::new(Some(go)) }, permit)
    }
}

/// Permission to run the handler once. Dropped without a call of [`Permit::ended`], it counts as
/// [`Outcome::Cancelled`]: the handler may have run.
#[derive(Debug)]
pub struct Permit {
    done: oneshot::Sender<Outcome>,
}

impl Permit {
    /// Completes when the engine no longer waits for the handler.
    pub async fn cancelled(&mut self) {
        self.done.closed().await;
    }

    /// Reports how the handler ended: [`Outcome::Ok`] if it answered, [`Outcome::Error`] or [`Outcome::Reset`] if it
    /// failed and may have run, [`Outcome::Full`] if it refused the request without running it.
    pub fn ended(self, outcome: Outcome) {
        // If the receiver is gone, the engine has already ended the attempt.
        let _ = self.done.send(outcome);
    }
}

impl Upstream for InProcess {
    type Request = Start;
    type Answer = ();

    fn attempt(&self, job: AttemptJob<Start>) -> LocalFuture<End<()>> {
        Box::pin(async move {
            let Some(go) = job.request.go.borrow_mut().take() else {
                // The handler consumes its request, so it cannot run a second time.
                return End::without_answer(Outcome::ConnectFailed);
            };
            if !(job.may_send)() {
                return End::without_answer(Outcome::ConnectFailed);
            }
            let (done, ended) = oneshot::channel();
            if go.send(Permit { done }).is_err() {
                // The application dropped the request before its handler started.
                return End::without_answer(Outcome::ConnectFailed);
            }
            // Not a reset: a request dropped by the application does not mean that the handler is gone.
            let outcome = ended.await.unwrap_or(Outcome::Cancelled);
            match outcome {
                Outcome::Ok => End::with_answer(outcome, ()),
                _ => End::without_answer(outcome),
            }
        })
    }
}
