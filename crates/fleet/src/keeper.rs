//! What the coordinator's tree keeps of the rules: a decider with a term writes there what it decides, before it counts.
//!
//! A new holder first writes again what it finds, under its own term: from then on nothing that an earlier holder still
//! has on its way can be written.

use crate::document::{Head, Revision};
use crate::election::{Ask, Outcome, Value};
use crate::Millis;
use std::sync::Arc;

/// What an answer of the tree has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Kept {
    Nothing,
    /// This is what was decided last, as far as the tree knows, and no earlier holder can change it any more.
    Found(Option<Arc<Revision>>),
    /// What was to be kept is kept.
    Stored(Arc<Revision>),
    /// A holder of a later term has written.
    Overtaken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Work {
    /// To be written again under the own term, once it is read.
    Fence(Option<Value>),
    Store(Arc<Revision>),
}

/// One holder's way to what is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Keeper {
    term: u64,
    pause: Millis,
    version: Option<i32>,
    work: Option<Work>,
    /// What the last write changed is not known: to be read first.
    unsure: bool,
    /// Numbers what is asked; an answer to anything but the last is of another holder's time.
    serial: u64,
    open: bool,
    next: Millis,
}

impl Keeper {
    /// For the holder of `term`; after no answer it asks again once `pause` is over.
    pub(crate) fn new(term: u64, pause: Millis, now: Millis) -> Keeper {
        let work = Some(Work::Fence(None));
        Keeper {
            term,
            pause,
            version: None,
            work,
            unsure: false,
            serial: (term & 0xffff_ffff) << 32,
            open: false,
            next: now,
        }
    }

    /// Its holder has taken another term, with nobody between.
    pub(crate) fn go_on_in(&mut self, term: u64) {
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
    pub(crate) fn tick(&mut self, now: Millis) -> Option<(u64, Ask)> {
        if now < self.next_due() {
            return None;
        }
        let ask = match self.work.as_ref()? {
            _ if self.unsure => Ask::Read,
            Work::Fence(None) => Ask::Read,
            Work::Fence(Some(found)) => {
                let (_, revision) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
                let version = found.as_ref().map(|(version, _)| *version);
                Ask::Swap(version, bytes(self.term, revision.as_deref()))
            }
            Work::Store(revision) => Ask::Swap(self.version, bytes(self.term, Some(revision))),
        };
        self.serial += 1;
        (self.open, self.next) = (true, now + self.pause);
        Some((self.serial, ask))
    }

    pub(crate) fn answered(&mut self, now: Millis, serial: u64, outcome: Outcome) -> Kept {
        if serial != self.serial || !self.open {
            return Kept::Nothing;
        }
        self.open = false;
        match (self.work.take(), outcome) {
            (Some(Work::Fence(_)), Outcome::Is(found)) => {
                let (term, _) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
                if term > self.term {
                    return Kept::Overtaken;
                }
                (self.work, self.next) = (Some(Work::Fence(Some(found))), now);
            }
            (Some(Work::Fence(Some(found))), Outcome::Swapped(version)) => {
                self.version = Some(version);
                return Kept::Found(found.and_then(|(_, bytes)| read(&bytes).1));
            }
            (Some(Work::Fence(_)), _) => self.work = Some(Work::Fence(None)),
            (Some(Work::Store(revision)), Outcome::Swapped(version)) => {
                self.version = Some(version);
                return Kept::Stored(revision);
            }
            (Some(Work::Store(revision)), Outcome::Is(found)) => return self.sure(now, revision, found),
            (Some(Work::Store(revision)), lost) => {
                (self.work, self.unsure) = (Some(Work::Store(revision)), true);
                if lost == Outcome::Stale {
                    self.next = now;
                }
            }
            (None, _) => {}
        }
        Kept::Nothing
    }

    /// It has read what stands where its write may have gone.
    fn sure(&mut self, now: Millis, revision: Arc<Revision>, found: Value) -> Kept {
        let (term, stands) = found.as_ref().map_or((0, None), |(_, bytes)| read(bytes));
        if term > self.term {
            return Kept::Overtaken;
        }
        (self.version, self.unsure) = (found.map(|(version, _)| version), false);
        if stands.is_some_and(|stands| stands.head == revision.head) {
            return Kept::Stored(revision);
        }
        // Not written, or the tree has been set back.
        (self.work, self.next) = (Some(Work::Store(revision)), now);
        Kept::Nothing
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
