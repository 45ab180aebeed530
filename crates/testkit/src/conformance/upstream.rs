//! What every way to a server must keep.

use super::until;
use oatbank_engine::ports::upstream::{AttemptJob, End, Upstream};
use oatbank_limiter_core::interface::{Outcome, ServerId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A server's behaviour that the suite asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers well.
    Answers,
    /// Answers with an error after it has run the request.
    Fails,
    /// Turns the request away unseen.
    TurnsAway,
    /// Ends without an answer once it has the request.
    Breaks,
    /// Says nothing.
    Silent,
}

/// An implementation with a stand-in behind it.
pub trait UnderTest {
    /// The implementation.
    type Way: Upstream;
    /// It.
    fn way(&self) -> &Self::Way;
    /// A server of this behaviour and the request for it.
    fn server(&self, behaviour: Behaviour) -> (SocketAddr, <Self::Way as Upstream>::Request);
    /// Requests that have reached servers so far.
    fn reached(&self) -> usize;
    /// Attempts whose being called off was noticed at the server.
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
            may_send,
            progress: Rc::new(|_| ()),
        })
        .await
}

/// Holds an implementation to its guarantees.
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
        assert_eq!(test.reached(), before + 1, "{behaviour:?}: a request goes out once");
    }
    asks_before_sending(test).await;
    called_off(test, yes).await;
}

/// Nothing is sent once the server may be sent nothing.
async fn asks_before_sending<T: UnderTest>(test: &T) {
    let asked = Rc::new(Cell::new(0));
    let (before, counted) = (test.reached(), asked.clone());
    let no = Rc::new(move || {
        counted.set(counted.get() + 1);
        false
    });
    let end = attempt(test, Behaviour::Answers, no).await;
    assert_eq!(end.outcome, Outcome::ConnectFailed, "told of a drain");
    assert!(asked.get() > 0, "sent without asking");
    assert_eq!(test.reached(), before, "sent to a server that drains");
}

/// An attempt whose future is dropped is given up towards the server too.
async fn called_off<T: UnderTest>(test: &T, yes: Rc<dyn Fn() -> bool>) {
    let (reached, noticed) = (test.reached(), test.called_off());
    let (address, request) = test.server(Behaviour::Silent);
    let (server, request) = (ServerId(Behaviour::Silent as u64), Arc::new(request));
    let (name, progress) = ("one".into(), Rc::new(|_| ()));
    let job = AttemptJob { server, name, address, request, span: 1000.0, may_send: yes, progress };
    let mut attempting = Box::pin(test.way().attempt(job));
    tokio::select! {
        end = &mut attempting => panic!("a silent server ended as {:?}", end.outcome),
        () = until("the request at the server", || test.reached() == reached + 1) => {}
    }
    drop(attempting);
    until("the server notices", || test.called_off() > noticed).await;
    assert_eq!(test.reached(), reached + 1);
}
