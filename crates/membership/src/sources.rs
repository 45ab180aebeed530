//! One list from several sources, of which each has its rank.
//!
//! Guarantees:
//! - a server belongs to the source of the highest rank that has named its id or its address; what a lower one says of
//!   either is passed over from then on, until the lower one has withdrawn it and named it anew;
//! - so a server is gone, or drains, when the source that owns it says so, whoever else still names it: a list that
//!   is left behind in a migration brings nobody back;
//! - what a source only remembers (a list from before this start) counts until its first whole list, and makes
//!   nothing ready;
//! - a source that is silent changes nothing.

use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::ServerState;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

#[derive(Debug, Default)]
struct Source {
    name: String,
    list: BTreeMap<String, Member>,
    /// Members of this list that a source of higher rank owns, or has owned since they were named here.
    covered: BTreeSet<String>,
    /// A whole list was told.
    complete: bool,
}

/// What a source says of a server, and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The source's name.
    pub source: String,
    /// What it says.
    pub member: Member,
    /// Another source owns it.
    pub covered: bool,
}

/// The sources by rank, and the list that was told.
#[derive(Debug, Default)]
pub struct Sources {
    sources: Vec<Source>,
    announced: BTreeMap<String, Member>,
    complete: bool,
}

impl Sources {
    /// Sources of these names, the highest rank first.
    pub fn new(names: &[&str]) -> Self {
        let source = |name: &&str| Source { name: (*name).to_owned(), ..Source::default() };
        Sources { sources: names.iter().map(source).collect(), ..Sources::default() }
    }

    /// Takes in what the source of this rank (0: the highest) tells, and gives what is news of the whole.
    pub fn update(&mut self, rank: usize, news: News) -> Option<News> {
        let source = self.sources.get_mut(rank)?;
        match news {
            News::Complete(members) => {
                source.complete = true;
                source.replace(members);
            }
            News::Remembered(members) if !source.complete => source.replace(members),
            News::Remembered(_) => return None,
            News::Changes(members) => members.into_iter().for_each(|m| source.change(m)),
        }
        self.mark_covered();
        self.take_changes()
    }

    /// All that the sources say.
    pub fn rows(&self) -> Vec<Row> {
        let rows = self.sources.iter().flat_map(|source| {
            source.list.values().map(|member| Row {
                source: source.name.clone(),
                member: member.clone(),
                covered: source.covered.contains(&member.id),
            })
        });
        rows.collect()
    }

    /// Marks what a source of higher rank names too. Marks are kept: they go with the member they stand on.
    fn mark_covered(&mut self) {
        let mut ids: HashSet<String> = HashSet::new();
        let mut addresses: HashSet<SocketAddr> = HashSet::new();
        for source in &mut self.sources {
            for member in source.list.values() {
                let named =
                    ids.contains(&member.id) || member.address.is_some_and(|a| addresses.contains(&a));
                if named {
                    source.covered.insert(member.id.clone());
                }
            }
            ids.extend(source.list.keys().cloned());
            addresses.extend(source.list.values().filter_map(|m| m.address));
        }
    }

    /// What differs from what was told.
    fn take_changes(&mut self) -> Option<News> {
        let mut now: BTreeMap<String, Member> = BTreeMap::new();
        for source in &self.sources {
            let own = source.list.values().filter(|m| !source.covered.contains(&m.id));
            now.extend(own.map(|m| (m.id.clone(), m.clone())));
        }
        let before = std::mem::replace(&mut self.announced, now);
        let complete = self.sources.iter().any(|s| s.complete);
        if !complete {
            return Some(News::Remembered(self.announced.values().cloned().collect()));
        }
        if !std::mem::replace(&mut self.complete, true) {
            return Some(News::Complete(self.announced.values().cloned().collect()));
        }
        let gone = before.values().filter(|m| !self.announced.contains_key(&m.id));
        let gone = gone.map(|m| Member { state: ServerState::Gone, ..m.clone() });
        let new = self.announced.values().filter(|m| before.get(&m.id) != Some(m)).cloned();
        // Those that go first: one that takes over an address comes behind its predecessor.
        let changes: Vec<Member> = gone.chain(new).collect();
        (!changes.is_empty()).then_some(News::Changes(changes))
    }
}

impl Source {
    fn replace(&mut self, members: Vec<Member>) {
        self.list =
            members.into_iter().filter(|m| m.state != ServerState::Gone).map(|m| (m.id.clone(), m)).collect();
        let list = &self.list;
        self.covered.retain(|id| list.contains_key(id));
    }

    fn change(&mut self, member: Member) {
        if member.state == ServerState::Gone {
            self.list.remove(&member.id);
            self.covered.remove(&member.id);
        } else {
            self.list.insert(member.id.clone(), member);
        }
    }
}
