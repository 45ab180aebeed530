//! The consistency checker: sees only the results that clients got, not the state of voters or proposers.

use std::collections::BTreeSet;

/// The results that clients got so far.
#[derive(Default)]
pub(super) struct Checker {
    /// The longest history reported as chosen; every other reported one is a prefix of it.
    pub(super) chain: Vec<u32>,
    /// Changes reported as made.
    pub(super) acknowledged: BTreeSet<u32>,
    /// Changes reported as not made.
    pub(super) not_made_ids: BTreeSet<u32>,
}

impl Checker {
    /// Checks a reported history of this edition. `floor` is the number of changes it must contain at least.
    pub(super) fn reported(&mut self, edition: u64, reported: &[u32], floor: usize) -> Result<(), String> {
        if edition != reported.len() as u64 {
            return Err(format!("edition {edition} for a history of {}", reported.len()));
        }
        if reported.len() < floor {
            return Err(format!("{reported:?} reported after {floor} changes were known to be made"));
        }
        let common = reported.len().min(self.chain.len());
        if reported[..common] != self.chain[..common] {
            return Err(format!("two histories: {reported:?} and {:?}", self.chain));
        }
        if reported.len() > self.chain.len() {
            self.chain = reported.to_vec();
        }
        if self.chain.iter().collect::<BTreeSet<_>>().len() < self.chain.len() {
            return Err(format!("a change made twice: {:?}", self.chain));
        }
        if let Some(id) = self.chain.iter().find(|id| self.not_made_ids.contains(id)) {
            return Err(format!("change {id} is in {:?} although it was reported as not made", self.chain));
        }
        Ok(())
    }

    /// Records that a change was reported as not made, and checks that it is in no history.
    pub(super) fn not_made(&mut self, id: u32) -> Result<(), String> {
        self.not_made_ids.insert(id);
        self.reported(self.chain.len() as u64, &self.chain.clone(), 0)
    }

    /// Checks that the longest history contains all acknowledged changes.
    pub(super) fn check_complete(&self) -> Result<(), String> {
        match self.acknowledged.iter().find(|id| !self.chain.contains(id)) {
            Some(id) => Err(format!("the acknowledged change {id} is not in {:?}", self.chain)),
            None => Ok(()),
        }
    }
}
