//! The consistency checker: sees only the results that clients got, not the state of voters or proposers.

use std::collections::BTreeSet;

/// The results that clients got so far.
#[derive(Default)]
pub(super) struct Checker {
    /// The longest history reported as chosen; every other reported one is a prefix of it.
    pub(super) longest_history: Vec<u32>,
    /// Changes reported as made.
    pub(super) acknowledged: BTreeSet<u32>,
    /// Changes reported as not made.
    pub(super) not_made_ids: BTreeSet<u32>,
}

impl Checker {
    /// Checks a reported history of this edition. `min_changes` is the number of changes it must contain at least.
    pub(super) fn check_history(
        &mut self,
        edition: u64,
        reported: &[u32],
        min_changes: usize,
    ) -> Result<(), String> {
        if edition != reported.len() as u64 {
            return Err(format!("edition {edition} for a history of {}", reported.len()));
        }
        if reported.len() < min_changes {
            return Err(format!("{reported:?} reported after {min_changes} changes were known to be made"));
        }
        let common = reported.len().min(self.longest_history.len());
        if reported[..common] != self.longest_history[..common] {
            return Err(format!("two histories: {reported:?} and {:?}", self.longest_history));
        }
        if reported.len() > self.longest_history.len() {
            self.longest_history = reported.to_vec();
        }
        if self.longest_history.iter().collect::<BTreeSet<_>>().len() < self.longest_history.len() {
            return Err(format!("a change made twice: {:?}", self.longest_history));
        }
        if let Some(id) = self.longest_history.iter().find(|id| self.not_made_ids.contains(id)) {
            return Err(format!(
                "change {id} is in {:?} although it was reported as not made",
                self.longest_history
            ));
        }
        Ok(())
    }

    /// Records that a change was reported as not made, and checks that it is in no history.
    pub(super) fn record_not_made(&mut self, id: u32) -> Result<(), String> {
        self.not_made_ids.insert(id);
        self.check_history(self.longest_history.len() as u64, &self.longest_history.clone(), 0)
    }

    /// Checks that the longest history contains all acknowledged changes.
    pub(super) fn check_complete(&self) -> Result<(), String> {
        match self.acknowledged.iter().find(|id| !self.longest_history.contains(id)) {
            Some(id) => Err(format!("the acknowledged change {id} is not in {:?}", self.longest_history)),
            None => Ok(()),
        }
    }
}
