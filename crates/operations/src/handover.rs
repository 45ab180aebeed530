//! Process upgrade: lets an old and a new process act as one limiter while both run.
//!
//! Each process keeps one [`Handover`]. It receives connection events and messages of the other processes, and returns
//! the [`Action`]s to carry out. It guarantees:
//! - a successor accepts no request before it knows which servers are suspended, unless its predecessor sends nothing
//!   within [`PREDECESSOR_TIMEOUT_MS`]: a predecessor that hangs must not block the new version;
//! - a predecessor accepts no new connections once a successor serves, and accepts them again if the successor dies;
//! - while several processes run, each uses an equal share of the limits;
//! - a suspend or resume call is acknowledged by every process before its caller gets a response, which is delayed by
//!   [`ACK_TIMEOUT_MS`] at most.

use crate::suspension::{Marks, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Protocol version. A process with another version is disconnected, as if it did not answer.
pub const VERSION: u32 = 1;
/// How long to wait for a predecessor's suspensions, ms. Well under the 6 s that a platform gives a new version to start.
pub const PREDECESSOR_TIMEOUT_MS: Millis = 1500.0;
/// How long a suspend or resume call waits for the other processes' acknowledgements, ms.
pub const ACK_TIMEOUT_MS: Millis = 500.0;

/// Identifies a connection to another process.
pub type PeerId = u64;
/// Identifies a suspend or resume call, or marks that are forwarded.
pub type ChangeId = u64;

/// Messages between processes, written as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// First message of either side: its protocol version and its marks.
    Hello {
        /// Must be [`VERSION`].
        version: u32,
        /// All marks of the sender.
        marks: Marks,
    },
    /// Marks set since the greeting.
    Marks {
        /// Identifies the change in the acknowledgement.
        number: ChangeId,
        /// Marks to merge.
        marks: Marks,
    },
    /// The sender has merged the marks sent under this number.
    Ack {
        /// The number of the acknowledged [`Message::Marks`].
        number: ChangeId,
    },
    /// The sender, a successor, accepts requests.
    Ready,
}

/// Role of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The other process started first.
    Predecessor,
    /// The other process started later.
    Successor,
}

/// Actions to carry out, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to that process.
    Send(PeerId, Message),
    /// Merge the marks, before any later action.
    Merge(Marks),
    /// Close the connection to that process.
    Disconnect(PeerId),
    /// Start or stop accepting client connections.
    Accept(bool),
    /// Use this share (0 to 1) of the limits.
    SetShare(f64),
    /// The suspensions are known, or the wait for them is over: the process may report that it is ready.
    TakeoverDone,
    /// Every process has acknowledged the change, or the wait for acknowledgements has timed out.
    Acknowledged(ChangeId),
}

struct Peer {
    role: Role,
    /// Whether its greeting has arrived.
    greeted: bool,
    /// Whether it accepts requests.
    ready: bool,
}

struct PendingChange {
    missing: BTreeSet<PeerId>,
    deadline: Millis,
}

/// Upgrade state of one process.
pub struct Handover {
    peers: BTreeMap<PeerId, Peer>,
    pending: BTreeMap<ChangeId, PendingChange>,
    last_change_id: ChangeId,
    takeover_done: bool,
    /// When the wait for the predecessor's greeting ends.
    takeover_deadline: Millis,
    serves: bool,
    accepts: bool,
    share: f64,
    actions: Vec<Action>,
}

impl Handover {
    /// Creates the state of a process that has just started; `predecessor` is set if one could be reached.
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

    /// Returns the actions to carry out now. Must be called after every other call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the predecessor's suspensions are known, or no longer waited for.
    pub fn is_takeover_done(&self) -> bool {
        self.takeover_done
    }

    /// Returns whether a successor serves, so that this process only finishes its open requests.
    pub fn has_yielded(&self) -> bool {
        self.peers.values().any(|p| p.role == Role::Successor && p.ready)
    }

    /// Returns when [`Handover::tick`] must be called, if a timeout is pending.
    pub fn next_due(&self) -> Option<Millis> {
        let takeover = Some(self.takeover_deadline).filter(|_| !self.takeover_done);
        let calls = self.pending.values().map(|w| w.deadline);
        calls.chain(takeover).min_by(f64::total_cmp)
    }

    /// Handles the connection of a process that started later.
    pub fn add_successor(&mut self, id: PeerId, marks: &Marks) {
        self.add_peer(id, Role::Successor, marks);
    }

    fn add_peer(&mut self, id: PeerId, role: Role, marks: &Marks) {
        self.peers.insert(id, Peer { role, greeted: false, ready: false });
        self.actions.push(Action::Send(id, Message::Hello { version: VERSION, marks: marks.clone() }));
        self.update_share();
    }

    /// Handles a message of another process.
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
            // Another protocol version: the processes run independently.
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

    /// Forwards marks to all other processes, so that with three processes each gets the marks of both others.
    fn forward(&mut self, from: PeerId, marks: Marks) {
        if marks.0.is_empty() {
            return;
        }
        let number = self.next_change_id();
        for id in self.peers.keys().filter(|id| **id != from) {
            self.actions.push(Action::Send(*id, Message::Marks { number, marks: marks.clone() }));
        }
    }

    /// Handles the loss of a process, or of the connection to it.
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

    /// Records that this process has its list of servers. It serves once the suspensions are known too.
    pub fn serve(&mut self) {
        if !self.serves {
            self.serves = true;
            self.start_serving();
        }
    }

    fn finish_takeover(&mut self) {
        if !self.takeover_done {
            self.takeover_done = true;
            self.actions.push(Action::TakeoverDone);
            self.start_serving();
        }
    }

    /// Accepts clients and tells the predecessors, once the server list and the suspensions are both known.
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

    /// Sends the marks of an operator's call to all other processes. The returned id comes back in
    /// [`Action::Acknowledged`].
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

    /// Handles the timeouts that are due at `now`.
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
