//! What the coordinator's tree keeps of the rules: a decider with a term writes there what it decides, before it counts.
//!
//! A new holder first writes again what it finds, under its own term: from then on nothing that an earlier holder still
//! has on its way can be written.

use crate::document::{Head, Revision};
use crate::election::{RegisterRequest, RegisterResponse, VersionedValue};
use crate::Millis;
use std::sync::Arc;

/// What an answer of the tree has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RegisterEvent {
    Nothing,
    /// This is what was decided last, as far as the tree knows, and no earlier holder can change it any more.
    Found(Option<Arc<Revision>>),
    /// What was to be kept is kept.
    Stored(Arc<Revision>),
    /// A holder of a later term has written.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Work {
    /// To be written again under the own term, once it is read.
    Fence(Option<VersionedValue>),
    Store(Arc<Revision>),
}

/// One holder's way to what is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RulesRegister {
    term: u64,
    retry_interval: Millis,
    version: Option<i32>,
    work: Option<Work>,
    /// What the last write changed is not known: to be read first.
    outcome_unknown: bool,
    /// Numbers what is asked; an answer to anything but the last is of another holder's time.
    serial: u64,
    open: bool,
    next: Millis,
}

impl RulesRegister {
    /// For the holder of `term`; after no answer it asks again once `retry_interval` is over.
    pub(crate) fn new(term: u64, retry_interval: Millis, now: Millis) -> RulesRegister {
        let work = Some(Work::Fence(None));
        RulesRegister {
            term,
            retry_interval,
            version: None,
            work,
            outcome_unknown: false,
            serial: (term & 0xffff_ffff) << 32,
            open: false,
            next: now,
        }
    }

    /// Its holder has taken another term, with nobody between.
    pub(crate) fn continue_in_term(&mut self, term: u64) {
        self.term = term;
    }

    /// This is to be kept.
    pub(crate) fn store(&mut self, revision: Arc<Revision>) {
        self.work = Some(Work::Store(revision));
    }

    pub(crate) fn next_due(&self) -> Millis {
        match self.work.is_some() && !self.open {
            true => self.next,
            false => Millis::MAX,
        }
    }

    /// What is to be asked now.
    pub(crate) fn tick(&mut self, now: Millis) -> Option<(u64, RegisterRequest)> {
        if now < self.next_due() {
            return None;
        }
        let ask = match self.work.as_ref()? {
            _ if self.outcome_unknown => RegisterRequest::Read,
            Work::Fence(None) => RegisterRequest::Read,
            Work::Fence(Some(found)) => {
                let (_, revision) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
                let version = found.as_ref().map(|(version, _)| *version);
                RegisterRequest::CompareAndSwap(version, bytes(self.term, revision.as_deref()))
            }
            Work::Store(revision) => {
                RegisterRequest::CompareAndSwap(self.version, bytes(self.term, Some(revision)))
            }
        };
        self.serial += 1;
        (self.open, self.next) = (true, now + self.retry_interval);
        Some((self.serial, ask))
    }

    pub(crate) fn answered(&mut self, now: Millis, serial: u64, outcome: RegisterResponse) -> RegisterEvent {
        if serial != self.serial || !self.open {
            return RegisterEvent::Nothing;
        }
        self.open = false;
        match (self.work.take(), outcome) {
            (Some(Work::Fence(_)), RegisterResponse::Value(found)) => {
                let (term, _) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
                if term > self.term {
                    return RegisterEvent::Superseded;
                }
                (self.work, self.next) = (Some(Work::Fence(Some(found))), now);
            }
            (Some(Work::Fence(Some(found))), RegisterResponse::Swapped(version)) => {
                self.version = Some(version);
                return RegisterEvent::Found(found.and_then(|(_, bytes)| read(&bytes).1));
            }
            (Some(Work::Fence(_)), _) => self.work = Some(Work::Fence(None)),
            (Some(Work::Store(revision)), RegisterResponse::Swapped(version)) => {
                self.version = Some(version);
                return RegisterEvent::Stored(revision);
            }
            (Some(Work::Store(revision)), RegisterResponse::Value(found)) => {
                return self.verify_write(now, revision, found)
            }
            (Some(Work::Store(revision)), lost) => {
                (self.work, self.outcome_unknown) = (Some(Work::Store(revision)), true);
                if lost == RegisterResponse::VersionMismatch {
                    self.next = now;
                }
            }
            (None, _) => {}
        }
        RegisterEvent::Nothing
    }

    /// It has read what stands where its write may have gone.
    fn verify_write(&mut self, now: Millis, revision: Arc<Revision>, found: VersionedValue) -> RegisterEvent {
        let (term, stands) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
        if term > self.term {
            return RegisterEvent::Superseded;
        }
        (self.version, self.outcome_unknown) = (found.map(|(version, _)| version), false);
        if stands.is_some_and(|stands| stands.head == revision.head) {
            return RegisterEvent::Stored(revision);
        }
        // Not written, or the tree has been set back.
        (self.work, self.next) = (Some(Work::Store(revision)), now);
        RegisterEvent::Nothing
    }
}

fn bytes(term: u64, revision: Option<&Revision>) -> Vec<u8> {
    let kept = revision.map(|r| (&r.head, &*r.text));
    // Plain data without maps or floats has no way to fail.
    postcard::to_stdvec(&(term, kept)).unwrap_or_default()
}

/// The term it was written in and what it is; of what cannot be read, nothing.
fn read(bytes: &[u8]) -> (u64, Option<Arc<Revision>>) {
    let Ok((term, kept)) = postcard::from_bytes::<(u64, Option<(Head, &str)>)>(bytes) else {
        return (0, None);
    };
    (term, kept.and_then(|(head, text)| Revision::of(head, text)))
}
