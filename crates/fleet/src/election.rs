//! Who decides, where the fleet has a coordinator: one register there, changed by compare-and-set only, names the one
//! that holds a term. Nothing is taken from the coordinator's clock, nor from its sessions.
//!
//! The holder writes the register again and again; a write that went well lets it decide for a span counted from when it
//! *asked*. Another limiter takes the next term once it has seen the register unchanged for that span by the slowest
//! clock, by a write that goes well only if it is unchanged still: so the spans of two holders never meet.

use crate::timing::LeaseTiming;
use crate::{Millis, Peer};

/// What the tree keeps for a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Register {
    /// Who decides.
    Decider,
    /// What was decided last.
    Rules,
}

/// A register's value, and the version that the coordinator counts for it.
pub type VersionedValue = Option<(i32, Vec<u8>)>;

/// What is asked of the tree. Each has one [`RegisterResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RegisterRequest {
    /// The register as it is.
    Read,
    /// It is to be this from now on, if it still is of that version; nothing: if it is not there.
    CompareAndSwap(Option<i32>, Vec<u8>),
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RegisterResponse {
    /// As asked for by [`RegisterRequest::Read`].
    Value(VersionedValue),
    /// Done, and this is its version now.
    Swapped(i32),
    /// Not done: it is of another version.
    VersionMismatch,
    /// No answer: it may have been done.
    Unknown,
}

/// Who holds which term, as the register tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Counts on with each holder.
    pub term: u64,
    /// The limiter that holds it.
    pub peer: Peer,
    /// Counts the holder's writes.
    renewals: u64,
}

impl Holder {
    fn bytes(self) -> Vec<u8> {
        format!("{} {} {}", self.term, self.peer.0, self.renewals).into_bytes()
    }

    fn read(bytes: &[u8]) -> Option<Holder> {
        let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
        let holder = Holder {
            term: words.next()?.parse().ok()?,
            peer: Peer(words.next()?.parse().ok()?),
            renewals: words.next()?.parse().ok()?,
        };
        words.next().is_none().then_some(holder)
    }
}

/// What a limiter learns of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ElectionEvent {
    /// This limiter holds this term from now on.
    Won(u64),
    /// Another one holds a term.
    HolderObserved(Holder),
}

/// The register as it was last seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observation {
    value: VersionedValue,
    /// It has been so since then, seen without a gap.
    since: Millis,
    last: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InFlight {
    Read,
    Campaign(Holder),
    Renew(Holder),
}

/// A limiter's part in the election.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    timing: LeaseTiming,
    me: Peer,
    seen: Option<Observation>,
    /// What was asked and is not answered, and when it was asked.
    open: Option<(InFlight, Millis)>,
    next: Millis,
    holds: Option<Holder>,
    /// Until then its last good write lets it decide.
    until: Millis,
    /// The register has been seen without a gap since then, and never an earlier state after a later one.
    unbroken: Millis,
    first: u64,
    /// The highest term that it has heard of.
    highest: u64,
    /// It does not stand before.
    campaign_not_before: Millis,
}

impl Election {
    /// A limiter that has just started. The first term of all, in a tree that has none, is `incarnation` (Unix ms): after
    /// the loss of all memory no term and no revision has a number that was used before.
    pub fn new(timing: LeaseTiming, me: Peer, incarnation: u64, now: Millis) -> Election {
        let (seen, open, holds) = Default::default();
        Election {
            timing,
            me,
            seen,
            open,
            next: now,
            holds,
            until: 0,
            unbroken: now,
            first: incarnation,
            highest: 0,
            campaign_not_before: now,
        }
    }

    /// The term that this limiter holds.
    pub fn holds(&self) -> Option<u64> {
        self.holds.map(|h| h.term)
    }

    /// Until when its last good write lets it decide.
    pub fn until(&self) -> Millis {
        if self.holds.is_some() {
            self.until
        } else {
            0
        }
    }

    /// Since when it has seen the register without a gap and without a step back: a tree that was set back was away.
    pub(crate) fn unbroken(&self) -> Millis {
        self.unbroken
    }

    /// When the tree has last answered.
    pub fn heard(&self) -> Option<Millis> {
        self.seen.as_ref().map(|s| s.last)
    }

    /// When [`Election::tick`] is to be called at the latest.
    pub fn next_due(&self) -> Millis {
        if self.open.is_some() {
            return Millis::MAX;
        }
        self.next
    }

    /// Time has passed: what is to be asked of [`Register::Decider`] now.
    pub fn tick(&mut self, now: Millis) -> Option<RegisterRequest> {
        if self.open.is_some() || now < self.next {
            return None;
        }
        let version = self.seen.as_ref().map(|s| s.value.as_ref().map(|v| v.0));
        let (Some(holds), Some(version)) = (self.holds, version) else {
            // Three times in the span that it must be seen unchanged.
            self.next = now + self.timing.lease / 3;
            return Some(self.ask(now, InFlight::Read));
        };
        self.next = now + self.timing.heartbeat;
        // Somebody knows a later term, or the same of another holder: the tree has been set back meanwhile.
        let term = if self.highest > holds.term { self.highest + 1 } else { holds.term };
        let renewed = Holder { term, renewals: holds.renewals + 1, ..holds };
        self.open = Some((InFlight::Renew(renewed), now));
        Some(RegisterRequest::CompareAndSwap(version, renewed.bytes()))
    }

    fn ask(&mut self, now: Millis, open: InFlight) -> RegisterRequest {
        self.open = Some((open, now));
        RegisterRequest::Read
    }

    /// A limiter says that this one holds a term, or that somebody does.
    pub fn observe_term(&mut self, term: u64, peer: Option<Peer>) {
        let same = self.holds.is_some_and(|h| h.term == term && peer != Some(self.me));
        self.highest = self.highest.max(term + u64::from(same));
    }

    /// Gives the term up, and does not stand again before the others had their turn.
    pub fn resign(&mut self, now: Millis) {
        self.holds = None;
        self.campaign_not_before = now + 2 * self.timing.lease;
    }

    /// What came of what was asked, and what is to be asked at once.
    pub fn answered(
        &mut self,
        now: Millis,
        outcome: RegisterResponse,
    ) -> (Option<ElectionEvent>, Option<RegisterRequest>) {
        let Some((open, asked_at)) = self.open.take() else { return (None, None) };
        match (open, outcome) {
            (InFlight::Read, RegisterResponse::Value(value)) => self.read(now, value),
            (InFlight::Campaign(holder), RegisterResponse::Swapped(version)) => {
                self.holds = Some(holder);
                self.wrote(now, asked_at, holder, version);
                (Some(ElectionEvent::Won(holder.term)), None)
            }
            (InFlight::Renew(holder), RegisterResponse::Swapped(version)) if self.holds.is_some() => {
                let before = self.holds.replace(holder);
                self.wrote(now, asked_at, holder, version);
                let anew = before.is_some_and(|b| b.term != holder.term);
                (anew.then_some(ElectionEvent::Won(holder.term)), None)
            }
            // Read before anything else: it is not what it was, or may not be.
            (_, RegisterResponse::VersionMismatch) => (None, Some(self.ask(now, InFlight::Read))),
            // No answer: what was seen before still tells what to write over, and whether there was a gap.
            _ => (None, None),
        }
    }

    fn wrote(&mut self, now: Millis, asked_at: Millis, holder: Holder, version: i32) {
        self.observe(now, Some(holder));
        self.until = asked_at + self.timing.lease;
        self.highest = self.highest.max(holder.term);
        self.seen = Some(Observation { value: Some((version, holder.bytes())), since: now, last: now });
    }

    /// The register is like this now.
    fn observe(&mut self, now: Millis, holder: Option<Holder>) {
        let order = |holder: Option<Holder>| holder.map(|h| (h.term, h.renewals));
        let before = self.seen.as_ref().map(|s| (s.last, s.value.as_ref().and_then(|v| Holder::read(&v.1))));
        let on =
            before.is_some_and(|(last, was)| now - last < self.timing.lease && order(holder) >= order(was));
        if !on {
            self.unbroken = now;
        }
    }

    fn read(
        &mut self,
        now: Millis,
        value: VersionedValue,
    ) -> (Option<ElectionEvent>, Option<RegisterRequest>) {
        let holder = value.as_ref().and_then(|(_, bytes)| Holder::read(bytes));
        self.highest = self.highest.max(holder.map_or(0, |h| h.term));
        self.observe(now, holder);
        // One seen before a gap may have changed meanwhile and back: the tree may have been set back.
        let same = self.seen.as_ref().filter(|s| s.value == value && now - s.last < self.timing.lease);
        let since = same.map_or(now, |s| s.since);
        let version = value.as_ref().map(|v| v.0);
        self.seen = Some(Observation { value, since, last: now });
        if let Some(holds) = self.holds {
            // A write without an answer was done after all; or the tree is not what it was.
            if holder.is_some_and(|h| h.peer == self.me && h.term >= holds.term) {
                self.next = now;
                return (None, None);
            }
            self.holds = None;
        }
        let unchanged = now - since;
        // Not all at once.
        let turn = u64::from(self.me.0 % 16) * self.timing.heartbeat / 4;
        if unchanged >= self.timing.lease_expiry() + turn && now >= self.campaign_not_before {
            let first = if holder.is_none() { self.first } else { 0 };
            let holder = Holder { term: first.max(self.highest + 1), peer: self.me, renewals: 0 };
            self.open = Some((InFlight::Campaign(holder), now));
            return (None, Some(RegisterRequest::CompareAndSwap(version, holder.bytes())));
        }
        (holder.filter(|h| h.peer != self.me).map(ElectionEvent::HolderObserved), None)
    }
}

#[cfg(test)]
mod tests;
