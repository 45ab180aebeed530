//! Merges the member lists of several ranked sources into one list.
//!
//! Guarantees:
//! - a server is owned by the highest-ranked source that has listed its id or its address; entries of a lower-ranked source
//!   for either are ignored from then on, until that source has removed and listed the server again;
//! - so a server is gone, or draining, when its owner reports it, even if other sources still list it: an outdated list
//!   that remains after a migration does not bring a server back;
//! - a remembered list (from before this start) counts until the source's first complete list, and makes no server ready;
//! - a source that sends nothing changes nothing.

use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::ServerState;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

#[derive(Debug, Default)]
struct Source {
    name: String,
    list: BTreeMap<String, Member>,
    /// Members of this list that a higher-ranked source owns, or has owned since they were listed here.
    covered: BTreeSet<String>,
    /// Whether a complete list was received.
    complete: bool,
}

/// A source's entry for a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The source's name.
    pub source: String,
    /// The member as the source lists it.
    pub member: Member,
    /// Whether another source owns the server, so that this entry is ignored.
    pub covered: bool,
}

/// The sources by rank, and the merged list as last announced.
#[derive(Debug, Default)]
pub struct Sources {
    sources: Vec<Source>,
    announced: BTreeMap<String, Member>,
    complete: bool,
}

impl Sources {
    /// Creates sources with these names, highest rank first.
    pub fn new(names: &[&str]) -> Self {
        let source = |name: &&str| Source { name: (*name).to_owned(), ..Source::default() };
        Sources { sources: names.iter().map(source).collect(), ..Sources::default() }
    }

    /// Records changes from the source of this rank (0 is the highest) and returns the changes of the merged list, if any.
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

    /// The entries of all sources.
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

    /// Marks the members that a higher-ranked source also lists. A mark remains until its member is removed from the list.
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

    /// Rebuilds the merged list and returns the difference from the list last announced.
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
        // Removals first, so that a server that takes over an address follows its predecessor.
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
