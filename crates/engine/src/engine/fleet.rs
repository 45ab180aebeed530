//! The known servers, by the ids that the decision module uses.

use crate::ports::membership::{Member, News};
use oatbank_limiter_core::interface::{ListUpdate, Millis, ServerEntry, ServerId, ServerState};
use oatbank_operations::suspension::{Marks, NeverListed, Suspensions};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

struct KnownServer {
    address: SocketAddr,
    /// Entry as listed, before suspensions, exclusions and shares are applied.
    entry: ServerEntry,
    id: Arc<str>,
}

/// Share of each zone's servers that a limiter may use. Limiters at evenly spaced places use a server in exactly that
/// proportion.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share from 0 to 1 by the zone's index in the names; zones without an entry are used fully.
    pub parts: HashMap<u16, f64>,
    /// Position of this limiter among all, from 0 to below 1.
    pub place: f64,
}

impl Shares {
    fn excludes(&self, id: &str, zone: u16) -> bool {
        let Some(part) = self.parts.get(&zone) else { return false };
        let begins = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as f64 / 2f64.powi(64);
        (begins + self.place).fract() >= *part
    }
}

/// Servers by id of the decision module, with the overrides that apply to them.
pub(super) struct Fleet {
    known: HashMap<ServerId, KnownServer>,
    /// Server numbers by id, kept while a server is known.
    numbers: HashMap<String, ServerId>,
    /// Suspensions by operators: override the list and persist whether or not a server is listed.
    suspensions: Suspensions,
    /// Servers excluded by configuration, which an operator's resume does not put back.
    excluded: BTreeSet<String>,
    /// Zones of which only a share is used.
    shares: Shares,
    /// Hash that gives the n-th candidate number of an id.
    hash: fn(&str, u64) -> u64,
}

impl Default for Fleet {
    fn default() -> Self {
        let hash = |id: &str, nth| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), nth);
        let suspensions = Suspensions::default();
        Fleet {
            known: HashMap::new(),
            numbers: HashMap::new(),
            suspensions,
            excluded: BTreeSet::new(),
            shares: Shares::default(),
            hash,
        }
    }
}

impl Fleet {
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Name and address of a server.
    pub(super) fn address(&self, server: ServerId) -> Option<(Arc<str>, SocketAddr)> {
        self.known.get(&server).map(|s| (s.id.clone(), s.address))
    }

    /// Name and last start, Unix ms, of a server.
    pub(super) fn started(&self, server: ServerId) -> Option<(Arc<str>, Millis)> {
        self.known.get(&server).map(|s| (s.id.clone(), s.entry.started))
    }

    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        let listed = self.known.get(&server).filter(|s| s.entry.state == ServerState::Ready);
        listed.is_some_and(|s| !self.is_out(&s.id, &s.entry))
    }

    fn is_out(&self, id: &str, entry: &ServerEntry) -> bool {
        self.suspensions.is_suspended(id)
            || self.excluded.contains(id)
            || self.shares.excludes(id, entry.zone)
    }

    /// Excludes exactly these servers, listed or not. Returns the changed entries.
    pub(super) fn exclude(&mut self, ids: &BTreeSet<String>) -> Vec<ServerEntry> {
        let before = std::mem::replace(&mut self.excluded, ids.clone());
        before.symmetric_difference(ids).filter_map(|id| self.effective_entry_by_id(id)).collect()
    }

    /// Sets the shares of the zones. Returns the changed entries.
    pub(super) fn set_shares(&mut self, shares: Shares) -> Vec<ServerEntry> {
        let before = std::mem::replace(&mut self.shares, shares);
        let differs = |s: &&KnownServer| {
            before.excludes(&s.id, s.entry.zone) != self.shares.excludes(&s.id, s.entry.zone)
        };
        self.known.values().filter(differs).map(|s| self.effective_entry(&s.id, s.entry.clone())).collect()
    }

    /// Index of a server's zone.
    pub(super) fn zone(&self, server: ServerId) -> Option<u16> {
        self.known.get(&server).map(|s| s.entry.zone)
    }

    /// Number of servers of a zone that may be used.
    pub(super) fn usable(&self, zone: u16) -> u32 {
        let in_zone = self.known.iter().filter(|(_, s)| s.entry.zone == zone);
        in_zone.filter(|(number, _)| self.is_ready(**number)).count() as u32
    }

    /// Suspends a server. Returns its entry if it changed, and fails if the server was never listed.
    pub(super) fn suspend(&mut self, now: Millis, id: &str) -> Result<Option<ServerEntry>, NeverListed> {
        let changed = self.suspensions.suspend(now, id)?;
        Ok(self.effective_entry_by_id(id).filter(|_| changed))
    }

    /// Resumes a server. Returns its entry if it changed, and fails if the server was never listed.
    pub(super) fn resume(&mut self, now: Millis, id: &str) -> Result<Option<ServerEntry>, NeverListed> {
        let changed = self.suspensions.resume(now, id)?;
        Ok(self.effective_entry_by_id(id).filter(|_| changed))
    }

    /// Merges the suspensions known to another process. Returns the changed entries.
    pub(super) fn merge(&mut self, marks: &Marks) -> Vec<ServerEntry> {
        let changed = self.suspensions.merge(marks);
        changed.iter().filter_map(|id| self.effective_entry_by_id(id)).collect()
    }

    pub(super) fn marks(&self) -> Marks {
        self.suspensions.marks()
    }

    /// Effective entry of a known server.
    fn effective_entry_by_id(&self, id: &str) -> Option<ServerEntry> {
        let known = self.known.get(self.numbers.get(id)?)?;
        Some(self.effective_entry(id, known.entry.clone()))
    }

    /// Entry with overrides applied: a ready server that is taken out is reported to the module as draining.
    fn effective_entry(&self, id: &str, mut entry: ServerEntry) -> ServerEntry {
        if entry.state == ServerState::Ready && self.is_out(id, &entry) {
            entry.state = ServerState::Draining;
        }
        entry.started = self.suspensions.started(id, entry.started);
        entry
    }

    /// Applies a membership update. Returns the update for the module.
    pub(super) fn apply(&mut self, news: &News, zones: &[String]) -> (ListUpdate, Vec<ServerEntry>) {
        let (update, members) = match news {
            News::Complete(members) => (ListUpdate::Full, members),
            News::Changes(members) => (ListUpdate::Delta, members),
            News::Remembered(members) => (ListUpdate::Cached, members),
        };
        // Sorted by id, so that all limiters assign the same numbers to the same list, also on hash collisions.
        let mut members: Vec<&Member> = members.iter().collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let entries: Vec<ServerEntry> = members.iter().filter_map(|m| self.apply_member(m, zones)).collect();
        if update != ListUpdate::Delta {
            let named: HashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            self.known.retain(|id, _| named.contains(id));
            self.numbers.retain(|_, number| named.contains(number));
        }
        (update, entries)
    }

    /// Number of a server, the same at every limiter: a hash of its id. On a collision (probability 1 in 10^11 with
    /// 10,000 servers) the next candidate is used, so that no server is left out.
    fn number(&self, id: &str) -> ServerId {
        let known = self.numbers.get(id).copied();
        known.unwrap_or_else(|| {
            let mut wanted = (0..).map(|nth| ServerId((self.hash)(id, nth)));
            wanted.find(|n| !self.known.contains_key(n)).unwrap_or_default()
        })
    }

    /// Applies one list entry. Returns the effective entry, or `None` if the server has no usable address.
    fn apply_member(&mut self, member: &Member, zones: &[String]) -> Option<ServerEntry> {
        let server = self.number(&member.id);
        self.suspensions.listed(&member.id);
        let zone = zones.iter().position(|z| *z == member.zone);
        let entry = ServerEntry {
            server,
            weight: member.weight,
            zone: zone.map_or(u16::MAX, |z| z as u16),
            cell: member.cell,
            started: member.started,
            state: member.state,
            standing: member.standing,
        };
        if member.state == ServerState::Gone {
            self.known.remove(&server);
            self.numbers.remove(&member.id);
        } else {
            let Some(address) = member.address else {
                tracing::warn!(server = member.id, "members: {} has no readable address", member.id);
                return None;
            };
            let known = KnownServer { address, entry: entry.clone(), id: member.id.as_str().into() };
            self.known.insert(server, known);
            self.numbers.insert(member.id.clone(), server);
        }
        Some(self.effective_entry(&member.id, entry))
    }
}

#[cfg(test)]
mod tests;
