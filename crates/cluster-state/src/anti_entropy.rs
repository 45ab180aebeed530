//! Anti-entropy: whether a follower and its source hold the same, and when to take a full snapshot. The time is handed in.
//!
//! An update can be lost in ways that no sequence number shows: a source's table was wiped, or the end of a server was
//! inferred from a snapshot that lacked it. Both sides compute the digest of what they hold. If the digests differ at one
//! edition, with all updates merged, for longer than updates travel, the follower takes a snapshot.

use crate::state::Millis;

/// Updates travel for no longer than this, ms: a follower that differs for longer takes a snapshot.
pub const SNAPSHOT_AFTER: Millis = 3000.0;
/// Two processes in touch name different owners for no longer than this, ms. A process that has not been found to agree
/// with its source for longer confirms nothing for contested names.
pub const MAX_DIVERGENCE: Millis = 5000.0;
/// The wait doubles after a snapshot that did not help, up to this, ms: the source may lack something that others know.
const LONGEST_WAIT: Millis = 48_000.0;

/// How one follower compares with its source.
#[derive(Clone, Copy, Debug)]
pub struct SourceAgreement {
    agreed_at: Millis,
    differs_since: Option<Millis>,
    wait: Millis,
}

impl SourceAgreement {
    /// A process that starts now differs from nobody yet.
    pub fn new(now: Millis) -> Self {
        SourceAgreement { agreed_at: now, differs_since: None, wait: SNAPSHOT_AFTER }
    }

    /// All of the source's updates were merged, and the digests are the same or not. Returns whether to take a snapshot.
    pub fn on_update(&mut self, now: Millis, is_same: bool) -> bool {
        if is_same {
            *self = SourceAgreement::new(now);
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let takes_snapshot = now - since >= self.wait;
        if takes_snapshot {
            self.differs_since = Some(now);
            self.wait = (2.0 * self.wait).min(LONGEST_WAIT);
        }
        takes_snapshot
    }

    /// Whether it was not found to agree for too long, because it differs or because it hears nothing.
    pub fn has_diverged(&self, now: Millis) -> bool {
        now - self.agreed_at > MAX_DIVERGENCE
    }
}

#[cfg(test)]
mod tests;
