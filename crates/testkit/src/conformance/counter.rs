//! Conformance suite for counters.

use super::until;
use oatbank_engine::ports::counter::{Call, CallEnd, CallEndSink, CallId, Counter};
use oatbank_limiter_core::interface::CountName;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A counter under test and the call results that it has reported.
pub struct Rig {
    counter: Rc<dyn Counter>,
    ends: Rc<RefCell<Vec<(CallId, CallEnd)>>>,
    /// Whether `begin` is currently executing.
    inside: Rc<Cell<bool>>,
    next: Cell<u64>,
}

impl Rig {
    /// Creates the implementation with a sink that records its results.
    pub fn new(start: impl FnOnce(CallEndSink) -> Rc<dyn Counter>) -> Self {
        let ends: Rc<RefCell<Vec<(CallId, CallEnd)>>> = Rc::default();
        let inside = Rc::new(Cell::new(false));
        let (told, beginning) = (ends.clone(), inside.clone());
        let counter = start(Rc::new(move |call, end| {
            assert!(!beginning.get(), "a result was reported from inside begin");
            let twice = told.borrow().iter().any(|(c, _)| *c == call);
            assert!(!twice, "the call {call:?} ended twice");
            told.borrow_mut().push((call, end));
        }));
        Rig { counter, ends, inside, next: Cell::new(0) }
    }

    /// Begins a call. Panics if it fails with anything but `Busy` or `Unreachable`.
    pub fn begin(&self, name: u64, add: f64) -> Result<CallId, CallEnd> {
        let id = CallId(self.next.replace(self.next.get() + 1));
        self.inside.set(true);
        let begun = self.counter.begin(Call { id, name: CountName(name), add, ttl: 60_000.0 });
        self.inside.set(false);
        if let Err(end) = begun {
            assert!(matches!(end, CallEnd::Busy | CallEnd::Unreachable), "begin failed with {end:?}");
        }
        begun.map(|()| id)
    }

    /// Begins a call as soon as the counter accepts one, and waits for its result.
    pub async fn call(&self, name: u64, add: f64) -> CallEnd {
        let mut id = None;
        until("the counter to accept a call", || {
            id = self.begin(name, add).ok();
            id.is_some()
        })
        .await;
        let id = id.expect("no call was accepted");
        until("the result of a call", || self.end(id).is_some()).await;
        self.end(id).expect("no result")
    }

    /// Returns the result of a call, or `None` while it is pending.
    pub fn end(&self, id: CallId) -> Option<CallEnd> {
        self.ends.borrow().iter().find(|(c, _)| *c == id).map(|(_, end)| *end)
    }
}

/// Checks a counter that is reachable and initially empty.
pub async fn suite(rig: &Rig) {
    adds_up(rig).await;
    keeps_order(rig).await;
}

async fn adds_up(rig: &Rig) {
    assert_eq!(rig.call(1, 2.0).await, CallEnd::Added(2.0), "a new name starts at zero");
    assert_eq!(rig.call(1, 0.5).await, CallEnd::Added(2.5));
    assert_eq!(rig.call(1, 0.0).await, CallEnd::Added(2.5), "adding zero only reads");
    assert_eq!(rig.call(1, -1.0).await, CallEnd::Added(1.5), "negative amounts are allowed");
    assert_eq!(rig.call(2, 7.0).await, CallEnd::Added(7.0), "names are independent");
    assert_eq!(rig.call(u64::MAX, 1.0).await, CallEnd::Added(1.0));
}

/// Checks that calls of one name reach the counter in order and that no amount is added twice.
async fn keeps_order(rig: &Rig) {
    let calls: Vec<CallId> = (0..200).map(|_| rig.begin(3, 1.0).expect("the call was rejected")).collect();
    until("all results", || calls.iter().all(|c| rig.end(*c).is_some())).await;
    for (i, call) in calls.iter().enumerate() {
        assert_eq!(rig.end(*call), Some(CallEnd::Added(i as f64 + 1.0)), "calls of one name stay in order");
    }
}

/// Checks a counter that loses each call after adding its amount: the result must be `Unknown`.
pub async fn lost_after_adding(rig: &Rig) {
    assert_eq!(rig.call(9, 1.0).await, CallEnd::Unknown, "an amount that may have been added");
}

/// Checks an unreachable counter: each call fails with `Unreachable`, which states that nothing was added.
pub async fn unreachable(rig: &Rig) {
    for _ in 0..20 {
        assert_eq!(rig.begin(9, 1.0), Err(CallEnd::Unreachable));
        tokio::task::yield_now().await;
    }
}

/// Checks a counter that rejects all calls: the result must be `Busy`.
pub async fn busy(rig: &Rig) {
    assert_eq!(rig.call(9, 1.0).await, CallEnd::Busy);
}
