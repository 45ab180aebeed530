//! The side of the one that decides: who is bound by what until when, who has confirmed what, and when a revision may
//! be decided.

use crate::document::{Digest, Head, Id, Revision, MOST_BYTES};
use crate::election::{Outcome, Register};
use crate::fetch::{Fetch, Step};
use crate::keeper::{Keeper, Kept};
use crate::member::{Acting, Member};
use crate::message::{cut, Message, Ping, Pong, Verdict, MOST_AUTHOR};
use crate::node::Output;
use crate::terms::{OnLapse, Terms};
use crate::{Millis, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Revisions whose texts are kept, to show and to go back to.
const MOST_HISTORY: usize = 64;

/// Answers to a limiter whose being taken in is looked for.
const MOST_ANSWERS: usize = 16;

/// What the decider knows of a limiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    /// Of the process that is known; 0: of none yet.
    token: u64,
    /// Counts the processes that were known: a token that was given out before the last of them came is no good any more,
    /// as who would show it may have ended long ago.
    lives: u64,
    last_seq: u64,
    /// The last question whose answer kept something current.
    last_kept: u64,
    /// When it last said something of itself.
    pub heard: Option<Millis>,
    /// Until then it may act by the rules of the last answer, its clock as slow as may be.
    pub leased_until: Millis,
    /// And until then by stricter ones.
    pub bound_until: Millis,
    /// What it holds.
    pub holds: Id,
    /// What it was shown, and what it found.
    pub staged: Option<(Id, Verdict)>,
    /// Its latest questions that were answered, and when; kept by a decider with a term.
    answers: VecDeque<(u64, Millis)>,
    /// The latest of these answers that it has taken in: then it knew of no other decider.
    acked: Option<Millis>,
}

/// What an operator asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// By which the answer is known.
    pub ticket: u64,
    /// The number of the revision it is to follow; without, whichever is current.
    pub expect: Option<u64>,
    /// Who asks.
    pub author: String,
    /// The text.
    pub text: Arc<str>,
    /// Limiters that are gone by the operator's word: they are not waited for.
    pub without: BTreeSet<Peer>,
    /// Only whether all would confirm.
    pub dry_run: bool,
    /// How long it may take, ms.
    pub patience: Millis,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is decided, and takes effect after this, ms.
    Decided(Id, Millis),
    /// All could take it; nothing has changed.
    WouldDo,
    /// A limiter cannot take it.
    Vetoed(Peer, String),
    /// Another revision is current.
    Conflict(Id),
    /// Another proposal is being decided.
    Busy(Id),
    /// These have neither confirmed nor surely stopped; nothing has changed.
    TimedOut(Vec<Peer>),
    /// The decider has just started, and these may still act by rules that it does not know.
    Recovering(Vec<Peer>),
    /// The text is too long.
    TooLong(usize),
    /// This limiter does not decide; who does, if it knows.
    NotDecider(Option<Peer>),
    /// The coordinator does not answer, and nothing is decided without it.
    NoCoordinator,
    /// It may be decided or not: the coordinator did not answer in time, or this limiter has lost its term.
    Unsure(Id),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    revision: Arc<Revision>,
    ask: Proposal,
    until: Millis,
    /// What it finds itself.
    own: Option<Verdict>,
    /// When it takes effect, once it is decided.
    effective_at: Option<Millis>,
    /// Whether the coordinator keeps it.
    kept: Keeps,
}

/// How far a revision has come with the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Keeps {
    No,
    Asked,
    Yes,
}

/// What only a decider that was elected has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Term {
    number: u64,
    since: Millis,
    /// The tree was seen without a gap from then until the term began.
    unbroken: Millis,
    /// Until then the tree lets it decide.
    until: Millis,
    /// Nothing new is decided before: whoever held the term before may have kept leases current until then.
    decides_from: Millis,
    keeper: Keeper,
    /// What the tree knows to be decided, once that is known.
    found: Option<Option<Arc<Revision>>>,
    /// What this limiter was until it knows what is in force.
    before: Option<Member>,
    next_call: Millis,
    /// It cannot take what is in force: another one is to decide.
    unfit: bool,
}

/// The decider's own state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Decider {
    terms: Terms,
    me: Peer,
    known: BTreeMap<Peer, Known>,
    epoch: u64,
    number: u64,
    current: Option<Arc<Revision>>,
    running: Option<Running>,
    /// Until it is over nothing is current: others may act by what this process does not know.
    recovering: bool,
    /// Confirmed by some, and never decided, as was found while recovering.
    undecided: BTreeSet<Id>,
    /// The text of the highest revision heard of while recovering, on its way.
    fetch: Option<Fetch>,
    /// What to begin with if nobody has anything.
    first: Arc<str>,
    /// Limiters that are gone by the operator's word.
    gone: BTreeSet<Peer>,
    history: VecDeque<Arc<Revision>>,
    seed: u64,
    /// Where a coordinator's tree elects it.
    term: Option<Box<Term>>,
}

impl Term {
    /// This, which the tree has, took effect here, and nothing else has been decided since: without this limiter's word
    /// nothing could be, or the tree would tell, as it was not away in which time it might have been set back.
    fn in_force(&self, now: Millis, kept: &Revision) -> bool {
        let Some(before) = self.before.as_ref().filter(|b| b.held().is_some_and(|h| h.head == kept.head))
        else {
            return false;
        };
        let bound = matches!(before.acting(now), Acting::By(_) | Acting::Strict(_, None));
        let seen =
            before.lease_until() >= self.unbroken && now.saturating_sub(self.since) < before.terms().lease;
        bound || seen
    }
}

impl Decider {
    /// A decider that has just started. `incarnation` grows with each start (Unix ms); `first` is what to begin
    /// with if no limiter has anything.
    pub fn new(
        terms: Terms,
        me: Peer,
        peers: u16,
        incarnation: u64,
        seed: u64,
        first: Arc<str>,
        now: Millis,
    ) -> Decider {
        let leased_until = now.saturating_add(terms.lease_over());
        let bound_until = now.saturating_add(terms.surely_over());
        let known = |n| {
            let known = Known {
                token: 0,
                lives: 0,
                last_seq: 0,
                last_kept: 0,
                heard: None,
                leased_until,
                bound_until,
                holds: Id::NONE,
                staged: None,
                answers: VecDeque::new(),
                acked: None,
            };
            (Peer(n), known)
        };
        Decider {
            terms,
            me,
            known: (0..peers).filter(|n| Peer(*n) != me).map(known).collect(),
            epoch: incarnation.max(1),
            number: 0,
            current: None,
            running: None,
            recovering: true,
            fetch: None,
            undecided: BTreeSet::new(),
            first,
            gone: BTreeSet::new(),
            history: VecDeque::new(),
            seed,
            term: None,
        }
    }

    /// One that has just won a term, and was a member until now.
    pub(crate) fn elected(
        mut self,
        number: u64,
        unbroken: Millis,
        mut before: Member,
        now: Millis,
        out: &mut VecDeque<Output>,
    ) -> Decider {
        let over = self.terms.lease_over();
        for known in self.known.values_mut() {
            // The holder before this one may have gone on for a lease, and have let others go on for another.
            known.leased_until = known.leased_until.saturating_add(over);
            known.bound_until = known.bound_until.saturating_add(over);
        }
        before.led_by(now, None);
        before.catch_up(now, out);
        self.epoch = number;
        self.term = Some(Box::new(Term {
            number,
            since: now,
            unbroken,
            until: now,
            decides_from: now.saturating_add(over),
            keeper: Keeper::new(number, self.terms.heartbeat, now),
            found: None,
            before: Some(before),
            next_call: now,
            unfit: false,
        }));
        self
    }

    /// What is in force, and what this limiter itself acts by: nobody else changes it.
    pub fn current(&self) -> Option<&Arc<Revision>> {
        self.current.as_ref()
    }

    /// What it may act by now: nobody else changes it. One that stood still while a revision took effect elsewhere acts by
    /// none until it has noticed.
    pub fn acting(&self, now: Millis) -> Acting {
        if let Some(before) = self.term.as_ref().and_then(|t| t.before.as_ref()) {
            return before.acting(now);
        }
        let overdue = self.running.as_ref().and_then(|r| r.effective_at).is_some_and(|at| now >= at);
        let Some(current) = self.current.as_ref().filter(|_| !overdue) else { return Acting::Refuse };
        let authority = self.authority();
        if now < authority {
            return Acting::By(current.id());
        }
        match self.terms.on_lapse {
            OnLapse::Strict(span) if now < authority.saturating_add(span) => {
                let own = self.running.as_ref().filter(|r| r.own == Some(Verdict::Confirmed));
                Acting::Strict(current.id(), own.map(|r| r.revision.id()))
            }
            _ => Acting::Refuse,
        }
    }

    /// Until when it may decide and let others act: without an end where nobody else can.
    pub fn authority(&self) -> Millis {
        self.term.as_ref().map_or(Millis::MAX, |term| term.until.max(self.unanimous()))
    }

    /// Without the tree it goes on while every other limiter, by what each has said lately, knows of no other decider:
    /// nobody has won a term, or whoever has waits for longer than this lasts.
    fn unanimous(&self) -> Millis {
        let oldest = self.known.values().map(|k| k.acked.unwrap_or(0)).min();
        oldest.filter(|at| *at > 0).map_or(0, |at| at + self.terms.lease)
    }

    /// The other limiters.
    pub fn known(&self) -> &BTreeMap<Peer, Known> {
        &self.known
    }

    /// Revisions that were in force, oldest first, the current one last.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Revision>> {
        self.history.iter()
    }

    /// The proposal that is being decided, and whether it is decided already.
    pub fn running(&self) -> Option<(&Arc<Revision>, bool)> {
        self.running.as_ref().map(|r| (&r.revision, r.effective_at.is_some()))
    }

    /// It does not know yet what the others act by.
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Its term, where a tree has elected it, and until when the tree lets it decide.
    pub fn term(&self) -> Option<(u64, Millis)> {
        self.term.as_ref().map(|t| (t.number, t.until))
    }

    // ---- Terms --------------------------------------------------------------------------------

    /// The tree lets it decide until then.
    pub(crate) fn lead_until(&mut self, until: Millis) {
        if let Some(term) = &mut self.term {
            term.until = until;
        }
    }

    /// It goes on in another term, and nobody has decided between.
    pub(crate) fn go_on_in(&mut self, number: u64, now: Millis) {
        if let Some(term) = &mut self.term {
            term.keeper.go_on_in(number);
            (term.number, term.next_call) = (number, now);
            self.epoch = self.epoch.max(number);
        }
    }

    /// Another one is to decide: this limiter cannot take what is in force, or none of the others has said anything to it
    /// for three leases.
    pub(crate) fn gives_up(&self, now: Millis) -> bool {
        let since = |at: Millis| now.saturating_sub(at) > 3 * self.terms.lease;
        let unheard = |known: &Known| known.heard.is_none_or(since);
        let long = self.term.as_ref().is_some_and(|t| since(t.since));
        let unfit = self.term.as_ref().is_some_and(|t| t.unfit);
        unfit || long && !self.known.is_empty() && self.known.values().all(unheard)
    }

    /// Another one decides from now on, or may.
    pub(crate) fn into_member(mut self, life: u64, now: Millis, out: &mut VecDeque<Output>) -> Member {
        if let Some(running) = self.running.as_ref().filter(|r| r.effective_at.is_none()) {
            out.push_back(Output::Answer(running.ask.ticket, Answer::Unsure(running.revision.id())));
        }
        if let Some(before) = self.term.as_mut().and_then(|t| t.before.take()) {
            return before;
        }
        let authority = self.authority();
        let mut member = Member::new(self.terms, None, life, now).after_term(self.current, authority);
        if let Some(running) = self.running.filter(|r| r.own == Some(Verdict::Confirmed)) {
            member.confirm(running.revision, running.effective_at);
        }
        member
    }

    /// Tells those who may not know whose term it is.
    fn call(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = self.term.as_mut().filter(|t| now >= t.next_call) else { return };
        term.next_call = now + self.terms.heartbeat;
        let lost = |known: &Known| known.heard.is_none_or(|at| now.saturating_sub(at) >= self.terms.lease);
        let message = Message::Decides { term: term.number, peer: Some(self.me) };
        let to = self.known.iter().filter(|(_, known)| lost(known));
        out.extend(to.map(|(peer, _)| Output::Send(*peer, message.clone())));
    }

    fn ask_tree(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = &mut self.term else { return };
        if let Some((serial, ask)) = term.keeper.tick(now) {
            out.push_back(Output::Ask(Register::Rules, serial, ask));
        }
    }

    /// What came of what the tree was asked to keep. Whether another holder has written since.
    pub(crate) fn kept(
        &mut self,
        now: Millis,
        serial: u64,
        came: Outcome,
        out: &mut VecDeque<Output>,
    ) -> bool {
        let Some(term) = &mut self.term else { return false };
        match term.keeper.answered(now, serial, came) {
            Kept::Nothing => {}
            Kept::Found(found) => {
                self.number = self.number.max(found.as_ref().map_or(0, |r| r.id().number));
                term.found = Some(found);
            }
            Kept::Stored(revision) => {
                if let Some(running) = self.running.as_mut().filter(|r| r.revision.id() == revision.id()) {
                    running.kept = Keeps::Yes;
                }
                term.found = Some(Some(revision));
            }
            Kept::Overtaken => return true,
        }
        self.tick(now, out);
        false
    }

    /// When [`Decider::tick`] is to be called at the latest.
    pub fn next_due(&self, now: Millis) -> Millis {
        let (mut due, mut bounds) = (Millis::MAX, self.recovering);
        if let Some(running) = &self.running {
            due = running.effective_at.unwrap_or(running.until);
            bounds = running.effective_at.is_none();
        }
        let over = self.known.values().flat_map(|k| [k.leased_until, k.bound_until]);
        let due = over.filter(|at| bounds && *at > now).fold(due, Millis::min);
        let Some(term) = &self.term else { return due };
        let from = Some(term.decides_from).filter(|at| bounds && *at > now).unwrap_or(Millis::MAX);
        let before = term.before.as_ref().map_or(Millis::MAX, |m| m.next_due(now).max(now + 1));
        due.min(from).min(before).min(term.next_call).min(term.keeper.next_due())
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        self.call(now, out);
        if let Some(before) = self.term.as_mut().and_then(|t| t.before.as_mut()) {
            before.catch_up(now, out);
        }
        if self.recovering && self.running.is_none() {
            self.recover(now, out);
        }
        self.decide(now, out);
        self.ask_tree(now, out);
        let Some(running) = &mut self.running else { return };
        if running.effective_at.is_some_and(|at| now >= at) {
            self.take_effect(out);
        } else if running.effective_at.is_none() && now >= running.until {
            let id = running.revision.id();
            if running.kept != Keeps::No {
                // The tree may have it: nobody waits any more, and it is decided if it can be.
                (running.until, running.ask.patience) = (Millis::MAX, Millis::MAX);
                let ticket = std::mem::take(&mut running.ask.ticket);
                return out.push_back(Output::Answer(ticket, Answer::Unsure(id)));
            }
            let missing = self.known.iter().filter(|(p, k)| !self.gone.contains(p) && !confirms(k, id));
            let missing = missing.map(|(peer, _)| *peer).collect();
            self.settle(Answer::TimedOut(missing), out);
        }
    }

    // ---- What limiters say of themselves ------------------------------------------------------

    /// Takes in a limiter's question and answers it.
    pub fn ping(&mut self, now: Millis, from: Peer, ping: Ping, out: &mut VecDeque<Output>) {
        let Some(known) = self.known.get_mut(&from) else { return };
        // One for each process, whatever comes twice or late: only that process is told it.
        let token = match ping.token == known.token && known.token != 0 {
            true => known.token,
            false => mix(self.seed ^ u64::from(from.0) ^ mix(ping.life ^ mix(known.lives))),
        };
        if ping.token != token {
            let pong = Pong { seq: ping.seq, token, current: None, proposal: None, effective_in: None };
            out.push_back(Output::Send(from, Message::Pong(pong)));
            return;
        }
        if known.token != token {
            known.lives += 1;
            (known.token, known.last_seq, known.last_kept) = (token, 0, 0);
        }
        if ping.seq <= known.last_seq {
            return;
        }
        known.last_seq = ping.seq;
        if let Some((_, at)) = known.answers.iter().find(|(seq, _)| *seq == ping.answered) {
            known.acked = known.acked.max(Some(*at));
        }
        let holds = ping.holds;
        (known.heard, known.holds, known.staged) = (Some(now), holds, ping.staged);
        let confirmed = matches!(known.staged, Some((_, Verdict::Confirmed)));
        if holds == Id::NONE && !confirmed && ping.answered >= known.last_kept {
            // It acts by nothing, no answer that is still on its way lets it, and it waits for no effect.
            (known.leased_until, known.bound_until) = (now, now);
        }
        self.gone.remove(&from);
        self.overtaken(holds);
        self.tick(now, out);
        self.vetoed(from, out);
        self.answer(now, from, ping.seq, out);
    }

    fn answer(&mut self, now: Millis, to: Peer, seq: u64, out: &mut VecDeque<Output>) {
        let may = now < self.authority();
        let elected = self.term.is_some();
        let Some(known) = self.known.get_mut(&to) else { return };
        if elected {
            known.answers.push_back((seq, now));
            if known.answers.len() > MOST_ANSWERS {
                known.answers.pop_front();
            }
        }
        if !may {
            // It lets nobody do anything, and hears by the next question that it is taken for the decider still.
            let pong = Pong { seq, token: known.token, current: None, proposal: None, effective_in: None };
            return out.push_back(Output::Send(to, Message::Pong(pong)));
        }
        let Some(known) = self.known.get(&to) else { return };
        let running = self.running.as_ref();
        let confirmed = running.is_some_and(|r| confirms(known, r.revision.id()));
        let effective_in = running.and_then(|r| r.effective_at).map(|at| at.saturating_sub(now));
        // Once it is decided, the old rules are kept current for nobody to whom the new ones are news, and who holds
        // none waits for the new.
        let keeps = effective_in.is_none() || confirmed && known.holds != Id::NONE;
        let current = self.current.as_ref().filter(|_| keeps).map(|r| r.head.clone());
        let proposal = running.map(|r| r.revision.head.clone());
        let token = known.token;
        // Either lets it act by something, now or when that takes effect.
        if current.is_some() || effective_in.is_some() {
            if let Some(known) = self.known.get_mut(&to) {
                known.last_kept = seq;
                known.leased_until = known.leased_until.max(now.saturating_add(self.terms.lease_over()));
                known.bound_until = known.bound_until.max(now.saturating_add(self.terms.surely_over()));
            }
        }
        out.push_back(Output::Send(to, Message::Pong(Pong { seq, token, current, proposal, effective_in })));
    }

    /// The text of this hash, if it is to be had here.
    pub fn text(&self, digest: &Digest) -> Option<&Arc<Revision>> {
        let running = self.running.as_ref().map(|r| &r.revision);
        running.into_iter().chain(self.current.as_ref()).find(|r| r.head.digest == *digest)
    }

    // ---- After a start ------------------------------------------------------------------------

    /// The highest revision that a limiter acts by or has confirmed, and who has it. What was confirmed may have been
    /// decided, and others may act by it.
    fn highest(&self) -> Option<(Id, Vec<Peer>)> {
        let has = |known: &Known| {
            let staged = known.staged.as_ref().filter(|(_, v)| *v == Verdict::Confirmed).map(|(id, _)| *id);
            staged.map_or(known.holds, |staged| staged.max(known.holds))
        };
        let able = |id: &Id| *id != Id::NONE && !self.undecided.contains(id);
        let heard = self.known.values().flat_map(|k| [has(k), k.holds]);
        let highest = heard.chain(self.at_hand().map(|r| r.id())).filter(able).max()?;
        let who = self.known.iter().filter(|(_, k)| k.holds == highest || confirms(k, highest));
        Some((highest, who.map(|(peer, _)| *peer).collect()))
    }

    /// Revisions with their texts that are known here before the recovery is over: what the tree has, and what this limiter
    /// held and had confirmed.
    fn at_hand(&self) -> impl Iterator<Item = &Arc<Revision>> {
        let term = self.term.as_ref();
        let found = term.and_then(|t| t.found.as_ref()).into_iter().flatten();
        let before = term.and_then(|t| t.before.as_ref());
        found.chain(before.into_iter().flat_map(|m| m.held().into_iter().chain(m.confirmed())))
    }

    fn waits_for(&self, peer: &Peer, known: &Known) -> bool {
        known.heard.is_none() && !self.gone.contains(peer)
    }

    /// Ends the recovery once every limiter was heard, or has surely stopped, or is gone by the operator's word.
    fn recover(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let mut found = None;
        if let Some(term) = &self.term {
            let Some(kept) = &term.found else { return };
            found = kept.as_ref();
            if let Some(revision) = found.filter(|r| term.in_force(now, r)).cloned() {
                return self.put_in_force(revision, out);
            }
        }
        let waits = |bound: bool| {
            self.known.iter().any(|(peer, k)| self.waits_for(peer, k) && (now < k.bound_until || !bound))
        };
        let remember = self.known.values().filter(|k| k.heard.is_some() && k.holds != Id::NONE).count();
        if waits(true)
            || found.is_none() && waits(false) && remember < self.others() + 1 - self.others().div_ceil(2)
        {
            return;
        }
        let Some((id, who)) = self.highest() else {
            let (text, id) = (self.first.clone(), self.next_id());
            let first = Revision::new(id, Id::NONE, "first", text);
            return match self.term {
                Some(_) => self.again(now, first, out),
                None => self.put_in_force(first, out),
            };
        };
        let at_hand = self.at_hand().find(|r| r.id() == id).cloned();
        if let Some(revision) = at_hand {
            return self.again(now, revision, out);
        }
        // Each in turn: one may have died since it was heard.
        let turn = (now / self.terms.heartbeat) as usize % who.len().max(1);
        let Some(from) = who.get(turn).copied() else { return };
        match self.fetch.as_mut().filter(|f| f.head.id == id) {
            None => out.push_back(Output::Send(from, Message::Show(id))),
            Some(fetch) if fetch.overdue(now, self.terms.heartbeat) => {
                out.push_back(Output::Send(from, fetch.want(now)));
            }
            Some(_) => {}
        }
    }

    /// The other limiters, without those that are gone by the operator's word.
    fn others(&self) -> usize {
        self.known.keys().filter(|peer| !self.gone.contains(peer)).count()
    }

    /// How many of them must have confirmed what is decided, beside all that may still act: so that it is known again
    /// after this process has died, from any others that remember enough to be more than the rest.
    fn witnesses(&self) -> usize {
        match self.term {
            // The tree knows it again.
            Some(_) => 0,
            None => self.others().div_ceil(2),
        }
    }

    /// A limiter shows the head of what it holds.
    pub fn shown(&mut self, now: Millis, from: Peer, head: Head, out: &mut VecDeque<Output>) {
        let wanted = self.recovering && self.highest().is_some_and(|(id, _)| id == head.id);
        if wanted && self.fetch.as_ref().is_none_or(|f| f.head != head) {
            self.fetch = Fetch::new(head, now);
            if let Some(fetch) = &mut self.fetch {
                out.push_back(Output::Send(from, fetch.want(now)));
            }
        }
    }

    /// A part of the text that is wanted while recovering.
    pub fn piece(&mut self, now: Millis, from: Peer, message: &Message, out: &mut VecDeque<Output>) {
        let Some(fetch) = self.fetch.as_mut().filter(|_| self.recovering) else { return };
        match fetch.take(message) {
            Step::More => out.push_back(Output::Send(from, fetch.want(now))),
            Step::Wait => {}
            Step::Wrong => self.fetch = None,
            Step::Whole(revision) => {
                self.fetch = None;
                self.again(now, revision, out);
            }
        }
    }

    /// What was decided before, or might have been, is decided again: by then everybody who may act by something else
    /// has confirmed it, or has surely stopped.
    fn again(&mut self, now: Millis, revision: Arc<Revision>, out: &mut VecDeque<Output>) {
        match &self.term {
            // The tree counts the terms.
            // The tree counts the terms, unless it was set back.
            Some(_) => self.overtaken(revision.id()),
            None => self.epoch = self.epoch.max(revision.id().epoch + 1),
        }
        self.number = self.number.max(revision.id().number);
        let found = self.term.as_ref().and_then(|t| t.found.as_ref()).and_then(|f| f.as_ref());
        let kept = if found.is_some_and(|f| f.head == revision.head) { Keeps::Yes } else { Keeps::No };
        out.push_back(Output::Check(revision.clone()));
        let ask = Proposal { text: revision.text.clone(), patience: Millis::MAX, ..Proposal::default() };
        let until = Millis::MAX;
        self.running = Some(Running { revision, ask, until, own: None, effective_at: None, kept });
        self.tick(now, out);
    }

    /// A limiter knows a later epoch than this decider's own: what is decided from now on must come after it.
    fn overtaken(&mut self, id: Id) {
        if id.epoch > self.epoch {
            self.epoch = id.epoch + 1;
        }
    }

    // ---- Proposals ----------------------------------------------------------------------------

    /// An operator asks for a change.
    pub fn propose(&mut self, now: Millis, ask: Proposal, out: &mut VecDeque<Output>) {
        self.gone.extend(ask.without.iter().copied());
        if self.recovering {
            self.tick(now, out);
            let missing = match &self.running {
                Some(running) => self.missing(now, running),
                None => self.known.iter().filter(|(p, k)| self.waits_for(p, k)).map(|(p, _)| *p).collect(),
            };
            return out.push_back(Output::Answer(ask.ticket, Answer::Recovering(missing)));
        }
        let Some(current) = self.current.clone() else { return };
        if self.term.as_ref().is_some_and(|t| now >= t.until) {
            return out.push_back(Output::Answer(ask.ticket, Answer::NoCoordinator));
        }
        let refused = self.refuses(&ask, &current);
        if let Some(answer) = refused {
            return out.push_back(Output::Answer(ask.ticket, answer));
        }
        let revision =
            Revision::new(self.next_id(), current.id(), cut(&ask.author, MOST_AUTHOR), ask.text.clone());
        out.push_back(Output::Check(revision.clone()));
        let until = now.saturating_add(ask.patience);
        let kept = Keeps::No;
        self.running = Some(Running { revision, ask, until, own: None, effective_at: None, kept });
    }

    fn refuses(&self, ask: &Proposal, current: &Arc<Revision>) -> Option<Answer> {
        if ask.text.len() > MOST_BYTES {
            return Some(Answer::TooLong(ask.text.len()));
        }
        if let Some(running) = &self.running {
            return Some(Answer::Busy(running.revision.id()));
        }
        let expected = ask.expect.is_none_or(|number| number == current.id().number);
        // The same change once more, its answer lost: it stands already.
        let again = ask.expect.is_some_and(|number| number == current.head.parent.number);
        if current.text == ask.text && (expected || again) {
            return Some(Answer::Decided(current.id(), 0));
        }
        (!expected).then(|| Answer::Conflict(current.id()))
    }

    fn next_id(&mut self) -> Id {
        self.number += 1;
        Id { epoch: self.epoch, number: self.number }
    }

    /// What this limiter itself finds of a proposal.
    pub fn checked(&mut self, now: Millis, id: Id, verdict: Verdict, out: &mut VecDeque<Output>) {
        let Some(running) = self.running.as_mut().filter(|r| r.revision.id() == id) else { return };
        match verdict {
            // What is decided again was taken before: it waits for whoever may act by something else.
            Verdict::Vetoed(_) if self.recovering || running.kept != Keeps::No => {
                if let Some(term) = &mut self.term {
                    term.unfit = true;
                }
            }
            Verdict::Vetoed(reason) => {
                let me = self.me;
                self.settle(Answer::Vetoed(me, reason), out);
            }
            Verdict::Confirmed => {
                running.own = Some(Verdict::Confirmed);
                if let Some(before) = self.term.as_mut().and_then(|t| t.before.as_mut()) {
                    if before.held().is_none_or(|held| held.id() != id) {
                        // What it had confirmed may be in force elsewhere, and is given up for this.
                        before.doubt(Some(&running.revision.head), out);
                        before.confirm(running.revision.clone(), None);
                    }
                }
                self.tick(now, out);
            }
        }
    }

    fn vetoed(&mut self, from: Peer, out: &mut VecDeque<Output>) {
        // What the tree is asked to keep may be kept: first that is to be known.
        let open = |r: &&Running| r.effective_at.is_none() && r.kept != Keeps::Asked;
        let Some(running) = self.running.as_ref().filter(open) else { return };
        let Some((id, Verdict::Vetoed(reason))) = self.known.get(&from).and_then(|k| k.staged.clone()) else {
            return;
        };
        if id != running.revision.id() {
            return;
        }
        if !self.recovering {
            if let (Keeps::Yes, Some(term), Some(current)) = (running.kept, &mut self.term, &self.current) {
                // It came after the others had confirmed, and holds something else.
                term.keeper.store(current.clone());
            }
            return self.settle(Answer::Vetoed(from, reason), out);
        }
        // One that is bound without end was waited for before too: so this was never decided.
        let endless = |k: &Known| k.holds != Id::NONE && k.bound_until == Millis::MAX;
        if self.known.get(&from).is_some_and(endless) {
            self.undecided.insert(id);
            self.running = None;
        }
    }

    /// Who has neither confirmed nor surely stopped.
    fn missing(&self, now: Millis, running: &Running) -> Vec<Peer> {
        let id = running.revision.id();
        let bound = |(peer, known): &(&Peer, &Known)| {
            let until = if self.gone.contains(peer) { known.leased_until } else { known.bound_until };
            now < until && !confirms(known, id)
        };
        self.known.iter().filter(bound).map(|(peer, _)| *peer).collect()
    }

    fn decide(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if now >= self.authority() || self.term.as_ref().is_some_and(|t| now < t.decides_from) {
            return;
        }
        let Some(running) = self.running.as_ref().filter(|r| r.effective_at.is_none()) else { return };
        let id = running.revision.id();
        let witnesses = self.known.iter().filter(|(p, k)| !self.gone.contains(p) && confirms(k, id)).count();
        let enough = witnesses >= self.witnesses() && self.missing(now, running).is_empty();
        if running.own != Some(Verdict::Confirmed) || !enough {
            return;
        }
        if running.ask.dry_run {
            return self.settle(Answer::WouldDo, out);
        }
        let effect = self.terms.effect;
        if let (Some(running), Some(term)) = (&mut self.running, &mut self.term) {
            if running.kept == Keeps::No {
                running.kept = Keeps::Asked;
                term.keeper.store(running.revision.clone());
            }
            if running.kept == Keeps::Asked {
                return;
            }
        }
        if let Some(running) = &mut self.running {
            running.effective_at = Some(now + effect);
            out.push_back(Output::Answer(running.ask.ticket, Answer::Decided(running.revision.id(), effect)));
        }
    }

    fn take_effect(&mut self, out: &mut VecDeque<Output>) {
        if let Some(running) = self.running.take() {
            self.put_in_force(running.revision, out);
        }
    }

    fn put_in_force(&mut self, revision: Arc<Revision>, out: &mut VecDeque<Output>) {
        self.number = self.number.max(revision.id().number);
        self.history.push_back(revision.clone());
        if self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        (self.current, self.recovering, self.fetch) = (Some(revision.clone()), false, None);
        if let Some(term) = &mut self.term {
            term.before = None;
        }
        out.push_back(Output::Act(revision));
    }

    fn settle(&mut self, answer: Answer, out: &mut VecDeque<Output>) {
        if let Some(running) = self.running.take() {
            out.push_back(Output::Answer(running.ask.ticket, answer));
        }
    }
}

fn confirms(known: &Known, id: Id) -> bool {
    known.holds == id
        || known.staged.as_ref().is_some_and(|(staged, v)| *staged == id && *v == Verdict::Confirmed)
}

/// A number that does not come again (splitmix64), never 0.
fn mix(seed: u64) -> u64 {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ x >> 31).max(1)
}
