//! The servers that are known, by the numbers that the decision module uses.

use crate::ports::membership::{Member, News};
use oatbank_limiter_core::interface::{ListUpdate, Millis, ServerEntry, ServerId, ServerState};
use oatbank_operations::suspension::{Marks, NeverListed, Suspensions};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

struct KnownServer {
    address: SocketAddr,
    /// What its list says, before what operators say.
    entry: ServerEntry,
    id: Arc<str>,
}

/// The parts of zones that a limiter may use: of each server's limiters so many, at even distances, so that they add up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// By the zone's place among the names.
    pub parts: HashMap<u16, f64>,
    /// This limiter's place among all, from 0 to below 1.
    pub place: f64,
}

impl Shares {
    fn excludes(&self, id: &str, zone: u16) -> bool {
        let Some(part) = self.parts.get(&zone) else { return false };
        let begins = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as f64 / 2f64.powi(64);
        (begins + self.place).fract() >= *part
    }
}

/// Servers by number.
pub(super) struct Fleet {
    known: HashMap<ServerId, KnownServer>,
    /// Numbers by id, for as long as a server is known.
    numbers: HashMap<String, ServerId>,
    /// What operators have taken out: lies over what the list says, and is there before and after it.
    suspensions: Suspensions,
    /// What the rules take out: lies over that, and an operator's word here does not put it in again.
    excluded: BTreeSet<String>,
    /// Zones of which only a part is used.
    shares: Shares,
    /// The n-th number that an id may have.
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

    /// A server's name and where it listens.
    pub(super) fn address(&self, server: ServerId) -> Option<(Arc<str>, SocketAddr)> {
        self.known.get(&server).map(|s| (s.id.clone(), s.address))
    }

    /// A server's name and when it last started.
    pub(super) fn started(&self, server: ServerId) -> Option<(Arc<str>, Millis)> {
        self.known.get(&server).map(|s| (s.id.clone(), s.entry.started))
    }

    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        let listed = self.known.get(&server).filter(|s| s.entry.state == ServerState::Ready);
        listed.is_some_and(|s| !self.is_out(&s.id, &s.entry))
    }

    fn is_out(&self, id: &str, entry: &ServerEntry) -> bool {
        self.suspensions.is_out(id) || self.excluded.contains(id) || self.shares.excludes(id, entry.zone)
    }

    /// The rules take these out, and none else; what the module is to be told. They need not be listed.
    pub(super) fn exclude(&mut self, ids: &BTreeSet<String>) -> Vec<ServerEntry> {
        let before = std::mem::replace(&mut self.excluded, ids.clone());
        before.symmetric_difference(ids).filter_map(|id| self.effective_entry_by_id(id)).collect()
    }

    /// Only these parts of zones are used from now on; what the module is to be told.
    pub(super) fn set_shares(&mut self, shares: Shares) -> Vec<ServerEntry> {
        let before = std::mem::replace(&mut self.shares, shares);
        let differs = |s: &&KnownServer| {
            before.excludes(&s.id, s.entry.zone) != self.shares.excludes(&s.id, s.entry.zone)
        };
        self.known.values().filter(differs).map(|s| self.effective_entry(&s.id, s.entry.clone())).collect()
    }

    /// The zone of a server, by its number, and how many of each may be used.
    pub(super) fn zone(&self, server: ServerId) -> Option<u16> {
        self.known.get(&server).map(|s| s.entry.zone)
    }

    pub(super) fn usable(&self, zone: u16) -> u32 {
        let there = self.known.iter().filter(|(_, s)| s.entry.zone == zone);
        there.filter(|(number, _)| self.is_ready(**number)).count() as u32
    }

    /// Takes a server out; what the module is to be told.
    pub(super) fn suspend(&mut self, now: Millis, id: &str) -> Result<Option<ServerEntry>, NeverListed> {
        let changed = self.suspensions.suspend(now, id)?;
        Ok(self.effective_entry_by_id(id).filter(|_| changed))
    }

    /// Puts a server in again; what the module is to be told.
    pub(super) fn resume(&mut self, now: Millis, id: &str) -> Result<Option<ServerEntry>, NeverListed> {
        let changed = self.suspensions.resume(now, id)?;
        Ok(self.effective_entry_by_id(id).filter(|_| changed))
    }

    /// Takes in what another process was told; what the module is to be told.
    pub(super) fn merge(&mut self, marks: &Marks) -> Vec<ServerEntry> {
        let changed = self.suspensions.merge(marks);
        changed.iter().filter_map(|id| self.effective_entry_by_id(id)).collect()
    }

    pub(super) fn marks(&self) -> Marks {
        self.suspensions.marks()
    }

    /// A known server as the module is to see it.
    fn effective_entry_by_id(&self, id: &str) -> Option<ServerEntry> {
        let known = self.known.get(self.numbers.get(id)?)?;
        Some(self.effective_entry(id, known.entry.clone()))
    }

    /// What operators say lies over what the list says. One that is out is, to the module, one that drains.
    fn effective_entry(&self, id: &str, mut entry: ServerEntry) -> ServerEntry {
        if entry.state == ServerState::Ready && self.is_out(id, &entry) {
            entry.state = ServerState::Draining;
        }
        entry.started = self.suspensions.started(id, entry.started);
        entry
    }

    /// Takes in news of the list, and gives what the module is told.
    pub(super) fn apply(&mut self, news: &News, zones: &[String]) -> (ListUpdate, Vec<ServerEntry>) {
        let (update, members) = match news {
            News::Complete(members) => (ListUpdate::Full, members),
            News::Changes(members) => (ListUpdate::Delta, members),
            News::Remembered(members) => (ListUpdate::Cached, members),
        };
        // By id: limiters that read the same list give the same numbers, also where two ids want one.
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

    /// The number of a server, the same at every limiter: a hash of its id. Where another server has that number
    /// (one chance in 10^11 with 10,000 servers), its next one, so that nobody is left out.
    fn number(&self, id: &str) -> ServerId {
        let known = self.numbers.get(id).copied();
        known.unwrap_or_else(|| {
            let mut wanted = (0..).map(|nth| ServerId((self.hash)(id, nth)));
            wanted.find(|n| !self.known.contains_key(n)).unwrap_or_default()
        })
    }

    /// Takes in one line of a list, unless it makes no sense.
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
                tracing::warn!(server = member.id, "members: {} has no address that can be read", member.id);
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
