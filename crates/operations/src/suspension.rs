//! Which servers operators have taken out. A state of a server beside what discovery says of it, held by id.
//!
//! A call out may be repeated, and one call back ends it. In between nothing that discovery says matters: the server may
//! be listed as ready, gone, listed again, at another address, or not heard of at all. After the call back it
//! counts as started then: it has been restarted meanwhile, whatever its list says.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// A point in time, Unix ms.
pub type Millis = f64;

/// Ids ever listed that are remembered; of more, those first listed are forgotten, but none that is out.
pub const MAX_LISTED_IDS: usize = 65_536;
/// Calls back that are remembered, the latest: each is of use for as long as its server is cold.
pub const MAX_RESUMED_MARKS: usize = 4_096;

/// An id that was never listed: there is nothing to take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl std::fmt::Display for NeverListed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no such server was ever listed")
    }
}

impl std::error::Error for NeverListed {}

/// The last call for a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The server is out.
    pub out: bool,
    /// When that was said.
    pub at: Millis,
}

impl Mark {
    /// Which of two calls holds: the later one. Of two at one time the call out, as it does no harm.
    fn supersedes(self, other: Mark) -> bool {
        self.at > other.at || self.at == other.at && self.out && !other.out
    }
}

/// All that operators have said of servers, as it is stored and handed to another process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Marks(pub BTreeMap<String, Mark>);

/// The servers that are out, and the ids that may be named.
#[derive(Clone, Debug, Default)]
pub struct Suspensions {
    marks: BTreeMap<String, Mark>,
    listed: HashSet<String>,
    /// The ids listed, by when each first was.
    order: VecDeque<String>,
}

impl Suspensions {
    /// Discovery has named this server.
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

    /// Takes a server out from now on; whether it was in.
    ///
    /// # Errors
    /// When it was never listed.
    pub fn suspend(&mut self, now: Millis, id: &str) -> Result<bool, NeverListed> {
        self.require_known(id)?;
        let was_suspended = self.is_suspended(id);
        if !was_suspended {
            self.mark(id, Mark { out: true, at: self.next_time(now, id) });
        }
        Ok(!was_suspended)
    }

    /// Puts a server in again; whether it was out.
    ///
    /// # Errors
    /// When it was never listed.
    pub fn resume(&mut self, now: Millis, id: &str) -> Result<bool, NeverListed> {
        self.require_known(id)?;
        let was_suspended = self.is_suspended(id);
        if was_suspended {
            self.mark(id, Mark { out: false, at: self.next_time(now, id) });
        }
        Ok(was_suspended)
    }

    /// When a call made now counts as made: after the one before, should that have come from a process whose clock
    /// is ahead. Else the earlier call would hold again where both meet.
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

    /// Nothing new may go to this server.
    pub fn is_suspended(&self, id: &str) -> bool {
        self.marks.get(id).is_some_and(|m| m.out)
    }

    /// When this server counts as started, of which its list says `listed` (0: long ago): not before it was put in
    /// again.
    pub fn started(&self, id: &str, listed: Millis) -> Millis {
        self.marks.get(id).filter(|m| !m.out).map_or(listed, |m| listed.max(m.at))
    }

    /// The servers that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.marks.iter().filter(|(_, m)| m.out).map(|(id, _)| id.as_str())
    }

    /// All that was said, for another process.
    pub fn marks(&self) -> Marks {
        Marks(self.marks.clone())
    }

    /// Takes in what another process was told; of two calls for one server the later holds, so that both come to
    /// the same whatever the order. The ids whose state that changes.
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
