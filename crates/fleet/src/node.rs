//! One limiter of a fleet: events in, outputs out.

use crate::decider::{Answer, Decider, Known, Proposal};
use crate::document::{Id, Revision};
use crate::fetch::parts;
use crate::member::{Acting, Member};
use crate::message::{Message, Verdict};
use crate::terms::Terms;
use crate::{Millis, Peer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a limiter of a fleet is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's times.
    pub terms: Terms,
    /// This limiter.
    pub me: Peer,
    /// How many there are on the list.
    pub peers: u16,
    /// The one that decides.
    pub decider: Peer,
    /// Grows with each start of this limiter (Unix ms).
    pub incarnation: u64,
    /// For tokens that do not come again.
    pub seed: u64,
    /// What the decider begins with if no limiter of the fleet has anything.
    pub first: Arc<str>,
}

/// What a limiter learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another limiter says this.
    Message(Peer, Message),
    /// What was found of a revision, after [`Output::Check`].
    Checked(Id, Verdict),
    /// An operator asks for a change.
    Propose(Proposal),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Tell another limiter.
    Send(Peer, Message),
    /// Check whether this revision could be acted by, whole, and say so with [`Event::Checked`].
    Check(Arc<Revision>),
    /// Act by this revision from now on, as long as [`Node::acting`] says so.
    Act(Arc<Revision>),
    /// Act by none until the next [`Output::Act`]: what was held is not current.
    Stopped,
    /// What became of a proposal, by its ticket.
    Answer(u64, Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Member(Box<Member>),
    Decider(Box<Decider>),
}

/// One limiter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    decider: Peer,
    role: Role,
    outputs: VecDeque<Output>,
}

impl Node {
    /// A limiter that has just started.
    pub fn new(setup: &Setup, now: Millis) -> Node {
        let Setup { terms, me, peers, decider, incarnation, seed, ref first } = *setup;
        let role = if me == decider {
            let decider = Decider::new(terms, me, peers, incarnation, seed, first.clone(), now);
            Role::Decider(Box::new(decider))
        } else {
            Role::Member(Box::new(Member::new(terms, decider, seed, now)))
        };
        Node { decider, role, outputs: VecDeque::new() }
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Millis, event: Event) {
        let out = &mut self.outputs;
        match (&mut self.role, event) {
            (Role::Member(member), Event::Tick) => member.tick(now, out),
            (Role::Decider(decider), Event::Tick) => decider.tick(now, out),
            (Role::Member(member), Event::Checked(id, verdict)) => {
                member.checked(now, id, verdict);
                member.tick(now, out);
            }
            (Role::Decider(decider), Event::Checked(id, verdict)) => decider.checked(now, id, verdict, out),
            (Role::Member(_), Event::Propose(ask)) => {
                out.push_back(Output::Answer(ask.ticket, Answer::NotDecider(self.decider)));
            }
            (Role::Decider(decider), Event::Propose(ask)) => decider.propose(now, ask, out),
            (_, Event::Message(from, message)) => self.hear(now, from, message),
        }
    }

    fn hear(&mut self, now: Millis, from: Peer, message: Message) {
        let out = &mut self.outputs;
        match (&mut self.role, message) {
            (Role::Decider(decider), Message::Ping(ping)) => decider.ping(now, from, ping, out),
            (Role::Decider(decider), Message::Shown(head)) => decider.shown(now, from, head, out),
            (Role::Decider(decider), piece @ Message::Piece { .. }) => decider.piece(now, from, &piece, out),
            (Role::Decider(decider), Message::Want { digest, from: byte }) => {
                if let Some(revision) = decider.text(&digest) {
                    out.extend(parts(revision, byte).map(|part| Output::Send(from, part)));
                }
            }
            // Only the decider's word counts.
            (Role::Member(_), _) if from != self.decider => {}
            (Role::Member(member), Message::Pong(pong)) => {
                member.pong(now, pong, out);
                member.tick(now, out);
            }
            (Role::Member(member), piece @ Message::Piece { .. }) => member.piece(now, &piece, out),
            (Role::Member(member), Message::Want { digest, from: byte }) => {
                if let Some(revision) = member.shows(|r| r.head.digest == digest) {
                    out.extend(parts(revision, byte).map(|part| Output::Send(from, part)));
                }
            }
            (Role::Member(member), Message::Show(id)) => {
                let shown = member.shows(|r| r.id() == id).map(|r| Message::Shown(r.head.clone()));
                out.extend(shown.map(|shown| Output::Send(from, shown)));
            }
            _ => {}
        }
    }

    /// What is to be done next. To be asked until there is nothing more.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Event::Tick`] is to come at the latest.
    pub fn next_due(&self, now: Millis) -> Millis {
        match &self.role {
            Role::Member(member) => member.next_due(now),
            Role::Decider(decider) => decider.next_due(now),
        }
    }

    /// By which rules this limiter may act now.
    pub fn acting(&self, now: Millis) -> Acting {
        match &self.role {
            Role::Member(member) => member.acting(now),
            Role::Decider(decider) => decider.acting(now),
        }
    }

    /// What it holds.
    pub fn held(&self) -> Option<&Arc<Revision>> {
        match &self.role {
            Role::Member(member) => member.held(),
            Role::Decider(decider) => decider.current(),
        }
    }

    /// What it has confirmed beside that; for the decider, what is being decided.
    pub fn confirmed(&self) -> Option<&Arc<Revision>> {
        match &self.role {
            Role::Member(member) => member.confirmed(),
            Role::Decider(decider) => decider.running().map(|(revision, _)| revision),
        }
    }

    /// How long its rules are known to be current, ms; for the decider, without end.
    pub fn lease_left(&self, now: Millis) -> Millis {
        match &self.role {
            Role::Member(member) => member.lease_left(now),
            Role::Decider(_) => Millis::MAX,
        }
    }

    /// What it was shown and cannot take, and why.
    pub fn veto(&self) -> Option<(Id, &str)> {
        match &self.role {
            Role::Member(member) => member.veto(),
            Role::Decider(_) => None,
        }
    }

    /// What the decider knows of the others; nothing elsewhere.
    pub fn known(&self) -> Option<&BTreeMap<Peer, Known>> {
        self.as_decider().map(Decider::known)
    }

    /// Its decider's side, where it is the one.
    pub fn as_decider(&self) -> Option<&Decider> {
        match &self.role {
            Role::Member(_) => None,
            Role::Decider(decider) => Some(decider),
        }
    }
}
