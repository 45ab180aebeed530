//! What every counter must keep.

use super::until;
use oatbank_engine::ports::counter::{Call, CallEnd, CallEndSink, CallId, Counter};
use oatbank_limiter_core::interface::CountName;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A counter and the ends that it has told.
pub struct Rig {
    counter: Rc<dyn Counter>,
    ends: Rc<RefCell<Vec<(CallId, CallEnd)>>>,
    /// A call to `begin` is under way.
    inside: Rc<Cell<bool>>,
    next: Cell<u64>,
}

impl Rig {
    /// Starts an implementation.
    pub fn new(start: impl FnOnce(CallEndSink) -> Rc<dyn Counter>) -> Self {
        let ends: Rc<RefCell<Vec<(CallId, CallEnd)>>> = Rc::default();
        let inside = Rc::new(Cell::new(false));
        let (told, beginning) = (ends.clone(), inside.clone());
        let counter = start(Rc::new(move |call, end| {
            assert!(!beginning.get(), "an end was told from inside begin");
            let twice = told.borrow().iter().any(|(c, _)| *c == call);
            assert!(!twice, "the call {call:?} ended twice");
            told.borrow_mut().push((call, end));
        }));
        Rig { counter, ends, inside, next: Cell::new(0) }
    }

    /// Begins a call.
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

    /// Begins a call as soon as the counter takes one, and waits for its end.
    pub async fn call(&self, name: u64, add: f64) -> CallEnd {
        let mut id = None;
        until("a counter that takes calls", || {
            id = self.begin(name, add).ok();
            id.is_some()
        })
        .await;
        let id = id.expect("a call that was taken");
        until("the end of a call", || self.end(id).is_some()).await;
        self.end(id).expect("an end")
    }

    /// How a call ended.
    pub fn end(&self, id: CallId) -> Option<CallEnd> {
        self.ends.borrow().iter().find(|(c, _)| *c == id).map(|(_, end)| *end)
    }
}

/// Holds a counter that can be reached and starts empty to its guarantees.
pub async fn suite(rig: &Rig) {
    adds_up(rig).await;
    keeps_order(rig).await;
}

async fn adds_up(rig: &Rig) {
    assert_eq!(rig.call(1, 2.0).await, CallEnd::Added(2.0), "a new name begins at nothing");
    assert_eq!(rig.call(1, 0.5).await, CallEnd::Added(2.5));
    assert_eq!(rig.call(1, 0.0).await, CallEnd::Added(2.5), "nothing added only reads");
    assert_eq!(rig.call(1, -1.0).await, CallEnd::Added(1.5), "amounts may be taken back");
    assert_eq!(rig.call(2, 7.0).await, CallEnd::Added(7.0), "names are apart");
    assert_eq!(rig.call(u64::MAX, 1.0).await, CallEnd::Added(1.0));
}

/// Calls of one name reach the counter in their order, and no amount is added twice.
async fn keeps_order(rig: &Rig) {
    let calls: Vec<CallId> = (0..200).map(|_| rig.begin(3, 1.0).expect("a call that is taken")).collect();
    until("all ends", || calls.iter().all(|c| rig.end(*c).is_some())).await;
    for (i, call) in calls.iter().enumerate() {
        assert_eq!(rig.end(*call), Some(CallEnd::Added(i as f64 + 1.0)), "the order of one name");
    }
}

/// Holds a counter that loses each call after it has counted it: it may say nothing but that it does not know.
pub async fn lost_after_adding(rig: &Rig) {
    assert_eq!(rig.call(9, 1.0).await, CallEnd::Unknown, "an amount that may have been added");
}

/// Holds a counter that cannot be reached: every call ends, and says that nothing was added.
pub async fn unreachable(rig: &Rig) {
    for _ in 0..20 {
        assert_eq!(rig.begin(9, 1.0), Err(CallEnd::Unreachable));
        tokio::task::yield_now().await;
    }
}

/// Holds a counter that turns all calls away.
pub async fn busy(rig: &Rig) {
    assert_eq!(rig.call(9, 1.0).await, CallEnd::Busy);
}
