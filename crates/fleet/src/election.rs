//! Election of the decider through a coordinator. One register there, changed only by compare-and-swap, names the
//! holder of the current term. Neither the coordinator's clock nor its sessions are relied upon.
//!
//! The holder renews the register periodically; a successful write lets it decide for a span counted from when it
//! *sent* the request. Another limiter takes the next term once it has seen the register unchanged for that span by
//! the slowest clock, and only with a write that succeeds if the register is still unchanged. The spans of two
//! holders therefore never overlap.

use crate::timing::LeaseTiming;
use crate::{Millis, Peer};

/// Registers that the coordinator stores for a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Register {
    /// Holder of the current term.
    Decider,
    /// Last decided revision.
    Rules,
}

/// Value of a register and its version, as counted by the coordinator; `None` if it does not exist.
pub type VersionedValue = Option<(i32, Vec<u8>)>;

/// Request to the coordinator. Each gets exactly one [`RegisterResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RegisterRequest {
    /// Reads the register.
    Read,
    /// Writes this value if the register still has this version, or does not exist if that is `None`.
    CompareAndSwap(Option<i32>, Vec<u8>),
}

/// Outcome of a [`RegisterRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RegisterResponse {
    /// Value read by [`RegisterRequest::Read`].
    Value(VersionedValue),
    /// The write succeeded, with this new version.
    Swapped(i32),
    /// Nothing was written, because the register has another version.
    VersionMismatch,
    /// No response: the request may or may not have been carried out.
    Unknown,
}

/// Holder of a term, as stored in the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Number of the term, which grows with each holder.
    pub term: u64,
    /// Limiter that holds the term.
    pub peer: Peer,
    /// Number of renewals of the register by the holder.
    renewals: u64,
}

impl Holder {
    fn encode(self) -> Vec<u8> {
        format!("{} {} {}", self.term, self.peer.0, self.renewals).into_bytes()
    }

    fn decode(bytes: &[u8]) -> Option<Holder> {
        let mut words = std::str::from_utf8(bytes).ok()?.split(' ');
        let holder = Holder {
            term: words.next()?.parse().ok()?,
            peer: Peer(words.next()?.parse().ok()?),
            renewals: words.next()?.parse().ok()?,
        };
        words.next().is_none().then_some(holder)
    }
}

/// Result of a response from the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ElectionEvent {
    /// This limiter holds this term from now on.
    Won(u64),
    /// Another limiter holds a term.
    HolderObserved(Holder),
}

/// Last observed state of the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observation {
    value: VersionedValue,
    /// Start of the gapless observation of this value.
    since: Millis,
    last: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InFlight {
    Read,
    Campaign(Holder),
    Renew(Holder),
}

/// State of a limiter in the election.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    timing: LeaseTiming,
    me: Peer,
    observed: Option<Observation>,
    /// Request without a response, and when it was sent.
    in_flight: Option<(InFlight, Millis)>,
    next_request_at: Millis,
    held: Option<Holder>,
    /// Until when its last successful write lets it decide.
    authority_until: Millis,
    /// Start of the observation of the register without a gap and without a return to an earlier state.
    observed_since: Millis,
    initial_term: u64,
    /// Highest known term.
    highest_term: u64,
    /// Earliest time of its next candidacy.
    campaign_not_before: Millis,
}

impl Election {
    /// Creates the state of a limiter that has just started. `incarnation` (Unix ms) becomes the first term if the
    /// coordinator has none, so that terms and revision ids are not reused after the coordinator has lost its data.
    pub fn new(timing: LeaseTiming, me: Peer, incarnation: u64, now: Millis) -> Election {
        let (observed, in_flight, held) = Default::default();
        Election {
            timing,
            me,
            observed,
            in_flight,
            next_request_at: now,
            held,
            authority_until: 0,
            observed_since: now,
            initial_term: incarnation,
            highest_term: 0,
            campaign_not_before: now,
        }
    }

    /// Returns the term that this limiter holds.
    pub fn held_term(&self) -> Option<u64> {
        self.held.map(|h| h.term)
    }

    /// Returns until when its last successful write lets it decide; 0 if it holds no term.
    pub fn authority_until(&self) -> Millis {
        if self.held.is_some() {
            self.authority_until
        } else {
            0
        }
    }

    /// Returns the start of the observation of the register without a gap and without a return to an earlier state. A
    /// coordinator whose data was restored to an earlier state was unavailable meanwhile.
    pub(crate) fn observed_since(&self) -> Millis {
        self.observed_since
    }

    /// Returns when the coordinator last responded.
    pub fn last_response(&self) -> Option<Millis> {
        self.observed.as_ref().map(|s| s.last)
    }

    /// Returns the latest time for the next call of [`Election::tick`].
    pub fn next_due(&self) -> Millis {
        if self.in_flight.is_some() {
            return Millis::MAX;
        }
        self.next_request_at
    }

    /// Returns the request to send for [`Register::Decider`] now, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<RegisterRequest> {
        if self.in_flight.is_some() || now < self.next_request_at {
            return None;
        }
        let version = self.observed.as_ref().map(|s| s.value.as_ref().map(|v| v.0));
        let (Some(held), Some(version)) = (self.held, version) else {
            // Three reads within the span over which it must be seen unchanged.
            self.next_request_at = now + self.timing.lease / 3;
            return Some(self.request_read(now, InFlight::Read));
        };
        self.next_request_at = now + self.timing.heartbeat;
        // A later term, or this one with another holder, is known: the coordinator's data was restored to an earlier
        // state.
        let term = if self.highest_term > held.term { self.highest_term + 1 } else { held.term };
        let renewed = Holder { term, renewals: held.renewals + 1, ..held };
        self.in_flight = Some((InFlight::Renew(renewed), now));
        Some(RegisterRequest::CompareAndSwap(version, renewed.encode()))
    }

    fn request_read(&mut self, now: Millis, request: InFlight) -> RegisterRequest {
        self.in_flight = Some((request, now));
        RegisterRequest::Read
    }

    /// Records a term announced by another limiter, and its holder if known.
    pub fn observe_term(&mut self, term: u64, peer: Option<Peer>) {
        let same_term = self.held.is_some_and(|h| h.term == term && peer != Some(self.me));
        self.highest_term = self.highest_term.max(term + u64::from(same_term));
    }

    /// Gives up the term, and leaves the others two leases before its next candidacy.
    pub fn resign(&mut self, now: Millis) {
        self.held = None;
        self.campaign_not_before = now + 2 * self.timing.lease;
    }

    /// Handles a response; returns its result and the request to send next, if any.
    pub fn handle_response(
        &mut self,
        now: Millis,
        response: RegisterResponse,
    ) -> (Option<ElectionEvent>, Option<RegisterRequest>) {
        let Some((request, asked_at)) = self.in_flight.take() else { return (None, None) };
        match (request, response) {
            (InFlight::Read, RegisterResponse::Value(value)) => self.handle_read(now, value),
            (InFlight::Campaign(holder), RegisterResponse::Swapped(version)) => {
                self.held = Some(holder);
                self.record_write(now, asked_at, holder, version);
                (Some(ElectionEvent::Won(holder.term)), None)
            }
            (InFlight::Renew(holder), RegisterResponse::Swapped(version)) if self.held.is_some() => {
                let before = self.held.replace(holder);
                self.record_write(now, asked_at, holder, version);
                let new_term = before.is_some_and(|b| b.term != holder.term);
                (new_term.then_some(ElectionEvent::Won(holder.term)), None)
            }
            // The register has changed, or may have: read it before anything else.
            (_, RegisterResponse::VersionMismatch) => (None, Some(self.request_read(now, InFlight::Read))),
            // No response: the last observation still gives the version to replace and reveals a gap.
            _ => (None, None),
        }
    }

    fn record_write(&mut self, now: Millis, asked_at: Millis, holder: Holder, version: i32) {
        self.observe(now, Some(holder));
        self.authority_until = asked_at + self.timing.lease;
        self.highest_term = self.highest_term.max(holder.term);
        self.observed = Some(Observation { value: Some((version, holder.encode())), since: now, last: now });
    }

    /// Records an observation of the register, and detects gaps and returns to an earlier state.
    fn observe(&mut self, now: Millis, holder: Option<Holder>) {
        let sort_key = |holder: Option<Holder>| holder.map(|h| (h.term, h.renewals));
        let before =
            self.observed.as_ref().map(|s| (s.last, s.value.as_ref().and_then(|v| Holder::decode(&v.1))));
        let continuous = before.is_some_and(|(last, previous)| {
            now - last < self.timing.lease && sort_key(holder) >= sort_key(previous)
        });
        if !continuous {
            self.observed_since = now;
        }
    }

    fn handle_read(
        &mut self,
        now: Millis,
        value: VersionedValue,
    ) -> (Option<ElectionEvent>, Option<RegisterRequest>) {
        let holder = value.as_ref().and_then(|(_, bytes)| Holder::decode(bytes));
        self.highest_term = self.highest_term.max(holder.map_or(0, |h| h.term));
        self.observe(now, holder);
        // An equal value after a gap counts as new: the coordinator's data may have been restored to an earlier
        // state.
        let unchanged_value =
            self.observed.as_ref().filter(|s| s.value == value && now - s.last < self.timing.lease);
        let since = unchanged_value.map_or(now, |s| s.since);
        let version = value.as_ref().map(|v| v.0);
        self.observed = Some(Observation { value, since, last: now });
        if let Some(held) = self.held {
            // Either a write without a response was carried out, or the register is in another state.
            if holder.is_some_and(|h| h.peer == self.me && h.term >= held.term) {
                self.next_request_at = now;
                return (None, None);
            }
            self.held = None;
        }
        let unchanged_for = now - since;
        // Staggers the candidacies of the limiters.
        let stagger = u64::from(self.me.0 % 16) * self.timing.heartbeat / 4;
        if unchanged_for >= self.timing.lease_expiry() + stagger && now >= self.campaign_not_before {
            let initial_term = if holder.is_none() { self.initial_term } else { 0 };
            let holder = Holder { term: initial_term.max(self.highest_term + 1), peer: self.me, renewals: 0 };
            self.in_flight = Some((InFlight::Campaign(holder), now));
            return (None, Some(RegisterRequest::CompareAndSwap(version, holder.encode())));
        }
        (holder.filter(|h| h.peer != self.me).map(ElectionEvent::HolderObserved), None)
    }
}

#[cfg(test)]
mod tests;
