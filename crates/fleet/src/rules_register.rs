//! The rules register at the coordinator. An elected decider writes each revision there before the decision takes
//! effect.
//!
//! A new holder first writes the value that it finds again under its own term. From then on, a delayed write of an
//! earlier holder fails.

use crate::document::{Head, Revision};
use crate::election::{RegisterRequest, RegisterResponse, VersionedValue};
use crate::Millis;
use std::sync::Arc;

/// Result of a response from the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RegisterEvent {
    Nothing,
    /// The last decided revision, as stored by the coordinator; earlier holders can no longer change it.
    Found(Option<Arc<Revision>>),
    /// This revision was stored.
    Stored(Arc<Revision>),
    /// The holder of a later term has written to the register.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Operation {
    /// Write the value again under the own term, once it was read.
    Fence(Option<VersionedValue>),
    Store(Arc<Revision>),
}

/// Access of one holder to the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RulesRegister {
    term: u64,
    retry_interval: Millis,
    version: Option<i32>,
    operation: Option<Operation>,
    /// The outcome of the last write is unknown, so the register has to be read first.
    outcome_unknown: bool,
    /// Serial number of the last request. Responses with another number belong to an earlier request or holder.
    serial: u64,
    in_flight: bool,
    next_request_at: Millis,
}

impl RulesRegister {
    /// Creates the access of the holder of `term`, which waits `retry_interval` ms between two requests.
    pub(crate) fn new(term: u64, retry_interval: Millis, now: Millis) -> RulesRegister {
        let operation = Some(Operation::Fence(None));
        RulesRegister {
            term,
            retry_interval,
            version: None,
            operation,
            outcome_unknown: false,
            serial: (term & 0xffff_ffff) << 32,
            in_flight: false,
            next_request_at: now,
        }
    }

    /// Continues in another term after one in which nobody else decided.
    pub(crate) fn continue_in_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Requests that this revision be stored.
    pub(crate) fn store(&mut self, revision: Arc<Revision>) {
        self.operation = Some(Operation::Store(revision));
    }

    pub(crate) fn next_due(&self) -> Millis {
        match self.operation.is_some() && !self.in_flight {
            true => self.next_request_at,
            false => Millis::MAX,
        }
    }

    /// Returns the serial number and the request to send now, if one is due.
    pub(crate) fn tick(&mut self, now: Millis) -> Option<(u64, RegisterRequest)> {
        if now < self.next_due() {
            return None;
        }
        let request = match self.operation.as_ref()? {
            _ if self.outcome_unknown => RegisterRequest::Read,
            Operation::Fence(None) => RegisterRequest::Read,
            Operation::Fence(Some(found)) => {
                let (_, revision) = found.as_ref().map_or((0, None), |(_, bytes)| decode(bytes));
                let version = found.as_ref().map(|(version, _)| *version);
                RegisterRequest::CompareAndSwap(version, encode(self.term, revision.as_deref()))
            }
            Operation::Store(revision) => {
                RegisterRequest::CompareAndSwap(self.version, encode(self.term, Some(revision)))
            }
        };
        self.serial += 1;
        (self.in_flight, self.next_request_at) = (true, now + self.retry_interval);
        Some((self.serial, request))
    }

    pub(crate) fn handle_response(
        &mut self,
        now: Millis,
        serial: u64,
        response: RegisterResponse,
    ) -> RegisterEvent {
        if serial != self.serial || !self.in_flight {
            return RegisterEvent::Nothing;
        }
        self.in_flight = false;
        match (self.operation.take(), response) {
            (Some(Operation::Fence(_)), RegisterResponse::Value(found)) => {
                let (term, _) = found.as_ref().map_or((0, None), |(_, bytes)| decode(bytes));
                if term > self.term {
                    return RegisterEvent::Superseded;
                }
                (self.operation, self.next_request_at) = (Some(Operation::Fence(Some(found))), now);
            }
            (Some(Operation::Fence(Some(found))), RegisterResponse::Swapped(version)) => {
                self.version = Some(version);
                return RegisterEvent::Found(found.and_then(|(_, bytes)| decode(&bytes).1));
            }
            (Some(Operation::Fence(_)), _) => self.operation = Some(Operation::Fence(None)),
            (Some(Operation::Store(revision)), RegisterResponse::Swapped(version)) => {
                self.version = Some(version);
                return RegisterEvent::Stored(revision);
            }
            (Some(Operation::Store(revision)), RegisterResponse::Value(found)) => {
                return self.verify_write(now, revision, found)
            }
            (Some(Operation::Store(revision)), failure) => {
                (self.operation, self.outcome_unknown) = (Some(Operation::Store(revision)), true);
                if failure == RegisterResponse::VersionMismatch {
                    self.next_request_at = now;
                }
            }
            (None, _) => {}
        }
        RegisterEvent::Nothing
    }

    /// Compares the value read after a write of unknown outcome with the revision to store.
    fn verify_write(&mut self, now: Millis, revision: Arc<Revision>, found: VersionedValue) -> RegisterEvent {
        let (term, present) = found.as_ref().map_or((0, None), |(_, bytes)| decode(bytes));
        if term > self.term {
            return RegisterEvent::Superseded;
        }
        (self.version, self.outcome_unknown) = (found.map(|(version, _)| version), false);
        if present.is_some_and(|present| present.head == revision.head) {
            return RegisterEvent::Stored(revision);
        }
        // The write was not carried out, or the coordinator's data was restored to an earlier state.
        (self.operation, self.next_request_at) = (Some(Operation::Store(revision)), now);
        RegisterEvent::Nothing
    }
}

fn encode(term: u64, revision: Option<&Revision>) -> Vec<u8> {
    let stored = revision.map(|r| (&r.head, &*r.text));
    // Encoding cannot fail: the data holds no maps or floats.
    postcard::to_stdvec(&(term, stored)).unwrap_or_default()
}

/// Decodes the term and the revision; undecodable bytes yield term 0 and no revision.
fn decode(bytes: &[u8]) -> (u64, Option<Arc<Revision>>) {
    let Ok((term, stored)) = postcard::from_bytes::<(u64, Option<(Head, &str)>)>(bytes) else {
        return (0, None);
    };
    (term, stored.and_then(|(head, text)| Revision::of(head, text)))
}
