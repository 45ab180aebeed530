//! The servers that are known, by the numbers that the decision module uses.

use crate::ports::membership::{Member, News};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use topazwind::interface::{ListUpdate, ServerEntry, ServerId, ServerState};

struct Known {
    id: String,
    address: SocketAddr,
    ready: bool,
}

/// Servers by number.
#[derive(Default)]
pub(super) struct Fleet {
    known: HashMap<ServerId, Known>,
}

impl Fleet {
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.known.get(&server).map(|s| s.address)
    }

    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|s| s.ready)
    }

    /// Takes in news of the list, and gives what the module is told.
    pub(super) fn take(&mut self, news: &News, zones: &[String]) -> (ListUpdate, Vec<ServerEntry>) {
        let (update, members) = match news {
            News::Complete(members) => (ListUpdate::Full, members),
            News::Changes(members) => (ListUpdate::Delta, members),
            News::Remembered(members) => (ListUpdate::Cached, members),
        };
        let entries: Vec<ServerEntry> = members.iter().filter_map(|m| self.learn(m, zones)).collect();
        if update != ListUpdate::Delta {
            let named: HashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            self.known.retain(|id, _| named.contains(id));
        }
        (update, entries)
    }

    /// Takes in one line of a list, unless it makes no sense.
    fn learn(&mut self, member: &Member, zones: &[String]) -> Option<ServerEntry> {
        let server = server_id(&member.id);
        if self.known.get(&server).is_some_and(|s| s.id != member.id) {
            log::error!("members: {} has the number of another server and is left out", member.id);
            return None;
        }
        if member.state == ServerState::Gone {
            self.known.remove(&server);
        } else {
            let Some(address) = member.address else {
                log::warn!("members: {} has no address that can be read", member.id);
                return None;
            };
            let ready = member.state == ServerState::Ready;
            self.known.insert(server, Known { id: member.id.clone(), address, ready });
        }
        let zone = zones.iter().position(|z| *z == member.zone);
        Some(ServerEntry {
            server,
            weight: member.weight,
            zone: zone.map_or(u16::MAX, |z| z as u16),
            cell: member.cell,
            started: member.started,
            state: member.state,
        })
    }
}

/// The number of a server, the same at every limiter: the hexadecimal part of its id, or else a hash of it.
fn server_id(id: &str) -> ServerId {
    let tail = id.rsplit('-').next().unwrap_or(id);
    let number = if tail.len() == 8 { u32::from_str_radix(tail, 16).ok() } else { None };
    ServerId(number.unwrap_or_else(|| {
        id.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: &str) -> Member {
        Member::ready(id, "127.0.0.1:80".parse().expect("an address"))
    }

    #[test]
    fn a_whole_list_removes_what_it_does_not_name_and_changes_do_not() {
        let mut fleet = Fleet::default();
        fleet.take(&News::Complete(vec![member("s-00000001"), member("s-00000002")]), &[]);
        fleet.take(&News::Changes(vec![member("s-00000003")]), &[]);
        assert!([1, 2, 3].iter().all(|n| fleet.is_ready(ServerId(*n))));
        fleet.take(&News::Complete(vec![member("s-00000002")]), &[]);
        assert!(!fleet.is_ready(ServerId(1)) && fleet.is_ready(ServerId(2)) && !fleet.is_ready(ServerId(3)));
    }

    #[test]
    fn a_server_with_anothers_number_or_without_an_address_is_left_out() {
        let mut fleet = Fleet::default();
        let nowhere = Member { address: None, ..member("s-00000002") };
        let (_, entries) =
            fleet.take(&News::Complete(vec![member("s-00000001"), member("x-00000001"), nowhere]), &[]);
        assert_eq!(entries.len(), 1);
        let gone = Member { state: ServerState::Gone, address: None, ..member("s-00000001") };
        assert_eq!(fleet.take(&News::Changes(vec![gone]), &[]).1.len(), 1, "one that goes needs no address");
        assert!(fleet.is_empty());
    }
}
