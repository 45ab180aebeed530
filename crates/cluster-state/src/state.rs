//! What is known of servers and limiters: rows that merge, in whichever order and however often they come, and a sequence
//! number by which followers ask for what they lack.
//!
//! Every process of the system holds one [`StateTable`]. Core machines write the heartbeats of servers and limiters into it;
//! all others only merge. A row says how long ago its subject was heard, never when: machines need not agree on the time.

mod row;
#[cfg(test)]
mod tests;

use crate::messages::{MemberRow, ObservationRow, ServerRow, StateUpdate};
use row::{digest, merge_claim, merge_row, Entry, Row, Rows};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// A duration, or a point on this process's monotonic clock, in ms.
pub type Millis = f64;

/// States of a server, in the order in which it passes through them.
pub mod server_state {
    /// Takes requests.
    pub const READY: u32 = 0;
    /// Drains: finishes the requests it has.
    pub const DRAINING: u32 = 1;
    /// Has said that it ends.
    pub const LEFT: u32 = 2;
}

/// States of a limiter.
pub mod member_state {
    /// Does not know enough yet.
    pub const STARTING: u32 = 0;
    /// Takes clients.
    pub const READY: u32 = 1;
    /// Is about to end.
    pub const LEAVING: u32 = 2;
}

/// How long a subject that has ended is remembered, ms: its late heartbeats must find that.
const TOMBSTONE_LIFETIME: Millis = 120_000.0;
/// A limiter whose session has ended may still be active for this long, ms.
const ACTIVE_AFTER_SESSION: Millis = 12_000.0;
/// A process knows all servers once it has listened for so many heartbeat intervals.
const WARM_INTERVALS: f64 = 2.5;
/// A server has timed out after so many heartbeat intervals and [`TIMEOUT_SLACK`]: three heartbeats were lost, and a fourth
/// had the time to arrive.
const TIMEOUT_INTERVALS: f64 = 3.0;
/// See [`TIMEOUT_INTERVALS`], ms.
const TIMEOUT_SLACK: Millis = 1000.0;
/// A server that a complete snapshot lacks has ended if it was not heard for so many intervals and [`TIMEOUT_SLACK`].
const MISSING_INTERVALS: f64 = 4.0;
/// A session ends after this long without a heartbeat, ms.
pub const SESSION_TIMEOUT: Millis = 1700.0;
/// What a limiter has observed of a server counts for this long, ms, and is remembered for as long again, so that its late
/// updates find something newer.
const OBSERVATION_LIFETIME: Millis = 40_000.0;
/// The most observations that are held.
const MAX_OBSERVATIONS: usize = 4096;
/// Servers that use one id and name different services or addresses are told apart up to this number. More of them
/// change nothing: the id is contested with two.
const MAX_CLAIMS: usize = 8;

/// What merging a row has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// What the subject is used for, as of this sequence number.
    Changed(u64),
    /// Nothing that anything hangs on.
    Unchanged,
}

/// A server, and how long ago it was received.
#[derive(Clone, Copy, Debug)]
pub struct ServerStatus<'a> {
    /// Its row.
    pub row: &'a ServerRow,
    /// How long ago it was heard, ms.
    pub age: Millis,
    /// How much longer it warms up, ms.
    pub warmup_left: Millis,
}

/// Servers and limiters as known to this process.
#[derive(Debug)]
pub struct StateTable {
    epoch: u64,
    started_at: Millis,
    heartbeat_interval: Millis,
    /// Rises with each change.
    sequence: u64,
    /// The sequence number of the last change of what servers or limiters are used for.
    change_sequence: u64,
    /// The sequence number of the last strong observation.
    observation_sequence: u64,
    /// The sequence number at which a limiter last reported a newer edition.
    last_applied: u64,
    /// By id, in the order of service and address where servers that differ use one id.
    servers: BTreeMap<String, Vec<Entry<ServerRow>>>,
    /// Invariant: the digest of all servers that have not ended.
    digest: u64,
    members: Rows<MemberRow>,
    /// By server, limiter and the limiter's incarnation.
    observations: Rows<ObservationRow>,
}

impl StateTable {
    /// An empty table of a process that starts now; `epoch` is random.
    pub fn new(epoch: u64, heartbeat_interval: Millis, now: Millis) -> Self {
        StateTable {
            epoch: epoch.max(1),
            started_at: now,
            heartbeat_interval,
            sequence: 1,
            change_sequence: 1,
            observation_sequence: 0,
            last_applied: 0,
            servers: BTreeMap::new(),
            digest: 0,
            members: Rows::new(),
            observations: Rows::new(),
        }
    }

    /// This incarnation of the table, never 0: sequence numbers count within it.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Rises with each change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Rises with each change of what servers or limiters are used for.
    pub fn change_sequence(&self) -> u64 {
        self.change_sequence
    }

    /// Rises with strong observations: these alone change no list.
    pub fn observation_sequence(&self) -> u64 {
        self.observation_sequence
    }

    /// The sequence number at which a limiter last reported a newer edition.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// Whether this process has listened for long enough to know all servers and limiters.
    pub fn is_warm(&self, now: Millis) -> bool {
        now - self.started_at >= WARM_INTERVALS * self.heartbeat_interval
    }

    fn record(&mut self, sequence: u64, merged: Option<bool>) -> MergeResult {
        let Some(has_changed) = merged else { return MergeResult::Unchanged };
        self.sequence = sequence;
        if !has_changed {
            return MergeResult::Unchanged;
        }
        self.change_sequence = sequence;
        MergeResult::Changed(sequence)
    }

    /// Merges one row of a server.
    pub fn merge_server(&mut self, now: Millis, row: &ServerRow) -> MergeResult {
        let sequence = self.sequence + 1;
        if !self.servers.contains_key(&row.id) {
            self.servers.insert(row.id.clone(), Vec::with_capacity(1));
        }
        let Some(claims) = self.servers.get_mut(&row.id) else { return MergeResult::Unchanged };
        let digest_before = digest(claims);
        let merged = merge_claim(claims, row, now, sequence);
        self.digest ^= digest_before ^ digest(claims);
        self.record(sequence, merged)
    }

    /// A server has said that it ends.
    pub fn mark_server_left(&mut self, now: Millis, id: &str) -> MergeResult {
        // One of its claims stands for all of them.
        let row = match self.servers.get(id).and_then(|claims| claims.first()) {
            Some(entry) => ServerRow { state: server_state::LEFT, ..(*entry.row).clone() },
            // Never heard of here: its late heartbeats must find that it has left.
            None => ServerRow { id: id.to_owned(), state: server_state::LEFT, ..ServerRow::default() },
        };
        self.merge_server(now, &row)
    }

    /// Merges one row of a limiter.
    pub fn merge_member(&mut self, now: Millis, row: &MemberRow) -> MergeResult {
        let sequence = self.sequence + 1;
        let edition = |members: &Rows<MemberRow>| members.get(&row.name).map_or(0, |entry| entry.row.edition);
        let edition_before = edition(&self.members);
        let merged = merge_row(&mut self.members, &row.name, row, now, sequence);
        if merged.is_some() && edition(&self.members) > edition_before {
            self.last_applied = sequence;
        }
        self.record(sequence, merged)
    }

    /// Names of limiters with a session that are not known to have applied this edition.
    pub fn limiters_behind(&self, now: Millis, edition: u64) -> impl Iterator<Item = &str> + '_ {
        let has_session =
            move |entry: &&Entry<MemberRow>| !entry.row.expired && now - entry.received_at < SESSION_TIMEOUT;
        let is_behind = move |entry: &&Entry<MemberRow>| entry.row.edition < edition;
        self.members.values().filter(has_session).filter(is_behind).map(|entry| &*entry.row.name)
    }

    /// Merges what a limiter has observed of a server, unless it is too old to count.
    pub fn merge_observation(&mut self, now: Millis, row: &ObservationRow) -> MergeResult {
        if f64::from(row.ago) >= OBSERVATION_LIFETIME {
            return MergeResult::Unchanged;
        }
        self.observations.retain(|_, entry| now - entry.received_at < 2.0 * OBSERVATION_LIFETIME);
        let name = format!("{}/{}/{:x}", row.server, row.observer, row.incarnation);
        if self.observations.len() >= MAX_OBSERVATIONS && !self.observations.contains_key(&name) {
            return MergeResult::Unchanged;
        }
        let sequence = self.sequence + 1;
        if merge_row(&mut self.observations, &name, row, now, sequence).is_none() {
            return MergeResult::Unchanged;
        }
        self.sequence = sequence;
        if row.is_strong() {
            // A weak one goes along with the next call: to wake all followers for it costs more than it is worth.
            self.observation_sequence = sequence;
        }
        MergeResult::Changed(sequence)
    }

    /// What limiters have observed of servers, with how long ago, ms.
    pub fn observations(&self, now: Millis) -> impl Iterator<Item = (&ObservationRow, Millis)> + '_ {
        self.observations
            .values()
            .map(move |entry| (&*entry.row, now - entry.received_at))
            .filter(|(_, age)| *age < OBSERVATION_LIFETIME)
    }

    /// Merges the update of another process; whether it changes what servers or limiters are used for.
    pub fn merge_update(&mut self, now: Millis, update: &StateUpdate) -> bool {
        let before = self.change_sequence;
        for row in &update.servers {
            self.merge_server(now, row);
        }
        for row in &update.members {
            self.merge_member(now, row);
        }
        for row in &update.observations {
            self.merge_observation(now, row);
        }
        if update.is_snapshot && update.source_is_warm {
            self.end_servers_missing_from(now, update);
        }
        self.change_sequence != before
    }

    /// A server that a source which knows all of them lacks, and that was not heard here of late either, has ended.
    fn end_servers_missing_from(&mut self, now: Millis, snapshot: &StateUpdate) {
        let old = now - MISSING_INTERVALS * self.heartbeat_interval - TIMEOUT_SLACK;
        let claim = |row: &ServerRow| {
            xxh3_64([&row.id, &row.service, &row.address].map(|field| &**field).join("\0").as_bytes())
        };
        let listed: BTreeSet<u64> = snapshot.servers.iter().map(claim).collect();
        let is_missing = |entry: &&Entry<ServerRow>| {
            entry.merged_at < old && !entry.row.timed_out && !listed.contains(&claim(&entry.row))
        };
        self.time_out_servers(now, is_missing);
    }

    fn time_out_servers(&mut self, now: Millis, applies: impl Fn(&&Entry<ServerRow>) -> bool) {
        let timed_out = |entry: &Entry<ServerRow>| ServerRow { timed_out: true, ..(*entry.row).clone() };
        let rows: Vec<ServerRow> = self.claims().filter(applies).map(timed_out).collect();
        for row in &rows {
            self.merge_server(now, row);
        }
    }

    /// A server has timed out after this long without a heartbeat, ms.
    pub fn server_timeout(&self) -> Millis {
        TIMEOUT_INTERVALS * self.heartbeat_interval + TIMEOUT_SLACK
    }

    /// Times out servers and sessions, and forgets what has ended long ago; whether anything has changed. Only a core machine
    /// that has run without a pause and is warm may time out others, and as of a moment `in_touch_at` at which it was in
    /// touch with a majority: what it could not have heard since does not count as missing.
    pub fn expire(&mut self, now: Millis, in_touch_at: Option<Millis>) -> bool {
        let before = self.change_sequence;
        if let Some(in_touch_at) = in_touch_at {
            let deadline = in_touch_at - self.server_timeout();
            self.time_out_servers(now, |entry| entry.received_at < deadline && !entry.row.has_ended());
            self.expire_sessions(now, in_touch_at - SESSION_TIMEOUT);
        }
        self.servers.retain(|_, claims| {
            claims.retain(|entry| !entry.row.has_ended() || now - entry.merged_at < TOMBSTONE_LIFETIME);
            !claims.is_empty()
        });
        self.members.retain(|_, entry| !entry.row.expired || now - entry.merged_at < TOMBSTONE_LIFETIME);
        self.change_sequence != before
    }

    fn expire_sessions(&mut self, now: Millis, deadline: Millis) {
        let rows: Vec<MemberRow> = self
            .members
            .values()
            .filter(|entry| entry.received_at < deadline && !entry.row.expired)
            .map(|entry| MemberRow { expired: true, ..(*entry.row).clone() })
            .collect();
        for row in &rows {
            self.merge_member(now, row);
        }
    }

    /// What a follower lacks that has merged all changes of `epoch` up to `seen`; a snapshot if that is not this epoch.
    /// `every_change`: not only what changes the use of servers and limiters.
    pub fn update_since(&self, now: Millis, epoch: u64, seen: u64, every_change: bool) -> StateUpdate {
        let is_snapshot = epoch != self.epoch || seen > self.sequence;
        let from = if is_snapshot { 0 } else { seen };
        let age_ms = |at: Millis| (now - at).clamp(0.0, 1e9) as u32;
        let server = |entry: &Entry<ServerRow>| ServerRow {
            age_ms: age_ms(entry.received_at),
            warmup_ms: warmup_left(entry, now) as u32,
            ..(*entry.row).clone()
        };
        let member = |entry: &Entry<MemberRow>| MemberRow {
            age_ms: age_ms(entry.received_at),
            ..(*entry.row).clone()
        };
        let observation = |entry: &Entry<ObservationRow>| ObservationRow {
            ago: age_ms(entry.received_at),
            ..(*entry.row).clone()
        };
        let servers = self.claims().filter(|entry| entry.sequence(every_change) > from);
        let members = self.members.values().filter(|entry| entry.sequence(every_change) > from);
        let observations = self
            .observations
            .values()
            .filter(|entry| entry.changed > from && now - entry.received_at < OBSERVATION_LIFETIME);
        StateUpdate {
            epoch: self.epoch,
            seen: self.sequence,
            is_snapshot,
            source_is_warm: self.is_warm(now),
            digest: self.digest,
            servers: servers.map(server).collect(),
            members: members.map(member).collect(),
            observations: observations.map(observation).collect(),
            ..StateUpdate::default()
        }
    }

    /// Whether [`StateTable::update_since`] would not be empty; with `observations`, strong ones count as well.
    pub fn has_update_since(&self, epoch: u64, seen: u64, every_change: bool, observations: bool) -> bool {
        let last = match (every_change, observations) {
            (true, _) => self.sequence,
            (false, true) => self.change_sequence.max(self.observation_sequence),
            (false, false) => self.change_sequence,
        };
        epoch != self.epoch || seen > self.sequence || seen < last
    }

    fn claims(&self) -> impl Iterator<Item = &Entry<ServerRow>> + '_ {
        self.servers.values().flatten()
    }

    /// All rows of servers, in the order of id, service and address, for a snapshot to share.
    pub fn server_rows(&self) -> impl Iterator<Item = &Arc<ServerRow>> + '_ {
        self.claims().map(|entry| &entry.row)
    }

    /// A digest of the servers that have not ended: the same in each process that knows the same, in whichever order it
    /// was received.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All servers that are remembered, each claim of an id by itself, with how much longer they warm up, ms.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = (&ServerRow, Millis)> + '_ {
        self.claims().map(move |entry| (&*entry.row, warmup_left(entry, now)))
    }

    /// The same, with how long ago each was received.
    pub fn server_statuses(&self, now: Millis) -> impl Iterator<Item = ServerStatus<'_>> + '_ {
        self.claims().map(move |entry| ServerStatus {
            row: &entry.row,
            age: now - entry.received_at,
            warmup_left: warmup_left(entry, now),
        })
    }

    /// Limiters, with how long ago each was heard, ms.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = (&MemberRow, Millis)> + '_ {
        self.members.values().map(move |entry| (&*entry.row, now - entry.received_at))
    }

    /// The limiter of this name.
    pub fn member(&self, name: &str) -> Option<&MemberRow> {
        self.members.get(name).map(|entry| &*entry.row)
    }

    /// The sequence number at which a server last changed in what it is used for; 0 if it is not known.
    pub fn changed_at(&self, id: &str) -> u64 {
        self.servers.get(id).into_iter().flatten().map(|entry| entry.changed).max().unwrap_or(0)
    }

    /// Limiters that may be active: those with a session, and those whose session ended a short while ago.
    pub fn active_limiters(&self, now: Millis) -> impl Iterator<Item = &MemberRow> + '_ {
        let is_active = move |entry: &&Entry<MemberRow>| {
            !entry.row.expired || now - entry.received_at < ACTIVE_AFTER_SESSION
        };
        self.members.values().filter(is_active).map(|entry| &*entry.row)
    }

    /// How many limiters may be active.
    pub fn active_limiter_count(&self, now: Millis) -> u32 {
        self.active_limiters(now).count() as u32
    }
}

impl StateUpdate {
    /// Adds `by` ms to the age of everything in it, and makes it no snapshot: what it lacks may have come since.
    pub fn add_age(&mut self, by: u32) {
        self.is_snapshot = false;
        for row in &mut self.servers {
            row.age_ms = row.age_ms.saturating_add(by);
            row.warmup_ms = row.warmup_ms.saturating_sub(by);
        }
        for row in &mut self.members {
            row.age_ms = row.age_ms.saturating_add(by);
        }
        for row in &mut self.observations {
            row.ago = row.ago.saturating_add(by);
        }
    }
}

fn warmup_left(entry: &Entry<ServerRow>, now: Millis) -> Millis {
    (f64::from(entry.row.warmup_ms) - (now - entry.merged_at)).max(0.0)
}
