//! One limiter of a fleet: events in, outputs out.

use crate::decider::{Answer, Decider, Known, Proposal};
use crate::document::{Id, Revision};
use crate::election::{Ask, Election, News, Outcome, Register};
use crate::fetch::parts;
use crate::member::{Acting, Member};
use crate::message::{Message, Verdict};
use crate::terms::Terms;
use crate::{Millis, Peer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a limiter of a fleet is started with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Setup {
    /// The fleet's times.
    pub terms: Terms,
    /// This limiter.
    pub me: Peer,
    /// How many there are on the list.
    pub peers: u16,
    /// The one that decides; nothing: whom the coordinator's tree elects.
    pub decider: Option<Peer>,
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
    /// What came of [`Output::Ask`], by its register and serial number.
    Tree(Register, u64, Outcome),
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
    /// Ask this of the coordinator's tree, and say what came of it with [`Event::Tree`], each once.
    Ask(Register, u64, Ask),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Member(Box<Member>),
    Decider(Box<Decider>),
}

/// One limiter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    setup: Setup,
    /// The one that decides, as far as is known.
    decider: Option<Peer>,
    /// The latest term that was heard of.
    term: u64,
    role: Role,
    election: Option<Box<Election>>,
    outputs: VecDeque<Output>,
}

impl Node {
    /// A limiter that has just started.
    pub fn new(setup: &Setup, now: Millis) -> Node {
        let Setup { terms, me, decider, seed, .. } = *setup;
        let role = match decider == Some(me) {
            true => Role::Decider(Box::new(deciding(setup, setup.incarnation, seed, now))),
            false => Role::Member(Box::new(Member::new(terms, decider, seed, now))),
        };
        let election = decider.is_none().then(|| Box::new(Election::new(terms, me, setup.incarnation, now)));
        Node { setup: setup.clone(), decider, term: 0, role, election, outputs: VecDeque::new() }
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
            (_, Event::Tree(Register::Decider, _, outcome)) => self.elected(now, outcome),
            (Role::Decider(decider), Event::Tree(Register::Rules, serial, outcome)) => {
                if decider.kept(now, serial, outcome, out) {
                    self.resign(now);
                }
            }
            (Role::Member(_), Event::Tree(Register::Rules, ..)) => {}
        }
        self.elect(now);
    }

    // ---- Who decides --------------------------------------------------------------------------

    fn elect(&mut self, now: Millis) {
        let Some(election) = &mut self.election else { return };
        let ask = election.tick(now);
        self.outputs.extend(ask.map(|ask| Output::Ask(Register::Decider, 0, ask)));
        let Role::Decider(decider) = &mut self.role else { return };
        decider.lead_until(election.until());
        if decider.gives_up(now) {
            self.resign(now);
        }
    }

    fn elected(&mut self, now: Millis, outcome: Outcome) {
        let Some(election) = &mut self.election else { return };
        let (news, ask) = election.answered(now, outcome);
        self.outputs.extend(ask.map(|ask| Output::Ask(Register::Decider, 0, ask)));
        match news {
            Some(News::Won(term)) => self.won(now, term),
            Some(News::Holds(holder)) => {
                let over = matches!(&self.role, Role::Decider(decider) if now >= decider.authority());
                if over && holder.term <= self.term {
                    self.follow(now, None);
                }
                self.heard_of(now, holder.term, Some(holder.peer));
            }
            None => {}
        }
    }

    fn won(&mut self, now: Millis, term: u64) {
        (self.term, self.decider) = (term, Some(self.setup.me));
        if let Role::Decider(decider) = &mut self.role {
            if now < decider.authority() {
                return decider.go_on_in(term, now);
            }
        }
        self.follow(now, None);
        let Role::Member(member) = &self.role else { return };
        let seed = self.setup.seed ^ term;
        let decider = deciding(&self.setup, term, seed, now);
        let unbroken = self.election.as_ref().map_or(now, |e| e.unbroken());
        let mut decider = decider.elected(term, unbroken, (**member).clone(), now, &mut self.outputs);
        decider.lead_until(self.election.as_ref().map_or(0, |e| e.until()));
        decider.tick(now, &mut self.outputs);
        (self.role, self.decider) = (Role::Decider(Box::new(decider)), Some(self.setup.me));
    }

    /// A limiter, or the tree, says who holds a term.
    fn heard_of(&mut self, now: Millis, term: u64, peer: Option<Peer>) {
        let Some(election) = &mut self.election else { return };
        election.heard_of(term, peer);
        if let Some(peer) = peer.filter(|peer| term > self.term && *peer != self.setup.me) {
            self.term = term;
            self.follow(now, Some(peer));
        }
    }

    /// One that holds a term says so, or another limiter of it. Who knows of that term with another holder, or of a later
    /// one, tells the holder: the tree has been set back, and it is to take one that is later than all.
    fn called(&mut self, now: Millis, from: Peer, term: u64, peer: Option<Peer>) {
        let known = (self.term, self.decider);
        if peer == Some(from) && matches!(self.role, Role::Member(_)) && term <= known.0 && peer != known.1 {
            let message = Message::Decides { term: known.0, peer: known.1 };
            self.outputs.push_back(Output::Send(from, message));
        }
        self.heard_of(now, term, peer);
    }

    fn resign(&mut self, now: Millis) {
        if let Some(election) = &mut self.election {
            election.resign(now);
        }
        self.follow(now, None);
    }

    /// It is a member from now on, if it was none.
    fn follow(&mut self, now: Millis, peer: Option<Peer>) {
        let out = &mut self.outputs;
        if let Role::Decider(decider) = &self.role {
            let member = decider.clone().into_member(self.setup.seed, now, out);
            self.role = Role::Member(Box::new(member));
        }
        if let Role::Member(member) = &mut self.role {
            member.led_by(now, peer);
        }
        self.decider = peer;
    }

    fn hear(&mut self, now: Millis, from: Peer, message: Message) {
        if let Message::Decides { term, peer } = message {
            return self.called(now, from, term, peer);
        }
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
            // Who asks has not heard of the latest term.
            (Role::Member(_), Message::Ping(_)) if self.election.is_some() => {
                let (term, holder) = (self.term, self.decider.filter(|peer| *peer != from));
                let told = |peer| Output::Send(from, Message::Decides { term, peer: Some(peer) });
                out.extend(holder.map(told));
            }
            // Only the decider's word counts.
            (Role::Member(_), _) if Some(from) != self.decider => {}
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
        let role = match &self.role {
            Role::Member(member) => member.next_due(now),
            Role::Decider(decider) => decider.next_due(now),
        };
        role.min(self.election.as_ref().map_or(Millis::MAX, |e| e.next_due()))
    }

    /// The one that decides, as far as this limiter knows, and the term, where it was elected.
    pub fn decider(&self) -> (Option<Peer>, u64) {
        (self.decider, self.term)
    }

    /// When the coordinator's tree has last answered; nothing where there is none.
    pub fn tree_heard(&self) -> Option<Option<Millis>> {
        self.election.as_ref().map(|e| e.heard())
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

    /// How long its rules are known to be current, ms; for a named decider, without end.
    pub fn lease_left(&self, now: Millis) -> Millis {
        match &self.role {
            Role::Member(member) => member.lease_left(now),
            Role::Decider(decider) => match decider.authority() {
                Millis::MAX => Millis::MAX,
                until => until.saturating_sub(now),
            },
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

fn deciding(setup: &Setup, epoch: u64, seed: u64, now: Millis) -> Decider {
    let Setup { terms, me, peers, ref first, .. } = *setup;
    Decider::new(terms, me, peers, epoch, seed, first.clone(), now)
}
