//! Divides tenants' quotas among limiters during a network partition: limiters that count together share one part of each
//! quota, and separated limiters have parts of their own. No I/O; the current time is a parameter.
//!
//! Limiters that cannot reach each other keep separate counters, so each side would give out the whole quota. A quota is a
//! total over all machines, connected or not, so the parts of all sides have to add up to it in every partition.
//!
//! - A limiter connected to a majority of the core counts together with all limiters whose sessions are alive. Limiters whose
//!   session expired without notice may still be running: their parts are held back until they are removed from the table.
//! - A limiter without a majority cannot know which others count with it: it counts alone and gives out only its own part. It
//!   starts to do so before others take over the counters that it owned.
//!
//! Since two majorities overlap, at most one side is connected to a majority, and every limiter outside it has one part held
//! back there.

use oatbank_cluster_state::cluster_view::CONTACT_TIMEOUT;
use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::{member_state, Millis};

/// Time since its last heartbeat during which a limiter with an expired session keeps its counters, ms. The limiter may only be
/// cut off from the core, and others that took over at once would count in parallel with it. It counts alone from 1.5 s after it
/// last knew the core to be reachable, which may be 0.6 s after its last heartbeat. Until the takeover, calls for its counters
/// are not answered.
pub const OWNS_AFTER_SESSION: Millis = 2500.0;

/// How many limiters count together with this one, and how many may act separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPartition {
    /// Number of limiters that count together, including this one.
    pub connected: u32,
    /// Number of limiters that may act separately from them.
    pub separated: u32,
    /// Whether this limiter counts alone and calls no owner.
    pub is_alone: bool,
}

impl QuotaPartition {
    /// The partition from the view of the limiter of this name. `members` are the known limiters with the time since each was
    /// last heard, ms; `confirmed_ago` is the time since a majority of the core last confirmed the state, ms.
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

    /// Share of each quota that the limiters that count together give out, from 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.connected) / f64::from(self.connected + self.separated)
    }
}

/// Whether a limiter last heard `age` ms ago owns its counters. A limiter that is leaving does not: others take over before
/// it stops, and until then it still answers calls of limiters that have not seen the change.
pub fn owns_counters(row: &MemberRow, age: Millis) -> bool {
    row.state != member_state::LEAVING && (!row.expired || age < OWNS_AFTER_SESSION)
}
