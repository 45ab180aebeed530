//! Conformance suite for upstreams.

use super::until;
use oatbank_engine::ports::upstream::{AttemptJob, End, Upstream};
use oatbank_limiter_core::interface::{Outcome, ServerId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Server behaviour that the suite requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds successfully.
    Answers,
    /// Runs the request and responds with an error.
    Fails,
    /// Rejects the request without running it.
    TurnsAway,
    /// Closes the connection without a response after receiving the request.
    Breaks,
    /// Never responds.
    Silent,
}

/// An implementation connected to a fake server.
pub trait UnderTest {
    /// Type of the implementation.
    type Way: Upstream;
    /// Returns the implementation.
    fn way(&self) -> &Self::Way;
    /// Returns the address of a server with this behaviour and a request for it.
    fn server(&self, behaviour: Behaviour) -> (SocketAddr, <Self::Way as Upstream>::Request);
    /// Returns the number of requests that have reached servers.
    fn reached(&self) -> usize;
    /// Returns the number of attempts whose cancellation the server has noticed.
    fn called_off(&self) -> usize;
}

async fn attempt<T: UnderTest>(
    test: &T,
    behaviour: Behaviour,
    may_send: Rc<dyn Fn() -> bool>,
) -> End<<T::Way as Upstream>::Answer> {
    let (address, request) = test.server(behaviour);
    let (server, request) = (ServerId(behaviour as u64), Arc::new(request));
    test.way()
        .attempt(AttemptJob {
            server,
            name: "one".into(),
            address,
            request,
            span: 1000.0,
            starts_early: false,
            may_send,
            progress: Rc::new(|_| ()),
        })
        .await
}

/// Checks the outcome of each behaviour, the permission check before sending, and cancellation.
pub async fn suite<T: UnderTest>(test: &T) {
    let yes: Rc<dyn Fn() -> bool> = Rc::new(|| true);
    for (behaviour, outcomes) in [
        (Behaviour::Answers, vec![Outcome::Ok]),
        (Behaviour::Fails, vec![Outcome::Error]),
        (Behaviour::TurnsAway, vec![Outcome::Full]),
        (Behaviour::Breaks, vec![Outcome::Reset, Outcome::Error, Outcome::Cancelled]),
    ] {
        let before = test.reached();
        let end = attempt(test, behaviour, yes.clone()).await;
        assert!(outcomes.contains(&end.outcome), "{behaviour:?} ended as {:?}", end.outcome);
        assert_eq!(end.answer.is_some() && end.outcome == Outcome::Ok, behaviour == Behaviour::Answers);
        assert_eq!(test.reached(), before + 1, "{behaviour:?}: the request must be sent once");
    }
    asks_before_sending(test).await;
    called_off(test, yes).await;
}

/// Checks that nothing is sent when `may_send` returns false.
async fn asks_before_sending<T: UnderTest>(test: &T) {
    let asked = Rc::new(Cell::new(0));
    let (before, counted) = (test.reached(), asked.clone());
    let no = Rc::new(move || {
        counted.set(counted.get() + 1);
        false
    });
    let end = attempt(test, Behaviour::Answers, no).await;
    assert_eq!(end.outcome, Outcome::ConnectFailed, "the server is draining");
    assert!(asked.get() > 0, "may_send was not called");
    assert_eq!(test.reached(), before, "sent to a draining server");
}

/// Checks that dropping an attempt's future also cancels it at the server.
async fn called_off<T: UnderTest>(test: &T, yes: Rc<dyn Fn() -> bool>) {
    let (reached, noticed) = (test.reached(), test.called_off());
    let (address, request) = test.server(Behaviour::Silent);
    let (server, request) = (ServerId(Behaviour::Silent as u64), Arc::new(request));
    let (name, progress) = ("one".into(), Rc::new(|_| ()));
    let job = AttemptJob {
        server,
        name,
        address,
        request,
        span: 1000.0,
        starts_early: false,
        may_send: yes,
        progress,
    };
    let mut attempting = Box::pin(test.way().attempt(job));
    tokio::select! {
        end = &mut attempting => panic!("a silent server ended as {:?}", end.outcome),
        () = until("the request to reach the server", || test.reached() == reached + 1) => {}
    }
    drop(attempting);
    until("the server to notice the cancellation", || test.called_off() > noticed).await;
    assert_eq!(test.reached(), reached + 1);
}
