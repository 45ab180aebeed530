//! The engine's state machine, without I/O, clock or threads: timed events go in, outputs come out.
//!
//! [`super::Engine`] drives it on one thread with ports, [`crate::direct`] drives it under a lock. All events go
//! through one queue, which keeps them in order even where carrying out an action produces the next event at once.

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
    AttemptEnd, ClientAnswer, ExecutionStart, Idempotency, InvariantViolation, RequestAttempts,
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

/// Time reserved for an answer to travel back, ms: a client's timeout runs from when it sent the request.
const RESPONSE_MARGIN: Millis = 20.0;
/// Counter calls are abandoned after this many times the configured timeout. A total that arrives late is still
/// valid; a smaller factor would discard every answer of a counter with a long queue without shortening the queue.
const COUNTER_TIMEOUT_FACTOR: f64 = 4.0;
/// A request that the decision module has not settled this long before its deadline, ms, fails.
const ANSWER_MARGIN: Millis = 8.0;
/// Longest time for a body to arrive, ms: the largest accepted body at 64 kB per second. Stalled bodies are detected
/// where they are read.
const MAX_UPLOAD_TIME: Millis = 1_050_000.0;

/// A step for the shell that drives the core, to be carried out in the order given.
pub(crate) enum Output<Q> {
    /// Start an attempt and report its end with [`Core::attempt_ended`].
    Attempt {
        id: RequestId,
        number: u8,
        server: ServerId,
        name: Arc<str>,
        address: SocketAddr,
        request: Arc<Q>,
        span: Millis,
        starts_early: bool,
    },
    /// Cancel an attempt whose end is already recorded.
    CancelAttempt { id: RequestId, number: u8 },
    /// Start a counter call and report its end with [`Core::call_ended`].
    Count(Call),
    /// Record the execution state of an at-most-once request.
    Note { request: Arc<Q>, server: Option<Arc<str>>, note: Note },
}

/// Execution state of an at-most-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Its outcome so far and the evidence for it.
    Outcome(ExecutionOutcome, &'static str),
    /// A decision of the module that would have violated an invariant and was not carried out.
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

/// A finished attempt, as reported to observers of server health.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Id of the server.
    pub server: Arc<str>,
    /// Class of the request.
    pub class: ClassId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Duration of the attempt, ms.
    pub took: Millis,
    /// Whether the server had finished warming up when the attempt started.
    pub warm: bool,
}

/// Most finished attempts held until they are taken; further ones are dropped.
const MAX_FINISHED_ATTEMPTS: usize = 4096;
/// The request of an attempt and the name of its server.
type LateAttempt<Q> = (Arc<Q>, Option<Arc<str>>);

/// A decision module and the requests, servers, counter calls and timers that it works on.
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
    /// Counter calls whose end the module has not seen, with their start.
    calls: HashMap<CallId, (CountName, Millis)>,
    next_call: u64,
    /// Attempt outcomes by zone; `None` while they are not counted.
    zone_counts: Option<HashMap<u16, Counts>>,
    /// Attempts that finished since they were last taken; `None` until they are first asked for.
    finished_attempts: Option<Vec<Finished>>,
    /// How long after its timeout an at-most-once attempt's answer is still recorded, ms; `None` while executions
    /// are not reported.
    late_answer_wait: Option<Millis>,
    /// Attempts that timed out and whose answer is still recorded if it arrives.
    late_attempts: HashMap<(RequestId, u8), LateAttempt<Q>>,
    /// Decisions that were not carried out because they would have violated an invariant.
    prevented_violations: u64,
    departures: Departures,
    /// Whether attempts of repeatable requests are cancelled when their client disconnects.
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

    /// Starts reporting the execution state of at-most-once requests. Their late answers are recorded for `late` ms
    /// after the timeout, and a repeatable request that may have run is no longer answered as refused.
    pub(crate) fn report_executions(&mut self, late: Millis) {
        self.late_answer_wait = Some(late);
    }

    /// Number of at-most-once requests that a server may be executing, including those whose late answer is awaited.
    pub(crate) fn at_most_once_in_flight(&self) -> usize {
        self.requests.at_most_once_in_flight() + self.late_attempts.len()
    }

    /// Number of decisions that were not carried out because they would have violated an invariant.
    pub(crate) fn prevented_violations(&self) -> u64 {
        self.prevented_violations
    }

    /// Starts cancelling attempts of repeatable requests when their client disconnects.
    pub(crate) fn cancel_on_disconnect(&mut self) {
        self.cancels_on_disconnect = true;
    }

    /// Counts of client disconnects and of the attempts that they affected.
    pub(crate) fn departures(&self) -> Departures {
        self.departures
    }

    /// Takes the next output. Callers drain it after every call that may produce outputs.
    pub(crate) fn output(&mut self) -> Option<Output<Q>> {
        self.outputs.pop_front()
    }

    /// Time of the earliest timer, at which [`Core::run_due_timer`] has to be called.
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
        self.gateway.customer_count()
    }

    // ---- Events in, actions out ---------------------------------------------------------------

    /// Handles all queued events and pending actions.
    ///
    /// A panic is caught and loses only the event that caused it. The calling task (a client's connection or the
    /// timers) and the remaining events are unaffected; a request whose arrival panicked is answered as failed.
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
                tracing::error!("panic while handling an event");
                if let Some(id) = arrived {
                    self.answer(id, Answer::Failed);
                }
            }
        }
    }

    /// Passes one event to the module and carries out the resulting actions.
    fn step(&mut self, now: Millis, event: Option<Event>) {
        if let Some(event) = event {
            self.gateway.handle(now, event, &mut self.actions);
            self.pending_actions.extend(self.actions.drain(..));
        }
        while let Some(action) = self.pending_actions.pop_front() {
            self.carry_out(now, action);
        }
    }

    fn handle_event(&mut self, now: Millis, event: Event) {
        self.events.push_back(event);
        self.drain(now);
    }

    fn carry_out(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(now, id, server, timeout),
            Action::Await { id, attempt, timeout } => self.wait_for(now, id, attempt, timeout),
            Action::Refuse { id, retry_after } => self.finish_unserved(id, Answer::Refused(retry_after)),
            Action::Fail(id) => self.finish_unserved(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.end(now, id, attempt, Outcome::Cancelled, Vec::new()),
            Action::Count { name, add, ttl } => self.count(now, name, add, ttl),
            Action::Timer { after, name } => self.timers.arm(now + after, Due::Module(name)),
            // Membership sources push their updates, and the ports do not support probes.
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
        // The client's time runs from the head. Only where its wait starts with the end of the body is there more.
        let starts_after_upload = request.uploading && !self.settings.upload_time_counts;
        let span = if starts_after_upload { MAX_UPLOAD_TIME } else { request.time_left };
        let deadline = now + span;
        let max_attempts = request.rules.as_ref().map_or(self.settings.max_attempts, |r| r.max_attempts);
        let execution = RequestAttempts::new(self.idempotency_of(&request), self.execution_start());
        let id = self.requests.open(forward, deadline, max_attempts, execution, reply);
        self.timers.arm(deadline - ANSWER_MARGIN, Due::AnswerDeadline(id));
        if let Some(entry) = self.requests.get_mut(id) {
            entry.class = request.class;
            entry.uploading = request.uploading;
            entry.time_after_upload = starts_after_upload.then_some(request.time_left);
        }
        request.id = id;
        request.time_left = (request.time_left - RESPONSE_MARGIN).max(1.0);
        self.handle_event(now, Event::Request(request));
        id
    }

    fn execution_start(&self) -> ExecutionStart {
        match self.settings.starts_early {
            true => ExecutionStart::FirstBytes,
            false => ExecutionStart::WholeRequest,
        }
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

    /// Handles a client's disconnect: no further attempt is sent. At-most-once attempts in flight go on, because
    /// their outcome may still be queried; repeatable ones are cancelled if that is enabled.
    pub(crate) fn client_left(&mut self, now: Millis, id: RequestId) {
        if self.requests.reply(id).is_none() {
            return;
        }
        self.departures.clients += 1;
        if let Some(entry) = self.requests.get_mut(id) {
            entry.departed_at = Some(now);
        }
        self.handle_event(now, Event::Gone(id));
        if self.cancels_on_disconnect {
            self.cancel_attempts(now, id);
        }
        self.requests.forget(id);
    }

    /// Cancels the attempts in flight of a repeatable request.
    fn cancel_attempts(&mut self, now: Millis, id: RequestId) {
        for number in self.requests.live_repeatable(id) {
            self.departures.cancelled_attempts += 1;
            self.end(now, id, number, Outcome::Cancelled, Vec::new());
        }
        self.drain(now);
    }

    /// Answers a request as timed out if the module has not settled it, while its client still waits.
    fn fail_unanswered(&mut self, now: Millis, id: RequestId) {
        if self.requests.get_mut(id).is_none_or(|entry| entry.is_answered()) {
            return;
        }
        tracing::debug!("request {} timed out without a decision", id.0);
        self.finish_unserved(id, Answer::TimedOut);
        self.handle_event(now, Event::Gone(id));
        self.requests.forget(id);
    }

    pub(crate) fn fail_all(&mut self, now: Millis) {
        for id in self.requests.unanswered_ids() {
            self.fail_unanswered(now, id);
        }
    }

    /// Gives a request its final answer when no success will follow: a server's error answer if there is one, else
    /// `otherwise`. The error answer also replaces a refusal, because a repeatable request may have run.
    fn finish_unserved(&mut self, id: RequestId, otherwise: Answer<A>) {
        let error_answer = self.requests.get_mut(id).and_then(|entry| entry.error_answer.take());
        self.answer(id, error_answer.map_or(otherwise, Answer::Served));
    }

    /// Sends a request's final answer, unless it has one already.
    fn answer(&mut self, id: RequestId, answer: Answer<A>) {
        if let Some(reply) = self.requests.reply(id) {
            reply(self.permitted_answer(id, answer));
        }
        self.requests.forget(id);
    }

    /// Replaces an answer that is not allowed: a refusal may only be given if the request has certainly not run.
    fn permitted_answer(&mut self, id: RequestId, answer: Answer<A>) -> Answer<A> {
        let Some(entry) = self.requests.get_mut(id) else { return answer };
        let client_answer = match &answer {
            Answer::Served(_) => ClientAnswer::Served,
            Answer::Refused(_) => ClientAnswer::Rejected,
            Answer::Failed | Answer::TimedOut => ClientAnswer::Failed,
        };
        let certain = !entry.execution.is_in_doubt();
        let (_, violation) = entry.execution.answer_client(client_answer);
        let (request, once) = (entry.request.clone(), entry.execution.is_at_most_once());
        if let Some(violation) = violation {
            self.record_violation(&request, violation);
            return Answer::Failed;
        }
        if once && certain && client_answer != ClientAnswer::Served {
            self.note(
                &request,
                None,
                Note::Outcome(ExecutionOutcome::NotExecuted, "given up before a server had it"),
            );
        }
        match answer {
            Answer::Refused(_) if !once && !certain && self.late_answer_wait.is_some() => Answer::Failed,
            // The request is settled and will not be sent any more, so a refusal is certain to hold.
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
            let (outcome, load) = (Outcome::NotSent, Vec::new());
            let (attempt, complete, took, settled) = (0, true, 0.0, 0.0);
            let ended = Event::Ended { id, attempt, server, outcome, complete, took, settled, load };
            return self.events.push_back(ended);
        };
        let attempt = entry.start_attempt(server, now);
        let Ok(number) = u8::try_from(attempt) else { return };
        let max_attempts = entry.max_attempts as usize;
        let span = span(entry.deadline, now, timeout);
        if entry.is_answered() || span <= 0.0 || max_attempts > 0 && attempt >= max_attempts {
            return self.end(now, id, number, Outcome::NotSent, Vec::new());
        }
        let request = entry.request.clone();
        let Some((name, address)) = self.fleet.address(server) else {
            return self.end(now, id, number, Outcome::ConnectFailed, Vec::new());
        };
        let Some(entry) = self.requests.get_mut(id) else { return };
        let fully_sent = !entry.uploading;
        if let Err(violation) = entry.execution.send(attempt, fully_sent) {
            let out = entry.execution.is_in_flight();
            self.record_violation(&request, violation);
            if !out {
                // No attempt in flight can answer it any more.
                self.answer(id, Answer::Failed);
            }
            return self.end(now, id, number, Outcome::NotSent, Vec::new());
        }
        entry.set_server_name(attempt, &name);
        let starts_early = self.settings.starts_early;
        if (fully_sent || starts_early) && entry.execution.is_at_most_once() {
            self.note(&request, Some(&name), Note::Outcome(ExecutionOutcome::Running, "sent"));
        }
        self.timers.arm(now + span, Due::Attempt(id, number));
        let attempt = Output::Attempt { id, number, server, name, address, request, span, starts_early };
        self.outputs.push_back(attempt);
    }

    /// Handles the progress of an attempt that sends a streamed body.
    pub(crate) fn progress(&mut self, now: Millis, id: RequestId, attempt: u8, progress: Progress) {
        if !self.requests.is_live(id, attempt) {
            return;
        }
        if progress == Progress::Spent {
            return self.handle_event(now, Event::NotReplayable(id));
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.execution.mark_fully_sent(usize::from(attempt));
        if entry.execution.is_at_most_once() && !self.settings.starts_early {
            let (request, name) = (entry.request.clone(), entry.name(attempt).cloned());
            self.note(&request, name.as_ref(), Note::Outcome(ExecutionOutcome::Running, "sent"));
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.restart_clock(attempt, now);
        if let Some(left) = entry.time_after_upload.take() {
            entry.deadline = now + left;
            self.timers.arm(now + left - ANSWER_MARGIN, Due::AnswerDeadline(id));
            if self.late_answer_wait.is_some() {
                // The module sets no timeout for a request whose client has disconnected.
                self.timers.arm(now + left - RESPONSE_MARGIN, Due::Attempt(id, attempt));
            }
        }
        self.handle_event(now, Event::Uploaded { id, attempt });
    }

    /// Sets the timeout of an attempt whose body has been sent.
    fn wait_for(&mut self, now: Millis, id: RequestId, attempt: u8, timeout: Millis) {
        if let Some(entry) = self.requests.get_mut(id) {
            let span = span(entry.deadline, now, timeout);
            self.timers.arm(now + span, Due::Attempt(id, attempt));
        }
    }

    /// Handles an attempt that ended by itself. A late end of an attempt that has already ended only updates the
    /// recorded execution outcome.
    pub(crate) fn attempt_ended(&mut self, now: Millis, id: RequestId, attempt: u8, end: End<A>) {
        let end_kind = attempt_end(end.outcome, end.answer.is_some());
        if !self.requests.is_live(id, attempt) {
            if let Some((request, name)) = self.late_attempts.remove(&(id, attempt)) {
                let (outcome, why) = execution_outcome(end_kind, true);
                self.note(&request, name.as_ref(), Note::Outcome(outcome, why));
            }
            return;
        }
        self.record_end(id, attempt, end_kind);
        match (end.outcome, end.answer) {
            (Outcome::Ok, Some(answer)) => {
                if let Some(reply) = self.requests.reply(id) {
                    reply(self.permitted_answer(id, Answer::Served(answer)));
                }
            }
            (Outcome::Error, Some(answer)) => {
                if let Some(entry) = self.requests.get_mut(id).filter(|entry| !entry.is_answered()) {
                    // Clients hold the proxy to a server's status as to its own.
                    if !end.asserts_not_run || entry.execution.permits_rejection() {
                        entry.error_answer = Some(answer);
                    }
                }
            }
            _ => {}
        }
        self.report_end(now, id, attempt, end.outcome, end.load);
        self.drain(now);
    }

    /// Ends an attempt in flight, cancels it and reports its end to the module.
    fn end(&mut self, now: Millis, id: RequestId, number: u8, outcome: Outcome, load: Vec<f64>) {
        if self.requests.is_live(id, number) {
            self.record_end(id, number, attempt_end(outcome, false));
        }
        if self.report_end(now, id, number, outcome, load) {
            self.outputs.push_back(Output::CancelAttempt { id, number });
        }
    }

    /// Handles an attempt's timeout. A fully sent at-most-once attempt is not cancelled while executions are
    /// reported: its answer is recorded for as long as its server may take to send it.
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
        let attempted = (entry.request.clone(), entry.name(attempt).cloned());
        entry.execution.end(usize::from(attempt), AttemptEnd::Lost);
        self.late_attempts.insert((id, attempt), attempted);
        self.timers.arm(now + more, Due::LateAnswer(id, attempt));
        self.report_end(now, id, attempt, Outcome::TimedOut, Vec::new());
    }

    /// Records how an attempt ended.
    fn record_end(&mut self, id: RequestId, attempt: u8, end_kind: AttemptEnd) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.execution.end(usize::from(attempt), end_kind);
        if !entry.execution.is_at_most_once() {
            return;
        }
        let Some(name) = entry.name(attempt).cloned() else { return };
        let (request, ran) = (entry.request.clone(), entry.execution.may_have_run());
        let (outcome, why) = execution_outcome(end_kind, ran);
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

    /// Handles the end of a counter call. An end that arrives after the call was abandoned is dropped.
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

    /// Applies a membership update. Returns whether it makes the limiter ready.
    pub(crate) fn members(&mut self, now: Millis, news: &News) -> bool {
        let (update, entries) = self.fleet.apply(news, &self.names.zones);
        self.handle_event(now, Event::Servers { update, entries });
        update != ListUpdate::Cached
    }

    /// Suspends or resumes a server. Once this returns, no new attempt sends its first byte to a suspended server.
    /// Fails if the server was never listed.
    pub(crate) fn set_suspended(&mut self, now: Millis, id: &str, out: bool) -> Result<(), NeverListed> {
        let changed = if out { self.fleet.suspend(now, id)? } else { self.fleet.resume(now, id)? };
        self.update_servers(now, changed.into_iter().collect());
        Ok(())
    }

    /// Excludes exactly these servers by configuration.
    pub(crate) fn exclude_servers(&mut self, now: Millis, ids: &BTreeSet<String>) {
        let entries = self.fleet.exclude(ids);
        self.update_servers(now, entries);
    }

    /// Limits the share of each zone's servers that this limiter uses.
    pub(crate) fn set_zone_shares(&mut self, now: Millis, shares: Shares) {
        let entries = self.fleet.set_shares(shares);
        self.update_servers(now, entries);
    }

    /// Starts counting attempt outcomes by zone.
    pub(crate) fn count_zones(&mut self) {
        self.zone_counts.get_or_insert_default();
    }

    /// Takes the attempts that finished since the last call. The first call starts the recording.
    pub(crate) fn take_finished_attempts(&mut self) -> Vec<Finished> {
        self.finished_attempts.replace(Vec::new()).unwrap_or_default()
    }

    /// Attempt outcomes and the number of usable servers of each zone.
    pub(crate) fn zones(&self) -> Vec<Row> {
        let row = |(place, name): (usize, &String)| {
            let zone = place as u16;
            let counts = self.zone_counts.as_ref().and_then(|t| t.get(&zone)).copied().unwrap_or_default();
            Row { zone: name.clone(), counts, servers: self.fleet.usable(zone) }
        };
        self.names.zones.iter().enumerate().map(row).collect()
    }

    /// Merges the suspensions known to another process.
    pub(crate) fn merge(&mut self, now: Millis, marks: &Marks) {
        let entries = self.fleet.merge(marks);
        self.update_servers(now, entries);
    }

    fn update_servers(&mut self, now: Millis, entries: Vec<ServerEntry>) {
        if !entries.is_empty() {
            self.handle_event(now, Event::Servers { update: ListUpdate::Delta, entries });
        }
    }

    /// Sets the share of the gateway's own budget that the module may use.
    pub(crate) fn set_budget_part(&mut self, now: Millis, part: f64) {
        self.handle_event(now, Event::ProcessShare(part));
    }

    /// Applies new settings to requests that arrive from now on.
    pub(crate) fn apply_settings(&mut self, now: Millis, names: &Names, settings: &Settings) {
        if self.names.zones != names.zones {
            // The counts are keyed by the zone's index.
            self.zone_counts = self.zone_counts.take().map(|_| HashMap::new());
        }
        (self.names, self.settings) = (names.clone(), settings.clone());
        self.handle_event(now, Event::Settings(Box::new(settings.clone())));
    }

    // ---- Timers -------------------------------------------------------------------------------

    /// Runs one due timer. Returns whether there was one.
    pub(crate) fn run_due_timer(&mut self, now: Millis) -> bool {
        let Some(due) = self.timers.pop(now) else { return false };
        match due {
            Due::Module(name) => self.handle_event(now, Event::Timer(name)),
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
                    self.handle_event(now, Event::Counted { name, outcome, took, total: 0.0 });
                }
            }
        }
        true
    }
}

/// Timeout of an attempt, ms: the module's `timeout` (0: none) bounded by the time left until the deadline `ends`.
fn span(ends: Millis, now: Millis, timeout: Millis) -> Millis {
    let left = ends - RESPONSE_MARGIN - now;
    if timeout > 0.0 {
        timeout.min(left)
    } else {
        left
    }
}

/// Translates an attempt's outcome into what it proves about the execution.
fn attempt_end(outcome: Outcome, answered: bool) -> AttemptEnd {
    match outcome {
        Outcome::Ok => AttemptEnd::Succeeded,
        Outcome::Error if answered => AttemptEnd::Failed,
        Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent => AttemptEnd::NotExecuted,
        Outcome::TimedOut | Outcome::Cancelled => AttemptEnd::Cancelled,
        Outcome::Error | Outcome::Reset => AttemptEnd::Lost,
    }
}

/// Execution outcome of an at-most-once request after an attempt's end, with its reason. `ran` is set unless it is
/// proven that the request did not run.
fn execution_outcome(end_kind: AttemptEnd, ran: bool) -> (ExecutionOutcome, &'static str) {
    match end_kind {
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

/// Adds an attempt's outcome to its zone's counts. Attempts that were cancelled or never sent are not counted.
fn count_outcome(counts: &mut Counts, outcome: Outcome) {
    let count = match outcome {
        Outcome::Ok => &mut counts.ok,
        Outcome::Error => &mut counts.failed,
        Outcome::TimedOut => &mut counts.silent,
        Outcome::ConnectFailed => &mut counts.refused,
        Outcome::Reset => &mut counts.broken,
        Outcome::Full => &mut counts.full,
        Outcome::Cancelled | Outcome::NotSent => return,
    };
    *count += 1;
}

#[cfg(test)]
impl<Q, A> Core<Q, A> {
    /// Carries out an action that the module has not requested.
    pub(super) fn inject_action(&mut self, now: Millis, action: Action) {
        self.carry_out(now, action);
        self.drain(now);
    }

    /// Replaces the execution state that guards a request.
    pub(super) fn replace_execution(&mut self, id: RequestId, execution: RequestAttempts) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.execution = execution;
        }
    }
}

#[cfg(test)]
mod tests;
