//! Passes the updates of several membership sources through [`Intake`] to the engine.

use oatbank_engine::ports::clock::Clock;
use oatbank_engine::ports::membership::{MembershipSink, News};
use oatbank_engine::supervise::keep_running;
use oatbank_membership::intake::Intake;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// One list of servers, merged from sources of different rank.
pub struct Feed {
    intake: RefCell<Intake>,
    sink: MembershipSink,
    clock: Rc<dyn Clock>,
    deadline_changed: Notify,
}

impl Feed {
    /// Starts to send the updates that result from `intake` to `sink`, for the life of the process.
    pub fn start(intake: Intake, sink: MembershipSink, clock: Rc<dyn Clock>) -> Rc<Self> {
        let feed =
            Rc::new(Feed { intake: RefCell::new(intake), sink, clock, deadline_changed: Notify::new() });
        let releasing = feed.clone();
        keep_running("members held back", move || releasing.clone().release_held_servers());
        feed
    }

    /// Returns the sink for the source of this rank. A call of it forwards the resulting update before it returns.
    pub fn source(self: &Rc<Self>, rank: usize) -> MembershipSink {
        let feed = self.clone();
        Rc::new(move |news| {
            let news = feed.intake.borrow_mut().update(feed.clock.now(), rank, news);
            feed.forward(news);
            feed.deadline_changed.notify_one();
        })
    }

    /// Calls `inspector` with the intake, for inspection.
    pub fn inspect<T>(&self, inspector: impl FnOnce(&Intake) -> T) -> T {
        inspector(&self.intake.borrow())
    }

    fn forward(&self, news: Option<News>) {
        if let Some(news) = news {
            (self.sink)(news);
        }
    }

    /// Releases servers whose hold-down time has passed.
    async fn release_held_servers(self: Rc<Self>) {
        loop {
            let next = self.intake.borrow().next_due();
            match next {
                None => self.deadline_changed.notified().await,
                Some(at) => tokio::select! {
                    () = self.deadline_changed.notified() => {}
                    () = self.clock.until(at) => {
                        let news = self.intake.borrow_mut().release_due(self.clock.now());
                        self.forward(news);
                    }
                },
            }
        }
    }
}
