//! How far requests that have been read have come, for the report on the end of their connection.

use super::connection_ends::UnansweredRequest;
use oatbank_limiter_core::interface::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestStage {
    /// Its head has been read; it waits for the answers to the requests ahead of it.
    WaitingForTurn,
    /// It is started, and its body is being received.
    #[default]
    Started,
    /// It waits for its tenant's quota.
    WaitingForQuota,
    /// It waits for a server or is being executed by one.
    AtService,
    /// Its answer waits for those of the requests ahead of it.
    AnswerReady,
    /// Its answer is being written.
    Writing,
}

impl RequestStage {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            RequestStage::WaitingForTurn => "waiting for its turn",
            RequestStage::Started => "started",
            RequestStage::WaitingForQuota => "waiting for its quota",
            RequestStage::AtService => "at its service",
            RequestStage::AnswerReady => "answer ready",
            RequestStage::Writing => "answer being written",
        }
    }
}

/// Progress of one request, shared with its handler.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress(Rc<Cell<RequestStage>>);

impl RequestProgress {
    /// Records that the request has come to this stage.
    pub fn enter(&self, stage: RequestStage) {
        self.0.set(stage);
    }

    fn stage(&self) -> RequestStage {
        self.0.get()
    }
}

/// A request that has been read and is not answered.
struct OpenRequest {
    id: String,
    read_at: Millis,
    progress: RequestProgress,
}

/// The requests of a connection that have been read and are not answered, in the order in which they were read. Only the
/// last one may not be started yet.
#[derive(Default)]
pub(super) struct OpenRequests {
    requests: RefCell<VecDeque<OpenRequest>>,
    started: Cell<usize>,
}

impl OpenRequests {
    /// Adds a request whose head has been read.
    pub(super) fn on_head(&self, id: String, now: Millis) {
        let progress = RequestProgress::default();
        progress.enter(RequestStage::WaitingForTurn);
        self.requests.borrow_mut().push_back(OpenRequest { id, read_at: now, progress });
    }

    /// Records that the request read last is started.
    pub(super) fn on_start(&self) -> RequestProgress {
        self.started.set(self.started.get() + 1);
        let progress =
            self.requests.borrow().back().map(|request| request.progress.clone()).unwrap_or_default();
        progress.enter(RequestStage::Started);
        progress
    }

    /// Records that the answer to the first request is being written.
    pub(super) fn on_writing(&self) {
        if let Some(request) = self.requests.borrow().front() {
            request.progress.enter(RequestStage::Writing);
        }
    }

    /// Removes the first request, which has been answered.
    pub(super) fn on_answered(&self) {
        self.started.set(self.started.get().saturating_sub(1));
        self.requests.borrow_mut().pop_front();
    }

    /// Number of started requests without an answer.
    pub(super) fn started(&self) -> usize {
        self.started.get()
    }

    /// The requests without an answer.
    pub(super) fn unanswered(&self, now: Millis) -> Vec<UnansweredRequest> {
        let of = |request: &OpenRequest| UnansweredRequest {
            id: request.id.clone(),
            stage: request.progress.stage(),
            age: now - request.read_at,
        };
        self.requests.borrow().iter().map(of).collect()
    }
}
