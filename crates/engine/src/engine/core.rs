//! The engine without I/O, clock or thread: what has happened goes in with its time, what is to be done comes out.
//!
//! Both shells drive it: [`super::Engine`] on one thread with ports, and [`crate::direct`] under a lock. Events
//! go through one queue, which keeps them in order even where carrying out an action brings up the next
//! event at once.

use super::departures::Departures;
use super::fleet::{Fleet, Shares};
use super::request_table::{Answer, Reply, RequestTable};
use super::timers::Timers;
use super::{Names, Setup};
use crate::body::Progress;
use crate::ports::counter::{Call, CallEnd, CallId};
use crate::ports::membership::News;
use crate::ports::upstream::End;
use oatbank_attempt_state::attempt::{
    AttemptEnd, ClientAnswer, Idempotency, InvariantViolation, RequestAttempts,
};
use oatbank_attempt_state::outcome_log::ExecutionOutcome;
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use oatbank_operations::suspension::{Marks, NeverListed};
use oatbank_zones::evidence::{Counts, Row};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// What is left for an answer's way back, ms: a client counts its wait from when it sent the request.
const RESPONSE_MARGIN: Millis = 20.0;
/// A call to the counter is waited for this many of the told time-outs: its answer comes however late its turn,
/// and a total that is read late is still the total. Less than this would throw away all that a counter with
/// a long line says, and make its line no shorter.
const COUNTER_TIMEOUT_FACTOR: f64 = 4.0;
/// A request of which the module has said nothing this long before its client leaves, ms, has failed.
const ANSWER_MARGIN: Millis = 8.0;
/// Longest time that a body may take to come, ms: the longest that is taken, at 64 kB a second. That it gets on is
/// looked after where it is read.
const MAX_UPLOAD_TIME: Millis = 1_050_000.0;

/// What the shell is to do, in this order.
pub(crate) enum Output<Q> {
    /// Make an attempt, and report its end with [`Core::attempt_ended`].
    Attempt {
        id: RequestId,
        number: u8,
        server: ServerId,
        name: Arc<str>,
        address: SocketAddr,
        request: Arc<Q>,
        span: Millis,
    },
    /// Call an attempt off; its end is known already.
    CancelAttempt { id: RequestId, number: u8 },
    /// Begin a call to the counter, and report its end with [`Core::call_ended`].
    Count(Call),
    /// Take down what is known of a request that runs once at most.
    Note { request: Arc<Q>, server: Option<Arc<str>>, note: Note },
}

/// What is known of a request that runs once at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// What became of it so far, and why that is known.
    Outcome(ExecutionOutcome, &'static str),
    /// The module was about to break the rule, and was kept from it.
    Violation(InvariantViolation),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestId, u8),
    LateAnswer(RequestId, u8),
    AnswerDeadline(RequestId),
    Call(CallId),
}

/// An attempt that has ended, for who watches servers.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Its server's id.
    pub server: Arc<str>,
    /// Its request's class.
    pub class: ClassId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Millis,
    /// Its server was warm.
    pub warm: bool,
}

/// Ends that nobody has taken: the newest are left out beyond this.
const MAX_FINISHED_ATTEMPTS: usize = 4096;
/// What an attempt was sent, and the name of its server.
type LateAttempt<Q> = (Arc<Q>, Option<Arc<str>>);

/// One decision module with the requests, servers, calls and timers round it.
pub(crate) struct Core<Q, A> {
    gateway: Gateway,
    names: Names,
    settings: Settings,
    actions: Vec<Action>,
    pending_actions: VecDeque<Action>,
    events: VecDeque<Event>,
    outputs: VecDeque<Output<Q>>,
    requests: RequestTable<Q, A>,
    fleet: Fleet,
    timers: Timers<Due>,
    /// Calls whose end the module has not been told.
    calls: HashMap<CallId, (CountName, Millis)>,
    next_call: u64,
    /// How attempts ended, by zone, where that is counted.
    zone_counts: Option<HashMap<u16, Counts>>,
    /// How attempts ended since they were last taken, where somebody takes them.
    finished_attempts: Option<Vec<Finished>>,
    /// Where requests that run once are told of: an answer is listened for so much longer, ms, than it is
    /// waited for.
    late_answer_wait: Option<Millis>,
    /// Attempts that are listened for and no longer waited for.
    late_attempts: HashMap<(RequestId, u8), LateAttempt<Q>>,
    /// Decisions that were not carried out.
    prevented_violations: u64,
    departures: Departures,
    /// Attempts of requests that may be repeated are cancelled when their client leaves.
    cancels_on_disconnect: bool,
}

impl<Q, A> Core<Q, A> {
    pub(crate) fn new(setup: &Setup) -> Self {
        Core {
            gateway: Gateway::new(setup.settings.clone(), setup.seed),
            names: setup.names.clone(),
            settings: setup.settings.clone(),
            actions: Vec::new(),
            pending_actions: VecDeque::new(),
            events: VecDeque::new(),
            outputs: VecDeque::new(),
            requests: RequestTable::new(),
            fleet: Fleet::default(),
            timers: Timers::new(),
            calls: HashMap::new(),
            next_call: 0,
            zone_counts: None,
            finished_attempts: None,
            late_answer_wait: None,
            late_attempts: HashMap::new(),
            prevented_violations: 0,
            departures: Departures::default(),
            cancels_on_disconnect: false,
        }
    }

    /// From now on what is known of requests that run once is told, their late answers are listened for so
    /// long, ms, and what is repeatable and may have run is never told as refused.
    pub(crate) fn report_executions(&mut self, late: Millis) {
        self.late_answer_wait = Some(late);
    }

    /// How many requests that run once are out at a server.
    pub(crate) fn at_most_once_in_flight(&self) -> usize {
        self.requests.at_most_once_in_flight() + self.late_attempts.len()
    }

    /// How many decisions of the module were not carried out, as they would have broken the rule.
    pub(crate) fn prevented_violations(&self) -> u64 {
        self.prevented_violations
    }

    /// From now on attempts of requests that may be repeated are cancelled when their client leaves.
    pub(crate) fn cancel_on_disconnect(&mut self) {
        self.cancels_on_disconnect = true;
    }

    /// What became of requests whose clients left.
    pub(crate) fn departures(&self) -> Departures {
        self.departures
    }

    /// The next thing to do; to be asked until there is none, after every call that may bring up some.
    pub(crate) fn output(&mut self) -> Option<Output<Q>> {
        self.outputs.pop_front()
    }

    /// When [`Core::come_due`] is to be called at the latest.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    pub(super) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    pub(crate) fn remembered_customers(&self) -> usize {
        self.gateway.remembered()
    }

    // ---- Events in, actions out ---------------------------------------------------------------

    /// Works off the events that wait.
    ///
    /// A panic in here costs the event that brought it up and no more: not the task it came from (a client's
    /// connection, the timers), and not what else was to be done.
    fn drain(&mut self, now: Millis) {
        loop {
            let next = self.events.pop_front();
            if next.is_none() && self.pending_actions.is_empty() {
                break;
            }
            let arrived = match &next {
                Some(Event::Request(request)) => Some(request.id),
                _ => None,
            };
            if catch_unwind(AssertUnwindSafe(|| self.step(now, next))).is_err() {
                tracing::error!("a panic while an event was handled");
                if let Some(id) = arrived {
                    self.answer(id, Answer::Failed);
                }
            }
        }
    }

    /// Gives the module one event, and carries out what it asks for.
    fn step(&mut self, now: Millis, event: Option<Event>) {
        if let Some(event) = event {
            self.gateway.handle(now, event, &mut self.actions);
            self.pending_actions.extend(self.actions.drain(..));
        }
        while let Some(action) = self.pending_actions.pop_front() {
            self.carry_out(now, action);
        }
    }

    fn feed(&mut self, now: Millis, event: Event) {
        self.events.push_back(event);
        self.drain(now);
    }

    fn carry_out(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(now, id, server, timeout),
            Action::Await { id, attempt, timeout } => self.wait_for(now, id, attempt, timeout),
            Action::Refuse { id, retry_after } => {
                self.answer_without_success(id, Answer::Refused(retry_after))
            }
            Action::Fail(id) => self.answer_without_success(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.end(now, id, attempt, Outcome::Cancelled, Vec::new()),
            Action::Count { name, add, ttl } => self.count(now, name, add, ttl),
            Action::Timer { after, name } => self.timers.arm(now + after, Due::Module(name)),
            // Sources push their news, and probes are no part of what ports can do.
            Action::Watch | Action::Probe(_) => {}
        }
    }

    // ---- Requests -----------------------------------------------------------------------------

    pub(crate) fn submit(
        &mut self,
        now: Millis,
        mut request: Request,
        forward: Q,
        reply: Reply<A>,
    ) -> RequestId {
        let span = if request.uploading { MAX_UPLOAD_TIME } else { request.time_left };
        let deadline = now + span;
        let most = request.rules.as_ref().map_or(self.settings.max_attempts, |r| r.max_attempts);
        let execution = RequestAttempts::new(self.idempotency_of(&request));
        let id = self.requests.open(forward, deadline, most, execution, reply);
        self.timers.arm(deadline - ANSWER_MARGIN, Due::AnswerDeadline(id));
        if let Some(entry) = self.requests.get_mut(id) {
            entry.class = request.class;
            entry.uploading = request.uploading;
            entry.time_after_upload = request.uploading.then_some(request.time_left);
        }
        request.id = id;
        request.time_left = (request.time_left - RESPONSE_MARGIN).max(1.0);
        self.feed(now, Event::Request(request));
        id
    }

    fn idempotency_of(&self, request: &Request) -> Idempotency {
        let class = match &request.rules {
            Some(rules) => Some(&rules.class),
            None => self.settings.classes.get(request.class.0),
        };
        match class.map(|class| class.repeat) {
            Some(Repeat::Unsafe) => Idempotency::AtMostOnce,
            _ => Idempotency::Repeatable,
        }
    }

    /// The client has left: nothing more is sent. What is out and runs at most once goes on, as somebody may ask what became
    /// of it; what may be repeated is cancelled, where that is wanted.
    pub(crate) fn client_left(&mut self, now: Millis, id: RequestId) {
        if self.requests.reply(id).is_none() {
            return;
        }
        self.departures.clients += 1;
        if let Some(entry) = self.requests.get_mut(id) {
            entry.departed_at = Some(now);
        }
        self.feed(now, Event::Gone(id));
        if self.cancels_on_disconnect {
            self.cancel_attempts(now, id);
        }
        self.requests.forget(id);
    }

    /// Cancels what is out of a request that may be repeated.
    fn cancel_attempts(&mut self, now: Millis, id: RequestId) {
        for number in self.requests.live_repeatable(id) {
            self.departures.cancelled_attempts += 1;
            self.end(now, id, number, Outcome::Cancelled, Vec::new());
        }
        self.drain(now);
    }

    /// Guards against a module that says nothing: the client is answered while it still waits.
    fn fail_unanswered(&mut self, now: Millis, id: RequestId) {
        if self.requests.get_mut(id).is_none_or(|entry| entry.is_answered()) {
            return;
        }
        tracing::debug!("request {} ended by the clock", id.0);
        self.answer_without_success(id, Answer::TimedOut);
        self.feed(now, Event::Gone(id));
        self.requests.forget(id);
    }

    pub(crate) fn fail_all(&mut self, now: Millis) {
        for id in self.requests.unanswered_ids() {
            self.fail_unanswered(now, id);
        }
    }

    /// Nothing better comes: what a server said of its own counts more than what the limiter would say. A refusal too,
    /// as what may run again may have run.
    fn answer_without_success(&mut self, id: RequestId, otherwise: Answer<A>) {
        let said = self.requests.get_mut(id).and_then(|entry| entry.error_answer.take());
        self.answer(id, said.map_or(otherwise, Answer::Served));
    }

    /// Gives a request its final answer, once.
    fn answer(&mut self, id: RequestId, answer: Answer<A>) {
        if let Some(reply) = self.requests.reply(id) {
            reply(self.permitted_answer(id, answer));
        }
        self.requests.forget(id);
    }

    /// What a client may be told in place of this: a promise only of what certainly has not run.
    fn permitted_answer(&mut self, id: RequestId, answer: Answer<A>) -> Answer<A> {
        let Some(entry) = self.requests.get_mut(id) else { return answer };
        let word = match &answer {
            Answer::Served(_) => ClientAnswer::Served,
            Answer::Refused(_) => ClientAnswer::Rejected,
            Answer::Failed | Answer::TimedOut => ClientAnswer::Failed,
        };
        let certain = !entry.execution.may_have_run() && !entry.execution.is_in_flight();
        let (_, violation) = entry.execution.answer_client(word);
        let (request, once) = (entry.request.clone(), entry.execution.is_at_most_once());
        if let Some(violation) = violation {
            self.record_violation(&request, violation);
            return Answer::Failed;
        }
        if once && certain && word != ClientAnswer::Served {
            self.note(
                &request,
                None,
                Note::Outcome(ExecutionOutcome::NotExecuted, "given up before a server had it"),
            );
        }
        match answer {
            Answer::Refused(_) if !once && !certain && self.late_answer_wait.is_some() => Answer::Failed,
            // It is over, so nothing of it is sent from here on: what is certain may be promised.
            Answer::TimedOut if once && certain && self.late_answer_wait.is_some() => Answer::Refused(0.0),
            answer => answer,
        }
    }

    fn record_violation(&mut self, request: &Arc<Q>, violation: InvariantViolation) {
        self.prevented_violations += 1;
        tracing::error!("{}", violation.text());
        self.note(request, None, Note::Violation(violation));
    }

    fn note(&mut self, request: &Arc<Q>, server: Option<&Arc<str>>, note: Note) {
        if self.late_answer_wait.is_some() {
            let (request, server) = (request.clone(), server.cloned());
            self.outputs.push_back(Output::Note { request, server, note });
        }
    }

    // ---- Attempts -----------------------------------------------------------------------------

    fn send(&mut self, now: Millis, id: RequestId, server: ServerId, timeout: Millis) {
        let Some(entry) = self.requests.get_mut(id) else {
            let (outcome, load) = (Outcome::Moot, Vec::new());
            let (attempt, complete, took, settled) = (0, true, 0.0, 0.0);
            let ended = Event::Ended { id, attempt, server, outcome, complete, took, settled, load };
            return self.events.push_back(ended);
        };
        let attempt = entry.start_attempt(server, now);
        let Ok(number) = u8::try_from(attempt) else { return };
        let most = entry.max_attempts as usize;
        let span = span(entry.deadline, now, timeout);
        if entry.is_answered() || span <= 0.0 || most > 0 && attempt >= most {
            return self.end(now, id, number, Outcome::Moot, Vec::new());
        }
        let request = entry.request.clone();
        let Some((name, address)) = self.fleet.address(server) else {
            return self.end(now, id, number, Outcome::ConnectFailed, Vec::new());
        };
        let Some(entry) = self.requests.get_mut(id) else { return };
        let whole = !entry.uploading;
        if let Err(violation) = entry.execution.send(attempt, whole) {
            let out = entry.execution.is_in_flight();
            self.record_violation(&request, violation);
            if !out {
                // Nothing that is out can answer it any more.
                self.answer(id, Answer::Failed);
            }
            return self.end(now, id, number, Outcome::Moot, Vec::new());
        }
        entry.set_server_name(attempt, &name);
        if whole && entry.execution.is_at_most_once() {
            self.note(&request, Some(&name), Note::Outcome(ExecutionOutcome::Running, "sent"));
        }
        self.timers.arm(now + span, Due::Attempt(id, number));
        self.outputs.push_back(Output::Attempt { id, number, server, name, address, request, span });
    }

    /// How far a body that is still coming has gone with an attempt.
    pub(crate) fn progress(&mut self, now: Millis, id: RequestId, attempt: u8, progress: Progress) {
        if !self.requests.is_live(id, attempt) {
            return;
        }
        if progress == Progress::Spent {
            return self.feed(now, Event::Spent(id));
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.execution.mark_fully_sent(usize::from(attempt));
        if entry.execution.is_at_most_once() {
            let (request, name) = (entry.request.clone(), entry.name(attempt).cloned());
            self.note(&request, name.as_ref(), Note::Outcome(ExecutionOutcome::Running, "sent"));
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.restart_clock(attempt, now);
        if let Some(left) = entry.time_after_upload.take() {
            entry.deadline = now + left;
            self.timers.arm(now + left - ANSWER_MARGIN, Due::AnswerDeadline(id));
            if self.late_answer_wait.is_some() {
                // The module says nothing more of one whose client has left.
                self.timers.arm(now + left - RESPONSE_MARGIN, Due::Attempt(id, attempt));
            }
        }
        self.feed(now, Event::Uploaded { id, attempt });
    }

    /// Waits so long for an attempt whose body has gone out.
    fn wait_for(&mut self, now: Millis, id: RequestId, attempt: u8, timeout: Millis) {
        if let Some(entry) = self.requests.get_mut(id) {
            let span = span(entry.deadline, now, timeout);
            self.timers.arm(now + span, Due::Attempt(id, attempt));
        }
    }

    /// An attempt has ended by itself; late results of ended ones tell nobody anything but what became of the
    /// request.
    pub(crate) fn attempt_ended(&mut self, now: Millis, id: RequestId, attempt: u8, end: End<A>) {
        let how = attempt_end(end.outcome, end.answer.is_some());
        if !self.requests.is_live(id, attempt) {
            if let Some((request, name)) = self.late_attempts.remove(&(id, attempt)) {
                let (outcome, why) = execution_outcome(how, true);
                self.note(&request, name.as_ref(), Note::Outcome(outcome, why));
            }
            return;
        }
        self.record_end(id, attempt, how);
        match (end.outcome, end.answer) {
            (Outcome::Ok, Some(answer)) => {
                if let Some(reply) = self.requests.reply(id) {
                    reply(self.permitted_answer(id, Answer::Served(answer)));
                }
            }
            (Outcome::Error, Some(answer)) => {
                if let Some(entry) = self.requests.get_mut(id).filter(|entry| !entry.is_answered()) {
                    entry.error_answer = Some(answer);
                }
            }
            _ => {}
        }
        self.report_end(now, id, attempt, end.outcome, end.load);
        self.drain(now);
    }

    /// CallEndSink an attempt that is still out, and lets the module know.
    fn end(&mut self, now: Millis, id: RequestId, number: u8, outcome: Outcome, load: Vec<f64>) {
        if self.requests.is_live(id, number) {
            self.record_end(id, number, attempt_end(outcome, false));
        }
        if self.report_end(now, id, number, outcome, load) {
            self.outputs.push_back(Output::CancelAttempt { id, number });
        }
    }

    /// An attempt's time is up: it is waited for no longer. Where somebody may still ask what became of it,
    /// its answer is listened for as long as its server may take to say so.
    fn time_out(&mut self, now: Millis, id: RequestId, attempt: u8) {
        let listens = self.late_answer_wait.filter(|_| {
            self.requests.is_live(id, attempt)
                && self.requests.get_mut(id).is_some_and(|e| {
                    e.execution.is_at_most_once() && e.execution.is_fully_sent(usize::from(attempt))
                })
        });
        let (Some(more), Some(entry)) = (listens, self.requests.get_mut(id)) else {
            return self.end(now, id, attempt, Outcome::TimedOut, Vec::new());
        };
        let told = (entry.request.clone(), entry.name(attempt).cloned());
        entry.execution.end(usize::from(attempt), AttemptEnd::Lost);
        self.late_attempts.insert((id, attempt), told);
        self.timers.arm(now + more, Due::LateAnswer(id, attempt));
        self.report_end(now, id, attempt, Outcome::TimedOut, Vec::new());
    }

    /// Takes down how an attempt has ended.
    fn record_end(&mut self, id: RequestId, attempt: u8, how: AttemptEnd) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.execution.end(usize::from(attempt), how);
        if !entry.execution.is_at_most_once() {
            return;
        }
        let Some(name) = entry.name(attempt).cloned() else { return };
        let (request, ran) = (entry.request.clone(), entry.execution.may_have_run());
        let (outcome, why) = execution_outcome(how, ran);
        self.note(&request, Some(&name), Note::Outcome(outcome, why));
    }

    fn report_end(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        load: Vec<f64>,
    ) -> bool {
        let Some(ended) = self.requests.end(id, attempt, now) else { return false };
        if let Some(abandoned_at) = ended.abandoned_at {
            self.departures.on_end(now, abandoned_at);
        }
        let (server, complete, took, settled) = (ended.server, ended.was_answered, ended.took, 0.0);
        if let (Some(zone_counts), Some(zone)) = (&mut self.zone_counts, self.fleet.zone(server)) {
            count_outcome(zone_counts.entry(zone).or_default(), outcome);
        }
        if let (Some(finished), Some((name, started))) =
            (&mut self.finished_attempts, self.fleet.started(server))
        {
            if finished.len() < MAX_FINISHED_ATTEMPTS {
                let warm = started <= 0.0 || now - took - started >= self.settings.warm_after;
                finished.push(Finished { server: name, class: ended.class, outcome, took, warm });
            }
        }
        self.events.push_back(Event::Ended { id, attempt, server, outcome, complete, took, settled, load });
        true
    }

    // ---- Counter ------------------------------------------------------------------------------

    fn count(&mut self, now: Millis, name: CountName, add: f64, ttl: Millis) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, (name, now));
        if !add.is_finite() {
            return self.settle(now, id, CallEnd::Unreachable);
        }
        let patience = COUNTER_TIMEOUT_FACTOR * self.settings.counter_timeout;
        self.timers.arm(now + patience, Due::Call(id));
        self.outputs.push_back(Output::Count(Call { id, name, add, ttl }));
    }

    /// A call has ended. What comes after its time-out is dropped.
    pub(crate) fn call_ended(&mut self, now: Millis, id: CallId, end: CallEnd) {
        self.settle(now, id, end);
        self.drain(now);
    }

    fn settle(&mut self, now: Millis, id: CallId, end: CallEnd) {
        let Some((name, at)) = self.calls.remove(&id) else { return };
        let (outcome, total) = match end {
            CallEnd::Added(total) => (Outcome::Ok, total),
            CallEnd::Busy => (Outcome::Full, 0.0),
            CallEnd::Unreachable => (Outcome::ConnectFailed, 0.0),
            CallEnd::Unknown => (Outcome::Reset, 0.0),
        };
        self.events.push_back(Event::Counted { name, outcome, took: now - at, total });
    }

    // ---- Servers ------------------------------------------------------------------------------

    /// Takes in news of the list; whether they make the limiter ready.
    pub(crate) fn members(&mut self, now: Millis, news: &News) -> bool {
        let (update, entries) = self.fleet.apply(news, &self.names.zones);
        self.feed(now, Event::Servers { update, entries });
        update != ListUpdate::Cached
    }

    /// Takes a server out, or puts it in again. When this returns no first byte of a new attempt goes to one that is
    /// out.
    pub(crate) fn set_suspended(&mut self, now: Millis, id: &str, out: bool) -> Result<(), NeverListed> {
        let told = if out { self.fleet.suspend(now, id)? } else { self.fleet.resume(now, id)? };
        self.update_servers(now, told.into_iter().collect());
        Ok(())
    }

    /// The rules take these servers out, and none else.
    pub(crate) fn exclude_servers(&mut self, now: Millis, ids: &BTreeSet<String>) {
        let entries = self.fleet.exclude(ids);
        self.update_servers(now, entries);
    }

    /// Only these parts of zones are used from now on.
    pub(crate) fn set_zone_shares(&mut self, now: Millis, shares: Shares) {
        let entries = self.fleet.set_shares(shares);
        self.update_servers(now, entries);
    }

    /// Counts from now on how attempts end, by zone.
    pub(crate) fn count_zones(&mut self) {
        self.zone_counts.get_or_insert_default();
    }

    /// How attempts have ended since this was last asked; watched from the first time on.
    pub(crate) fn take_finished_attempts(&mut self) -> Vec<Finished> {
        self.finished_attempts.replace(Vec::new()).unwrap_or_default()
    }

    /// What was counted so far, by the zone's name; with it how many of its servers may be used.
    pub(crate) fn zones(&self) -> Vec<Row> {
        let row = |(place, name): (usize, &String)| {
            let zone = place as u16;
            let counts = self.zone_counts.as_ref().and_then(|t| t.get(&zone)).copied().unwrap_or_default();
            Row { zone: name.clone(), counts, servers: self.fleet.usable(zone) }
        };
        self.names.zones.iter().enumerate().map(row).collect()
    }

    /// Takes in what another process was told of servers.
    pub(crate) fn merge(&mut self, now: Millis, marks: &Marks) {
        let entries = self.fleet.merge(marks);
        self.update_servers(now, entries);
    }

    fn update_servers(&mut self, now: Millis, entries: Vec<ServerEntry>) {
        if !entries.is_empty() {
            self.feed(now, Event::Servers { update: ListUpdate::Delta, entries });
        }
    }

    /// From now on the module uses this part of what is a gateway's own.
    pub(crate) fn set_budget_part(&mut self, now: Millis, part: f64) {
        self.feed(now, Event::Part(part));
    }

    /// From now on these settings hold for what comes in.
    pub(crate) fn apply_settings(&mut self, now: Millis, names: &Names, settings: &Settings) {
        if self.names.zones != names.zones {
            // Counted by place among them.
            self.zone_counts = self.zone_counts.take().map(|_| HashMap::new());
        }
        (self.names, self.settings) = (names.clone(), settings.clone());
        self.feed(now, Event::Settings(Box::new(settings.clone())));
    }

    // ---- Timers -------------------------------------------------------------------------------

    /// Works off one timer that is due; whether there was one.
    pub(crate) fn run_due_timer(&mut self, now: Millis) -> bool {
        let Some(due) = self.timers.pop(now) else { return false };
        match due {
            Due::Module(name) => self.feed(now, Event::Timer(name)),
            Due::Attempt(id, attempt) => {
                self.time_out(now, id, attempt);
                self.drain(now);
            }
            Due::LateAnswer(id, attempt) => {
                if let Some((request, name)) = self.late_attempts.remove(&(id, attempt)) {
                    let note =
                        Note::Outcome(ExecutionOutcome::Unknown, "no answer within the server's own time");
                    self.note(&request, name.as_ref(), note);
                    self.outputs.push_back(Output::CancelAttempt { id, number: attempt });
                }
            }
            Due::AnswerDeadline(id) => self.fail_unanswered(now, id),
            Due::Call(id) => {
                if let Some((name, at)) = self.calls.remove(&id) {
                    let (outcome, took) = (Outcome::TimedOut, now - at);
                    self.feed(now, Event::Counted { name, outcome, took, total: 0.0 });
                }
            }
        }
        true
    }
}

/// How long an attempt is waited for of which the module says `timeout` (0: until the client gives up, at `ends`).
fn span(ends: Millis, now: Millis, timeout: Millis) -> Millis {
    let left = ends - RESPONSE_MARGIN - now;
    if timeout > 0.0 {
        timeout.min(left)
    } else {
        left
    }
}

/// What an attempt's end says of whether it ran.
fn attempt_end(outcome: Outcome, answered: bool) -> AttemptEnd {
    match outcome {
        Outcome::Ok => AttemptEnd::Succeeded,
        Outcome::Error if answered => AttemptEnd::Failed,
        Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => AttemptEnd::NotExecuted,
        Outcome::TimedOut | Outcome::Cancelled => AttemptEnd::Cancelled,
        Outcome::Error | Outcome::Reset => AttemptEnd::Lost,
    }
}

/// What that makes of a request that runs once; `ran`: nothing proves that it did not.
fn execution_outcome(how: AttemptEnd, ran: bool) -> (ExecutionOutcome, &'static str) {
    match how {
        AttemptEnd::Succeeded => (ExecutionOutcome::Succeeded, "answered"),
        AttemptEnd::Failed => (ExecutionOutcome::Failed, "answered"),
        AttemptEnd::NotExecuted if !ran => (ExecutionOutcome::NotExecuted, "turned away by the server"),
        AttemptEnd::Cancelled if !ran => (ExecutionOutcome::NotExecuted, "given up before it was whole"),
        AttemptEnd::Cancelled => (ExecutionOutcome::Unknown, "no answer in time"),
        AttemptEnd::NotExecuted | AttemptEnd::Lost => {
            (ExecutionOutcome::Unknown, "the answer was lost or spoilt")
        }
    }
}

/// Which of a zone's counts an attempt's end belongs to. One that was called off or never sent tells nothing.
fn count_outcome(counts: &mut Counts, outcome: Outcome) {
    let which = match outcome {
        Outcome::Ok => &mut counts.ok,
        Outcome::Error => &mut counts.failed,
        Outcome::TimedOut => &mut counts.silent,
        Outcome::ConnectFailed => &mut counts.refused,
        Outcome::Reset => &mut counts.broken,
        Outcome::Full => &mut counts.full,
        Outcome::Cancelled | Outcome::Moot => return,
    };
    *which += 1;
}

#[cfg(test)]
impl<Q, A> Core<Q, A> {
    /// Carries out a decision that the module has not made.
    pub(super) fn inject_action(&mut self, now: Millis, action: Action) {
        self.carry_out(now, action);
        self.drain(now);
    }

    /// From now on another guard looks after a request.
    pub(super) fn replace_execution(&mut self, id: RequestId, execution: RequestAttempts) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.execution = execution;
        }
    }
}

#[cfg(test)]
mod tests;
