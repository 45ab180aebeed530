//! Mergeable rows: merging is commutative and idempotent.

use super::{server_state, Millis, MAX_CLAIMS};
use crate::messages::{MemberRow, ObservationRow, ServerRow};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// A warm-up that ends later than known by more than this counts as a new one and is sent to followers, ms.
const WARMUP_EXTENDED: u32 = 300;

/// A row that can be merged with another one about the same subject.
pub(super) trait Row: Clone {
    /// Merges a row of the same subject. Returns whether that affects the subject's use, or `None` if `other` adds nothing.
    /// `more_recent` tells whether the heartbeat behind `other` arrived later, and `since_merge` is the time since this row
    /// was last merged, ms, by which countdowns are reduced.
    fn merge(&mut self, other: &Self, more_recent: bool, since_merge: Millis) -> Option<bool>;

    /// Returns the time since the subject's last heartbeat at the moment the row was sent, ms.
    fn age_ms(&self) -> u32;

    /// Returns whether the subject has left or timed out.
    fn has_ended(&self) -> bool;

    /// Returns the row's contribution to the table's digest. It is 0 for a subject that has ended, because processes remove
    /// such rows at different times.
    fn digest(&self) -> u64;
}

impl ServerRow {
    /// Returns whether both rows name the same service and address. Neither changes within one incarnation of a server, so
    /// rows with the same id that differ in them belong to different servers.
    pub fn same_claim(&self, other: &ServerRow) -> bool {
        self.service == other.service && self.address == other.address
    }
}

impl Row for ServerRow {
    fn merge(&mut self, other: &Self, _: bool, since_merge: Millis) -> Option<bool> {
        let state = self.state.max(other.state);
        let is_newer = other.call_count > self.call_count;
        let timed_out = if is_newer {
            other.timed_out
        } else {
            self.timed_out || other.timed_out && other.call_count == self.call_count
        };
        if !is_newer && state == self.state && timed_out == self.timed_out {
            return None;
        }
        let before = self.clone();
        let warmup_left = (f64::from(before.warmup_ms) - since_merge).max(0.0).ceil() as u32;
        if is_newer {
            *self = other.clone();
        } else {
            self.warmup_ms = warmup_left;
        }
        (self.state, self.timed_out) = (state, timed_out);
        // A warm-up that counts down as known is no change. One that begins is, even during or after an earlier one.
        let warmup_begins = other.warmup_ms > warmup_left + WARMUP_EXTENDED;
        let same_use = (self.state, self.timed_out, self.slots)
            == (before.state, before.timed_out, before.slots)
            && self.zone == before.zone;
        Some(!same_use || is_newer && warmup_begins)
    }

    fn age_ms(&self) -> u32 {
        self.age_ms
    }

    fn has_ended(&self) -> bool {
        self.state == server_state::LEFT || self.timed_out
    }

    fn digest(&self) -> u64 {
        if self.has_ended() {
            return 0;
        }
        let state = self.state.to_string();
        let fields = [&self.id, &self.service, &self.address, &self.zone, &state];
        xxh3_64(fields.map(|field| &**field).join("\0").as_bytes())
    }
}

impl Row for MemberRow {
    fn merge(&mut self, other: &Self, more_recent: bool, _: Millis) -> Option<bool> {
        if other.incarnation != self.incarnation {
            // Of two incarnations, the one with the most recent heartbeat is the current one.
            return more_recent.then(|| {
                *self = other.clone();
                true
            });
        }
        let is_newer = other.heartbeat > self.heartbeat;
        let expired = if is_newer {
            other.expired
        } else {
            self.expired || other.expired && other.heartbeat == self.heartbeat
        };
        let state = if is_newer { other.state } else { self.state };
        if !is_newer && expired == self.expired {
            return None;
        }
        let has_changed = (state, expired) != (self.state, self.expired);
        if is_newer {
            *self = other.clone();
        }
        self.expired = expired;
        Some(has_changed)
    }

    fn age_ms(&self) -> u32 {
        self.age_ms
    }

    fn has_ended(&self) -> bool {
        self.expired
    }

    fn digest(&self) -> u64 {
        0
    }
}

impl Row for ObservationRow {
    fn merge(&mut self, other: &Self, _: bool, _: Millis) -> Option<bool> {
        // Each observation has a single writer, which numbers its updates.
        (other.seq > self.seq).then(|| {
            *self = other.clone();
            true
        })
    }

    fn age_ms(&self) -> u32 {
        self.ago
    }

    fn has_ended(&self) -> bool {
        false
    }

    fn digest(&self) -> u64 {
        0
    }
}

/// A row with the times and sequence numbers of its changes.
#[derive(Clone, Debug)]
pub(super) struct Entry<R> {
    /// Shared with snapshots of the table, and copied on write.
    pub(super) row: Arc<R>,
    /// [`Row::digest`] of the row.
    pub(super) digest: u64,
    /// Time of the subject's last heartbeat or observation.
    pub(super) received_at: Millis,
    /// Time of the last merge, from which the warm-up counts down.
    pub(super) merged_at: Millis,
    /// The table's sequence number at the last change that affects the subject's use.
    pub(super) changed: u64,
    /// The table's sequence number at the last change of any kind.
    pub(super) touched: u64,
}

pub(super) type Rows<R> = BTreeMap<String, Entry<R>>;

impl<R: Row> Entry<R> {
    pub(super) fn new(row: &R, now: Millis, sequence: u64) -> Self {
        Entry {
            row: Arc::new(row.clone()),
            digest: row.digest(),
            received_at: now - f64::from(row.age_ms()),
            merged_at: now,
            changed: sequence,
            touched: sequence,
        }
    }

    /// Merges a row of the same subject. Returns whether that affects the subject's use, or `None` if the row adds nothing.
    pub(super) fn merge(&mut self, row: &R, now: Millis, sequence: u64) -> Option<bool> {
        let received_at = now - f64::from(row.age_ms());
        let since_merge = now - self.merged_at;
        let more_recent = received_at > self.received_at;
        let has_changed = R::merge(Arc::make_mut(&mut self.row), row, more_recent, since_merge)?;
        self.received_at = self.received_at.max(received_at);
        self.merged_at = now;
        self.touched = sequence;
        if has_changed {
            self.changed = sequence;
            self.digest = self.row.digest();
        }
        Some(has_changed)
    }

    /// Returns [`Entry::touched`] with `every_change`, otherwise [`Entry::changed`].
    pub(super) fn sequence(&self, every_change: bool) -> u64 {
        if every_change {
            self.touched
        } else {
            self.changed
        }
    }
}

/// Merges a row into the table entry with its name, and adds the entry if there is none. Returns as [`Entry::merge`] does.
pub(super) fn merge_row<R: Row>(
    rows: &mut Rows<R>,
    name: &str,
    row: &R,
    now: Millis,
    sequence: u64,
) -> Option<bool> {
    match rows.get_mut(name) {
        Some(entry) => entry.merge(row, now, sequence),
        None => {
            rows.insert(name.to_owned(), Entry::new(row, now, sequence));
            Some(true)
        }
    }
}

/// Returns the combined digest of rows, independent of their order.
pub(super) fn digest<R>(entries: &[Entry<R>]) -> u64 {
    entries.iter().fold(0, |digest, entry| digest ^ entry.digest)
}

/// Merges a row into the claims of its id. Servers with the same id that differ in service or address are kept as separate
/// claims, and none replaces another. Once one claim has left, all claims of the id have left. Returns as [`Entry::merge`]
/// does.
pub(super) fn merge_claim(
    claims: &mut Vec<Entry<ServerRow>>,
    row: &ServerRow,
    now: Millis,
    sequence: u64,
) -> Option<bool> {
    let mut merged = match claims.iter_mut().find(|entry| entry.row.same_claim(row)) {
        Some(entry) => entry.merge(row, now, sequence),
        None => {
            claims.push(Entry::new(row, now, sequence));
            claims.sort_by(|a, b| (&a.row.service, &a.row.address).cmp(&(&b.row.service, &b.row.address)));
            Some(true)
        }
    };
    if claims.len() > 1 && claims.iter().any(|entry| entry.row.state == server_state::LEFT) {
        for entry in claims.iter_mut().filter(|entry| entry.row.state != server_state::LEFT) {
            Arc::make_mut(&mut entry.row).state = server_state::LEFT;
            (entry.digest, entry.merged_at) = (0, now);
            (entry.changed, entry.touched) = (sequence, sequence);
            merged = Some(true);
        }
    }
    if claims.len() > MAX_CLAIMS {
        let removed = claims.iter().position(|entry| entry.row.has_ended()).unwrap_or(MAX_CLAIMS);
        claims.remove(removed);
    }
    merged
}
