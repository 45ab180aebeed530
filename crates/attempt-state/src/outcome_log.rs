//! Outcomes of requests that may run at most once: stored for a limited time by the proxy that handled the request, and
//! merged across proxies for a query.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A point in time or a duration in ms, on the caller's clock.
pub type Millis = f64;

/// The outcome of a request, in ascending precedence: if several proxies report a request, the highest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionOutcome {
    /// The request has not run and never will.
    NotExecuted,
    /// It can no longer be determined whether the request ran.
    Unknown,
    /// A server has received the request and has not answered.
    Running,
    /// The request ran and the server answered with a failure.
    Failed,
    /// The request ran and a successful answer was received completely.
    Succeeded,
}

/// External representation of an outcome.
struct Description {
    outcome: ExecutionOutcome,
    /// Number in messages between processes.
    number: u32,
    text: &'static str,
}

const fn describe(outcome: ExecutionOutcome, number: u32, text: &'static str) -> Description {
    Description { outcome, number, text }
}

/// All outcomes. The numbers are part of the protocol between processes, the texts part of the output of `oatbankctl`.
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

    /// The text in the output of `oatbankctl`.
    pub fn text(self) -> &'static str {
        self.description().map_or("unknown", |description| description.text)
    }

    /// The number in messages between processes.
    pub fn number(self) -> u32 {
        self.description().map_or(0, |description| description.number)
    }

    /// The outcome with this number; `None` if this version does not know it.
    pub fn from_number(number: u32) -> Option<ExecutionOutcome> {
        OUTCOMES.iter().find(|description| description.number == number).map(|found| found.outcome)
    }

    /// Whether the request certainly ran.
    pub fn ran(self) -> bool {
        self >= ExecutionOutcome::Failed
    }

    /// Whether a later outcome of the same proxy replaces this one. An outcome that proves execution is final; `Unknown` is
    /// replaced only by a late answer that proves execution.
    fn is_superseded_by(self, later: ExecutionOutcome) -> bool {
        match self {
            ExecutionOutcome::Succeeded | ExecutionOutcome::Failed => false,
            ExecutionOutcome::Unknown => later.ran(),
            ExecutionOutcome::Running => later != ExecutionOutcome::Running,
            ExecutionOutcome::NotExecuted => true,
        }
    }
}

/// The outcome of a request as known to one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownOutcome {
    /// The outcome.
    pub outcome: ExecutionOutcome,
    /// A short reason.
    pub why: &'static str,
    /// Id of the server; empty if the request was sent to none.
    pub server: Arc<str>,
    /// Time of the last update.
    pub at: Millis,
}

/// Limits of an [`OutcomeLog`].
#[derive(Clone, Copy, Debug)]
pub struct OutcomeLogLimits {
    /// Maximum number of requests.
    pub max_entries: usize,
    /// Retention in ms from a request's last update.
    pub retention: Millis,
    /// Maximum length in bytes of a request id or server id; longer ones are not stored.
    pub max_name_bytes: usize,
}

impl Default for OutcomeLogLimits {
    /// 4,096 requests, kept for one minute; at most 1.6 MB if all names have the maximum of 128 bytes.
    fn default() -> Self {
        OutcomeLogLimits { max_entries: 4096, retention: 60_000.0, max_name_bytes: 128 }
    }
}

struct Entry {
    known: KnownOutcome,
    /// Number of the last update; entries in the age queue with a lower number are outdated.
    update: u64,
}

/// An update in the age queue.
struct Age {
    at: Millis,
    update: u64,
    id: Arc<str>,
}

/// A bounded log of request outcomes by request id.
pub struct OutcomeLog {
    limits: OutcomeLogLimits,
    entries: HashMap<Arc<str>, Entry>,
    /// Updates, oldest first. Invariant: contains the last update of each entry.
    ages: VecDeque<Age>,
    updates: u64,
    dropped: u64,
}

impl OutcomeLog {
    /// Creates an empty log.
    pub fn new(limits: OutcomeLogLimits) -> Self {
        OutcomeLog { limits, entries: HashMap::new(), ages: VecDeque::new(), updates: 0, dropped: 0 }
    }

    /// Number of requests in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of outcomes that were not stored, or evicted early, because of the limits.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records the outcome of a request, unless the known outcome takes precedence or a limit is exceeded.
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
            // A flood of rejected requests must not evict requests that may have run.
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
        // A request has only a few updates; the queue is bounded nevertheless.
        while self.ages.len() > 4 * self.limits.max_entries {
            self.drop_oldest();
        }
    }

    /// The known outcome of a request; `None` if it is unknown or has expired.
    pub fn get(&mut self, now: Millis, id: &str) -> Option<&KnownOutcome> {
        self.expire(now);
        self.entries.get(id).map(|entry| &entry.known)
    }

    fn expire(&mut self, now: Millis) {
        while self.ages.front().is_some_and(|age| now - age.at > self.limits.retention) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest update; returns whether its request was dropped as well.
    fn drop_oldest(&mut self) -> bool {
        let Some(Age { update, id, .. }) = self.ages.pop_front() else { return false };
        let is_last = self.entries.get(&id).is_some_and(|entry| entry.update == update);
        if is_last {
            self.entries.remove(&id);
        }
        is_last
    }
}

/// One proxy's report on a request.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// Name of the proxy.
    pub proxy: String,
    /// The outcome known to this proxy.
    pub outcome: ExecutionOutcome,
    /// A short reason.
    pub why: String,
    /// Id of the server; empty if the request was sent to none.
    pub server: String,
    /// Time since the last update, in ms.
    pub age: Millis,
}

/// The merged reports of all proxies that were queried.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedOutcome {
    /// The outcome of highest precedence; `None` if no proxy knows the request.
    pub outcome: Option<ExecutionOutcome>,
    /// Whether the request ran through more than one proxy, which violates at-most-once execution.
    pub ran_twice: bool,
    /// One report per proxy, highest precedence first.
    pub reports: Vec<OutcomeReport>,
}

/// Merges the reports of proxies. The result does not depend on their order, nor on repetitions.
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

/// Precedence of a report: by outcome, then the most recent.
fn rank(report: &OutcomeReport) -> (ExecutionOutcome, std::cmp::Reverse<u64>, &str, &str) {
    let age = std::cmp::Reverse(report.age.max(0.0) as u64);
    (report.outcome, age, &report.server, &report.why)
}

#[cfg(test)]
mod tests;
