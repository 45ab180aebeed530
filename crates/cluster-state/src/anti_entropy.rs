//! Anti-entropy: detects that a follower and its source hold different servers, and decides when to take a full snapshot.
//! Callers pass in the time.
//!
//! Sequence numbers do not reveal every lost update: a source's table may have been wiped, or the end of a server may have
//! been inferred from a snapshot that lacked it. Both sides therefore compute a digest of their servers. If the digests
//! differ at the same edition, with all updates merged, for longer than updates take to propagate, the follower takes a
//! snapshot.

use crate::state::Millis;

/// Upper bound of the propagation time of updates, ms. A follower that differs for longer takes a snapshot.
pub const SNAPSHOT_AFTER: Millis = 3000.0;
/// Longest time for which two connected processes may name different owners, ms. A process that has not agreed with its
/// source for longer confirms no contested names.
pub const MAX_DIVERGENCE: Millis = 5000.0;
/// Upper bound of the wait before the next snapshot, ms. The wait doubles after a snapshot that did not remove the
/// difference, since the source may lack rows that other processes have.
const MAX_SNAPSHOT_WAIT: Millis = 48_000.0;

/// Tracks whether one follower holds the same servers as its source.
#[derive(Clone, Copy, Debug)]
pub struct SourceAgreement {
    agreed_at: Millis,
    differs_since: Option<Millis>,
    wait: Millis,
}

impl SourceAgreement {
    /// Creates the state of a follower that agrees with its source at `now`.
    pub fn new(now: Millis) -> Self {
        SourceAgreement { agreed_at: now, differs_since: None, wait: SNAPSHOT_AFTER }
    }

    /// Records whether the digests are the same after all of the source's updates were merged. Returns whether to take a
    /// snapshot.
    pub fn on_update(&mut self, now: Millis, is_same: bool) -> bool {
        if is_same {
            *self = SourceAgreement::new(now);
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let takes_snapshot = now - since >= self.wait;
        if takes_snapshot {
            self.differs_since = Some(now);
            self.wait = (2.0 * self.wait).min(MAX_SNAPSHOT_WAIT);
        }
        takes_snapshot
    }

    /// Returns whether the last agreement is more than [`MAX_DIVERGENCE`] ago, because of a difference or because no updates
    /// arrive.
    pub fn has_diverged(&self, now: Millis) -> bool {
        now - self.agreed_at > MAX_DIVERGENCE
    }
}

#[cfg(test)]
mod tests;
