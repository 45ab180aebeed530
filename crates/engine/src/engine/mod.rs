//! Owns the decision module: feeds it what happens at the ports and carries out what it wants done.
//!
//! One [`Engine`] on one thread, inside a [`tokio::task::LocalSet`]. Every change enters by one queue, which
//! keeps events in order even where carrying out an action brings up the next event at once.

mod book;
mod fleet;
mod timers;

pub use book::{Answer, Reply};

use crate::ports::clock::Clock;
use crate::ports::counter::{Call, CallEnd, CallId, Counter, Ends};
use crate::ports::membership::{News, Told};
use crate::ports::upstream::{End, Job, Upstream};
use crate::supervise::keep_running;
use book::{Book, NEVER_BEGAN};
use fleet::Fleet;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use timers::Timers;
use topazwind::interface::*;
use topazwind::logic::Gateway;

/// What is left for an answer's way back, ms: a client counts its wait from when it sent the request.
const WAY_BACK: Millis = 20.0;
/// A request of which the module has said nothing this long before its client leaves, ms, has failed.
const LAST_CALL: Millis = 8.0;
/// Between two looks at the ports' connections, ms.
const UPKEEP: Millis = 500.0;

/// Names on the sockets, in the order by which the decision module counts them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Plans of customers.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Values of a load report.
    pub report: Vec<String>,
}

/// What an engine is started with.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of classes, plans, zones and reports.
    pub names: Names,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestId, u8),
    LastCall(RequestId),
    Call(CallId),
    Upkeep,
}

struct State<Q, A> {
    gateway: Gateway,
    actions: Vec<Action>,
    todo: VecDeque<Action>,
    book: Book<Q, A>,
    fleet: Fleet,
}

/// The one owner of a decision module. Guarantees, whatever the ports do:
/// - each request that was taken on gets exactly one [`Answer`], at the latest 8 ms before its time is up;
/// - an attempt's end reaches the module once; one that has no end is ended by its time-out;
/// - no new attempt goes to a server once its departure was told (see [`Told`]).
pub struct Engine<U: Upstream> {
    clock: Rc<dyn Clock>,
    names: Names,
    settings: Settings,
    state: RefCell<State<U::Request, U::Answer>>,
    events: RefCell<VecDeque<Event>>,
    feeding: Cell<bool>,
    timers: Timers<Due>,
    ready: Cell<bool>,
    upstream: U,
    counter: RefCell<Option<Rc<dyn Counter>>>,
    /// Calls whose end the module has not been told.
    calls: RefCell<HashMap<CallId, (CountName, Millis)>>,
    next_call: Cell<u64>,
}

impl<U: Upstream> Engine<U> {
    /// An engine that knows no server and has no counter yet.
    pub fn new(setup: &Setup, clock: Rc<dyn Clock>, upstream: U) -> Rc<Self> {
        let state = State {
            gateway: Gateway::new(setup.settings.clone(), setup.seed),
            actions: Vec::new(),
            todo: VecDeque::new(),
            book: Book::new(),
            fleet: Fleet::default(),
        };
        let engine = Rc::new(Engine {
            clock,
            names: setup.names.clone(),
            settings: setup.settings.clone(),
            state: RefCell::new(state),
            events: RefCell::default(),
            feeding: Cell::new(false),
            timers: Timers::new(),
            ready: Cell::new(false),
            upstream,
            counter: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
        });
        engine.timers.arm(engine.clock.now() + UPKEEP, Due::Upkeep);
        engine
    }

    /// Runs the timers for the life of the process; ended by dropping the [`tokio::task::LocalSet`].
    pub fn start(self: &Rc<Self>) {
        let engine = self.clone();
        keep_running("timers", move || engine.clone().run_timers());
    }

    /// The counter to use from now on; without one, quotas are kept by this limiter's own view.
    pub fn use_counter(&self, counter: Option<Rc<dyn Counter>>) {
        *self.counter.borrow_mut() = counter;
    }

    /// Where a counter tells the ends of this engine's calls.
    pub fn ends(self: &Rc<Self>) -> Ends {
        let engine = Rc::downgrade(self);
        Rc::new(move |call, end| {
            if let Some(engine) = engine.upgrade() {
                engine.call_ended(call, end);
            }
        })
    }

    /// Where a membership source tells its news.
    pub fn told(self: &Rc<Self>) -> Told {
        let engine = Rc::downgrade(self);
        Rc::new(move |news| {
            if let Some(engine) = engine.upgrade() {
                engine.members(&news);
            }
        })
    }

    /// The time, in Unix ms.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Names of classes, plans, zones and reports.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// What the module was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The limiter can serve.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.state.borrow().fleet.is_empty()
    }

    /// From now on the limiter says that it can serve.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Requests that still owe an answer.
    pub fn owed(&self) -> usize {
        self.state.borrow().book.owed().len()
    }

    /// Customers of which something is remembered.
    pub fn remembered(&self) -> usize {
        self.state.borrow().gateway.remembered()
    }

    // ---- Events in, actions out ---------------------------------------------------------------

    fn feed(self: &Rc<Self>, event: Event) {
        self.later(event);
        self.drain();
    }

    fn later(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
    }

    /// Works off the events that wait.
    ///
    /// A panic in here costs the event that brought it up and no more: not the task it came from (a client's
    /// connection, the timers), and not what else was to be done.
    fn drain(self: &Rc<Self>) {
        if self.feeding.replace(true) {
            return;
        }
        loop {
            let next = self.events.borrow_mut().pop_front();
            if next.is_none() && self.state.borrow().todo.is_empty() {
                break;
            }
            let arrived = match &next {
                Some(Event::Request(request)) => Some(request.id),
                _ => None,
            };
            if catch_unwind(AssertUnwindSafe(|| self.step(next))).is_err() {
                log::error!("a panic while an event was handled");
                if let Some(id) = arrived {
                    self.answer(&mut self.state.borrow_mut(), id, Answer::Failed);
                }
            }
        }
        self.feeding.set(false);
    }

    /// Gives the module one event, and carries out what it asks for.
    fn step(self: &Rc<Self>, event: Option<Event>) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(event) = event {
            state.gateway.handle(self.now(), event, &mut state.actions);
            state.todo.extend(state.actions.drain(..));
        }
        while let Some(action) = state.todo.pop_front() {
            self.carry_out(state, action);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State<U::Request, U::Answer>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(state, id, server, timeout),
            Action::Refuse { id, retry_after } => self.answer(state, id, Answer::Refused(retry_after)),
            Action::Fail(id) => self.answer(state, id, Answer::Failed),
            Action::Cancel { id, attempt } => self.end(state, id, attempt, Outcome::Cancelled, Vec::new()),
            Action::Count { name, add, ttl } => self.count(name, add, ttl),
            Action::Timer { after, name } => self.timers.arm(self.now() + after, Due::Module(name)),
            // Sources push their news, and probes are no part of what ports can do.
            Action::Watch | Action::Probe(_) => {}
        }
    }

    // ---- Requests -----------------------------------------------------------------------------

    /// Takes on a request; its id is set here. `reply` is called exactly once, unless [`Engine::gone`] comes
    /// before, and never from inside this call's caller's borrow: it must not call back into the engine.
    pub fn arrive(
        self: &Rc<Self>,
        mut request: Request,
        forward: U::Request,
        reply: Reply<U::Answer>,
    ) -> RequestId {
        let ends = self.now() + request.time_left;
        let id = self.state.borrow_mut().book.open(forward, ends, reply);
        self.timers.arm(ends - LAST_CALL, Due::LastCall(id));
        request.id = id;
        request.time_left = (request.time_left - WAY_BACK).max(1.0);
        self.feed(Event::Request(request));
        id
    }

    /// The client has left; nothing more is owed.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        let waiting = self.state.borrow_mut().book.reply(id);
        if waiting.is_some() {
            self.feed(Event::Gone(id));
            self.state.borrow_mut().book.forget(id);
        }
    }

    /// Guards against a module that says nothing: the client is answered while it still waits.
    fn last_call(self: &Rc<Self>, id: RequestId) {
        let waiting = self.state.borrow_mut().book.reply(id);
        let Some(reply) = waiting else { return };
        log::debug!("request {} ended by the clock", id.0);
        reply(Answer::TimedOut);
        self.feed(Event::Gone(id));
        self.state.borrow_mut().book.forget(id);
    }

    /// Fails all that is still owed, at the end of a shutdown.
    pub fn fail_all(self: &Rc<Self>) {
        let owed = self.state.borrow().book.owed();
        for id in owed {
            self.last_call(id);
        }
    }

    /// Gives a request its final answer, once.
    fn answer(&self, state: &mut State<U::Request, U::Answer>, id: RequestId, answer: Answer<U::Answer>) {
        if let Some(reply) = state.book.reply(id) {
            reply(answer);
        }
        state.book.forget(id);
    }

    // ---- Attempts -----------------------------------------------------------------------------

    fn send(
        self: &Rc<Self>,
        state: &mut State<U::Request, U::Answer>,
        id: RequestId,
        server: ServerId,
        timeout: Millis,
    ) {
        let now = self.now();
        let most = self.settings.max_attempts as usize;
        let Some(entry) = state.book.get_mut(id) else {
            let (outcome, load) = (NEVER_BEGAN, Vec::new());
            let (attempt, complete, took, settled) = (0, true, 0.0, 0.0);
            return self.later(Event::Ended { id, attempt, server, outcome, complete, took, settled, load });
        };
        let attempt = entry.begin(server, now);
        let Ok(number) = u8::try_from(attempt) else { return };
        let left = entry.ends - WAY_BACK - now;
        let span = if timeout > 0.0 { timeout.min(left) } else { left };
        if entry.over() || span <= 0.0 || most > 0 && attempt >= most {
            return self.end(state, id, number, NEVER_BEGAN, Vec::new());
        }
        let request = entry.request.clone();
        let Some(address) = state.fleet.address(server) else {
            return self.end(state, id, number, Outcome::ConnectFailed, Vec::new());
        };
        let asked = self.clone();
        let may_send = Rc::new(move || asked.state.borrow().fleet.is_ready(server));
        let job = Job { server, address, request, span, may_send };
        let mut report = Report { engine: self.clone(), id, number, done: false };
        let attempting = self.upstream.attempt(job);
        let task = tokio::task::spawn_local(async move { report.send(attempting.await) });
        if let Some(entry) = state.book.get_mut(id) {
            entry.runs_as(attempt, task.abort_handle());
        }
        self.timers.arm(now + span, Due::Attempt(id, number));
    }

    /// An attempt has ended at its port; late results of ended ones are dropped.
    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: u8, end: End<U::Answer>) {
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if !state.book.is_live(id, attempt) {
                return;
            }
            if let (Outcome::Ok, Some(answer)) = (end.outcome, end.answer) {
                if let Some(reply) = state.book.reply(id) {
                    reply(Answer::Served(answer));
                }
            }
            state.book.reported(id, attempt);
            self.end(state, id, attempt, end.outcome, end.load);
        }
        self.drain();
    }

    /// Ends an attempt and lets the module know.
    fn end(
        &self,
        state: &mut State<U::Request, U::Answer>,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        load: Vec<f64>,
    ) {
        let Some(ended) = state.book.end(id, attempt, self.now()) else { return };
        let (server, complete, took, settled) = (ended.server, ended.over, ended.took, 0.0);
        self.later(Event::Ended { id, attempt, server, outcome, complete, took, settled, load });
    }

    // ---- Counter ------------------------------------------------------------------------------

    fn count(self: &Rc<Self>, name: CountName, add: f64, ttl: Millis) {
        let now = self.now();
        let id = CallId(self.next_call.get());
        self.next_call.set(id.0 + 1);
        let counter = self.counter.borrow().clone();
        self.calls.borrow_mut().insert(id, (name, now));
        let begun = match counter {
            Some(counter) if add.is_finite() => counter.begin(Call { id, name, add, ttl }),
            _ => Err(CallEnd::Unreachable),
        };
        match begun {
            Ok(()) => self.timers.arm(now + self.settings.counter_timeout, Due::Call(id)),
            Err(end) => self.settle(id, end),
        }
    }

    fn call_ended(self: &Rc<Self>, id: CallId, end: CallEnd) {
        self.settle(id, end);
        self.drain();
    }

    /// A call has ended or is waited for no longer. What comes after that is dropped.
    fn settle(&self, id: CallId, end: CallEnd) {
        let Some((name, at)) = self.calls.borrow_mut().remove(&id) else { return };
        let (outcome, total) = match end {
            CallEnd::Added(total) => (Outcome::Ok, total),
            CallEnd::Busy => (Outcome::Full, 0.0),
            CallEnd::Unreachable => (Outcome::ConnectFailed, 0.0),
            CallEnd::Unknown => (Outcome::Reset, 0.0),
        };
        self.later(Event::Counted { name, outcome, took: self.now() - at, total });
    }

    fn call_overdue(self: &Rc<Self>, id: CallId) {
        let Some((name, at)) = self.calls.borrow_mut().remove(&id) else { return };
        let took = self.now() - at;
        self.feed(Event::Counted { name, outcome: Outcome::TimedOut, took, total: 0.0 });
    }

    // ---- Servers ------------------------------------------------------------------------------

    fn members(self: &Rc<Self>, news: &News) {
        let (update, entries) = {
            let mut state = self.state.borrow_mut();
            let told = state.fleet.take(news, &self.names.zones);
            self.upstream.keep_only(&|id| state.fleet.is_ready(id));
            told
        };
        self.feed(Event::Servers { update, entries });
        if update != ListUpdate::Cached {
            self.set_ready();
        }
    }

    // ---- Timers -------------------------------------------------------------------------------

    async fn run_timers(self: Rc<Self>) {
        loop {
            while let Some(due) = self.timers.pop(self.now()) {
                self.come_due(due);
                // What has just come in is not to wait for a long row of timers.
                tokio::task::coop::consume_budget().await;
            }
            match self.timers.next() {
                Some(at) => tokio::select! {
                    () = self.clock.until(at) => {}
                    () = self.timers.sooner.notified() => {}
                },
                None => self.timers.sooner.notified().await,
            }
        }
    }

    fn come_due(self: &Rc<Self>, due: Due) {
        match due {
            Due::Module(name) => self.feed(Event::Timer(name)),
            Due::Attempt(id, attempt) => {
                self.end(&mut self.state.borrow_mut(), id, attempt, Outcome::TimedOut, Vec::new());
                self.drain();
            }
            Due::LastCall(id) => self.last_call(id),
            Due::Call(call) => self.call_overdue(call),
            Due::Upkeep => {
                let now = self.now();
                self.upstream.upkeep(now);
                let counter = self.counter.borrow().clone();
                if let Some(counter) = counter {
                    counter.upkeep(now);
                }
                self.timers.arm(now + UPKEEP, Due::Upkeep);
            }
        }
    }
}

/// Reports that an attempt may have run, should its task die before it has reported anything.
struct Report<U: Upstream> {
    engine: Rc<Engine<U>>,
    id: RequestId,
    number: u8,
    done: bool,
}

impl<U: Upstream> Report<U> {
    fn send(&mut self, end: End<U::Answer>) {
        self.done = true;
        self.engine.attempt_ended(self.id, self.number, end);
    }
}

impl<U: Upstream> Drop for Report<U> {
    fn drop(&mut self) {
        if !self.done {
            self.send(End::without_answer(Outcome::Reset));
        }
    }
}
