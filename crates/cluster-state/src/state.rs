//! The replicated table of servers and limiters. Merging rows is commutative and idempotent; followers request the changes
//! after a sequence number.
//!
//! Every process of the system holds one [`StateTable`]. Core machines write the heartbeats of servers and limiters into it;
//! all other processes only merge updates. A row carries the age of the last heartbeat instead of a timestamp, so machines
//! need no synchronized clocks.

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
    /// Accepts requests.
    pub const READY: u32 = 0;
    /// Finishes its requests in progress and accepts no new ones.
    pub const DRAINING: u32 = 1;
    /// Has announced that it stops.
    pub const LEFT: u32 = 2;
}

/// States of a limiter.
pub mod member_state {
    /// Has not yet learned enough state to accept clients.
    pub const STARTING: u32 = 0;
    /// Accepts clients.
    pub const READY: u32 = 1;
    /// Is about to stop.
    pub const LEAVING: u32 = 2;
}

/// How long the row of a server or limiter that has ended is kept, ms, so that a late heartbeat does not revive it.
const TOMBSTONE_LIFETIME: Millis = 120_000.0;
/// How long after its last heartbeat a limiter whose session has ended may still be active, ms.
const ACTIVE_AFTER_SESSION: Millis = 12_000.0;
/// Number of heartbeat intervals after which a new process has heard from all servers.
const WARM_INTERVALS: f64 = 2.5;
/// A server times out after this many heartbeat intervals plus [`TIMEOUT_SLACK`]: it tolerates three lost heartbeats and
/// leaves the fourth time to arrive.
const TIMEOUT_INTERVALS: f64 = 3.0;
/// Time for a heartbeat to arrive, added to the server timeout, ms.
const TIMEOUT_SLACK: Millis = 1000.0;
/// A server missing from a complete snapshot has ended if its row was not merged for this many heartbeat intervals plus
/// [`TIMEOUT_SLACK`].
const MISSING_INTERVALS: f64 = 4.0;
/// A session ends after this long without a heartbeat, ms.
pub const SESSION_TIMEOUT: Millis = 1700.0;
/// How long a limiter's observation of a server is used, ms. It is kept for twice as long, so that late updates of the same
/// observer are recognized as outdated.
const OBSERVATION_LIFETIME: Millis = 40_000.0;
/// Maximum number of observations kept.
const MAX_OBSERVATIONS: usize = 4096;
/// Maximum number of rows kept for servers that share an id but differ in service or address. Two are enough to make the
/// id contested.
const MAX_CLAIMS: usize = 8;

/// Result of merging a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The change affects how the server, limiter or observation is used. Holds the sequence number of the change.
    Changed(u64),
    /// Nothing changed, or only details such as the age or the heartbeat number.
    Unchanged,
}

/// A server's row with the age of its last heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct ServerStatus<'a> {
    /// The server's row.
    pub row: &'a ServerRow,
    /// Time since its last heartbeat, ms.
    pub age: Millis,
    /// Remaining warm-up time, ms.
    pub warmup_left: Millis,
}

/// The servers, limiters and observations known to this process.
#[derive(Debug)]
pub struct StateTable {
    epoch: u64,
    started_at: Millis,
    heartbeat_interval: Millis,
    /// Increases with each change.
    sequence: u64,
    /// Sequence number of the last change that affects the use of servers or limiters.
    change_sequence: u64,
    /// Sequence number of the last strong observation.
    observation_sequence: u64,
    /// Sequence number at which a limiter last reported a newer edition.
    last_applied: u64,
    /// Rows by id. Servers that share an id have one row each, sorted by service and address.
    servers: BTreeMap<String, Vec<Entry<ServerRow>>>,
    /// Invariant: XOR of the digests of all servers that have not ended.
    digest: u64,
    members: Rows<MemberRow>,
    /// Keyed by server, limiter and the limiter's incarnation.
    observations: Rows<ObservationRow>,
}

impl StateTable {
    /// Creates an empty table for a process that starts at `now`. `epoch` is a random number.
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

    /// Returns the random id of this table instance, never 0. Sequence numbers are valid within one epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the sequence number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the sequence number of the last change that affects the use of servers or limiters.
    pub fn change_sequence(&self) -> u64 {
        self.change_sequence
    }

    /// Returns the sequence number of the last strong observation. Observations do not change the lists of servers and
    /// limiters.
    pub fn observation_sequence(&self) -> u64 {
        self.observation_sequence
    }

    /// Returns the sequence number at which a limiter last reported a newer edition.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// Returns whether this process has run for long enough to have heard from all servers and limiters.
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

    /// Merges a server's row.
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

    /// Marks a server as left, under every service and address known for its id.
    pub fn mark_server_left(&mut self, now: Millis, id: &str) -> MergeResult {
        // `merge_claim` applies the state to the other claims of the id.
        let row = match self.servers.get(id).and_then(|claims| claims.first()) {
            Some(entry) => ServerRow { state: server_state::LEFT, ..(*entry.row).clone() },
            // Unknown here: the row keeps a late heartbeat from adding the server.
            None => ServerRow { id: id.to_owned(), state: server_state::LEFT, ..ServerRow::default() },
        };
        self.merge_server(now, &row)
    }

    /// Merges a limiter's row.
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

    /// Returns the names of limiters with a session that have not reported this edition or a later one as applied.
    pub fn limiters_behind(&self, now: Millis, edition: u64) -> impl Iterator<Item = &str> + '_ {
        let has_session =
            move |entry: &&Entry<MemberRow>| !entry.row.expired && now - entry.received_at < SESSION_TIMEOUT;
        let is_behind = move |entry: &&Entry<MemberRow>| entry.row.edition < edition;
        self.members.values().filter(has_session).filter(is_behind).map(|entry| &*entry.row.name)
    }

    /// Merges a limiter's observation of a server. Ignores observations that are too old, and new ones when the table is
    /// full.
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
            // Weak observations are sent with the next response: waking all followers for each would cost too much.
            self.observation_sequence = sequence;
        }
        MergeResult::Changed(sequence)
    }

    /// Returns the observations in use, each with its age, ms.
    pub fn observations(&self, now: Millis) -> impl Iterator<Item = (&ObservationRow, Millis)> + '_ {
        self.observations
            .values()
            .map(move |entry| (&*entry.row, now - entry.received_at))
            .filter(|(_, age)| *age < OBSERVATION_LIFETIME)
    }

    /// Merges another process's update. Returns whether this affects the use of servers or limiters.
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

    /// Times out the servers that a warm source's snapshot lacks and that were not merged here recently either.
    fn end_servers_missing_from(&mut self, now: Millis, snapshot: &StateUpdate) {
        let cutoff = now - MISSING_INTERVALS * self.heartbeat_interval - TIMEOUT_SLACK;
        let claim = |row: &ServerRow| {
            xxh3_64([&row.id, &row.service, &row.address].map(|field| &**field).join("\0").as_bytes())
        };
        let listed: BTreeSet<u64> = snapshot.servers.iter().map(claim).collect();
        let is_missing = |entry: &&Entry<ServerRow>| {
            entry.merged_at < cutoff && !entry.row.timed_out && !listed.contains(&claim(&entry.row))
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

    /// Returns the time without a heartbeat after which a server has timed out, ms.
    pub fn server_timeout(&self) -> Millis {
        TIMEOUT_INTERVALS * self.heartbeat_interval + TIMEOUT_SLACK
    }

    /// Times out servers and sessions, and removes rows that ended long ago. Returns whether this affects the use of servers
    /// or limiters.
    ///
    /// Only a warm core machine that has run without a pause may time out others. Timeouts count back from `in_touch_at`,
    /// when it was last in touch with a majority, because it may have missed heartbeats since; with `None` nothing is timed
    /// out.
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

    /// Returns the update for a follower that has merged all changes of `epoch` up to `seen`, or a snapshot if `epoch` is not
    /// the current one. With `every_change`, rows are included even if the change does not affect their use.
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

    /// Returns whether [`StateTable::update_since`] has changes to send. Without `every_change`, strong observations count
    /// only if `observations` is set, and weak ones never.
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

    /// Returns all server rows sorted by id, service and address, shared with the caller.
    pub fn server_rows(&self) -> impl Iterator<Item = &Arc<ServerRow>> + '_ {
        self.claims().map(|entry| &entry.row)
    }

    /// Returns a digest of the servers that have not ended. It does not depend on the order in which they were received.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all servers in the table, including ended ones, with the remaining warm-up time in ms. Servers that share an id
    /// are separate items.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = (&ServerRow, Millis)> + '_ {
        self.claims().map(move |entry| (&*entry.row, warmup_left(entry, now)))
    }

    /// Returns all servers in the table with the age of their last heartbeat and the remaining warm-up time.
    pub fn server_statuses(&self, now: Millis) -> impl Iterator<Item = ServerStatus<'_>> + '_ {
        self.claims().map(move |entry| ServerStatus {
            row: &entry.row,
            age: now - entry.received_at,
            warmup_left: warmup_left(entry, now),
        })
    }

    /// Returns all limiters in the table, including those whose session has ended, with the time since their last heartbeat
    /// in ms.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = (&MemberRow, Millis)> + '_ {
        self.members.values().map(move |entry| (&*entry.row, now - entry.received_at))
    }

    /// Returns the row of the limiter with this name.
    pub fn member(&self, name: &str) -> Option<&MemberRow> {
        self.members.get(name).map(|entry| &*entry.row)
    }

    /// Returns the sequence number of the last change that affects the use of this server, or 0 if it is unknown.
    pub fn changed_at(&self, id: &str) -> u64 {
        self.servers.get(id).into_iter().flatten().map(|entry| entry.changed).max().unwrap_or(0)
    }

    /// Returns the limiters that may be active: those with a session, and those whose last heartbeat is recent enough.
    pub fn active_limiters(&self, now: Millis) -> impl Iterator<Item = &MemberRow> + '_ {
        let is_active = move |entry: &&Entry<MemberRow>| {
            !entry.row.expired || now - entry.received_at < ACTIVE_AFTER_SESSION
        };
        self.members.values().filter(is_active).map(|entry| &*entry.row)
    }

    /// Returns the number of limiters that may be active.
    pub fn active_limiter_count(&self, now: Millis) -> u32 {
        self.active_limiters(now).count() as u32
    }
}

impl StateUpdate {
    /// Adds `by` ms to the age of all rows. The update no longer counts as a snapshot, since rows it lacks may have been added
    /// in the meantime.
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
