//! Runs the decision module: passes it the events of the ports and carries out its actions.
//!
//! An [`Engine`] lives on one thread, inside a [`tokio::task::LocalSet`]. Its state machine is [`core`]; this module
//! adds the ports, the tasks and the timer loop.

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

/// Interval between upkeep calls to the ports, ms.
const UPKEEP_INTERVAL: Millis = 500.0;

/// External names, in the order by which the decision module indexes them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Customer plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Values of a server's load report.
    pub report: Vec<String>,
}

/// Check made before a request is handled and right before an attempt's first byte. It applies the current rules and
/// returns `None`, or the wait in ms after which to retry if no rules are in force.
pub type Guard = Rc<dyn Fn() -> Option<Millis>>;

/// Receives the execution state of at-most-once requests, with the name of the server concerned.
pub type ExecutionObserver<Q> = Rc<dyn Fn(&Q, Option<&Arc<str>>, Note)>;

/// Initial configuration of an engine.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, plans, zones and reports.
    pub names: Names,
    /// Seed of the decision module's random number generator.
    pub seed: u64,
}

/// Longest class deadline that a shutdown waits for, ms.
const MAX_DEADLINE_WAIT: Millis = 3000.0;
/// Time that a shutdown waits beyond the deadline, ms.
const SHUTDOWN_MARGIN: Millis = 550.0;

/// How long a shutdown waits for the answers to accepted requests: the longest class deadline, at most 3 s, plus
/// 0.55 s. Requests that are unanswered after that fail.
pub fn shutdown_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    Duration::from_secs_f64((longest.min(MAX_DEADLINE_WAIT) + SHUTDOWN_MARGIN) / 1000.0)
}

/// Owns a decision module and its ports. Guarantees, whatever the ports do:
/// - each accepted request gets exactly one [`Answer`], at the latest 8 ms before its deadline;
/// - an attempt's end reaches the module exactly once; an attempt that does not end is ended by its timeout;
/// - no new attempt goes to a server once its departure was reported (see [`MembershipSink`]).
pub struct Engine<U: Upstream> {
    clock: Rc<dyn Clock>,
    revision: RefCell<Rc<Revision>>,
    core: RefCell<Core<U::Request, U::Answer>>,
    /// Tasks of the attempts in flight.
    tasks: RefCell<HashMap<(RequestId, u8), AbortHandle>>,
    /// Notified when a timer earlier than all others has been set.
    earlier_timer: Notify,
    /// Time until which the timer task sleeps.
    asleep_until: Cell<Millis>,
    ready: Cell<bool>,
    readiness_held: Cell<bool>,
    guard: RefCell<Option<Guard>>,
    witness: RefCell<Option<ExecutionObserver<U::Request>>>,
    upstream: U,
    counter: RefCell<Option<Rc<dyn Counter>>>,
}

impl<U: Upstream> Engine<U> {
    /// Creates an engine without servers or a counter.
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

    /// Starts the timer and upkeep tasks, which run until the [`tokio::task::LocalSet`] is dropped.
    pub fn start(self: &Rc<Self>) {
        let engine = self.clone();
        keep_running("timers", move || engine.clone().run_timers());
        let engine = self.clone();
        keep_running("upkeep", move || engine.clone().run_upkeep());
    }

    /// Sets the shared counter. Without one, quotas are enforced by this limiter's local view only.
    pub fn use_counter(&self, counter: Option<Rc<dyn Counter>>) {
        *self.counter.borrow_mut() = counter;
    }

    /// Sink through which a counter reports the ends of this engine's calls.
    pub fn call_end_sink(self: &Rc<Self>) -> CallEndSink {
        let engine = Rc::downgrade(self);
        Rc::new(move |call, end| {
            if let Some(engine) = engine.upgrade() {
                engine.change(|core, now| core.call_ended(now, call, end));
            }
        })
    }

    /// Sink through which a membership source reports its updates.
    pub fn membership_sink(self: &Rc<Self>) -> MembershipSink {
        let engine = Rc::downgrade(self);
        Rc::new(move |news| {
            if let Some(engine) = engine.upgrade() {
                engine.members(&news);
            }
        })
    }

    /// Current time, Unix ms.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Revision of the settings for requests that arrive now.
    pub fn revision(&self) -> Rc<Revision> {
        self.revision.borrow().clone()
    }

    /// Applies new settings atomically. Requests that arrive from now on use them, open requests keep the rules that
    /// they arrived under, and learned state and counts are kept by name.
    pub fn apply_settings(self: &Rc<Self>, names: &Names, settings: &Settings) {
        let next = Rc::new(self.revision().next(names, settings));
        *self.revision.borrow_mut() = next.clone();
        self.change(|core, now| core.apply_settings(now, next.names(), next.settings()));
    }

    /// Suspends (`out`) or resumes a server. Once this returns, nothing new is sent to a suspended server, not even on
    /// attempts whose connection is being established, whatever the membership list says.
    ///
    /// # Errors
    /// When the server was never listed.
    pub fn set_suspended(self: &Rc<Self>, id: &str, out: bool) -> Result<(), NeverListed> {
        self.change_servers(|core, now| core.set_suspended(now, id, out))
    }

    /// Excludes exactly these servers by configuration, with the effect of [`Engine::set_suspended`] and independently
    /// of it.
    pub fn exclude_servers(self: &Rc<Self>, ids: &BTreeSet<String>) {
        self.change_servers(|core, now| core.exclude_servers(now, ids));
    }

    /// Limits the share of each zone's servers that is used; the others are excluded as by
    /// [`Engine::exclude_servers`].
    pub fn set_zone_shares(self: &Rc<Self>, shares: Shares) {
        self.change_servers(|core, now| core.set_zone_shares(now, shares));
    }

    /// Starts counting attempt outcomes by zone.
    pub fn count_zones(&self) {
        self.core.borrow_mut().count_zones();
    }

    /// Takes the attempts that finished since the last call. The first call starts the recording.
    pub fn take_finished_attempts(&self) -> Vec<Finished> {
        self.core.borrow_mut().take_finished_attempts()
    }

    /// Attempt outcomes and the number of usable servers of each zone.
    pub fn zones(&self) -> Vec<Row> {
        self.core.borrow().zones()
    }

    /// Suspensions set by operators.
    pub fn marks(&self) -> Marks {
        self.core.borrow().fleet().marks()
    }

    /// Merges the suspensions known to another process.
    pub fn merge(self: &Rc<Self>, marks: &Marks) {
        self.change_servers(|core, now| core.merge(now, marks));
    }

    /// Whether the limiter reports that it can serve.
    pub fn is_ready(&self) -> bool {
        self.has_list() && !self.readiness_held.get()
    }

    /// Whether a membership list with at least one server is known.
    pub fn has_list(&self) -> bool {
        self.ready.get() && !self.core.borrow().fleet().is_empty()
    }

    /// Keeps the limiter from reporting itself as ready while `held`.
    pub fn hold_readiness(&self, held: bool) {
        self.readiness_held.set(held);
    }

    /// Limits this process to a share of the limiter's budget; another process uses the rest.
    pub fn set_budget_part(self: &Rc<Self>, part: f64, budget: Budget) {
        self.change(|core, now| core.set_budget_part(now, part));
        self.upstream.set_limits(budget.servers, budget.answers_kib);
    }

    /// Sets the check that is made before a request is handled or an attempt is sent.
    pub fn set_guard(&self, guard: Guard) {
        *self.guard.borrow_mut() = Some(guard);
    }

    /// Reports the execution state of at-most-once requests to an observer. Their answers are recorded until `late` ms
    /// after the timeout. A repeatable request that may have run is then answered as failed instead of refused.
    pub fn observe_executions(&self, late: Millis, witness: ExecutionObserver<U::Request>) {
        self.core.borrow_mut().report_executions(late);
        *self.witness.borrow_mut() = Some(witness);
    }

    /// Number of at-most-once requests that a server may be executing, including those of disconnected clients.
    pub fn at_most_once_in_flight(&self) -> usize {
        self.core.borrow().at_most_once_in_flight()
    }

    /// Number of decisions that were not carried out because they would have run a request twice or reported one that
    /// may have run as not executed.
    pub fn prevented_violations(&self) -> u64 {
        self.core.borrow().prevented_violations()
    }

    /// Starts cancelling attempts of repeatable requests when their client disconnects, so that servers do not work for
    /// abandoned requests. At-most-once attempts go on.
    pub fn cancel_on_disconnect(&self) {
        self.core.borrow_mut().cancel_on_disconnect();
    }

    /// Counts of client disconnects before the answer.
    pub fn departures(&self) -> Departures {
        self.core.borrow().departures()
    }

    /// Runs the guard, which applies the current rules. Returns the wait in ms after which clients may retry if no
    /// rules are in force.
    pub fn check_guard(&self) -> Option<Millis> {
        // The borrow ends before the call, because the guard changes this engine's settings.
        let guard = self.guard.borrow().clone();
        guard.and_then(|guard| guard())
    }

    /// Marks the limiter as ready to serve.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Number of unanswered requests.
    pub fn unanswered(&self) -> usize {
        self.core.borrow().unanswered()
    }

    /// Number of customers with remembered state.
    pub fn remembered_customers(&self) -> usize {
        self.core.borrow().remembered_customers()
    }

    /// Submits a request and returns the id assigned to it. `reply` is called exactly once, unless
    /// [`Engine::client_left`] is called before. It must not call back into the engine.
    pub fn submit(
        self: &Rc<Self>,
        request: Request,
        forward: U::Request,
        reply: Reply<U::Answer>,
    ) -> RequestId {
        self.change(|core, now| core.submit(now, request, forward, reply))
    }

    /// Submits a request immediately and returns a future of its answer. Dropping the future before that counts as the
    /// client's disconnect.
    pub fn submit_and_wait(
        self: &Rc<Self>,
        request: Request,
        forward: U::Request,
    ) -> impl Future<Output = Answer<U::Answer>> + use<U>
    where
        U::Answer: Send,
    {
        let (sender, receiver) = oneshot::channel();
        // The receiver is gone if the client has disconnected.
        let reply = Box::new(move |answer| drop(sender.send(answer)));
        let id = self.submit(request, forward, reply);
        let guard = DisconnectGuard { engine: self.clone(), id, answered: false };
        async move {
            // The sender is dropped only if the request's entry is lost, which is a defect; the request then failed.
            let answer = receiver.await.unwrap_or(Answer::Failed);
            guard.disarm();
            answer
        }
    }

    /// Handles the client's disconnect; the request needs no answer any more.
    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        self.change(|core, now| core.client_left(now, id));
    }

    /// Fails all unanswered requests at the end of a shutdown.
    pub fn fail_all(self: &Rc<Self>) {
        self.change(|core, now| core.fail_all(now));
    }

    /// Runs a change on the core and carries out the resulting outputs.
    fn change<T>(self: &Rc<Self>, change: impl FnOnce(&mut Core<U::Request, U::Answer>, Millis) -> T) -> T {
        let result = change(&mut self.core.borrow_mut(), self.now());
        loop {
            // The borrow ends before the output is carried out, because a port may access the engine.
            let Some(output) = self.core.borrow_mut().output() else { break };
            self.carry_out(output);
        }
        let due = self.core.borrow().next_due();
        if due.is_some_and(|at| at < self.asleep_until.get()) {
            self.earlier_timer.notify_one();
        }
        result
    }

    fn carry_out(self: &Rc<Self>, output: Output<U::Request>) {
        match output {
            Output::Attempt { id, number, server, name, address, request, span, starts_early } => {
                let guarded = self.clone();
                let may_send = Rc::new(move || {
                    guarded.check_guard().is_none() && guarded.core.borrow().fleet().is_ready(server)
                });
                let engine = self.clone();
                let progress = Rc::new(move |progress| {
                    engine.change(|core, now| core.progress(now, id, number, progress));
                });
                let job =
                    AttemptJob { server, name, address, request, span, starts_early, may_send, progress };
                self.attempt(id, number, job);
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
        let started = counter.map_or(Err(crate::ports::counter::CallEnd::Unreachable), |c| c.begin(call));
        if let Err(end) = started {
            // The caller's loop carries out the resulting outputs.
            let now = self.now();
            self.core.borrow_mut().call_ended(now, call.id, end);
        }
    }

    fn members(self: &Rc<Self>, news: &News) {
        if self.change_servers(|core, now| core.members(now, news)) {
            self.set_ready();
        }
    }

    /// Runs a change that affects which servers may receive requests.
    fn change_servers<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut Core<U::Request, U::Answer>, Millis) -> T,
    ) -> T {
        let result = change(&mut self.core.borrow_mut(), self.now());
        // Before anything new is sent, drop idle connections to servers that are not ready.
        self.upstream.keep_only(&|id| self.core.borrow().fleet().is_ready(id));
        self.change(|_, _| ());
        result
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            while self.change(|core, now| core.run_due_timer(now)) {
                // Yields so that new requests do not wait behind many due timers.
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
            // The task is awake and checks the timers again, so it needs no notification.
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

/// Reports the client's disconnect when it is dropped before the answer.
struct DisconnectGuard<U: Upstream> {
    engine: Rc<Engine<U>>,
    id: RequestId,
    answered: bool,
}

impl<U: Upstream> DisconnectGuard<U> {
    /// Marks the request as answered.
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

/// Reports an attempt's end; if its task dies without a report, the attempt ends as one that may have run.
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
