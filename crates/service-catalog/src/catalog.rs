//! An immutable snapshot of who owns what.
//!
//! It is a function of a configuration and a set of rows: the order in which rows came, and who told them,
//! has no part in it. Where a name has several owners that is a state of its own.

use crate::conflict::Conflict;
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::mesh::{NameMatch, ServiceNames};
use oatbank_config_model::Configuration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The owners that a configuration names: its services, each of one mesh.
#[derive(Debug, Default)]
pub struct ServiceOwners {
    edition: u64,
    version: u64,
    owners: Vec<String>,
    service_names: ServiceNames,
}

impl ServiceOwners {
    /// Of the configuration of this edition.
    pub fn new(edition: u64, configuration: &Configuration) -> Self {
        let owners = configuration.services.iter().map(|service| service.name.clone()).collect();
        ServiceOwners {
            edition,
            version: configuration.version,
            owners,
            service_names: ServiceNames::new(&configuration.services),
        }
    }

    /// The edition; 0 before the first.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The owners' whole names, with their mesh before a slash if they have one.
    pub fn owners(&self) -> &[String] {
        &self.owners
    }

    /// The owner of this whole name.
    pub fn owner(&self, name: &str) -> Option<usize> {
        match self.service_names.resolve("", name) {
            NameMatch::One(at) if self.owners[at] == name => Some(at),
            _ => None,
        }
    }

    /// The owners that a service's name may stand for.
    pub fn owners_of(&self, name: &str) -> Vec<usize> {
        match self.service_names.resolve("", name) {
            NameMatch::One(at) => vec![at],
            NameMatch::Several(places) => places.to_vec(),
            NameMatch::Nobody => Vec::new(),
        }
    }
}

/// Whose a server is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// This owner's.
    Owned(usize),
    /// It may be one of several's, or none of theirs.
    Contested {
        /// Why.
        why: Conflict,
        /// The owner that its own word names, where it names one.
        own: Option<usize>,
        /// All that may own it.
        owners: Vec<usize>,
    },
    /// The configuration has no service of the name that it says.
    Unknown,
}

/// One server, or one of the claims under its id, that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What it said last when the snapshot was made, or before that: its life, service, address, zone,
    /// software and the number of that word.
    pub row: Arc<ServerRow>,
    /// Whose it is.
    pub ownership: Ownership,
}

impl Entry {
    /// It takes requests.
    pub fn is_ready(&self) -> bool {
        self.row.state == server_state::READY
    }
}

/// What a server may get of an owner's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermittedUse {
    /// All.
    All,
    /// Those that may be repeated.
    ReadsOnly,
    /// None.
    Denied,
}

/// An owner's servers that are ready, by what they may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// All of its requests.
    pub all: u32,
    /// Those that may be repeated.
    pub reads: u32,
    /// None, since they may be another's.
    pub nothing: u32,
}

impl ServerCounts {
    /// One of its servers, or one that may be its, is contested.
    pub fn is_contested(&self) -> bool {
        self.reads + self.nothing > 0
    }
}

/// Who owns what.
#[derive(Debug, Default)]
pub struct Catalog {
    service_owners: Arc<ServiceOwners>,
    /// In the order of id, service and address.
    entries: Vec<Entry>,
    /// Places in `entries` in the order of address.
    by_address: Vec<u32>,
    /// By owner.
    counts_by_owner: Vec<ServerCounts>,
}

impl Catalog {
    /// Of these rows under the owners of a configuration.
    pub fn new<'a>(
        service_owners: Arc<ServiceOwners>,
        rows: impl Iterator<Item = &'a Arc<ServerRow>>,
    ) -> Self {
        let incarnations = rows.filter(|row| row.state != server_state::LEFT && !row.timed_out);
        let mut entries: Vec<Entry> = incarnations.map(|row| entry(&service_owners, row)).collect();
        let key = |e: &Entry, f: &Entry| {
            (&e.row.id, &e.row.service, &e.row.address).cmp(&(&f.row.id, &f.row.service, &f.row.address))
        };
        if !entries.is_sorted_by(|e, f| key(e, f).is_lt()) {
            entries.sort_by(key);
            entries.dedup_by(|later, first| key(later, first).is_eq());
        }
        let mut by_address: Vec<u32> = (0..entries.len() as u32).collect();
        by_address.sort_by(|a, b| entries[*a as usize].row.address.cmp(&entries[*b as usize].row.address));
        contest_ids(&service_owners, &mut entries);
        contest_addresses(&service_owners, &mut entries, &by_address);
        let mut counts_by_owner = vec![ServerCounts::default(); service_owners.owners.len()];
        for entry in entries.iter().filter(|entry| entry.is_ready()) {
            match &entry.ownership {
                Ownership::Owned(at) => counts_by_owner[*at].all += 1,
                Ownership::Contested { why, own, owners } => {
                    for at in owners {
                        let reads = *own == Some(*at) && why.rule().reads;
                        *(if reads {
                            &mut counts_by_owner[*at].reads
                        } else {
                            &mut counts_by_owner[*at].nothing
                        }) += 1;
                    }
                }
                Ownership::Unknown => {}
            }
        }
        Catalog { service_owners, entries, by_address, counts_by_owner }
    }

    /// The owners that it was made under.
    pub fn service_owners(&self) -> &Arc<ServiceOwners> {
        &self.service_owners
    }

    /// All servers that have not ended.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The claims under one id: none, one, or several that are contested.
    pub fn of_id(&self, id: &str) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.row.id.as_str() < id);
        let len = self.entries[from..].iter().take_while(|entry| entry.row.id == id).count();
        &self.entries[from..from + len]
    }

    /// Who claims an address.
    pub fn at_address<'a>(&'a self, address: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from =
            self.by_address.partition_point(|at| self.entries[*at as usize].row.address.as_str() < address);
        let entries = self.by_address[from..].iter().map(|at| &self.entries[*at as usize]);
        entries.take_while(move |entry| entry.row.address == address)
    }

    /// What this server may get of this owner's requests.
    pub fn permitted_use(&self, row: &ServerRow, owner: usize) -> PermittedUse {
        let Some(entry) = self.of_id(&row.id).iter().find(|entry| entry.row.same_claim(row)) else {
            return PermittedUse::Denied;
        };
        match &entry.ownership {
            Ownership::Owned(at) if *at == owner => PermittedUse::All,
            Ownership::Contested { why, own, .. } if *own == Some(owner) && why.rule().reads => {
                PermittedUse::ReadsOnly
            }
            _ => PermittedUse::Denied,
        }
    }

    /// An owner's servers.
    pub fn counts(&self, owner: usize) -> ServerCounts {
        self.counts_by_owner.get(owner).copied().unwrap_or_default()
    }

    /// Servers whose owner is contested.
    pub fn contested(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| matches!(entry.ownership, Ownership::Contested { .. }))
    }

    /// Contested servers by kind of conflict, for a log line; empty if there are none.
    pub fn contested_summary(&self) -> String {
        let mut counts = BTreeMap::<Conflict, u32>::new();
        for entry in self.contested() {
            if let Ownership::Contested { why, .. } = &entry.ownership {
                *counts.entry(*why).or_default() += 1;
            }
        }
        let parts: Vec<String> =
            counts.iter().map(|(why, count)| format!("{count} by {}", why.rule().code)).collect();
        parts.join(", ")
    }
}

fn entry(service_owners: &ServiceOwners, row: &Arc<ServerRow>) -> Entry {
    let ownership = match service_owners.service_names.resolve("", &row.service) {
        NameMatch::One(at) => Ownership::Owned(at),
        NameMatch::Nobody => Ownership::Unknown,
        NameMatch::Several(owners) => {
            Ownership::Contested { why: Conflict::Mesh, own: None, owners: owners.to_vec() }
        }
    };
    Entry { row: row.clone(), ownership }
}

/// Contests some entries: each keeps the owner that its own word names, and all have the owners of all.
fn contest(
    service_owners: &ServiceOwners,
    entries: &mut [Entry],
    places: impl Iterator<Item = usize> + Clone,
    why: Conflict,
) {
    let mut owners: Vec<usize> =
        places.clone().flat_map(|at| service_owners.owners_of(&entries[at].row.service)).collect();
    owners.sort_unstable();
    owners.dedup();
    for at in places {
        let own = match &entries[at].ownership {
            Ownership::Owned(own) => Some(*own),
            // What is contested for a reason that proves less stays so.
            Ownership::Contested { why: before, own, .. } if before.rule().reads => *own,
            Ownership::Contested { .. } => continue,
            Ownership::Unknown => None,
        };
        entries[at].ownership = Ownership::Contested { why, own, owners: owners.clone() };
    }
}

fn contest_ids(service_owners: &ServiceOwners, entries: &mut [Entry]) {
    let mut from = 0;
    while from < entries.len() {
        let id = &entries[from].row.id;
        let len = entries[from..].iter().take_while(|entry| entry.row.id == *id).count();
        if len > 1 {
            let addresses_differ =
                entries[from..from + len].iter().any(|entry| entry.row.address != entries[from].row.address);
            let why = if addresses_differ { Conflict::Id } else { Conflict::Service };
            contest(service_owners, entries, from..from + len, why);
        }
        from += len;
    }
}

fn contest_addresses(service_owners: &ServiceOwners, entries: &mut [Entry], by_address: &[u32]) {
    let mut from = 0;
    while from < by_address.len() {
        let at = |nth: usize| by_address[nth] as usize;
        let address = &entries[at(from)].row.address;
        let len =
            by_address[from..].iter().take_while(|at| entries[**at as usize].row.address == *address).count();
        if len > 1 {
            // A name that may be several owners' is never the same as another: so is one that has none.
            let owner_or_name = |nth: usize| match &entries[at(nth)].ownership {
                Ownership::Owned(own) => Ok(*own),
                _ => Err(&entries[at(nth)].row.service),
            };
            if (from + 1..from + len).any(|nth| owner_or_name(nth) != owner_or_name(from)) {
                contest(service_owners, entries, (from..from + len).map(at), Conflict::Address);
            }
        }
        from += len;
    }
}
