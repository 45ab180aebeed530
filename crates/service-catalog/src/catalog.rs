//! An immutable snapshot of who owns what.
//!
//! It is a function of a configuration and a set of rows: the order in which rows came, and who told them,
//! has no part in it. Where a name has several owners that is a state of its own.

use crate::conflict::Collision;
use crate::snapshot::summary;
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{server_state, Book};
use oatbank_config_model::mesh::{Meant, Named};
use oatbank_config_model::Playbill;
use std::rc::Rc;
use std::sync::Arc;

/// The owners that a configuration names: its services, each of one mesh.
#[derive(Debug, Default)]
pub struct Cast {
    edition: u64,
    version: u64,
    owners: Vec<String>,
    named: Named,
}

impl Cast {
    /// Of the configuration of this edition.
    pub fn new(edition: u64, bill: &Playbill) -> Self {
        let owners = bill.services.iter().map(|service| service.name.clone()).collect();
        Cast { edition, version: bill.version, owners, named: Named::new(&bill.services) }
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
        match self.named.meant("", name) {
            Meant::One(at) if self.owners[at] == name => Some(at),
            _ => None,
        }
    }

    /// The owners that a service's name may stand for.
    pub fn owners_of(&self, name: &str) -> Vec<usize> {
        match self.named.meant("", name) {
            Meant::One(at) => vec![at],
            Meant::Several(places) => places.to_vec(),
            Meant::Nobody => Vec::new(),
        }
    }
}

/// Whose a server is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// This owner's.
    Owned(usize),
    /// It may be one of several's, or none of theirs.
    Contested {
        /// Why.
        why: Collision,
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
    pub standing: Standing,
}

impl Entry {
    /// It takes requests.
    pub fn is_ready(&self) -> bool {
        self.row.state == server_state::READY
    }
}

/// What a server may get of an owner's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// All.
    All,
    /// Those that may be repeated.
    Reads,
    /// None.
    Nothing,
}

/// An owner's servers that are ready, by what they may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All of its requests.
    pub all: u32,
    /// Those that may be repeated.
    pub reads: u32,
    /// None, since they may be another's.
    pub nothing: u32,
}

impl Tally {
    /// One of its servers, or one that may be its, is contested.
    pub fn is_contested(&self) -> bool {
        self.reads + self.nothing > 0
    }
}

/// Who owns what.
#[derive(Debug, Default)]
pub struct Catalogue {
    cast: Arc<Cast>,
    /// In the order of id, service and address.
    entries: Vec<Entry>,
    /// Places in `entries` in the order of address.
    by_address: Vec<u32>,
    /// By owner.
    tallies: Vec<Tally>,
}

/// The catalogue of the moment: made anew where the configuration or the use of a server has changed, and swapped whole.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// Who owns what.
    pub catalogue: Rc<Catalogue>,
    /// The edition and the count of changes that it was made of.
    of: (u64, u64),
}

impl Current {
    /// Looks whether anything has changed; where what is contested has, says what it is now, for a log's line. `cast` is asked
    /// for the owners of a new edition; without an answer those before stay.
    pub fn renew(
        &mut self,
        edition: u64,
        book: &Book,
        cast: impl FnOnce() -> Option<Cast>,
    ) -> Option<String> {
        let of = (edition, book.changes());
        if self.of == of {
            return None;
        }
        let new = if self.of.0 == edition { None } else { cast() };
        let cast = new.map_or_else(|| self.catalogue.cast.clone(), Arc::new);
        let before = std::mem::replace(&mut self.catalogue, Rc::new(Catalogue::new(cast, book.rows())));
        self.of = of;
        let (was, is) = (summary(&before), summary(&self.catalogue));
        (was != is).then(|| if is.is_empty() { "none".to_owned() } else { is })
    }
}

impl Catalogue {
    /// Of these rows under the owners of a configuration.
    pub fn new<'a>(cast: Arc<Cast>, rows: impl Iterator<Item = &'a Arc<ServerRow>>) -> Self {
        let lives = rows.filter(|row| row.state != server_state::LEFT && !row.silent);
        let mut entries: Vec<Entry> = lives.map(|row| entry(&cast, row)).collect();
        let key = |e: &Entry, f: &Entry| {
            (&e.row.id, &e.row.service, &e.row.address).cmp(&(&f.row.id, &f.row.service, &f.row.address))
        };
        if !entries.is_sorted_by(|e, f| key(e, f).is_lt()) {
            entries.sort_by(key);
            entries.dedup_by(|later, first| key(later, first).is_eq());
        }
        let mut by_address: Vec<u32> = (0..entries.len() as u32).collect();
        by_address.sort_by(|a, b| entries[*a as usize].row.address.cmp(&entries[*b as usize].row.address));
        contest_ids(&cast, &mut entries);
        contest_addresses(&cast, &mut entries, &by_address);
        let mut tallies = vec![Tally::default(); cast.owners.len()];
        for entry in entries.iter().filter(|entry| entry.is_ready()) {
            match &entry.standing {
                Standing::Owned(at) => tallies[*at].all += 1,
                Standing::Contested { why, own, owners } => {
                    for at in owners {
                        let reads = *own == Some(*at) && why.rule().reads;
                        *(if reads { &mut tallies[*at].reads } else { &mut tallies[*at].nothing }) += 1;
                    }
                }
                Standing::Unknown => {}
            }
        }
        Catalogue { cast, entries, by_address, tallies }
    }

    /// The owners that it was made under.
    pub fn cast(&self) -> &Arc<Cast> {
        &self.cast
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
    pub fn use_of(&self, row: &ServerRow, owner: usize) -> Use {
        let Some(entry) = self.of_id(&row.id).iter().find(|entry| entry.row.same_claim(row)) else {
            return Use::Nothing;
        };
        match &entry.standing {
            Standing::Owned(at) if *at == owner => Use::All,
            Standing::Contested { why, own, .. } if *own == Some(owner) && why.rule().reads => Use::Reads,
            _ => Use::Nothing,
        }
    }

    /// An owner's servers.
    pub fn tally(&self, owner: usize) -> Tally {
        self.tallies.get(owner).copied().unwrap_or_default()
    }

    /// Servers whose owner is contested.
    pub fn contested(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| matches!(entry.standing, Standing::Contested { .. }))
    }
}

fn entry(cast: &Cast, row: &Arc<ServerRow>) -> Entry {
    let standing = match cast.named.meant("", &row.service) {
        Meant::One(at) => Standing::Owned(at),
        Meant::Nobody => Standing::Unknown,
        Meant::Several(owners) => {
            Standing::Contested { why: Collision::Mesh, own: None, owners: owners.to_vec() }
        }
    };
    Entry { row: row.clone(), standing }
}

/// Contests some entries: each keeps the owner that its own word names, and all have the owners of all.
fn contest(cast: &Cast, entries: &mut [Entry], places: impl Iterator<Item = usize> + Clone, why: Collision) {
    let mut owners: Vec<usize> =
        places.clone().flat_map(|at| cast.owners_of(&entries[at].row.service)).collect();
    owners.sort_unstable();
    owners.dedup();
    for at in places {
        let own = match &entries[at].standing {
            Standing::Owned(own) => Some(*own),
            // What is contested for a reason that proves less stays so.
            Standing::Contested { why: before, own, .. } if before.rule().reads => *own,
            Standing::Contested { .. } => continue,
            Standing::Unknown => None,
        };
        entries[at].standing = Standing::Contested { why, own, owners: owners.clone() };
    }
}

fn contest_ids(cast: &Cast, entries: &mut [Entry]) {
    let mut from = 0;
    while from < entries.len() {
        let id = &entries[from].row.id;
        let len = entries[from..].iter().take_while(|entry| entry.row.id == *id).count();
        if len > 1 {
            let moves =
                entries[from..from + len].iter().any(|entry| entry.row.address != entries[from].row.address);
            let why = if moves { Collision::Id } else { Collision::Service };
            contest(cast, entries, from..from + len, why);
        }
        from += len;
    }
}

fn contest_addresses(cast: &Cast, entries: &mut [Entry], by_address: &[u32]) {
    let mut from = 0;
    while from < by_address.len() {
        let at = |nth: usize| by_address[nth] as usize;
        let address = &entries[at(from)].row.address;
        let len =
            by_address[from..].iter().take_while(|at| entries[**at as usize].row.address == *address).count();
        if len > 1 {
            // A name that may be several owners' is never the same as another: so is one that has none.
            let whose = |nth: usize| match &entries[at(nth)].standing {
                Standing::Owned(own) => Ok(*own),
                _ => Err(&entries[at(nth)].row.service),
            };
            if (from + 1..from + len).any(|nth| whose(nth) != whose(from)) {
                contest(cast, entries, (from..from + len).map(at), Collision::Address);
            }
        }
        from += len;
    }
}
