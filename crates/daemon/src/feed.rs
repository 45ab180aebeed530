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
    told: MembershipSink,
    clock: Rc<dyn Clock>,
    sooner: Notify,
}

impl Feed {
    /// Starts to send the updates that result from `intake` to `told`, for the life of the process.
    pub fn start(intake: Intake, told: MembershipSink, clock: Rc<dyn Clock>) -> Rc<Self> {
        let feed = Rc::new(Feed { intake: RefCell::new(intake), told, clock, sooner: Notify::new() });
        let letting_in = feed.clone();
        keep_running("members held back", move || letting_in.clone().let_in());
        feed
    }

    /// Returns the sink for the source of this rank. A call of it forwards the resulting update before it returns.
    pub fn source(self: &Rc<Self>, rank: usize) -> MembershipSink {
        let feed = self.clone();
        Rc::new(move |news| {
            let news = feed.intake.borrow_mut().update(feed.clock.now(), rank, news);
            feed.pass(news);
            feed.sooner.notify_one();
        })
    }

    /// Calls `how` with the intake, for inspection.
    pub fn look<T>(&self, how: impl FnOnce(&Intake) -> T) -> T {
        how(&self.intake.borrow())
    }

    fn pass(&self, news: Option<News>) {
        if let Some(news) = news {
            (self.told)(news);
        }
    }

    /// Releases servers whose hold-down time has passed.
    async fn let_in(self: Rc<Self>) {
        loop {
            let next = self.intake.borrow().next_due();
            match next {
                None => self.sooner.notified().await,
                Some(at) => tokio::select! {
                    () = self.sooner.notified() => {}
                    () = self.clock.until(at) => {
                        let news = self.intake.borrow_mut().release_due(self.clock.now());
                        self.pass(news);
                    }
                },
            }
        }
    }
}
