//! Independent checker that compares the runs recorded by servers, keyed by `Try-Id`, with the answers that clients got. It
//! shares no code with the programs; the only data it takes from them is their answer to a query about a single try.

use std::collections::{BTreeMap, HashMap, HashSet};

/// One try of an at-most-once request, with the answer that its client received.
#[derive(Clone, Debug, PartialEq)]
pub struct TryResult {
    /// `Try-Id` of the try.
    pub id: String,
    /// HTTP status of the answer, or 0 if no complete answer arrived.
    pub status: u16,
    /// Id of the server whose seal matches this try and the complete body, if any.
    pub by: Option<String>,
}

/// One execution of a try, as recorded by the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// `Try-Id` of the executed try.
    pub id: String,
    /// Id of the server that executed it.
    pub server: String,
}

/// Observations of one test run, as input to [`check`].
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// At-most-once requests, each as the list of its tries in the order sent.
    pub requests: Vec<Vec<TryResult>>,
    /// Executions that servers recorded.
    pub runs: Vec<Execution>,
    /// The system's later answer about tries with an unknown outcome, by `Try-Id`.
    pub said: BTreeMap<String, String>,
}

/// Counts and violations found by [`check`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckResult {
    /// Number of requests checked.
    pub asked: usize,
    /// Requests that at least one server executed.
    pub run: usize,
    /// Requests whose last answer came from a server, or was a status 500.
    pub answered: usize,
    /// Requests whose last answer promises that the try was not executed.
    pub refused: usize,
    /// Requests whose outcome is unknown to the client.
    pub unknown: usize,
    /// Tries for which the system later reported whether they were executed.
    pub settled: usize,
    /// One line for each violated guarantee, sorted.
    pub wrongs: Vec<String>,
}

/// Returns whether a status promises that the try was not executed and never will be.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether the answer is sealed by a server or has status 500.
fn has_definite_answer(acknowledged: &TryResult) -> bool {
    acknowledged.by.is_some() || acknowledged.status == 500
}

/// Parses the system's report on a try: executed or not, or `None` if the system does not know.
fn parse_outcome(said: &str) -> Option<bool> {
    match said {
        "done" | "ran and failed" => Some(true),
        "did not run" => Some(false),
        _ => None,
    }
}

/// Compares the executions recorded by servers with the answers that clients received.
pub fn check(seen: &Observations) -> CheckResult {
    let mut found = CheckResult { asked: seen.requests.len(), ..CheckResult::default() };
    let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in &seen.runs {
        runs.entry(run.id.as_str()).or_default().push(&run.server);
    }
    let mut sent: HashSet<&str> = HashSet::new();
    for attempts in &seen.requests {
        let mut all = 0;
        for acknowledged in attempts {
            sent.insert(&acknowledged.id);
            let ran = runs.get(acknowledged.id.as_str()).map_or(&[][..], Vec::as_slice);
            all += ran.len();
            let mut wrong = |what: &str| {
                found.wrongs.push(format!(
                    "{}: {what}: told {}, ran at {ran:?}",
                    acknowledged.id, acknowledged.status
                ));
            };
            if ran.len() > 1 {
                wrong("ran more than once");
            }
            if is_promise(acknowledged.status) && !ran.is_empty() {
                wrong("ran despite the promise that it did not");
            }
            match &acknowledged.by {
                Some(by) if ran != [by.as_str()] => {
                    wrong("sealed by a server that is not the only one that ran it");
                }
                None if (200..300).contains(&acknowledged.status) => {
                    wrong("a 2xx answer without a server's seal");
                }
                None if acknowledged.status == 500 && ran.is_empty() => {
                    wrong("status 500, but no server ran it");
                }
                _ => {}
            }
            let said = seen.said.get(&acknowledged.id).and_then(|said| parse_outcome(said));
            if said.is_some_and(|said| said == ran.is_empty()) {
                wrong("contradicted by the system's later report");
            }
            found.settled += usize::from(said.is_some());
        }
        if all > 1 && attempts.len() > 1 {
            let ids: Vec<&str> = attempts.iter().map(|t| t.id.as_str()).collect();
            found.wrongs.push(format!("{ids:?}: one request ran {all} times"));
        }
        found.run += usize::from(all > 0);
        match attempts.last() {
            Some(last) if has_definite_answer(last) => found.answered += 1,
            Some(last) if is_promise(last.status) => found.refused += 1,
            _ => found.unknown += 1,
        }
    }
    let strays = runs.keys().filter(|id| !sent.contains(*id));
    found.wrongs.extend(strays.map(|id| format!("{id}: ran, and no client sent it")));
    found.wrongs.sort();
    found
}

#[cfg(test)]
mod tests;
