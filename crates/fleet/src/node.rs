//! One limiter of a fleet as a state machine: takes events, emits outputs.

use crate::decider::{Decider, MemberRecord, Proposal, ProposalOutcome};
use crate::document::{Id, Revision};
use crate::election::{Election, ElectionEvent, Register, RegisterRequest, RegisterResponse};
use crate::fetch::chunks_from;
use crate::member::{ActiveRules, Member};
use crate::message::{Message, Verdict};
use crate::timing::LeaseTiming;
use crate::{Millis, Peer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Settings with which a limiter of a fleet starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeOptions {
    /// Timing parameters of the fleet.
    pub timing: LeaseTiming,
    /// This limiter.
    pub me: Peer,
    /// Number of limiters in the fleet, including this one.
    pub peers: u16,
    /// Decider named in the settings; `None` if it is elected through the coordinator.
    pub decider: Option<Peer>,
    /// Grows with each start of this limiter (Unix ms).
    pub incarnation: u64,
    /// Seed of tokens, and id of this process.
    pub seed: u64,
    /// Text of the first revision, decided if no limiter of the fleet holds any.
    pub first: Arc<str>,
}

/// Input of a limiter.
#[derive(Clone, Debug)]
pub enum Event {
    /// Message received from another limiter.
    Message(Peer, Message),
    /// Result of the check requested by [`Output::Check`].
    Checked(Id, Verdict),
    /// Proposal of an operator.
    Propose(Proposal),
    /// Response to an [`Output::Register`], with its register and serial number.
    Register(Register, u64, RegisterResponse),
    /// A timer may be due; see [`Node::next_due`].
    Tick,
}

/// Action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this message to this limiter.
    Send(Peer, Message),
    /// Check whether this revision could be applied as a whole, and report the result with [`Event::Checked`].
    Check(Arc<Revision>),
    /// Apply this revision from now on, as far as [`Node::active_rules`] allows.
    Activate(Arc<Revision>),
    /// Apply no rules until the next [`Output::Activate`]: the held revision is not current.
    Deactivate,
    /// Outcome of the proposal with this ticket.
    ProposalFinished(u64, ProposalOutcome),
    /// Send this request to the coordinator, and report its response with exactly one [`Event::Register`].
    Register(Register, u64, RegisterRequest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Member(Box<Member>),
    Decider(Box<Decider>),
}

/// State of one limiter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    options: NodeOptions,
    /// Decider, as far as known.
    decider: Option<Peer>,
    /// Latest known term.
    term: u64,
    role: Role,
    election: Option<Box<Election>>,
    outputs: VecDeque<Output>,
}

impl Node {
    /// Creates a limiter that has just started.
    pub fn new(options: &NodeOptions, now: Millis) -> Node {
        let NodeOptions { timing, me, decider, seed, .. } = *options;
        let role = match decider == Some(me) {
            true => Role::Decider(Box::new(new_decider(options, options.incarnation, seed, now))),
            false => Role::Member(Box::new(Member::new(timing, decider, seed, now))),
        };
        let election =
            decider.is_none().then(|| Box::new(Election::new(timing, me, options.incarnation, now)));
        Node { options: options.clone(), decider, term: 0, role, election, outputs: VecDeque::new() }
    }

    /// Handles one event. Its actions are queued for [`Node::output`].
    pub fn handle(&mut self, now: Millis, event: Event) {
        let out = &mut self.outputs;
        match (&mut self.role, event) {
            (Role::Member(member), Event::Tick) => member.tick(now, out),
            (Role::Decider(decider), Event::Tick) => decider.tick(now, out),
            (Role::Member(member), Event::Checked(id, verdict)) => {
                member.record_verdict(now, id, verdict);
                member.tick(now, out);
            }
            (Role::Decider(decider), Event::Checked(id, verdict)) => {
                decider.record_verdict(now, id, verdict, out);
            }
            (Role::Member(_), Event::Propose(proposal)) => {
                out.push_back(Output::ProposalFinished(
                    proposal.ticket,
                    ProposalOutcome::NotDecider(self.decider),
                ));
            }
            (Role::Decider(decider), Event::Propose(proposal)) => decider.propose(now, proposal, out),
            (_, Event::Message(from, message)) => self.on_message(now, from, message),
            (_, Event::Register(Register::Decider, _, response)) => self.on_election_response(now, response),
            (Role::Decider(decider), Event::Register(Register::Rules, serial, response)) => {
                if decider.on_register_response(now, serial, response, out) {
                    self.resign(now);
                }
            }
            (Role::Member(_), Event::Register(Register::Rules, ..)) => {}
        }
        self.run_election(now);
    }

    // ---- Election of the decider ---------------------------------------------------------------

    fn run_election(&mut self, now: Millis) {
        let Some(election) = &mut self.election else { return };
        let request = election.tick(now);
        self.outputs.extend(request.map(|request| Output::Register(Register::Decider, 0, request)));
        let Role::Decider(decider) = &mut self.role else { return };
        decider.extend_term(election.authority_until());
        if decider.should_resign(now) {
            self.resign(now);
        }
    }

    fn on_election_response(&mut self, now: Millis, response: RegisterResponse) {
        let Some(election) = &mut self.election else { return };
        let (result, request) = election.handle_response(now, response);
        self.outputs.extend(request.map(|request| Output::Register(Register::Decider, 0, request)));
        match result {
            Some(ElectionEvent::Won(term)) => self.on_election_won(now, term),
            Some(ElectionEvent::HolderObserved(holder)) => {
                let authority_expired =
                    matches!(&self.role, Role::Decider(decider) if now >= decider.authority());
                if authority_expired && holder.term <= self.term {
                    self.follow(now, None);
                }
                self.observe_term(now, holder.term, Some(holder.peer));
            }
            None => {}
        }
    }

    fn on_election_won(&mut self, now: Millis, term: u64) {
        (self.term, self.decider) = (term, Some(self.options.me));
        if let Role::Decider(decider) = &mut self.role {
            if now < decider.authority() {
                return decider.continue_in_term(term, now);
            }
        }
        self.follow(now, None);
        let Role::Member(member) = &self.role else { return };
        let seed = self.options.seed ^ term;
        let decider = new_decider(&self.options, term, seed, now);
        let observed_since = self.election.as_ref().map_or(now, |e| e.observed_since());
        let mut decider =
            decider.begin_term(term, observed_since, (**member).clone(), now, &mut self.outputs);
        decider.extend_term(self.election.as_ref().map_or(0, |e| e.authority_until()));
        decider.tick(now, &mut self.outputs);
        (self.role, self.decider) = (Role::Decider(Box::new(decider)), Some(self.options.me));
    }

    /// Handles the news, from a limiter or the coordinator, of who holds a term.
    fn observe_term(&mut self, now: Millis, term: u64, peer: Option<Peer>) {
        let Some(election) = &mut self.election else { return };
        election.observe_term(term, peer);
        if let Some(peer) = peer.filter(|peer| term > self.term && *peer != self.options.me) {
            self.term = term;
            self.follow(now, Some(peer));
        }
    }

    /// Handles a term announcement. A limiter that knows of the same term with another holder, or of a later one,
    /// tells the sender: the coordinator's data was restored to an earlier state, and the sender has to take a term
    /// later than all known ones.
    fn on_term_announcement(&mut self, now: Millis, from: Peer, term: u64, peer: Option<Peer>) {
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
        self.follow(now, None);
    }

    /// Follows this decider; becomes a member if it was the decider.
    fn follow(&mut self, now: Millis, peer: Option<Peer>) {
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

    fn on_message(&mut self, now: Millis, from: Peer, message: Message) {
        if let Message::TermAnnouncement { term, peer } = message {
            return self.on_term_announcement(now, from, term, peer);
        }
        let out = &mut self.outputs;
        match (&mut self.role, message) {
            (Role::Decider(decider), Message::Ping(ping)) => decider.on_ping(now, from, ping, out),
            (Role::Decider(decider), Message::HeadResponse(head)) => decider.on_head(now, from, head, out),
            (Role::Decider(decider), chunk @ Message::Chunk { .. }) => {
                decider.on_chunk(now, from, &chunk, out);
            }
            (Role::Decider(decider), Message::ChunkRequest { digest, from: offset }) => {
                if let Some(revision) = decider.text(&digest) {
                    out.extend(chunks_from(revision, offset).map(|chunk| Output::Send(from, chunk)));
                }
            }
            // The sender has not heard of the latest term.
            (Role::Member(_), Message::Ping(_)) if self.election.is_some() => {
                let (term, holder) = (self.term, self.decider.filter(|peer| *peer != from));
                let announcement =
                    |peer| Output::Send(from, Message::TermAnnouncement { term, peer: Some(peer) });
                out.extend(holder.map(announcement));
            }
            // Members accept messages from the decider only.
            (Role::Member(_), _) if Some(from) != self.decider => {}
            (Role::Member(member), Message::Pong(pong)) => {
                member.on_pong(now, pong, out);
                member.tick(now, out);
            }
            (Role::Member(member), chunk @ Message::Chunk { .. }) => member.on_chunk(now, &chunk, out),
            (Role::Member(member), Message::ChunkRequest { digest, from: offset }) => {
                if let Some(revision) = member.known_revision(|r| r.head.digest == digest) {
                    out.extend(chunks_from(revision, offset).map(|chunk| Output::Send(from, chunk)));
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

    /// Returns the next action to carry out. Call it until it returns `None`.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the latest time for the next [`Event::Tick`].
    pub fn next_due(&self, now: Millis) -> Millis {
        let role = match &self.role {
            Role::Member(member) => member.next_due(now),
            Role::Decider(decider) => decider.next_due(now),
        };
        role.min(self.election.as_ref().map_or(Millis::MAX, |e| e.next_due()))
    }

    /// Returns the decider, as far as known, and the latest known term; 0 if none was elected.
    pub fn decider(&self) -> (Option<Peer>, u64) {
        (self.decider, self.term)
    }

    /// Returns when the coordinator last responded, if ever; the outer `None` means that there is no coordinator.
    pub fn register_last_response(&self) -> Option<Option<Millis>> {
        self.election.as_ref().map(|e| e.last_response())
    }

    /// Returns the rules that this limiter may apply now.
    pub fn active_rules(&self, now: Millis) -> ActiveRules {
        match &self.role {
            Role::Member(member) => member.active_rules(now),
            Role::Decider(decider) => decider.active_rules(now),
        }
    }

    /// Returns the held revision.
    pub fn held(&self) -> Option<&Arc<Revision>> {
        match &self.role {
            Role::Member(member) => member.held(),
            Role::Decider(decider) => decider.current(),
        }
    }

    /// Returns the confirmed revision that is not in force yet; at the decider, the pending one.
    pub fn confirmed(&self) -> Option<&Arc<Revision>> {
        match &self.role {
            Role::Member(member) => member.confirmed(),
            Role::Decider(decider) => decider.pending().map(|(revision, _)| revision),
        }
    }

    /// Returns the remaining time of the lease, ms; [`Millis::MAX`] for a named decider.
    pub fn lease_left(&self, now: Millis) -> Millis {
        match &self.role {
            Role::Member(member) => member.lease_left(now),
            Role::Decider(decider) => match decider.authority() {
                Millis::MAX => Millis::MAX,
                until => until.saturating_sub(now),
            },
        }
    }

    /// Returns the revision that this member cannot apply, and the reason.
    pub fn veto(&self) -> Option<(Id, &str)> {
        match &self.role {
            Role::Member(member) => member.veto(),
            Role::Decider(_) => None,
        }
    }

    /// Returns the decider's records of the other limiters; `None` at members.
    pub fn member_records(&self) -> Option<&BTreeMap<Peer, MemberRecord>> {
        self.as_decider().map(Decider::member_records)
    }

    /// Returns the decider's state; `None` at members.
    pub fn as_decider(&self) -> Option<&Decider> {
        match &self.role {
            Role::Member(_) => None,
            Role::Decider(decider) => Some(decider),
        }
    }
}

fn new_decider(options: &NodeOptions, epoch: u64, seed: u64, now: Millis) -> Decider {
    let NodeOptions { timing, me, peers, ref first, .. } = *options;
    Decider::new(timing, me, peers, epoch, seed, first.clone(), now)
}
