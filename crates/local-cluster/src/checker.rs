//! The independent checker: what servers ran, by `Try-Id`, held against what clients were told. It knows
//! nothing of the programs, and takes no figure from them but what they say of a try when they are asked.

use std::collections::{BTreeMap, HashMap, HashSet};

/// A try of a request that runs once, and what its client was told.
#[derive(Clone, Debug, PartialEq)]
pub struct AcknowledgedCall {
    /// Its id.
    pub id: String,
    /// The status of the answer; 0: none came whole.
    pub status: u16,
    /// Whose whole answer to this very try it is.
    pub by: Option<String>,
}

/// A run that a server has begun.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    /// The try's id.
    pub id: String,
    /// The server.
    pub server: String,
}

/// What was seen of a run of the system.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Requests that run once, each with its tries.
    pub requests: Vec<Vec<AcknowledgedCall>>,
    /// What servers ran of them.
    pub runs: Vec<Ran>,
    /// What the system says of tries whose clients could not know, by id.
    pub said: BTreeMap<String, String>,
}

/// What the checker found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// Requests.
    pub asked: usize,
    /// Requests that a server ran.
    pub run: usize,
    /// Requests whose client was told what a server said.
    pub answered: usize,
    /// Requests whose client was promised that nothing ran.
    pub refused: usize,
    /// Requests whose client could not know.
    pub unknown: usize,
    /// Tries of these of which the system could say afterwards whether they ran.
    pub settled: usize,
    /// What must not be.
    pub wrongs: Vec<String>,
}

/// Whether an answer promises that the try has not run and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether an answer is a server's own, or a refusal of what was sent.
fn is_answer(acknowledged: &AcknowledgedCall) -> bool {
    acknowledged.by.is_some() || acknowledged.status == 500
}

/// Whether the system says that a try ran; none: it cannot tell.
fn says_ran(said: &str) -> Option<bool> {
    match said {
        "done" | "ran and failed" => Some(true),
        "did not run" => Some(false),
        _ => None,
    }
}

/// Holds one against the other.
pub fn check(seen: &ReceivedRequest) -> Found {
    let mut found = Found { asked: seen.requests.len(), ..Found::default() };
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
                wrong("a promise that was not kept");
            }
            match &acknowledged.by {
                Some(by) if ran != [by.as_str()] => wrong("a success of another run"),
                None if (200..300).contains(&acknowledged.status) => wrong("a success that is no server's"),
                None if acknowledged.status == 500 && ran.is_empty() => {
                    wrong("a failure of a run that was not");
                }
                _ => {}
            }
            let said = seen.said.get(&acknowledged.id).and_then(|said| says_ran(said));
            if said.is_some_and(|said| said == ran.is_empty()) {
                wrong("the system says otherwise afterwards");
            }
            found.settled += usize::from(said.is_some());
        }
        if all > 1 && attempts.len() > 1 {
            let ids: Vec<&str> = attempts.iter().map(|t| t.id.as_str()).collect();
            found.wrongs.push(format!("{ids:?}: one request ran {all} times"));
        }
        found.run += usize::from(all > 0);
        match attempts.last() {
            Some(last) if is_answer(last) => found.answered += 1,
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
