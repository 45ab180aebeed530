//! Owns the decision module: feeds it what happens at the ports and carries out what it wants done.
//!
//! One [`Engine`] on one thread, inside a [`tokio::task::LocalSet`]. What it decides is [`core`]'s; here are the
//! ports, the tasks and the timers' sleep.

pub(crate) mod core;
mod departures;
mod fleet;
mod request_table;
mod revision;
#[cfg(test)]
mod schedule_tests;
mod timers;

pub use core::{Finished, Note};
pub use departures::Departures;
pub use fleet::Shares;
pub use request_table::{Answer, Reply};
pub use revision::Revision;

use crate::ports::clock::Clock;
use crate::ports::counter::{Call, CallEndSink, Counter};
use crate::ports::membership::{MembershipSink, News};
use crate::ports::upstream::{AttemptJob, End, Upstream};
use crate::supervise::keep_running;
use core::{Core, Output};
use oatbank_limiter_core::interface::*;
use oatbank_operations::budget::Budget;
use oatbank_operations::suspension::{Marks, NeverListed};
use oatbank_zones::evidence::Row;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// Between two looks at the ports' connections, ms.
const UPKEEP_INTERVAL: Millis = 500.0;

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

/// Asked before a request is read and right before an attempt's first byte: it brings the rules up to date, and where
/// this limiter may act by none, says how long (ms) to stay away.
pub type Guard = Rc<dyn Fn() -> Option<Millis>>;

/// Hears what is known of a request that runs once at most, and which server (by its name) that is about.
pub type ExecutionObserver<Q> = Rc<dyn Fn(&Q, Option<&Arc<str>>, Note)>;

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

/// Longest deadline that the end of a limiter waits for, ms, and what it waits more.
const MAX_DEADLINE_WAIT: Millis = 3000.0;
const SHUTDOWN_MARGIN: Millis = 550.0;

/// How long the end of a limiter waits for answers to what was taken: 0.55 s after the longest deadline, of which
/// 3 s count at most. After that the rest is failed.
pub fn shutdown_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    Duration::from_secs_f64((longest.min(MAX_DEADLINE_WAIT) + SHUTDOWN_MARGIN) / 1000.0)
}

/// The one owner of a decision module. Guarantees, whatever the ports do:
/// - each request that was taken on gets exactly one [`Answer`], at the latest 8 ms before its time is up;
/// - an attempt's end reaches the module once; one that has no end is ended by its time-out;
/// - no new attempt goes to a server once its departure was told (see [`MembershipSink`]).
pub struct Engine<U: Upstream> {
    clock: Rc<dyn Clock>,
    revision: RefCell<Rc<Revision>>,
    core: RefCell<Core<U::Request, U::Answer>>,
    /// Attempts that are out.
    tasks: RefCell<HashMap<(RequestId, u8), AbortHandle>>,
    /// MembershipSink when an earlier due than all before has been set.
    earlier_timer: Notify,
    /// What the timers sleep until.
    asleep_until: Cell<Millis>,
    ready: Cell<bool>,
    readiness_held: Cell<bool>,
    guard: RefCell<Option<Guard>>,
    witness: RefCell<Option<ExecutionObserver<U::Request>>>,
    upstream: U,
    counter: RefCell<Option<Rc<dyn Counter>>>,
}

impl<U: Upstream> Engine<U> {
    /// An engine that knows no server and has no counter yet.
    pub fn new(setup: &Setup, clock: Rc<dyn Clock>, upstream: U) -> Rc<Self> {
        Rc::new(Engine {
            clock,
            revision: RefCell::new(Rc::new(Revision::first(setup))),
            core: RefCell::new(Core::new(setup)),
            tasks: RefCell::default(),
            earlier_timer: Notify::new(),
            asleep_until: Cell::new(f64::INFINITY),
            ready: Cell::new(false),
            readiness_held: Cell::new(false),
            guard: RefCell::default(),
            witness: RefCell::default(),
            upstream,
            counter: RefCell::default(),
        })
    }

    /// Runs the timers for the life of the process; ended by dropping the [`tokio::task::LocalSet`].
    pub fn start(self: &Rc<Self>) {
        let engine = self.clone();
        keep_running("timers", move || engine.clone().run_timers());
        let engine = self.clone();
        keep_running("upkeep", move || engine.clone().run_upkeep());
    }

    /// The counter to use from now on; without one, quotas are kept by this limiter's own view.
    pub fn use_counter(&self, counter: Option<Rc<dyn Counter>>) {
        *self.counter.borrow_mut() = counter;
    }

    /// Where a counter tells the ends of this engine's calls.
    pub fn call_end_sink(self: &Rc<Self>) -> CallEndSink {
        let engine = Rc::downgrade(self);
        Rc::new(move |call, end| {
            if let Some(engine) = engine.upgrade() {
                engine.change(|core, now| core.call_ended(now, call, end));
            }
        })
    }

    /// Where a membership source tells its news.
    pub fn membership_sink(self: &Rc<Self>) -> MembershipSink {
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

    /// What holds for requests that come in now.
    pub fn revision(&self) -> Rc<Revision> {
        self.revision.borrow().clone()
    }

    /// Takes new settings, whole: what comes in from now on is read and decided by them, what is open keeps those
    /// that it came with, and what was learnt and counted stays, by name.
    pub fn apply_settings(self: &Rc<Self>, names: &Names, settings: &Settings) {
        let next = Rc::new(self.revision().next(names, settings));
        *self.revision.borrow_mut() = next.clone();
        self.change(|core, now| core.apply_settings(now, next.names(), next.settings()));
    }

    /// Takes a server out, or puts it in again. From the return on nothing new goes to one that is out, also on
    /// attempts whose connection is just coming up, whatever the list says or will say.
    ///
    /// # Errors
    /// When the server was never listed.
    pub fn set_suspended(self: &Rc<Self>, id: &str, out: bool) -> Result<(), NeverListed> {
        self.change_servers(|core, now| core.set_suspended(now, id, out))
    }

    /// The rules take these servers out, and none else: as [`Engine::set_suspended`], beside what that says.
    pub fn exclude_servers(self: &Rc<Self>, ids: &BTreeSet<String>) {
        self.change_servers(|core, now| core.exclude_servers(now, ids));
    }

    /// Only these parts of zones are used from now on, as [`Engine::exclude_servers`].
    pub fn set_zone_shares(self: &Rc<Self>, shares: Shares) {
        self.change_servers(|core, now| core.set_zone_shares(now, shares));
    }

    /// Counts from now on how attempts end, by zone.
    pub fn count_zones(&self) {
        self.core.borrow_mut().count_zones();
    }

    /// How attempts have ended since this was last asked; watched from the first time on.
    pub fn take_finished_attempts(&self) -> Vec<Finished> {
        self.core.borrow_mut().take_finished_attempts()
    }

    /// What was counted so far of each zone.
    pub fn zones(&self) -> Vec<Row> {
        self.core.borrow().zones()
    }

    /// What operators have said of servers.
    pub fn marks(&self) -> Marks {
        self.core.borrow().fleet().marks()
    }

    /// Takes in what another process was told of servers.
    pub fn merge(self: &Rc<Self>, marks: &Marks) {
        self.change_servers(|core, now| core.merge(now, marks));
    }

    /// The limiter can serve.
    pub fn is_ready(&self) -> bool {
        self.has_list() && !self.readiness_held.get()
    }

    /// It knows which servers there are.
    pub fn has_list(&self) -> bool {
        self.ready.get() && !self.core.borrow().fleet().is_empty()
    }

    /// Whether the limiter is kept from saying that it can serve.
    pub fn hold_readiness(&self, held: bool) {
        self.readiness_held.set(held);
    }

    /// Uses this part of what is a limiter's own: another process uses the rest.
    pub fn set_budget_part(self: &Rc<Self>, part: f64, budget: Budget) {
        self.change(|core, now| core.set_budget_part(now, part));
        self.upstream.set_limits(budget.servers, budget.answers_kib);
    }

    /// From now on nothing is read or sent without asking this.
    pub fn set_guard(&self, guard: Guard) {
        *self.guard.borrow_mut() = Some(guard);
    }

    /// From now on this hears what becomes of requests that run once at most. Their late answers are listened
    /// for so much longer, ms, than they are waited for; and what is repeatable and may have run is told as
    /// failed, not as refused.
    pub fn observe_executions(&self, late: Millis, witness: ExecutionObserver<U::Request>) {
        self.core.borrow_mut().report_executions(late);
        *self.witness.borrow_mut() = Some(witness);
    }

    /// How many requests that run once at most are out at a server, those of clients that have left included.
    pub fn at_most_once_in_flight(&self) -> usize {
        self.core.borrow().at_most_once_in_flight()
    }

    /// How many decisions of the module were not carried out, as something would have run twice or been
    /// denied by them.
    pub fn prevented_violations(&self) -> u64 {
        self.core.borrow().prevented_violations()
    }

    /// From now on attempts of requests that may be repeated are cancelled when their client leaves: no server works on for
    /// nobody. What runs at most once goes on.
    pub fn cancel_on_disconnect(&self) {
        self.core.borrow_mut().cancel_on_disconnect();
    }

    /// What became of requests whose clients left before their answer.
    pub fn departures(&self) -> Departures {
        self.core.borrow().departures()
    }

    /// Whether this limiter may act by no rules now, and how long (ms) to stay away then. After it, the rules are those
    /// of the moment.
    pub fn check_guard(&self) -> Option<Millis> {
        // Not held while it is asked: it changes the rules of this engine.
        let guard = self.guard.borrow().clone();
        guard.and_then(|guard| guard())
    }

    /// From now on the limiter says that it can serve.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Requests that still owe an answer.
    pub fn unanswered(&self) -> usize {
        self.core.borrow().unanswered()
    }

    /// Customers of which something is remembered.
    pub fn remembered_customers(&self) -> usize {
        self.core.borrow().remembered_customers()
    }

    /// Takes on a request; its id is set here. `reply` is called exactly once, unless [`Engine::client_left`] comes
    /// before; it must not call back into the engine.
    pub fn submit(
        self: &Rc<Self>,
        request: Request,
        forward: U::Request,
        reply: Reply<U::Answer>,
    ) -> RequestId {
        self.change(|core, now| core.submit(now, request, forward, reply))
    }

    /// Takes on a request at once, and waits for its answer. Dropped before that: the client has left.
    pub fn submit_and_wait(
        self: &Rc<Self>,
        request: Request,
        forward: U::Request,
    ) -> impl Future<Output = Answer<U::Answer>> + use<U>
    where
        U::Answer: Send,
    {
        let (sender, receiver) = oneshot::channel();
        // A client that has just left needs no answer.
        let reply = Box::new(move |answer| drop(sender.send(answer)));
        let id = self.submit(request, forward, reply);
        let guard = DisconnectGuard { engine: self.clone(), id, answered: false };
        async move {
            // The sender is only lost with the request's entry, and that is a defect: it has then failed.
            let answer = receiver.await.unwrap_or(Answer::Failed);
            guard.disarm();
            answer
        }
    }

    /// The client has left; nothing more is owed.
    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        self.change(|core, now| core.client_left(now, id));
    }

    /// Fails all that is still owed, at the end of a shutdown.
    pub fn fail_all(self: &Rc<Self>) {
        self.change(|core, now| core.fail_all(now));
    }

    /// Changes the core, and does what it asks for.
    fn change<T>(self: &Rc<Self>, change: impl FnOnce(&mut Core<U::Request, U::Answer>, Millis) -> T) -> T {
        let done = change(&mut self.core.borrow_mut(), self.now());
        loop {
            // Not held while it is carried out: a port may look at the engine.
            let Some(output) = self.core.borrow_mut().output() else { break };
            self.carry_out(output);
        }
        let due = self.core.borrow().next_due();
        if due.is_some_and(|at| at < self.asleep_until.get()) {
            self.earlier_timer.notify_one();
        }
        done
    }

    fn carry_out(self: &Rc<Self>, output: Output<U::Request>) {
        match output {
            Output::Attempt { id, number, server, name, address, request, span } => {
                let asked = self.clone();
                let may_send = Rc::new(move || {
                    asked.check_guard().is_none() && asked.core.borrow().fleet().is_ready(server)
                });
                let told = self.clone();
                let progress = Rc::new(move |progress| {
                    told.change(|core, now| core.progress(now, id, number, progress));
                });
                self.attempt(
                    id,
                    number,
                    AttemptJob { server, name, address, request, span, may_send, progress },
                );
            }
            Output::CancelAttempt { id, number } => {
                if let Some(task) = self.tasks.borrow_mut().remove(&(id, number)) {
                    task.abort();
                }
            }
            Output::Count(call) => self.count(call),
            Output::Note { request, server, note } => {
                let witness = self.witness.borrow().clone();
                if let Some(witness) = witness {
                    witness(&request, server.as_ref(), note);
                }
            }
        }
    }

    fn attempt(self: &Rc<Self>, id: RequestId, number: u8, job: AttemptJob<U::Request>) {
        let mut report = AttemptReporter { engine: self.clone(), id, number, done: false };
        let attempting = self.upstream.attempt(job);
        let task = tokio::task::spawn_local(async move { report.send(attempting.await) });
        self.tasks.borrow_mut().insert((id, number), task.abort_handle());
    }

    fn count(self: &Rc<Self>, call: Call) {
        let counter = self.counter.borrow().clone();
        let begun = counter.map_or(Err(crate::ports::counter::CallEnd::Unreachable), |c| c.begin(call));
        if let Err(end) = begun {
            // What comes of it is carried out by whoever carries out this.
            let now = self.now();
            self.core.borrow_mut().call_ended(now, call.id, end);
        }
    }

    fn members(self: &Rc<Self>, news: &News) {
        if self.change_servers(|core, now| core.members(now, news)) {
            self.set_ready();
        }
    }

    /// Changes which servers may be sent something.
    fn change_servers<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Core<U::Request, U::Answer>, Millis) -> T,
    ) -> T {
        let done = change(&mut self.core.borrow_mut(), self.now());
        // Before anything new goes out: idle connections to what has left are not to be taken.
        self.upstream.keep_only(&|id| self.core.borrow().fleet().is_ready(id));
        self.change(|_, _| ());
        done
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            while self.change(|core, now| core.run_due_timer(now)) {
                // What has just come in is not to wait for a long row of timers.
                tokio::task::coop::consume_budget().await;
            }
            let next = self.core.borrow().next_due();
            self.asleep_until.set(next.unwrap_or(f64::INFINITY));
            match next {
                Some(at) => tokio::select! {
                    () = self.clock.until(at) => {}
                    () = self.earlier_timer.notified() => {}
                },
                None => self.earlier_timer.notified().await,
            }
            // Awake until it has looked again: nothing need wake it.
            self.asleep_until.set(f64::NEG_INFINITY);
        }
    }

    async fn run_upkeep(self: Rc<Self>) {
        loop {
            self.clock.until(self.now() + UPKEEP_INTERVAL).await;
            let now = self.now();
            self.upstream.upkeep(now);
            let counter = self.counter.borrow().clone();
            if let Some(counter) = counter {
                counter.upkeep(now);
            }
        }
    }
}

/// Tells the engine when whoever waits for an answer leaves before it.
struct DisconnectGuard<U: Upstream> {
    engine: Rc<Engine<U>>,
    id: RequestId,
    answered: bool,
}

impl<U: Upstream> DisconnectGuard<U> {
    /// The answer has come.
    fn disarm(mut self) {
        self.answered = true;
    }
}

impl<U: Upstream> Drop for DisconnectGuard<U> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.client_left(self.id);
        }
    }
}

/// Reports that an attempt may have run, should its task die before it has reported anything.
struct AttemptReporter<U: Upstream> {
    engine: Rc<Engine<U>>,
    id: RequestId,
    number: u8,
    done: bool,
}

impl<U: Upstream> AttemptReporter<U> {
    fn send(&mut self, end: End<U::Answer>) {
        self.done = true;
        let (id, number) = (self.id, self.number);
        self.engine.tasks.borrow_mut().remove(&(id, number));
        self.engine.change(|core, now| core.attempt_ended(now, id, number, end));
    }
}

impl<U: Upstream> Drop for AttemptReporter<U> {
    fn drop(&mut self) {
        if !self.done {
            self.send(End::without_answer(Outcome::Reset));
        }
    }
}
