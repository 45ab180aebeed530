//! The upgrade: how a process and the one that follows it behave as one limiter while both run.
//!
//! Each process keeps one [`Handover`]. It is told which other processes can be reached and what they say, and gives
//! back what is to be done. It holds:
//! - a successor takes no request before it knows what operators have taken out, unless its predecessor does not say so
//!   within [`PATIENCE`]: one that hangs must not keep the new version out;
//! - a predecessor takes no new connection once a successor serves, and takes them again should that one die first;
//! - while several run, each uses an equal part of what the limiter may use;
//! - what an operator says at either holds at both before the caller is told, or after [`ACK_WITHIN`] at the latest.

use crate::suspension::{Marks, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What this version says. Another version's messages are not read: it is as if it did not answer.
pub const VERSION: u32 = 1;
/// A predecessor that has not said what it knows by then is not waited for, ms. Well under the 6 s that a platform
/// gives a new version.
pub const PATIENCE: Millis = 1500.0;
/// A caller waits this long, ms, for the other processes to take over what it said.
pub const ACK_WITHIN: Millis = 500.0;

/// Names one connection to another process.
pub type PeerId = u64;
/// Names one thing that an operator said.
pub type Ticket = u64;

/// What processes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Say {
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
        number: Ticket,
        /// The servers concerned.
        marks: Marks,
    },
    /// What came under this number holds here too.
    Ack {
        /// The number.
        number: Ticket,
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
pub enum Do {
    /// Say this to that process.
    Tell(PeerId, Say),
    /// Take in what was said of servers; done before anything that comes after.
    Merge(Marks),
    /// Let the connection to that process go.
    Drop(PeerId),
    /// Take new connections of clients, or take none.
    Accept(bool),
    /// Use this part of what the limiter may use.
    Part(f64),
    /// Suspensions are taken over: the process may say that it is ready.
    Settled,
    /// What was said under this number holds everywhere, or has been waited for long enough.
    Held(Ticket),
}

struct Peer {
    role: Role,
    /// It has said what it knows.
    met: bool,
    /// It serves.
    ready: bool,
}

struct Waiting {
    on: BTreeSet<PeerId>,
    until: Millis,
}

/// One process's side of the upgrade.
pub struct Handover {
    peers: BTreeMap<PeerId, Peer>,
    waiting: BTreeMap<Ticket, Waiting>,
    next: Ticket,
    settled: bool,
    /// When a silent predecessor is not waited for any more.
    settles_by: Millis,
    serves: bool,
    accepts: bool,
    part: f64,
    todo: Vec<Do>,
}

impl Handover {
    /// A process that has just started; `predecessor` if one could be reached.
    pub fn new(now: Millis, predecessor: Option<PeerId>, marks: &Marks) -> Self {
        let mut handover = Handover {
            peers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 0,
            settled: false,
            settles_by: now + PATIENCE,
            serves: false,
            accepts: false,
            part: 1.0,
            todo: Vec::new(),
        };
        match predecessor {
            Some(id) => handover.meet(id, Role::Predecessor, marks),
            None => handover.settle(),
        }
        handover
    }

    /// What is to be done now; to be asked after every call.
    pub fn take(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.todo)
    }

    /// Suspensions are taken over.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// A successor serves, and this process only finishes what it has.
    pub fn has_yielded(&self) -> bool {
        self.peers.values().any(|p| p.role == Role::Successor && p.ready)
    }

    /// When [`Handover::tick`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        let settles = Some(self.settles_by).filter(|_| !self.settled);
        let calls = self.waiting.values().map(|w| w.until);
        calls.chain(settles).min_by(f64::total_cmp)
    }

    /// A process that came after this one has connected.
    pub fn successor(&mut self, id: PeerId, marks: &Marks) {
        self.meet(id, Role::Successor, marks);
    }

    fn meet(&mut self, id: PeerId, role: Role, marks: &Marks) {
        self.peers.insert(id, Peer { role, met: false, ready: false });
        self.todo.push(Do::Tell(id, Say::Hello { version: VERSION, marks: marks.clone() }));
        self.share();
    }

    /// Another process has said something. `marks` are this process's own.
    pub fn heard(&mut self, id: PeerId, say: Say) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        match say {
            Say::Hello { version, marks } if version == VERSION => {
                peer.met = true;
                let role = peer.role;
                self.todo.push(Do::Merge(marks.clone()));
                self.pass_on(id, marks);
                if role == Role::Predecessor {
                    self.settle();
                    if self.serves {
                        self.todo.push(Do::Tell(id, Say::Ready));
                    }
                }
            }
            // Not a process to come to terms with; it goes its own way.
            Say::Hello { .. } => {
                self.todo.push(Do::Drop(id));
                self.lost(id);
            }
            Say::Marks { number, marks } => {
                self.todo.push(Do::Merge(marks.clone()));
                self.todo.push(Do::Tell(id, Say::Ack { number }));
                self.pass_on(id, marks);
            }
            Say::Ack { number } => self.acknowledged(id, number),
            Say::Ready => {
                peer.ready = true;
                self.decide_accepting();
            }
        }
    }

    /// Of three that run at once, each hears what each of the others was told.
    fn pass_on(&mut self, from: PeerId, marks: Marks) {
        if marks.0.is_empty() {
            return;
        }
        let number = self.number();
        for id in self.peers.keys().filter(|id| **id != from) {
            self.todo.push(Do::Tell(*id, Say::Marks { number, marks: marks.clone() }));
        }
    }

    /// A process is gone or cannot be reached any more.
    pub fn lost(&mut self, id: PeerId) {
        let Some(peer) = self.peers.remove(&id) else { return };
        let waiting: Vec<Ticket> = self.waiting.keys().copied().collect();
        waiting.into_iter().for_each(|number| self.acknowledged(id, number));
        if peer.role == Role::Predecessor {
            self.settle();
        }
        self.share();
        self.decide_accepting();
    }

    /// This process has its list of servers and can serve, as soon as suspensions are taken over.
    pub fn serve(&mut self) {
        if !self.serves {
            self.serves = true;
            self.begin();
        }
    }

    fn settle(&mut self) {
        if !self.settled {
            self.settled = true;
            self.todo.push(Do::Settled);
            self.begin();
        }
    }

    /// Once both hold, takes clients and says so.
    fn begin(&mut self) {
        if !(self.settled && self.serves) {
            return;
        }
        let before = self.peers.iter().filter(|(_, p)| p.role == Role::Predecessor && p.met);
        let before: Vec<PeerId> = before.map(|(id, _)| *id).collect();
        self.decide_accepting();
        self.todo.extend(before.into_iter().map(|id| Do::Tell(id, Say::Ready)));
    }

    fn decide_accepting(&mut self) {
        let accepts = self.settled && self.serves && !self.has_yielded();
        if accepts != self.accepts {
            self.accepts = accepts;
            self.todo.push(Do::Accept(accepts));
        }
    }

    fn share(&mut self) {
        let part = 1.0 / (1.0 + self.peers.len() as f64);
        if part != self.part {
            self.part = part;
            self.todo.push(Do::Part(part));
        }
    }

    fn number(&mut self) -> Ticket {
        self.next += 1;
        self.next
    }

    /// An operator has said something here. Its ticket comes back by [`Do::Held`].
    pub fn said(&mut self, now: Millis, marks: &Marks) -> Ticket {
        let number = self.number();
        let on: BTreeSet<PeerId> = self.peers.keys().copied().collect();
        for id in &on {
            self.todo.push(Do::Tell(*id, Say::Marks { number, marks: marks.clone() }));
        }
        if on.is_empty() {
            self.todo.push(Do::Held(number));
        } else {
            self.waiting.insert(number, Waiting { on, until: now + ACK_WITHIN });
        }
        number
    }

    fn acknowledged(&mut self, id: PeerId, number: Ticket) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        waiting.on.remove(&id);
        if waiting.on.is_empty() {
            self.waiting.remove(&number);
            self.todo.push(Do::Held(number));
        }
    }

    /// Gives up what has been waited for long enough.
    pub fn tick(&mut self, now: Millis) {
        if now >= self.settles_by {
            self.settle();
        }
        let late: Vec<Ticket> =
            self.waiting.iter().filter(|(_, w)| now >= w.until).map(|(number, _)| *number).collect();
        for number in late {
            self.waiting.remove(&number);
            self.todo.push(Do::Held(number));
        }
    }
}

#[cfg(test)]
mod tests;
