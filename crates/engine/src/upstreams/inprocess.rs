//! A server that is a handler within the process: the application runs it, and reports how it ended.

use crate::ports::upstream::{AttemptJob, End, Upstream};
use crate::ports::LocalFuture;
use oatbank_limiter_core::interface::Outcome;
use std::cell::RefCell;
use tokio::sync::oneshot;

/// The application's handler as the one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct InProcess;

/// What the engine is given with a request: how to tell the application that its handler may run.
pub struct Start {
    go: RefCell<Option<oneshot::Sender<Permit>>>,
}

impl Start {
    /// A start, and where its permit comes.
    pub fn new() -> (Self, oneshot::Receiver<Permit>) {
        let (go, permit) = oneshot::channel();
        (Start { go: RefCell::new(Some(go)) }, permit)
    }
}

/// The right to run a handler, once. Dropped without a word it counts as a request that was called off and
/// may have run.
#[derive(Debug)]
pub struct Permit {
    done: oneshot::Sender<Outcome>,
}

impl Permit {
    /// Completes when the engine waits for the handler no longer.
    pub async fn cancelled(&mut self) {
        self.done.closed().await;
    }

    /// The handler has ended. [`Outcome::Ok`] is its answer, [`Outcome::Error`] and [`Outcome::Reset`] that
    /// it may have run, [`Outcome::Full`] that it turned the request away and did nothing.
    pub fn ended(self, outcome: Outcome) {
        // An engine that waits no longer has ended the attempt by itself.
        let _ = self.done.send(outcome);
    }
}

impl Upstream for InProcess {
    type Request = Start;
    type Answer = ();

    fn attempt(&self, job: AttemptJob<Start>) -> LocalFuture<End<()>> {
        Box::pin(async move {
            let Some(go) = job.request.go.borrow_mut().take() else {
                // A handler takes its request with it, so there is nothing to run a second time.
                return End::without_answer(Outcome::ConnectFailed);
            };
            if !(job.may_send)() {
                return End::without_answer(Outcome::ConnectFailed);
            }
            let (done, ended) = oneshot::channel();
            if go.send(Permit { done }).is_err() {
                // The application has dropped the request: its handler never began.
                return End::without_answer(Outcome::ConnectFailed);
            }
            // Not a reset: that the application drops a request is no sign of a handler that has gone.
            let outcome = ended.await.unwrap_or(Outcome::Cancelled);
            End { outcome, answer: (outcome == Outcome::Ok).then_some(()), load: Vec::new() }
        })
    }
}
