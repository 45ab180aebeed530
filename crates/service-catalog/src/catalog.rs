//! An immutable snapshot that assigns each server to the service that owns it.
//!
//! The snapshot depends only on the configuration and the set of server rows, not on the order in which the rows
//! arrived or on their source. A name with several possible owners is contested, which is a state of its own.

use crate::conflict::Conflict;
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::mesh::{NameMatch, ServiceNames};
use oatbank_config_model::Configuration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The services of one configuration, each a possible owner of servers.
#[derive(Debug, Default)]
pub struct ServiceOwners {
    edition: u64,
    version: u64,
    owners: Vec<String>,
    service_names: ServiceNames,
}

impl ServiceOwners {
    /// Collects the services of `configuration`, which has this edition.
    pub fn new(edition: u64, configuration: &Configuration) -> Self {
        let owners = configuration.services.iter().map(|service| service.name.clone()).collect();
        ServiceOwners {
            edition,
            version: configuration.version,
            owners,
            service_names: ServiceNames::new(&configuration.services, configuration.naming()),
        }
    }

    /// The edition of the configuration; 0 before the first one.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The version number of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The full names of the services, `mesh/name` if they belong to a mesh. Owner indices refer to this slice.
    pub fn owners(&self) -> &[String] {
        &self.owners
    }

    /// The index of the service with exactly this full name.
    pub fn owner(&self, name: &str) -> Option<usize> {
        match self.service_names.resolve("", name) {
            NameMatch::One(at) if self.owners[at] == name => Some(at),
            _ => None,
        }
    }

    /// The indices of all services that a name, full or without its mesh, may refer to.
    pub fn owners_of(&self, name: &str) -> Vec<usize> {
        match self.service_names.resolve("", name) {
            NameMatch::One(at) => vec![at],
            NameMatch::Several(places) => places.to_vec(),
            NameMatch::Nobody => Vec::new(),
        }
    }
}

/// The owner of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// Owned by the service with this index.
    Owned(usize),
    /// Claims conflict: the server may belong to any of several services, or to none of them.
    Contested {
        /// The kind of conflict.
        why: Conflict,
        /// The owner that the server's own heartbeat names, if it names exactly one.
        own: Option<usize>,
        /// All possible owners.
        owners: Vec<usize>,
    },
    /// The configuration has no service with the name in the server's heartbeat.
    Unknown,
}

/// One claim of a server that has neither left nor timed out. An id has several claims if they conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The row of the server's heartbeat. A newer heartbeat that changes no ownership does not renew the snapshot,
    /// so the row may be older than the latest one.
    pub row: Arc<ServerRow>,
    /// The owner that the snapshot assigns.
    pub ownership: Ownership,
}

impl Entry {
    /// Whether the server accepts requests.
    pub fn is_ready(&self) -> bool {
        self.row.state == server_state::READY
    }
}

/// Which of a service's requests may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermittedUse {
    /// All requests.
    All,
    /// Only requests that may be repeated.
    ReadsOnly,
    /// No requests.
    Denied,
}

/// The number of a service's ready servers, by the requests that may be sent to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers that get all requests.
    pub all: u32,
    /// Contested servers that get only requests that may be repeated.
    pub reads: u32,
    /// Contested servers that get no requests, as they may belong to another service.
    pub nothing: u32,
}

impl ServerCounts {
    /// Whether any ready server that belongs or may belong to the service is contested.
    pub fn is_contested(&self) -> bool {
        self.reads + self.nothing > 0
    }
}

/// A snapshot of all servers with their owners.
#[derive(Debug, Default)]
pub struct Catalog {
    service_owners: Arc<ServiceOwners>,
    /// Sorted by id, service and address; no two are equal in all three.
    entries: Vec<Entry>,
    /// Indices into `entries`, sorted by address.
    by_address: Vec<u32>,
    /// Counts of ready servers, indexed by owner.
    counts_by_owner: Vec<ServerCounts>,
}

impl Catalog {
    /// Builds the snapshot from server rows; rows that have left or timed out are skipped.
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

    /// The services that the snapshot was built with.
    pub fn service_owners(&self) -> &Arc<ServiceOwners> {
        &self.service_owners
    }

    /// All claims, sorted by id, service and address.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The claims of one id: none, one, or several, which are then contested.
    pub fn of_id(&self, id: &str) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.row.id.as_str() < id);
        let len = self.entries[from..].iter().take_while(|entry| entry.row.id == id).count();
        &self.entries[from..from + len]
    }

    /// The claims of one address.
    pub fn at_address<'a>(&'a self, address: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from =
            self.by_address.partition_point(|at| self.entries[*at as usize].row.address.as_str() < address);
        let entries = self.by_address[from..].iter().map(|at| &self.entries[*at as usize]);
        entries.take_while(move |entry| entry.row.address == address)
    }

    /// Which of the requests of `owner` may be sent to this server; `Denied` if the snapshot lacks this claim.
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

    /// The counts of ready servers of `owner`; all 0 for an unknown index.
    pub fn counts(&self, owner: usize) -> ServerCounts {
        self.counts_by_owner.get(owner).copied().unwrap_or_default()
    }

    /// All contested claims.
    pub fn contested(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| matches!(entry.ownership, Ownership::Contested { .. }))
    }

    /// The number of contested claims by kind of conflict, for a log line; empty if there are none.
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

/// An entry whose owner follows from its service name alone.
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

/// Marks the entries at `places` as contested. Each keeps the owner that its own heartbeat names, and each gets the
/// possible owners of all of them.
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
            // A stricter conflict found earlier, which denies reads too, is not replaced.
            Ownership::Contested { why: before, own, .. } if before.rule().reads => *own,
            Ownership::Contested { .. } => continue,
            Ownership::Unknown => None,
        };
        entries[at].ownership = Ownership::Contested { why, own, owners: owners.clone() };
    }
}

/// Contests all claims of each id that has more than one.
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

/// Contests all claims of each address that is claimed for different owners.
fn contest_addresses(service_owners: &ServiceOwners, entries: &mut [Entry], by_address: &[u32]) {
    let mut from = 0;
    while from < by_address.len() {
        let at = |nth: usize| by_address[nth] as usize;
        let address = &entries[at(from)].row.address;
        let len =
            by_address[from..].iter().take_while(|at| entries[**at as usize].row.address == *address).count();
        if len > 1 {
            // Entries with no single owner match only if they give the same service name, never an owned entry.
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
