//! The side of the one that decides: who is bound by what until when, who has confirmed what, and when a revision may
//! be decided.

use crate::document::{Digest, Head, Id, Revision, MOST_BYTES};
use crate::fetch::{Fetch, Step};
use crate::member::Acting;
use crate::message::{cut, Message, Ping, Pong, Verdict, MOST_AUTHOR};
use crate::node::Output;
use crate::terms::Terms;
use crate::{Millis, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Revisions whose texts are kept, to show and to go back to.
const MOST_HISTORY: usize = 64;

/// Processes of a limiter, before the one that is known, that are told apart from it.
const MOST_GONE: usize = 64;

/// What the decider knows of a limiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    /// Of the process that is known; 0: of none yet.
    token: u64,
    /// Of processes before it, the latest: what still comes of them is no news.
    gone: VecDeque<u64>,
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
    /// This limiter does not decide.
    NotDecider(Peer),
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
                gone: VecDeque::new(),
                last_seq: 0,
                last_kept: 0,
                heard: None,
                leased_until,
                bound_until,
                holds: Id::NONE,
                staged: None,
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
        }
    }

    /// What is in force, and what this limiter itself acts by: nobody else changes it.
    pub fn current(&self) -> Option<&Arc<Revision>> {
        self.current.as_ref()
    }

    /// What it may act by now: nobody else changes it. One that stood still while a revision took effect elsewhere acts by
    /// none until it has noticed.
    pub fn acting(&self, now: Millis) -> Acting {
        let overdue = self.running.as_ref().and_then(|r| r.effective_at).is_some_and(|at| now >= at);
        match &self.current {
            Some(current) if !overdue => Acting::By(current.id()),
            _ => Acting::Refuse,
        }
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

    /// When [`Decider::tick`] is to be called at the latest.
    pub fn next_due(&self, now: Millis) -> Millis {
        let (mut due, mut bounds) = (Millis::MAX, self.recovering);
        if let Some(running) = &self.running {
            due = running.effective_at.unwrap_or(running.until);
            bounds = running.effective_at.is_none();
        }
        let over = self.known.values().flat_map(|k| [k.leased_until, k.bound_until]);
        over.filter(|at| bounds && *at > now).fold(due, Millis::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if self.recovering && self.running.is_none() {
            self.recover(now, out);
        }
        self.decide(now, out);
        let Some(running) = &self.running else { return };
        if running.effective_at.is_some_and(|at| now >= at) {
            self.take_effect(out);
        } else if running.effective_at.is_none() && now >= running.until {
            let id = running.revision.id();
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
        let token = mix(self.seed ^ u64::from(from.0) ^ mix(ping.life));
        if known.gone.contains(&token) {
            return;
        }
        if ping.token != token {
            let pong = Pong { seq: ping.seq, token, current: None, proposal: None, effective_in: None };
            out.push_back(Output::Send(from, Message::Pong(pong)));
            return;
        }
        if known.token != token {
            known.gone.push_back(std::mem::replace(&mut known.token, token));
            if known.gone.len() > MOST_GONE {
                known.gone.pop_front();
            }
            (known.last_seq, known.last_kept) = (0, 0);
        }
        if ping.seq <= known.last_seq {
            return;
        }
        known.last_seq = ping.seq;
        let holds = ping.holds;
        (known.heard, known.holds, known.staged) = (Some(now), holds, ping.staged);
        if holds == Id::NONE && ping.answered >= known.last_kept {
            // It acts by nothing, and no answer that is still on its way lets it.
            (known.leased_until, known.bound_until) = (now, now);
        }
        self.gone.remove(&from);
        self.overtaken(holds);
        self.tick(now, out);
        self.vetoed(from, out);
        self.answer(now, from, ping.seq, out);
    }

    fn answer(&mut self, now: Millis, to: Peer, seq: u64, out: &mut VecDeque<Output>) {
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
        let highest = self.known.values().flat_map(|k| [has(k), k.holds]).filter(able).max()?;
        let who = self.known.iter().filter(|(_, k)| k.holds == highest || confirms(k, highest));
        Some((highest, who.map(|(peer, _)| *peer).collect()))
    }

    fn waits_for(&self, peer: &Peer, known: &Known) -> bool {
        known.heard.is_none() && !self.gone.contains(peer)
    }

    /// Ends the recovery once every limiter was heard, or has surely stopped, or is gone by the operator's word.
    fn recover(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let waits = |bound: bool| {
            self.known.iter().any(|(peer, k)| self.waits_for(peer, k) && (now < k.bound_until || !bound))
        };
        let remember = self.known.values().filter(|k| k.heard.is_some() && k.holds != Id::NONE).count();
        if waits(true) || waits(false) && remember < self.others() + 1 - self.witnesses() {
            return;
        }
        let Some((id, who)) = self.highest() else {
            let (text, id) = (self.first.clone(), self.next_id());
            return self.put_in_force(Revision::new(id, Id::NONE, "first", text), out);
        };
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
        self.others().div_ceil(2)
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
                self.epoch = self.epoch.max(revision.id().epoch + 1);
                self.number = self.number.max(revision.id().number);
                self.again(now, revision, out);
            }
        }
    }

    /// What was decided before, or might have been, is decided again: by then everybody who may act by something else
    /// has confirmed it, or has surely stopped.
    fn again(&mut self, now: Millis, revision: Arc<Revision>, out: &mut VecDeque<Output>) {
        out.push_back(Output::Check(revision.clone()));
        let ask = Proposal { text: revision.text.clone(), patience: Millis::MAX, ..Proposal::default() };
        self.running = Some(Running { revision, ask, until: Millis::MAX, own: None, effective_at: None });
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
        let refused = self.refuses(&ask, &current);
        if let Some(answer) = refused {
            return out.push_back(Output::Answer(ask.ticket, answer));
        }
        let revision =
            Revision::new(self.next_id(), current.id(), cut(&ask.author, MOST_AUTHOR), ask.text.clone());
        out.push_back(Output::Check(revision.clone()));
        let until = now.saturating_add(ask.patience);
        self.running = Some(Running { revision, ask, until, own: None, effective_at: None });
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
            Verdict::Vetoed(_) if self.recovering => {}
            Verdict::Vetoed(reason) => {
                let me = self.me;
                self.settle(Answer::Vetoed(me, reason), out);
            }
            Verdict::Confirmed => {
                running.own = Some(Verdict::Confirmed);
                self.tick(now, out);
            }
        }
    }

    fn vetoed(&mut self, from: Peer, out: &mut VecDeque<Output>) {
        let Some(running) = self.running.as_ref().filter(|r| r.effective_at.is_none()) else { return };
        let Some((id, Verdict::Vetoed(reason))) = self.known.get(&from).and_then(|k| k.staged.clone()) else {
            return;
        };
        if id != running.revision.id() {
            return;
        }
        if !self.recovering {
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
