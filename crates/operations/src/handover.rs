//! The upgrade: how a process and the one that follows it behave as one limiter while both run.
//!
//! Each process keeps one [`Handover`]. It is told which other processes can be reached and what they say, and gives
//! back what is to be done. It holds:
//! - a successor takes no request before it knows what operators have taken out, unless its predecessor does not say so
//!   within [`PREDECESSOR_TIMEOUT_MS`]: one that hangs must not keep the new version out;
//! - a predecessor takes no new connection once a successor serves, and takes them again should that one die first;
//! - while several run, each uses an equal part of what the limiter may use;
//! - what an operator says at either holds at both before the caller is told, or after [`ACK_TIMEOUT_MS`] at the latest.

use crate::suspension::{Marks, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What this version says. Another version's messages are not read: it is as if it did not answer.
pub const VERSION: u32 = 1;
/// A predecessor that has not said what it knows by then is not waited for, ms. Well under the 6 s that a platform
/// gives a new version.
pub const PREDECESSOR_TIMEOUT_MS: Millis = 1500.0;
/// A caller waits this long, ms, for the other processes to take over what it said.
pub const ACK_TIMEOUT_MS: Millis = 500.0;

/// Names one connection to another process.
pub type PeerId = u64;
/// Names one thing that an operator said.
pub type ChangeId = u64;

/// What processes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The first word of either side: which version it speaks, and what it was told of servers.
    Hello {
        /// Must be [`VERSION`].
        version: u32,
        /// What operators have said so far.
        marks: Marks,
    },
    /// What operators have said since.
    Marks {
        /// To be acknowledged under this number.
        number: ChangeId,
        /// The servers concerned.
        marks: Marks,
    },
    /// What came under this number holds here too.
    Ack {
        /// The number.
        number: ChangeId,
    },
    /// The sender, a successor, serves.
    Ready,
}

/// Which of the two was there first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The other was there before this process.
    Predecessor,
    /// The other came after this process.
    Successor,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Message this to that process.
    Send(PeerId, Message),
    /// Take in what was said of servers; done before anything that comes after.
    Merge(Marks),
    /// Let the connection to that process go.
    Disconnect(PeerId),
    /// Take new connections of clients, or take none.
    Accept(bool),
    /// Use this part of what the limiter may use.
    SetShare(f64),
    /// Suspensions are taken over: the process may say that it is ready.
    SuspensionsReceived,
    /// What was said under this number holds everywhere, or has been waited for long enough.
    Acknowledged(ChangeId),
}

struct Peer {
    role: Role,
    /// It has said what it knows.
    greeted: bool,
    /// It serves.
    ready: bool,
}

struct PendingChange {
    missing: BTreeSet<PeerId>,
    deadline: Millis,
}

/// One process's side of the upgrade.
pub struct Handover {
    peers: BTreeMap<PeerId, Peer>,
    pending: BTreeMap<ChangeId, PendingChange>,
    last_change_id: ChangeId,
    takeover_done: bool,
    /// When a silent predecessor is not waited for any more.
    takeover_deadline: Millis,
    serves: bool,
    accepts: bool,
    share: f64,
    actions: Vec<Action>,
}

impl Handover {
    /// A process that has just started; `predecessor` if one could be reached.
    pub fn new(now: Millis, predecessor: Option<PeerId>, marks: &Marks) -> Self {
        let mut handover = Handover {
            peers: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_change_id: 0,
            takeover_done: false,
            takeover_deadline: now + PREDECESSOR_TIMEOUT_MS,
            serves: false,
            accepts: false,
            share: 1.0,
            actions: Vec::new(),
        };
        match predecessor {
            Some(id) => handover.add_peer(id, Role::Predecessor, marks),
            None => handover.finish_takeover(),
        }
        handover
    }

    /// What is to be done now; to be asked after every call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Suspensions are taken over.
    pub fn is_takeover_done(&self) -> bool {
        self.takeover_done
    }

    /// A successor serves, and this process only finishes what it has.
    pub fn has_yielded(&self) -> bool {
        self.peers.values().any(|p| p.role == Role::Successor && p.ready)
    }

    /// When [`Handover::tick`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        let takeover = Some(self.takeover_deadline).filter(|_| !self.takeover_done);
        let calls = self.pending.values().map(|w| w.deadline);
        calls.chain(takeover).min_by(f64::total_cmp)
    }

    /// A process that came after this one has connected.
    pub fn add_successor(&mut self, id: PeerId, marks: &Marks) {
        self.add_peer(id, Role::Successor, marks);
    }

    fn add_peer(&mut self, id: PeerId, role: Role, marks: &Marks) {
        self.peers.insert(id, Peer { role, greeted: false, ready: false });
        self.actions.push(Action::Send(id, Message::Hello { version: VERSION, marks: marks.clone() }));
        self.update_share();
    }

    /// Another process has said something. `marks` are this process's own.
    pub fn receive(&mut self, id: PeerId, message: Message) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        match message {
            Message::Hello { version, marks } if version == VERSION => {
                peer.greeted = true;
                let role = peer.role;
                self.actions.push(Action::Merge(marks.clone()));
                self.forward(id, marks);
                if role == Role::Predecessor {
                    self.finish_takeover();
                    if self.serves {
                        self.actions.push(Action::Send(id, Message::Ready));
                    }
                }
            }
            // Not a process to come to terms with; it goes its own way.
            Message::Hello { .. } => {
                self.actions.push(Action::Disconnect(id));
                self.peer_lost(id);
            }
            Message::Marks { number, marks } => {
                self.actions.push(Action::Merge(marks.clone()));
                self.actions.push(Action::Send(id, Message::Ack { number }));
                self.forward(id, marks);
            }
            Message::Ack { number } => self.acknowledge(id, number),
            Message::Ready => {
                peer.ready = true;
                self.decide_accepting();
            }
        }
    }

    /// Of three that run at once, each hears what each of the others was told.
    fn forward(&mut self, from: PeerId, marks: Marks) {
        if marks.0.is_empty() {
            return;
        }
        let number = self.next_change_id();
        for id in self.peers.keys().filter(|id| **id != from) {
            self.actions.push(Action::Send(*id, Message::Marks { number, marks: marks.clone() }));
        }
    }

    /// A process is gone or cannot be reached any more.
    pub fn peer_lost(&mut self, id: PeerId) {
        let Some(peer) = self.peers.remove(&id) else { return };
        let waiting: Vec<ChangeId> = self.pending.keys().copied().collect();
        waiting.into_iter().for_each(|number| self.acknowledge(id, number));
        if peer.role == Role::Predecessor {
            self.finish_takeover();
        }
        self.update_share();
        self.decide_accepting();
    }

    /// This process has its list of servers and can serve, as soon as suspensions are taken over.
    pub fn serve(&mut self) {
        if !self.serves {
            self.serves = true;
            self.start_serving();
        }
    }

    fn finish_takeover(&mut self) {
        if !self.takeover_done {
            self.takeover_done = true;
            self.actions.push(Action::SuspensionsReceived);
            self.start_serving();
        }
    }

    /// Once both hold, takes clients and says so.
    fn start_serving(&mut self) {
        if !(self.takeover_done && self.serves) {
            return;
        }
        let before = self.peers.iter().filter(|(_, p)| p.role == Role::Predecessor && p.greeted);
        let before: Vec<PeerId> = before.map(|(id, _)| *id).collect();
        self.decide_accepting();
        self.actions.extend(before.into_iter().map(|id| Action::Send(id, Message::Ready)));
    }

    fn decide_accepting(&mut self) {
        let accepts = self.takeover_done && self.serves && !self.has_yielded();
        if accepts != self.accepts {
            self.accepts = accepts;
            self.actions.push(Action::Accept(accepts));
        }
    }

    fn update_share(&mut self) {
        let share = 1.0 / (1.0 + self.peers.len() as f64);
        if share != self.share {
            self.share = share;
            self.actions.push(Action::SetShare(share));
        }
    }

    fn next_change_id(&mut self) -> ChangeId {
        self.last_change_id += 1;
        self.last_change_id
    }

    /// An operator has said something here. Its ticket comes back by [`Action::Acknowledged`].
    pub fn publish(&mut self, now: Millis, marks: &Marks) -> ChangeId {
        let number = self.next_change_id();
        let on: BTreeSet<PeerId> = self.peers.keys().copied().collect();
        for id in &on {
            self.actions.push(Action::Send(*id, Message::Marks { number, marks: marks.clone() }));
        }
        if on.is_empty() {
            self.actions.push(Action::Acknowledged(number));
        } else {
            self.pending.insert(number, PendingChange { missing: on, deadline: now + ACK_TIMEOUT_MS });
        }
        number
    }

    fn acknowledge(&mut self, id: PeerId, number: ChangeId) {
        let Some(waiting) = self.pending.get_mut(&number) else { return };
        waiting.missing.remove(&id);
        if waiting.missing.is_empty() {
            self.pending.remove(&number);
            self.actions.push(Action::Acknowledged(number));
        }
    }

    /// Gives up what has been waited for long enough.
    pub fn tick(&mut self, now: Millis) {
        if now >= self.takeover_deadline {
            self.finish_takeover();
        }
        let late: Vec<ChangeId> =
            self.pending.iter().filter(|(_, w)| now >= w.deadline).map(|(number, _)| *number).collect();
        for number in late {
            self.pending.remove(&number);
            self.actions.push(Action::Acknowledged(number));
        }
    }
}

#[cfg(test)]
mod tests;
