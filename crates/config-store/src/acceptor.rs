//! A voter: what it has promised and accepted. No I/O; each answer says what must be durable before it goes out.
//!
//! Every core machine is one, whether it has a say or not: who asks counts only the answers of those in the cast.

use crate::messages::{Accept, Answer, Ballot, Cast, Fetch, Here, Kept, Prepare, Record, Verdict, Who};

/// What must be durable before the answer goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Write {
    /// Nothing new.
    Nothing,
    /// What [`Acceptor::kept`] gives.
    Kept,
    /// That and the record.
    Record,
}

/// A voter.
#[derive(Clone, Debug)]
pub struct Acceptor {
    kept: Kept,
    record: Option<Record>,
}

impl Acceptor {
    /// A founder's first life.
    pub fn founded(founders: Vec<String>) -> Acceptor {
        Acceptor { kept: Kept { founders, ..Kept::default() }, record: None }
    }

    /// One that holds nothing yet; `id` is a random number that no disk of this machine had before.
    pub fn fresh(id: u64) -> Acceptor {
        Acceptor { kept: Kept { id: id.max(1), ..Kept::default() }, record: None }
    }

    /// A voter from what was durable; `None` if it does not fit together.
    pub fn restored(kept: Kept, record: Option<Record>) -> Option<Acceptor> {
        let fits = record.is_some() == (kept.accepted != Ballot::default())
            && (kept.id != 0 || !kept.founders.is_empty());
        fits.then_some(Acceptor { kept, record })
    }

    /// All that is durable, besides the record.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The record it holds.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    fn cast(&self) -> Option<&Cast> {
        self.record.as_ref().and_then(|record| record.cast.as_ref())
    }

    /// [`Cast::made`] of the record it holds.
    pub fn cast_made(&self) -> Ballot {
        self.cast().map_or_else(Ballot::default, |cast| cast.made)
    }

    /// Whether the voters change by the record it holds.
    pub fn is_changing(&self) -> bool {
        self.cast().is_some_and(Cast::is_changing)
    }

    /// An answer that gives nothing away but the state.
    pub fn answer(&self, verdict: Verdict) -> Answer {
        Answer {
            verdict: verdict as i32,
            id: self.kept.id,
            promised: self.kept.promised,
            accepted: self.kept.accepted,
            adopted: self.kept.adopted,
            edition: self.record.as_ref().map_or(0, |record| record.edition),
            record: None,
            cast_made: self.cast_made(),
        }
    }

    fn newer(&self, known: Ballot) -> Option<Record> {
        self.record.clone().filter(|_| self.kept.accepted > known)
    }

    /// Promises to take part in no lower ballot. The same ballot is not promised twice.
    pub fn prepare(&mut self, asked: &Prepare) -> (Answer, Write) {
        if asked.ballot <= self.kept.promised {
            return (self.answer(Verdict::Rejected), Write::Nothing);
        }
        self.kept.promised = asked.ballot;
        (Answer { record: self.newer(asked.known), ..self.answer(Verdict::Given) }, Write::Kept)
    }

    /// Accepts, unless a higher ballot was promised.
    pub fn accept(&mut self, asked: &Accept) -> (Answer, Write) {
        if asked.ballot < self.kept.promised {
            return (self.answer(Verdict::Rejected), Write::Nothing);
        }
        if asked.ballot == self.kept.accepted && !self.kept.adopted {
            return (self.answer(Verdict::Given), Write::Nothing);
        }
        self.kept.promised = asked.ballot;
        self.kept.accepted = asked.ballot;
        self.kept.adopted = false;
        self.record = Some(asked.record.clone());
        (self.answer(Verdict::Given), Write::Record)
    }

    /// Keeps a record that it was told of, if it is newer. That is no vote: it tells the record in its promises, and is
    /// not counted among those who accepted it.
    pub fn adopt(&mut self, ballot: Ballot, record: &Record) -> Write {
        if ballot <= self.kept.accepted {
            return Write::Nothing;
        }
        self.kept.promised = self.kept.promised.max(ballot);
        self.kept.accepted = ballot;
        self.kept.adopted = true;
        self.record = Some(record.clone());
        Write::Record
    }

    /// Which ballot and edition it holds.
    pub fn peek(&self) -> Answer {
        self.answer(Verdict::Given)
    }

    /// The record, if it is newer than what is known.
    pub fn fetch(&self, asked: &Fetch) -> Answer {
        Answer { record: self.newer(asked.known), ..self.answer(Verdict::Given) }
    }

    /// Who votes, as far as this one knows.
    pub fn here(&self, asked: &Who, seeds: Vec<String>) -> Here {
        Here {
            founders: self.kept.founders.clone(),
            seeds,
            id: self.kept.id,
            accepted: self.kept.accepted,
            record: self.newer(asked.known),
            unable: false,
        }
    }
}
