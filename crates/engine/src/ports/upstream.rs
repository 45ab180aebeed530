//! Sending attempts to servers.

use super::LocalFuture;
use crate::body::Progress;
use oatbank_limiter_core::interface::{Millis, Outcome, ServerId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// An attempt to make.
pub struct AttemptJob<Q> {
    /// Id of the server.
    pub server: ServerId,
    /// Name of the server in the membership list.
    pub name: Arc<str>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Request to send, shared by all its attempts.
    pub request: Arc<Q>,
    /// Timeout, ms.
    pub span: Millis,
    /// Whether the server may begin to execute the request before it has received its whole body.
    pub starts_early: bool,
    /// Whether the server may still receive new requests. Must be checked right before the first byte is sent: a
    /// drain may be reported while the connection is being established.
    pub may_send: Rc<dyn Fn() -> bool>,
    /// Callback for the progress of a streamed body.
    pub progress: Rc<dyn Fn(Progress)>,
}

/// Result of an attempt.
pub struct End<A> {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// The server's answer. With [`Outcome::Error`] it is passed to the client if no attempt succeeds; with outcomes
    /// other than that and [`Outcome::Ok`] it is ignored.
    pub answer: Option<A>,
    /// Whether the status of `answer` asserts to clients that the request has not run and never will. With
    /// [`Outcome::Error`] the server has not said so, and the request may have run.
    pub asserts_not_run: bool,
    /// The server's load report in the order of the settings; empty without one.
    pub load: Vec<f64>,
}

impl<A> End<A> {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        End { outcome, answer: None, asserts_not_run: false, load: Vec::new() }
    }

    /// An end with an answer whose status asserts nothing about the execution.
    pub fn with_answer(outcome: Outcome, answer: A) -> Self {
        End { answer: Some(answer), ..End::without_answer(outcome) }
    }
}

/// A client of the servers.
///
/// An implementation guarantees that
/// - an attempt is made at most once: a request that may have run is never sent again;
/// - [`Outcome::ConnectFailed`] and [`Outcome::Full`] are certain: the request has not run and will
///   not run. Otherwise the outcome is [`Outcome::Reset`], [`Outcome::Error`], [`Outcome::TimedOut`] or, if the client's
///   side gave up, [`Outcome::Cancelled`]. The engine treats each of these, and a panic, as "may have run";
/// - nothing is sent after `may_send` has returned false; the attempt then ends as [`Outcome::ConnectFailed`];
/// - dropping the future cancels the attempt: its connection is closed, and what still arrives on it is never given
///   to another request;
/// - an answer is returned once it is complete or, if it is longer than [`crate::body::MAX_BUFFERED_BYTES`], once it
///   has begun; if it breaks off after that, its body ends with an error and never looks complete;
/// - a request with a streamed body does not run before [`Progress::Sent`] is reported, unless its server starts early:
///   then the outcome is certain only if no byte was sent, or the server says that the request has not run.
pub trait Upstream: 'static {
    /// Request that is sent to a server.
    type Request: 'static;
    /// Answer of a server.
    type Answer: 'static;

    /// Makes one attempt. The engine enforces the timeout by dropping the future.
    fn attempt(&self, job: AttemptJob<Self::Request>) -> LocalFuture<End<Self::Answer>>;

    /// Called when the list has changed: resources kept for servers that are not ready may be released.
    fn keep_only(&self, _ready: &dyn Fn(ServerId) -> bool) {}

    /// Limits the number of open connections and the total memory for the bodies of answers, KiB.
    fn set_limits(&self, _connections: usize, _bodies_kib: usize) {}

    /// Called about twice a second to maintain connections.
    fn upkeep(&self, _now: Millis) {}
}
