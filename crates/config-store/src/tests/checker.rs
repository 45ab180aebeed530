//! The checker: knows what clients were told, and nothing of how it came about.

use std::collections::BTreeSet;

/// Knows what was told to callers, and nothing of how it came about.
#[derive(Default)]
pub(super) struct Checker {
    /// The longest history told as chosen; every other told one is a beginning of it.
    pub(super) chain: Vec<u32>,
    pub(super) acknowledged: BTreeSet<u32>,
    /// Changes told as not made.
    pub(super) not_made_ids: BTreeSet<u32>,
}

impl Checker {
    pub(super) fn reported(&mut self, edition: u64, reported: &[u32], floor: usize) -> Result<(), String> {
        if edition != reported.len() as u64 {
            return Err(format!("edition {edition} for a history of {}", reported.len()));
        }
        if reported.len() < floor {
            return Err(format!("told {reported:?} after {floor} changes were known to be made"));
        }
        let common = reported.len().min(self.chain.len());
        if reported[..common] != self.chain[..common] {
            return Err(format!("two chains: {reported:?} and {:?}", self.chain));
        }
        if reported.len() > self.chain.len() {
            self.chain = reported.to_vec();
        }
        if self.chain.iter().collect::<BTreeSet<_>>().len() < self.chain.len() {
            return Err(format!("a change made twice: {:?}", self.chain));
        }
        if let Some(id) = self.chain.iter().find(|id| self.not_made_ids.contains(id)) {
            return Err(format!("change {id} is in {:?} though it was told as not made", self.chain));
        }
        Ok(())
    }

    pub(super) fn not_made(&mut self, id: u32) -> Result<(), String> {
        self.not_made_ids.insert(id);
        self.reported(self.chain.len() as u64, &self.chain.clone(), 0)
    }

    pub(super) fn check_complete(&self) -> Result<(), String> {
        match self.acknowledged.iter().find(|id| !self.chain.contains(id)) {
            Some(id) => Err(format!("the acknowledged change {id} is not in {:?}", self.chain)),
            None => Ok(()),
        }
    }
}
