//! Servers that operators have suspended, keyed by id and independent of discovery.
//!
//! Suspending is idempotent, and one resume ends it. A suspended server stays suspended whatever discovery reports:
//! ready, gone, listed again, at another address, or not listed at all. A resumed server counts as started at the time
//! of the resume, because it is assumed to have been restarted while it was suspended, whatever discovery reports.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A point in time, Unix ms.
pub type Millis = f64;

/// Listed ids that are remembered. Beyond this the ids first listed are forgotten; suspended servers stay suspended.
pub const MAX_LISTED_IDS: usize = 65_536;
/// Resume marks that are kept, the latest ones. A mark is needed only while its server warms up.
pub const MAX_RESUMED_MARKS: usize = 4_096;

/// Error for an id that discovery has never listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl std::fmt::Display for NeverListed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no such server was ever listed")
    }
}

impl std::error::Error for NeverListed {}

/// The latest suspend or resume call for a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Whether the server is suspended.
    pub out: bool,
    /// When the call was made.
    pub at: Millis,
}

impl Mark {
    /// Returns whether this call overrides `other`: the later call wins. At equal times the suspension wins, as it is the
    /// harmless choice.
    fn supersedes(self, other: Mark) -> bool {
        self.at > other.at || self.at == other.at && self.out && !other.out
    }
}

/// The latest call for each server, as stored on disk and sent to another process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Marks(pub BTreeMap<String, Mark>);

/// Suspended servers, and the ids that calls may name.
#[derive(Clone, Debug, Default)]
pub struct Suspensions {
    marks: BTreeMap<String, Mark>,
    listed: HashSet<String>,
    /// Listed ids, oldest first.
    order: VecDeque<String>,
}

impl Suspensions {
    /// Records that discovery has listed this server.
    pub fn listed(&mut self, id: &str) {
        if self.listed.contains(id) {
            return;
        }
        if self.order.len() >= MAX_LISTED_IDS {
            if let Some(first) = self.order.pop_front() {
                self.listed.remove(&first);
            }
        }
        self.listed.insert(id.to_owned());
        self.order.push_back(id.to_owned());
    }

    /// Suspends a server. Returns whether that changed its state.
    ///
    /// # Errors
    /// If the id was never listed.
    pub fn suspend(&mut self, now: Millis, id: &str) -> Result<bool, NeverListed> {
        self.require_known(id)?;
        let was_suspended = self.is_suspended(id);
        if !was_suspended {
            self.mark(id, Mark { out: true, at: self.next_time(now, id) });
        }
        Ok(!was_suspended)
    }

    /// Resumes a server. Returns whether that changed its state.
    ///
    /// # Errors
    /// If the id was never listed.
    pub fn resume(&mut self, now: Millis, id: &str) -> Result<bool, NeverListed> {
        self.require_known(id)?;
        let was_suspended = self.is_suspended(id);
        if was_suspended {
            self.mark(id, Mark { out: false, at: self.next_time(now, id) });
        }
        Ok(was_suspended)
    }

    /// Returns the timestamp for a call made now. It is later than the previous call's even if that one came from a
    /// process whose clock is ahead; otherwise the earlier call would win again when the marks are merged.
    fn next_time(&self, now: Millis, id: &str) -> Millis {
        self.marks.get(id).map_or(now, |m| now.max(m.at + 0.001))
    }

    fn require_known(&self, id: &str) -> Result<(), NeverListed> {
        if self.listed.contains(id) || self.marks.contains_key(id) {
            return Ok(());
        }
        Err(NeverListed)
    }

    fn mark(&mut self, id: &str, mark: Mark) {
        self.marks.insert(id.to_owned(), mark);
        let resumed = |m: &Mark| !m.out;
        while self.marks.values().filter(|m| resumed(m)).count() > MAX_RESUMED_MARKS {
            let oldest = self.marks.iter().filter(|(_, m)| resumed(m));
            let Some(id) = oldest.min_by(|a, b| a.1.at.total_cmp(&b.1.at)).map(|(id, _)| id.clone()) else {
                return;
            };
            self.marks.remove(&id);
        }
    }

    /// Returns whether the server is suspended and must get no new requests.
    pub fn is_suspended(&self, id: &str) -> bool {
        self.marks.get(id).is_some_and(|m| m.out)
    }

    /// Returns the server's start time: `listed`, the time from discovery (0: long ago), or the time of the last resume
    /// if that is later.
    pub fn started(&self, id: &str, listed: Millis) -> Millis {
        self.marks.get(id).filter(|m| !m.out).map_or(listed, |m| listed.max(m.at))
    }

    /// Returns the ids of the suspended servers.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.marks.iter().filter(|(_, m)| m.out).map(|(id, _)| id.as_str())
    }

    /// Returns all marks, to be stored or sent to another process.
    pub fn marks(&self) -> Marks {
        Marks(self.marks.clone())
    }

    /// Merges another process's marks. The later call for a server wins, so both processes converge in any order of
    /// delivery. Returns the ids whose marks were replaced; marks with a time that is not finite are ignored.
    pub fn merge(&mut self, marks: &Marks) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, mark) in &marks.0 {
            if !mark.at.is_finite() || self.marks.get(id).is_some_and(|mine| !mark.supersedes(*mine)) {
                continue;
            }
            self.mark(id, *mark);
            changed.push(id.clone());
        }
        changed
    }
}

#[cfg(test)]
mod tests;
