//! Seeded schedules in virtual time: servers that lose, corrupt, delay and duplicate answers, clients that disconnect,
//! membership changes, process pauses, and a module that occasionally makes a wrong decision. Executions are counted
//! at the servers and compared with the answers given to clients.

use super::core::{Core, Note, Output};
use super::{Answer, Names, Setup};
use crate::body::Progress;
use crate::ports::membership::{Member, News};
use crate::ports::upstream::End;
use oatbank_attempt_state::attempt::RequestAttempts;
use oatbank_attempt_state::outcome_log::{ExecutionOutcome, OutcomeLog, OutcomeLogLimits};
use oatbank_limiter_core::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::{Arc, Mutex};

const SERVERS: u64 = 4;
const AT_MOST_ONCE_CLASS: ClassId = ClassId(1);
/// End of an attempt whose client's body broke off, at a server that may have begun it.
const CLIENT_GAVE_UP: u8 = 8;
/// End of an attempt that ran, with an answer whose status tells clients that it has not run.
const FALSE_PROMISE: u8 = 9;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A server executes an attempt, if it was written completely or the server starts early.
    Run(RequestId, u8, u32),
    /// The last byte of a body is written.
    Whole(RequestId, u8),
    /// The end of an attempt: 0 success, 1 failure, 2 corrupt answer, 3 reset, 4 full, 5 no connection, [`CLIENT_GAVE_UP`]
    /// or [`FALSE_PROMISE`].
    End(RequestId, u8, u32, u8),
    Arrive(u32),
    Gone(RequestId),
    List,
    /// A wrong decision of the module: 0 a second server, 1 a refusal.
    Err(RequestId, u8),
}

type Answers = Arc<Mutex<HashMap<u32, Vec<Answer<(u32, u8)>>>>>;

struct World {
    rng: Pcg64Mcg,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    count: u64,
    core: Core<u32, (u32, u8)>,
    answers_given: Answers,
    runs: HashMap<u32, u32>,
    at_most_once: HashSet<u32>,
    uploads: HashSet<u32>,
    gone: HashSet<u32>,
    cancelled: HashSet<(RequestId, u8)>,
    whole: HashSet<(RequestId, u8)>,
    outcomes: OutcomeLog,
    is_guarded: bool,
    /// Whether servers may start to run a request before they have it whole.
    starts_early: bool,
    /// Whether wrong decisions are injected.
    injects_wrong_decisions: bool,
    /// Servers that received an attempt.
    contacted_servers: Vec<ServerId>,
}

impl World {
    fn new(seed: u64, is_guarded: bool) -> World {
        let class = |repeat| Class { target: 500.0, deadline: 1500.0, late_worth: 0.3, worth: 1.0, repeat };
        let starts_early = seed % 2 == 1;
        let settings = Settings {
            starts_early,
            gateways: 1.0,
            classes: vec![class(Repeat::Safe), class(Repeat::Unsafe)],
            max_units: 1.0,
            parallel_tries: true,
            retry_after: true,
            max_retry_after: 1000.0,
            ..Settings::default()
        };
        let names = Names { zones: vec!["z".into()], ..Names::default() };
        let mut core = Core::new(&Setup { settings, names, seed });
        core.report_executions(300.0);
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 1000,
            due: BinaryHeap::new(),
            count: 0,
            core,
            answers_given: Answers::default(),
            runs: HashMap::new(),
            at_most_once: HashSet::new(),
            uploads: HashSet::new(),
            gone: HashSet::new(),
            cancelled: HashSet::new(),
            whole: HashSet::new(),
            outcomes: OutcomeLog::new(OutcomeLogLimits { retention: 1e9, ..OutcomeLogLimits::default() }),
            is_guarded,
            starts_early,
            injects_wrong_decisions: true,
            contacted_servers: Vec::new(),
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn after(&mut self, wait: u64, due: Due) {
        self.count += 1;
        self.due.push(Reverse((self.now + wait, self.count, due)));
    }

    fn list(&mut self) {
        let unlisted = self.random_below(SERVERS + 2);
        let member = |n: u64| Member {
            id: format!("s-{n}"),
            address: Some(([127, 0, 0, 1], 1000 + n as u16).into()),
            zone: "z".into(),
            cell: 0,
            weight: 1.0,
            started: 0.0,
            state: ServerState::Ready,
            standing: Standing::Well,
        };
        let members = (0..SERVERS).filter(|n| *n != unlisted).map(member).collect();
        self.core.members(self.now as f64, &News::Complete(members));
    }

    fn arrive(&mut self, n: u32) {
        let (at_most_once, uploading) = (self.random_below(3) > 0, self.random_below(4) == 0);
        let class = if at_most_once { AT_MOST_ONCE_CLASS } else { ClassId(0) };
        let request =
            Request { class, units: 1.0, time_left: 1500.0, spread: 1.0, uploading, ..Request::default() };
        let answers_given = self.answers_given.clone();
        let reply = Box::new(move |answer| answers_given.lock().unwrap().entry(n).or_default().push(answer));
        let id = self.core.submit(self.now as f64, request, n, reply);
        if at_most_once {
            self.at_most_once.insert(n);
        }
        if uploading {
            self.uploads.insert(n);
        }
        if !self.is_guarded {
            // Without the guard, every request is treated as repeatable.
            self.core.replace_execution(id, RequestAttempts::default());
        }
        let wait = self.random_below(600);
        match self.random_below(6) {
            0 => {
                self.gone.insert(n);
                self.after(wait, Due::Gone(id));
            }
            // Not injected for uploads: the module does not know of the injected attempt, so only the timeout would
            // end it.
            1 if self.injects_wrong_decisions && !uploading => self.after(wait, Due::Err(id, 0)),
            2 if self.injects_wrong_decisions => self.after(wait, Due::Err(id, 1)),
            _ => {}
        }
    }

    /// Lets the server run a request of which it gets a part only, in half of the cases.
    fn start_early(&mut self, id: RequestId, number: u8, n: u32, ends_in: u64) {
        if self.starts_early && self.random_below(2) == 0 {
            let begins = self.random_below(ends_in + 1);
            self.after(begins, Due::Run(id, number, n));
        }
    }

    /// Schedules a server's reaction to an attempt.
    fn attempt(&mut self, id: RequestId, number: u8, n: u32) {
        let mut at = 1 + self.random_below(30);
        if self.uploads.contains(&n) {
            at += self.random_below(200);
            match self.random_below(8) {
                // The body breaks off before it is complete.
                0 => {
                    self.start_early(id, number, n, at);
                    let end = if self.starts_early { CLIENT_GAVE_UP } else { 5 };
                    return self.after(at, Due::End(id, number, n, end));
                }
                // The body stalls and is abandoned.
                1 => {
                    self.start_early(id, number, n, at);
                    return self.after(at + 400, Due::End(id, number, n, 3));
                }
                _ => self.after(at, Due::Whole(id, number)),
            }
        }
        let took = if self.random_below(5) == 0 {
            1000 + self.random_below(1500)
        } else {
            5 + self.random_below(300)
        };
        let end = match self.random_below(16) {
            end @ 1..=3 => end as u8,
            4 | 5 => 4,
            6 => 5,
            7 => 6,
            8 => 7,
            9 => FALSE_PROMISE,
            _ => 0,
        };
        if !matches!(end, 4 | 5 | 7) {
            let begins = at + 1 + self.random_below(took);
            self.after(begins, Due::Run(id, number, n));
        }
        let end = match end {
            // 6: no answer at all; 7: the connection is lost before the request is read.
            6 => return,
            7 => 3,
            end => end,
        };
        self.after(at + 1 + took, Due::End(id, number, n, end));
        if self.random_below(10) == 0 {
            // A surplus second answer with a different result.
            let other = self.random_below(4) as u8;
            let later = 2 + self.random_below(500);
            self.after(at + took + later, Due::End(id, number, n, other));
        }
    }

    fn take_outputs(&mut self) {
        while let Some(output) = self.core.output() {
            match output {
                Output::Attempt { id, number, server, request, .. } => {
                    self.contacted_servers.push(server);
                    self.attempt(id, number, *request);
                }
                Output::CancelAttempt { id, number } => _ = self.cancelled.insert((id, number)),
                Output::Note { request, server, note: Note::Outcome(outcome, why) } => {
                    let server = server.unwrap_or_else(|| "".into());
                    self.outcomes.record(self.now as f64, &request.to_string(), outcome, why, &server);
                }
                Output::Note { .. } | Output::Count(_) => {}
            }
        }
    }

    fn pass(&mut self, due: Due) {
        let now = self.now as f64;
        match due {
            Due::Run(id, number, n) => {
                if self.starts_early || !self.uploads.contains(&n) || self.whole.contains(&(id, number)) {
                    *self.runs.entry(n).or_default() += 1;
                }
            }
            Due::Whole(id, number) if !self.cancelled.contains(&(id, number)) => {
                self.whole.insert((id, number));
                self.core.progress(now, id, number, Progress::Sent);
            }
            Due::End(id, number, n, end) if !self.cancelled.contains(&(id, number)) => {
                let (outcome, answer) = match end {
                    0 => (Outcome::Ok, Some((n, end))),
                    1 | FALSE_PROMISE => (Outcome::Error, Some((n, end))),
                    2 => (Outcome::Error, None),
                    3 => (Outcome::Reset, None),
                    4 => (Outcome::Full, None),
                    CLIENT_GAVE_UP => (Outcome::Cancelled, None),
                    _ => (Outcome::ConnectFailed, None),
                };
                let asserts_not_run = end == FALSE_PROMISE;
                self.core.attempt_ended(
                    now,
                    id,
                    number,
                    End { outcome, answer, asserts_not_run, load: Vec::new() },
                );
            }
            Due::Whole(..) | Due::End(..) => {}
            Due::Arrive(n) => self.arrive(n),
            Due::Gone(id) => self.core.client_left(now, id),
            Due::List => self.list(),
            Due::Err(id, 0) => {
                let at = self.random_below(self.contacted_servers.len() as u64 + 1) as usize;
                let server = self.contacted_servers.get(at).copied().unwrap_or_default();
                self.core.inject_action(now, Action::Send { id, server, timeout: 0.0 });
            }
            Due::Err(id, _) => self.core.inject_action(now, Action::Refuse { id, retry_after: 1.0 }),
        }
    }

    /// Runs the schedule until no further event can occur.
    fn play(&mut self) {
        self.list();
        for n in 0..20 {
            let at = self.random_below(1500);
            self.after(at, Due::Arrive(n));
        }
        for _ in 0..3 {
            let at = self.random_below(2000);
            self.after(at, Due::List);
        }
        let end = self.now + 9000;
        while self.now < end {
            self.take_outputs();
            let timer = self.core.next_due().map_or(end, |at| at.ceil() as u64);
            let event = self.due.peek().map_or(end, |Reverse((at, _, _))| *at);
            self.now = self.now.max(timer.min(event).min(end));
            if self.random_below(400) == 0 {
                // The process is paused; all events due by then arrive at once.
                self.now += 200 + self.random_below(2500);
            }
            let mut ready = Vec::new();
            while self.due.peek().is_some_and(|Reverse((at, _, _))| *at <= self.now) {
                ready.extend(self.due.pop().map(|Reverse((_, _, due))| due));
            }
            // Timers and external events are handled in either order.
            let timers_first = self.random_below(2) == 0;
            if timers_first {
                while self.core.run_due_timer(self.now as f64) {}
                self.take_outputs();
            }
            for due in ready {
                self.pass(due);
                self.take_outputs();
            }
            while self.core.run_due_timer(self.now as f64) {}
        }
        self.take_outputs();
    }

    /// Violations found by a checker that is independent of the engine.
    fn violations(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        let answers_given = self.answers_given.lock().unwrap().clone();
        for n in 0..20 {
            let runs = self.runs.get(&n).copied().unwrap_or(0);
            let answers = answers_given.get(&n).cloned().unwrap_or_default();
            let mut report = |what: &str| violations.push(format!("{n}: {what}: {runs} runs, {answers:?}"));
            if answers.len() > 1 || answers.is_empty() && !self.gone.contains(&n) {
                report("not exactly one answer");
            }
            match answers.first() {
                Some(Answer::Served((of, _))) if *of != n => report("answer to another request"),
                Some(Answer::Served(_)) if runs == 0 => report("served without an execution"),
                _ => {}
            }
            if !self.at_most_once.contains(&n) {
                continue;
            }
            if runs > 1 {
                report("ran twice");
            }
            if matches!(answers.first(), Some(Answer::Refused(_))) && runs > 0 {
                report("refused after an execution");
            }
            if matches!(answers.first(), Some(Answer::Served((_, FALSE_PROMISE)))) && runs > 0 {
                report("passed on a server's false promise");
            }
            let outcome = self.outcomes.get(self.now as f64, &n.to_string()).map(|k| k.outcome);
            let true_fate = match outcome {
                None => runs == 0,
                Some(ExecutionOutcome::NotExecuted) => runs == 0,
                Some(ExecutionOutcome::Succeeded | ExecutionOutcome::Failed) => runs == 1,
                Some(ExecutionOutcome::Unknown) => true,
                Some(ExecutionOutcome::Running) => false,
            };
            if self.is_guarded && !true_fate {
                report(&format!("recorded as {outcome:?}"));
            }
        }
        violations
    }
}

fn run_schedule(seed: u64, is_guarded: bool) -> (Vec<String>, World) {
    let mut world = World::new(seed, is_guarded);
    world.play();
    (world.violations(), world)
}

#[test]
fn at_most_once_requests_run_at_most_once_and_outcomes_are_correct() {
    let (mut prevented, mut answers_given, mut outcomes) =
        (0, [0; 3], HashMap::<ExecutionOutcome, u32>::new());
    for seed in 0..2000 {
        let (violations, mut world) = run_schedule(seed, true);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_eq!(
            world.core.at_most_once_in_flight(),
            0,
            "seed {seed}: every late answer is given up eventually"
        );
        prevented += world.core.prevented_violations();
        for answers in world.answers_given.lock().unwrap().values() {
            match answers.first() {
                Some(Answer::Served(_)) => answers_given[0] += 1,
                Some(Answer::Refused(_)) => answers_given[1] += 1,
                _ => answers_given[2] += 1,
            }
        }
        for n in 0..20u32 {
            if let Some(known) = world.outcomes.get(world.now as f64, &n.to_string()) {
                *outcomes.entry(known.outcome).or_default() += 1;
            }
        }
    }
    // Every case occurred often enough.
    assert!(
        prevented > 500 && answers_given.iter().all(|n| *n > 500),
        "{prevented} violations prevented, answers {answers_given:?}"
    );
    assert!(outcomes.len() == 4 && outcomes.values().all(|n| *n > 500), "{outcomes:?}");
}

#[test]
fn without_the_guard_the_checker_finds_double_runs_and_wrong_refusals() {
    let found: Vec<String> = (0..200).flat_map(|seed| run_schedule(seed, false).0).collect();
    for what in ["ran twice", "refused after an execution", "passed on a server's false promise"] {
        assert!(found.iter().filter(|w| w.contains(what)).count() > 10, "{what}: {}", found.len());
    }
}

/// The guard only double-checks the module: correct decisions are never blocked.
#[test]
fn the_guard_never_blocks_a_correct_module() {
    for seed in 0..500 {
        let mut world = World::new(seed, true);
        world.injects_wrong_decisions = false;
        world.play();
        assert_eq!((world.violations(), world.core.prevented_violations()), (Vec::new(), 0), "seed {seed}");
    }
}
