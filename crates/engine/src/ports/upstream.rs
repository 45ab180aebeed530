//! The way to a server: one attempt at a time.

use super::LocalFuture;
use crate::body::Progress;
use oatbank_limiter_core::interface::{Millis, Outcome, ServerId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// An attempt to be made.
pub struct AttemptJob<Q> {
    /// The server.
    pub server: ServerId,
    /// Its name in the list.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is sent. Further attempts of the same request share it.
    pub request: Arc<Q>,
    /// How long it is waited for, ms.
    pub span: Millis,
    /// Whether this server may still be sent something new. To be asked again right before the first byte
    /// goes out: a connection may take longer to come up than the news of a drain.
    pub may_send: Rc<dyn Fn() -> bool>,
    /// To be told how far a body that is still coming has gone.
    pub progress: Rc<dyn Fn(Progress)>,
}

/// How an attempt ended.
pub struct End<A> {
    /// What came of it.
    pub outcome: Outcome,
    /// The answer. One that comes with [`Outcome::Error`] is given to the client where nothing better comes; with any
    /// other outcome than that and [`Outcome::Ok`] it is not looked at.
    pub answer: Option<A>,
    /// The server's load report in the order of the settings; empty without one.
    pub load: Vec<f64>,
}

impl<A> End<A> {
    /// An end that brought no answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        End { outcome, answer: None, load: Vec::new() }
    }
}

/// A way to servers.
///
/// An implementation guarantees that
/// - an attempt is made at most once: it never sends again what may have run;
/// - [`Outcome::ConnectFailed`] and [`Outcome::Full`] say for certain that the request has not run and will
///   not; in doubt it is [`Outcome::Reset`], [`Outcome::Error`], [`Outcome::TimedOut`] or, where the client's own
///   side gave it up, [`Outcome::Cancelled`], each of which the engine takes as "may have run", as it does a future that panics;
/// - nothing is sent after `may_send` has said no; the attempt then ends as [`Outcome::ConnectFailed`];
/// - a future that is dropped is an attempt called off: its connection is closed, and what it still
///   brings is never given to another request;
/// - an answer is given out once it is whole, or, where it is longer than [`crate::body::MAX_BUFFERED_BYTES`], once it has begun; one
///   that breaks off after that is told as broken, and is never taken for whole;
/// - a body that is still coming has not run before [`Progress::Sent`] was told.
pub trait Upstream: 'static {
    /// What goes to a server.
    type Request: 'static;
    /// What comes back.
    type Answer: 'static;

    /// Makes one attempt. The engine sees to the time-out by dropping the future.
    fn attempt(&self, job: AttemptJob<Self::Request>) -> LocalFuture<End<Self::Answer>>;

    /// The list has changed: what is kept for servers that are not ready may go.
    fn keep_only(&self, _ready: &dyn Fn(ServerId) -> bool) {}

    /// From now on so many connections are open at most, and the bodies of answers take so many KiB together.
    fn set_limits(&self, _connections: usize, _bodies_kib: usize) {}

    /// Called about twice a second: for looking after connections.
    fn upkeep(&self, _now: Millis) {}
}
