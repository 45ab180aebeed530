//! Which part of each tenant's quota is given out here: what limiters count together they give out together, and those
//! that are apart divide the quota. No I/O; time is handed in.
//!
//! Limiters that cannot reach each other keep numbers of their own, so each side would give out the whole. A quota is a
//! sum over all machines, in touch or not: the parts of all sides have to add up to it, whichever they are.
//!
//! - Who is in touch with a majority of the core counts with all whose sessions stand. Those whose session ended without a
//!   word may act on: their parts are held back, until they are forgotten.
//! - Who is not knows of nobody whether it counts with them: it gives out its own part alone, and counts by itself. That
//!   begins sooner than others take over the numbers that it kept.
//!
//! A side's limiters are in touch with one majority, so there is one such side at most, and whoever is not on it has one
//! part each there.

use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::replication::IN_TOUCH;
use oatbank_cluster_state::state::{member_state, Millis};

/// A limiter whose session ended is taken to keep its numbers for this long, ms: it may be cut off from the core alone, and
/// others that moved on at once would count beside it.
pub const STILL_KEEPS: Millis = 4000.0;

/// Who counts with this limiter, itself among them, and who may act besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Those that count together.
    pub together: u32,
    /// Those that may act apart from them.
    pub apart: u32,
    /// It counts by itself, and asks nobody.
    pub alone: bool,
}

impl Reach {
    /// As the limiter of this name sees it, from all limiters that are remembered with how long ago each was heard, and from
    /// how long ago a majority of the core was known to have been asked.
    pub fn of<'a>(
        name: &str,
        members: impl Iterator<Item = (&'a MemberRow, Millis)>,
        fresh_ago: Option<Millis>,
    ) -> Reach {
        let (mut together, mut apart) = (1, 0);
        for row in members.filter(|(row, _)| row.name != name).map(|(row, _)| row) {
            match row {
                row if !row.lapsed => together += 1,
                // It has said that it ends.
                row if row.state == member_state::LEAVING => {}
                _ => apart += 1,
            }
        }
        match fresh_ago.is_none_or(|ago| ago > IN_TOUCH) {
            true => Reach { together: 1, apart: apart + together - 1, alone: true },
            false => Reach { together, apart, alone: false },
        }
    }

    /// The part of each quota that those who count together give out.
    pub fn part(&self) -> f64 {
        f64::from(self.together) / f64::from(self.together + self.apart)
    }
}

/// Whether this limiter is taken to keep its numbers.
pub fn counts(row: &MemberRow, ago: Millis) -> bool {
    !row.lapsed || ago < STILL_KEEPS
}
