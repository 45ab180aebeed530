//! Which part of each tenant's quota is given out here: limiters that count together give it out together, and those that are
//! separated divide it. No I/O; the time is handed in.
//!
//! Limiters that cannot reach each other keep counters of their own, so each side would give out the whole quota. A quota is a
//! sum over all machines, in touch or not: the parts of all sides have to add up to it, whichever they are.
//!
//! - A limiter in touch with a majority of the core counts with all whose sessions are alive. Those whose session expired
//!   without a word may still act: their parts are held back until they are forgotten.
//! - One that is not cannot know who counts with it: it gives out its own part alone, and counts by itself. That begins
//!   sooner than others take over the counters that it owned.
//!
//! The limiters of one side are in touch with one majority, so there is at most one such side, and each limiter that is not
//! on it has one part there.

use oatbank_cluster_state::cluster_view::CONTACT_TIMEOUT;
use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::{member_state, Millis};

/// A limiter whose session has expired is taken to own its counters until it was not heard for this long, ms: it may be cut off
/// from the core alone, and others that moved on at once would count beside it. It counts alone from 1.5 s after it last knew
/// that the core was in touch, which may be up to 0.6 s after it was heard; until others move on, nobody answers for what it owned.
pub const OWNS_AFTER_SESSION: Millis = 2500.0;

/// Which limiters count with this one, and which may act besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPartition {
    /// How many count together, this one included.
    pub connected: u32,
    /// How many may act separately from them.
    pub separated: u32,
    /// This limiter counts by itself, and asks nobody.
    pub is_alone: bool,
}

impl QuotaPartition {
    /// The partition as the limiter of this name sees it, from all limiters that are remembered with how long ago each was
    /// heard, and from how long ago a majority of the core was known to have been asked.
    pub fn of<'a>(
        name: &str,
        members: impl Iterator<Item = (&'a MemberRow, Millis)>,
        confirmed_ago: Option<Millis>,
    ) -> QuotaPartition {
        let (mut connected, mut separated) = (1, 0);
        for (row, _) in members.filter(|(row, _)| row.name != name) {
            if !row.expired {
                connected += 1;
            } else if row.state != member_state::LEAVING {
                separated += 1;
            }
        }
        if confirmed_ago.is_none_or(|ago| ago > CONTACT_TIMEOUT) {
            return QuotaPartition { connected: 1, separated: separated + connected - 1, is_alone: true };
        }
        QuotaPartition { connected, separated, is_alone: false }
    }

    /// The part of each quota that the limiters which count together give out.
    pub fn share(&self) -> f64 {
        f64::from(self.connected) / f64::from(self.connected + self.separated)
    }
}

/// Whether a limiter heard this long ago is taken to own its counters. One that says that it ends does not: it still answers
/// those who have not heard so, and others count on before it is gone.
pub fn owns_counters(row: &MemberRow, age: Millis) -> bool {
    row.state != member_state::LEAVING && (!row.expired || age < OWNS_AFTER_SESSION)
}
