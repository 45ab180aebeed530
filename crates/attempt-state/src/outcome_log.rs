//! Outcomes of requests that may run at most once: kept for a while by the proxy that handled them, and merged when somebody
//! asks.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A point in time or a duration on the caller's own clock, ms.
pub type Millis = f64;

/// What became of a request, by rising weight: where several proxies know of it, the heaviest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionOutcome {
    /// It has not run and never will.
    NotExecuted,
    /// Nobody can tell any more whether it ran.
    Unknown,
    /// A server has it.
    Running,
    /// It ran, and was answered with a failure.
    Failed,
    /// It ran, and a success was received completely.
    Succeeded,
}

/// How an outcome appears outside.
struct Description {
    outcome: ExecutionOutcome,
    /// Its number in messages between processes.
    number: u32,
    text: &'static str,
}

const fn describe(outcome: ExecutionOutcome, number: u32, text: &'static str) -> Description {
    Description { outcome, number, text }
}

/// All outcomes. Numbers are part of the protocol between processes, texts of `oatbankctl`'s output.
const OUTCOMES: [Description; 5] = [
    describe(ExecutionOutcome::NotExecuted, 1, "did not run"),
    describe(ExecutionOutcome::Unknown, 2, "unknown"),
    describe(ExecutionOutcome::Running, 3, "running"),
    describe(ExecutionOutcome::Failed, 4, "ran and failed"),
    describe(ExecutionOutcome::Succeeded, 5, "done"),
];

impl ExecutionOutcome {
    fn description(self) -> Option<&'static Description> {
        OUTCOMES.iter().find(|description| description.outcome == self)
    }

    /// Its text.
    pub fn text(self) -> &'static str {
        self.description().map_or("unknown", |description| description.text)
    }

    /// Its number in messages between processes.
    pub fn number(self) -> u32 {
        self.description().map_or(0, |description| description.number)
    }

    /// The outcome of a number; `None` for one that this version does not know.
    pub fn from_number(number: u32) -> Option<ExecutionOutcome> {
        OUTCOMES.iter().find(|description| description.number == number).map(|found| found.outcome)
    }

    /// Whether it ran for certain.
    pub fn ran(self) -> bool {
        self >= ExecutionOutcome::Failed
    }

    /// Whether a later outcome of the same proxy replaces this one. That it ran is never taken back; neither is that nobody
    /// can tell, unless by an answer that came late.
    fn is_superseded_by(self, later: ExecutionOutcome) -> bool {
        match self {
            ExecutionOutcome::Succeeded | ExecutionOutcome::Failed => false,
            ExecutionOutcome::Unknown => later.ran(),
            ExecutionOutcome::Running => later != ExecutionOutcome::Running,
            ExecutionOutcome::NotExecuted => true,
        }
    }
}

/// What one proxy knows of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownOutcome {
    /// What became of it.
    pub outcome: ExecutionOutcome,
    /// Why, in few words.
    pub why: &'static str,
    /// The server's id; empty if it was sent to none.
    pub server: Arc<str>,
    /// Since when this is known.
    pub at: Millis,
}

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeLogLimits {
    /// Requests.
    pub max_entries: usize,
    /// For how long, ms, from a request's last outcome.
    pub retention: Millis,
    /// A request or server with a longer name, in bytes, is not kept.
    pub max_name_bytes: usize,
}

impl Default for OutcomeLogLimits {
    /// 4,096 requests of a minute; with names of 128 bytes at most that is 1.6 MB if all are the longest.
    fn default() -> Self {
        OutcomeLogLimits { max_entries: 4096, retention: 60_000.0, max_name_bytes: 128 }
    }
}

struct Entry {
    known: KnownOutcome,
    /// The number of its last update: ages with an older number are skipped.
    update: u64,
}

/// When a request was updated.
struct Age {
    at: Millis,
    update: u64,
    id: Arc<str>,
}

/// Outcomes of requests, by id.
pub struct OutcomeLog {
    limits: OutcomeLogLimits,
    entries: HashMap<Arc<str>, Entry>,
    /// Updates, the oldest first. Invariant: holds the last update of each entry.
    ages: VecDeque<Age>,
    updates: u64,
    dropped: u64,
}

impl OutcomeLog {
    /// Nothing is known yet.
    pub fn new(limits: OutcomeLogLimits) -> Self {
        OutcomeLog { limits, entries: HashMap::new(), ages: VecDeque::new(), updates: 0, dropped: 0 }
    }

    /// How many requests are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Outcomes that were not kept, or not for their whole time, for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records what became of a request.
    pub fn record(
        &mut self,
        now: Millis,
        id: &str,
        outcome: ExecutionOutcome,
        why: &'static str,
        server: &Arc<str>,
    ) {
        self.expire(now);
        if id.is_empty() || id.len().max(server.len()) > self.limits.max_name_bytes {
            self.dropped += 1;
            return;
        }
        let name: Arc<str> = match self.entries.get_key_value(id) {
            Some((_, entry)) if !entry.known.outcome.is_superseded_by(outcome) => return,
            Some((name, _)) => name.clone(),
            // A flood of rejected requests must not push out what may have run.
            None if outcome == ExecutionOutcome::NotExecuted
                && 2 * self.entries.len() >= self.limits.max_entries =>
            {
                self.dropped += 1;
                return;
            }
            None => id.into(),
        };
        self.updates += 1;
        let known = KnownOutcome { outcome, why, server: server.clone(), at: now };
        self.entries.insert(name.clone(), Entry { known, update: self.updates });
        self.ages.push_back(Age { at: now, update: self.updates, id: name });
        while self.entries.len() > self.limits.max_entries {
            if self.drop_oldest() {
                self.dropped += 1;
            }
        }
        // Each request has a few updates at most; their list is bounded all the same.
        while self.ages.len() > 4 * self.limits.max_entries {
            self.drop_oldest();
        }
    }

    /// What is known of a request.
    pub fn get(&mut self, now: Millis, id: &str) -> Option<&KnownOutcome> {
        self.expire(now);
        self.entries.get(id).map(|entry| &entry.known)
    }

    fn expire(&mut self, now: Millis) {
        while self.ages.front().is_some_and(|age| now - age.at > self.limits.retention) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest update; whether a request was dropped with it.
    fn drop_oldest(&mut self) -> bool {
        let Some(Age { update, id, .. }) = self.ages.pop_front() else { return false };
        let is_last = self.entries.get(&id).is_some_and(|entry| entry.update == update);
        if is_last {
            self.entries.remove(&id);
        }
        is_last
    }
}

/// What a proxy reports of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The proxy.
    pub proxy: String,
    /// What became of the request there.
    pub outcome: ExecutionOutcome,
    /// Why.
    pub why: String,
    /// The server's id.
    pub server: String,
    /// For how long that has been known, ms.
    pub age: Millis,
}

/// What all proxies that were asked report together.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedOutcome {
    /// The heaviest outcome; `None` if nobody knows the request.
    pub outcome: Option<ExecutionOutcome>,
    /// It ran at more than one proxy: what must never be.
    pub ran_twice: bool,
    /// One report for each proxy, the heaviest first.
    pub reports: Vec<OutcomeReport>,
}

/// Merges what proxies report: the result does not depend on the order of the reports, nor on how often each comes.
pub fn merge(reports: impl IntoIterator<Item = OutcomeReport>) -> MergedOutcome {
    let mut by_proxy: Vec<OutcomeReport> = Vec::new();
    for report in reports {
        match by_proxy.iter_mut().find(|known| known.proxy == report.proxy) {
            Some(known) if rank(&report) > rank(known) => *known = report,
            Some(_) => {}
            None => by_proxy.push(report),
        }
    }
    by_proxy.sort_by(|a, b| rank(b).cmp(&rank(a)).then_with(|| a.proxy.cmp(&b.proxy)));
    let ran_twice = by_proxy.iter().filter(|report| report.outcome.ran()).count() > 1;
    let outcome = by_proxy.first().map(|report| report.outcome);
    MergedOutcome { outcome, ran_twice, reports: by_proxy }
}

/// Orders the reports of one proxy: the heavier, and of equal ones the younger.
fn rank(report: &OutcomeReport) -> (ExecutionOutcome, std::cmp::Reverse<u64>, &str, &str) {
    let age = std::cmp::Reverse(report.age.max(0.0) as u64);
    (report.outcome, age, &report.server, &report.why)
}

#[cfg(test)]
mod tests;
