//! One limiter of a fleet: events in, outputs out.

use crate::decider::{Decider, MemberRecord, Proposal, ProposalOutcome};
use crate::document::{Id, Revision};
use crate::election::{Election, ElectionEvent, Register, RegisterRequest, RegisterResponse};
use crate::fetch::parts;
use crate::member::{ActiveRules, Member};
use crate::message::{Message, Verdict};
use crate::timing::LeaseTiming;
use crate::{Millis, Peer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a limiter of a fleet is started with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeOptions {
    /// The fleet's times.
    pub timing: LeaseTiming,
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
    /// What came of [`Output::Register`], by its register and serial number.
    Register(Register, u64, RegisterResponse),
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
    /// Act by this revision from now on, as long as [`Node::active_rules`] says so.
    Activate(Arc<Revision>),
    /// Act by none until the next [`Output::Activate`]: what was held is not current.
    Deactivate,
    /// What became of a proposal, by its ticket.
    ProposalFinished(u64, ProposalOutcome),
    /// Ask this of the coordinator's tree, and say what came of it with [`Event::Register`], each once.
    Register(Register, u64, RegisterRequest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Member(Box<Member>),
    Decider(Box<Decider>),
}

/// One limiter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    options: NodeOptions,
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
    pub fn new(options: &NodeOptions, now: Millis) -> Node {
        let NodeOptions { timing, me, decider, seed, .. } = *options;
        let role = match decider == Some(me) {
            true => Role::Decider(Box::new(deciding(options, options.incarnation, seed, now))),
            false => Role::Member(Box::new(Member::new(timing, decider, seed, now))),
        };
        let election =
            decider.is_none().then(|| Box::new(Election::new(timing, me, options.incarnation, now)));
        Node { options: options.clone(), decider, term: 0, role, election, outputs: VecDeque::new() }
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
                out.push_back(Output::ProposalFinished(
                    ask.ticket,
                    ProposalOutcome::NotDecider(self.decider),
                ));
            }
            (Role::Decider(decider), Event::Propose(ask)) => decider.propose(now, ask, out),
            (_, Event::Message(from, message)) => self.hear(now, from, message),
            (_, Event::Register(Register::Decider, _, outcome)) => self.elected(now, outcome),
            (Role::Decider(decider), Event::Register(Register::Rules, serial, outcome)) => {
                if decider.on_register_response(now, serial, outcome, out) {
                    self.resign(now);
                }
            }
            (Role::Member(_), Event::Register(Register::Rules, ..)) => {}
        }
        self.elect(now);
    }

    // ---- Who decides --------------------------------------------------------------------------

    fn elect(&mut self, now: Millis) {
        let Some(election) = &mut self.election else { return };
        let ask = election.tick(now);
        self.outputs.extend(ask.map(|ask| Output::Register(Register::Decider, 0, ask)));
        let Role::Decider(decider) = &mut self.role else { return };
        decider.extend_term(election.until());
        if decider.should_resign(now) {
            self.resign(now);
        }
    }

    fn elected(&mut self, now: Millis, outcome: RegisterResponse) {
        let Some(election) = &mut self.election else { return };
        let (news, ask) = election.answered(now, outcome);
        self.outputs.extend(ask.map(|ask| Output::Register(Register::Decider, 0, ask)));
        match news {
            Some(ElectionEvent::Won(term)) => self.won(now, term),
            Some(ElectionEvent::HolderObserved(holder)) => {
                let over = matches!(&self.role, Role::Decider(decider) if now >= decider.authority());
                if over && holder.term <= self.term {
                    self.adopt_current(now, None);
                }
                self.observe_term(now, holder.term, Some(holder.peer));
            }
            None => {}
        }
    }

    fn won(&mut self, now: Millis, term: u64) {
        (self.term, self.decider) = (term, Some(self.options.me));
        if let Role::Decider(decider) = &mut self.role {
            if now < decider.authority() {
                return decider.continue_in_term(term, now);
            }
        }
        self.adopt_current(now, None);
        let Role::Member(member) = &self.role else { return };
        let seed = self.options.seed ^ term;
        let decider = deciding(&self.options, term, seed, now);
        let unbroken = self.election.as_ref().map_or(now, |e| e.unbroken());
        let mut decider = decider.elected(term, unbroken, (**member).clone(), now, &mut self.outputs);
        decider.extend_term(self.election.as_ref().map_or(0, |e| e.until()));
        decider.tick(now, &mut self.outputs);
        (self.role, self.decider) = (Role::Decider(Box::new(decider)), Some(self.options.me));
    }

    /// A limiter, or the tree, says who holds a term.
    fn observe_term(&mut self, now: Millis, term: u64, peer: Option<Peer>) {
        let Some(election) = &mut self.election else { return };
        election.observe_term(term, peer);
        if let Some(peer) = peer.filter(|peer| term > self.term && *peer != self.options.me) {
            self.term = term;
            self.adopt_current(now, Some(peer));
        }
    }

    /// One that holds a term says so, or another limiter of it. Who knows of that term with another holder, or of a later
    /// one, tells the holder: the tree has been set back, and it is to take one that is later than all.
    fn called(&mut self, now: Millis, from: Peer, term: u64, peer: Option<Peer>) {
        let known = (self.term, self.decider);
        if peer == Some(from) && matches!(self.role, Role::Member(_)) && term <= known.0 && peer != known.1 {
            let message = Message::TermAnnouncement { term: known.0, peer: known.1 };
            self.outputs.push_back(Output::Send(from, message));
        }
        self.observe_term(now, term, peer);
    }

    fn resign(&mut self, now: Millis) {
        if let Some(election) = &mut self.election {
            election.resign(now);
        }
        self.adopt_current(now, None);
    }

    /// It is a member from now on, if it was none.
    fn adopt_current(&mut self, now: Millis, peer: Option<Peer>) {
        let out = &mut self.outputs;
        if let Role::Decider(decider) = &self.role {
            let member = decider.clone().into_member(self.options.seed, now, out);
            self.role = Role::Member(Box::new(member));
        }
        if let Role::Member(member) = &mut self.role {
            member.set_decider(now, peer);
        }
        self.decider = peer;
    }

    fn hear(&mut self, now: Millis, from: Peer, message: Message) {
        if let Message::TermAnnouncement { term, peer } = message {
            return self.called(now, from, term, peer);
        }
        let out = &mut self.outputs;
        match (&mut self.role, message) {
            (Role::Decider(decider), Message::Ping(ping)) => decider.ping(now, from, ping, out),
            (Role::Decider(decider), Message::HeadResponse(head)) => decider.on_head(now, from, head, out),
            (Role::Decider(decider), chunk @ Message::Chunk { .. }) => {
                decider.on_chunk(now, from, &chunk, out);
            }
            (Role::Decider(decider), Message::ChunkRequest { digest, from: byte }) => {
                if let Some(revision) = decider.text(&digest) {
                    out.extend(parts(revision, byte).map(|part| Output::Send(from, part)));
                }
            }
            // Who asks has not heard of the latest term.
            (Role::Member(_), Message::Ping(_)) if self.election.is_some() => {
                let (term, holder) = (self.term, self.decider.filter(|peer| *peer != from));
                let told = |peer| Output::Send(from, Message::TermAnnouncement { term, peer: Some(peer) });
                out.extend(holder.map(told));
            }
            // Only the decider's word counts.
            (Role::Member(_), _) if Some(from) != self.decider => {}
            (Role::Member(member), Message::Pong(pong)) => {
                member.pong(now, pong, out);
                member.tick(now, out);
            }
            (Role::Member(member), chunk @ Message::Chunk { .. }) => member.on_chunk(now, &chunk, out),
            (Role::Member(member), Message::ChunkRequest { digest, from: byte }) => {
                if let Some(revision) = member.known_revision(|r| r.head.digest == digest) {
                    out.extend(parts(revision, byte).map(|part| Output::Send(from, part)));
                }
            }
            (Role::Member(member), Message::HeadRequest(id)) => {
                let head =
                    member.known_revision(|r| r.id() == id).map(|r| Message::HeadResponse(r.head.clone()));
                out.extend(head.map(|head| Output::Send(from, head)));
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
    pub fn register_last_response(&self) -> Option<Option<Millis>> {
        self.election.as_ref().map(|e| e.heard())
    }

    /// By which rules this limiter may act now.
    pub fn active_rules(&self, now: Millis) -> ActiveRules {
        match &self.role {
            Role::Member(member) => member.active_rules(now),
            Role::Decider(decider) => decider.active_rules(now),
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
            Role::Decider(decider) => decider.pending().map(|(revision, _)| revision),
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
    pub fn member_records(&self) -> Option<&BTreeMap<Peer, MemberRecord>> {
        self.as_decider().map(Decider::member_records)
    }

    /// Its decider's side, where it is the one.
    pub fn as_decider(&self) -> Option<&Decider> {
        match &self.role {
            Role::Member(_) => None,
            Role::Decider(decider) => Some(decider),
        }
    }
}

fn deciding(options: &NodeOptions, epoch: u64, seed: u64, now: Millis) -> Decider {
    let NodeOptions { timing, me, peers, ref first, .. } = *options;
    Decider::new(timing, me, peers, epoch, seed, first.clone(), now)
}
