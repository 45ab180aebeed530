//! A voter: what it has promised and accepted. No I/O; each answer says what must be durable before it goes out.

use crate::wire::{Accept, Answer, Ballot, Fetch, Kept, Prepare, Record, Rejoin, Verdict};

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

/// The quorums among `voters`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    pub(crate) voters: usize,
    pub(crate) majority: usize,
}

impl Quorum {
    /// More than half of them.
    pub fn of(voters: usize) -> Quorum {
        Quorum { voters, majority: voters / 2 + 1 }
    }

    /// How many other voters must report to one that rejoins, so that every majority it was in has one of them.
    pub fn to_rejoin(self) -> usize {
        self.voters - self.majority + 1
    }
}

/// Which of the answers stand together: none of an incarnation that another answer knows to be over.
pub fn consistent<'a>(
    answers: impl Iterator<Item = (usize, &'a Answer)> + Clone,
) -> impl Iterator<Item = (usize, &'a Answer)> + Clone {
    let all = answers.clone();
    answers.filter(move |(voter, answer)| {
        all.clone().all(|(_, other)| other.known.get(*voter).is_none_or(|known| *known <= answer.incarnation))
    })
}

/// A voter that votes.
#[derive(Clone, Debug)]
pub struct Acceptor {
    kept: Kept,
    record: Option<Record>,
    /// For each voter the ticket given out last, 0 for none; not kept.
    tickets: Vec<u64>,
    next_ticket: u64,
}

impl Acceptor {
    /// A voter at the founding: its place among the voters, and a random number.
    pub fn founded(voters: Vec<String>, me: usize, chance: u64) -> Acceptor {
        let mut known = vec![0; voters.len()];
        known[me] = chance >> 32 | 1;
        let kept = Kept { voters, me: me as u32, incarnation: known[me], known, ..Kept::default() };
        Acceptor { tickets: vec![0; kept.voters.len()], kept, record: None, next_ticket: chance | 1 }
    }

    /// A voter from what was durable, with a random number; `None` if it does not fit together.
    pub fn restored(kept: Kept, record: Option<Record>, chance: u64) -> Option<Acceptor> {
        let fits = (kept.me as usize) < kept.voters.len()
            && kept.known.len() == kept.voters.len()
            && kept.incarnation != 0
            && record.is_some() == (kept.accepted != Ballot::default());
        let tickets = vec![0; kept.voters.len()];
        fits.then_some(Acceptor { kept, record, tickets, next_ticket: chance | 1 })
    }

    /// All that is durable, besides the record.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The record it holds.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// An answer that gives nothing away but the state.
    pub fn answer(&self, verdict: Verdict) -> Answer {
        Answer {
            verdict: verdict as i32,
            incarnation: self.kept.incarnation,
            known: self.kept.known.clone(),
            promised: self.kept.promised,
            accepted: self.kept.accepted,
            adopted: self.kept.adopted,
            edition: self.record.as_ref().map_or(0, |record| record.edition),
            record: None,
            ticket: 0,
        }
    }

    fn with_record(&self, verdict: Verdict, known: Ballot) -> Answer {
        let mut answer = self.answer(verdict);
        if self.kept.accepted > known {
            answer.record = self.record.clone();
        }
        answer
    }

    /// Promises to take part in no lower ballot. The same ballot is not promised twice.
    pub fn prepare(&mut self, asked: &Prepare) -> (Answer, Write) {
        if asked.ballot <= self.kept.promised {
            return (self.answer(Verdict::Rejected), Write::Nothing);
        }
        self.kept.promised = asked.ballot;
        (self.with_record(Verdict::Given, asked.known), Write::Kept)
    }

    /// Accepts, unless a higher ballot was promised or a counted promise is of an incarnation that is over.
    pub fn accept(&mut self, asked: &Accept) -> (Answer, Write) {
        let over = asked.counted.len() != self.kept.known.len()
            || asked
                .counted
                .iter()
                .zip(&self.kept.known)
                .any(|(counted, known)| 0 < *counted && counted < known);
        if asked.ballot < self.kept.promised || over {
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

    /// Which ballot and edition it holds.
    pub fn peek(&self) -> Answer {
        self.answer(Verdict::Given)
    }

    /// The record, if it is newer than what is known.
    pub fn fetch(&self, asked: &Fetch) -> Answer {
        self.with_record(Verdict::Given, asked.known)
    }

    /// Records that a voter has a new incarnation, and reports what this one holds; first gives out a ticket.
    pub fn rejoin(&mut self, asked: &Rejoin) -> (Answer, Write) {
        let voter = asked.voter as usize;
        if voter == self.kept.me as usize || voter >= self.kept.voters.len() {
            return (self.answer(Verdict::Rejected), Write::Nothing);
        }
        if asked.ticket == 0
            || asked.ticket != self.tickets[voter]
            || asked.incarnation < self.kept.known[voter]
        {
            self.tickets[voter] = self.next_ticket;
            self.next_ticket = self.next_ticket.wrapping_add(2);
            let answer = Answer { ticket: self.tickets[voter], ..self.answer(Verdict::Rejected) };
            return (answer, Write::Nothing);
        }
        let write = if self.kept.known[voter] == asked.incarnation { Write::Nothing } else { Write::Kept };
        self.kept.known[voter] = asked.incarnation;
        (self.with_record(Verdict::Given, Ballot::default()), write)
    }
}

/// A voter that has lost its disk and does not vote until enough others have told it what they hold.
#[derive(Clone, Debug)]
pub struct Rejoining {
    voters: Vec<String>,
    me: usize,
    quorum: Quorum,
    chance: u64,
    incarnation: u64,
    tickets: Vec<u64>,
    reports: Vec<Option<Answer>>,
}

impl Rejoining {
    /// Begins; `chance` is a random number.
    pub fn new(voters: Vec<String>, me: usize, chance: u64) -> Rejoining {
        let quorum = Quorum::of(voters.len());
        let (tickets, reports) = (vec![0; voters.len()], vec![None; voters.len()]);
        Rejoining { voters, me, quorum, chance, incarnation: 1 << 32 | chance >> 32, tickets, reports }
    }

    /// Whom to ask what: those that have not reported to this incarnation.
    pub fn ask(&self) -> Vec<(usize, Rejoin)> {
        let whom = (0..self.voters.len()).filter(|v| *v != self.me && self.reports[*v].is_none());
        let (voter, incarnation) = (self.me as u32, self.incarnation);
        whom.map(|v| (v, Rejoin { voter, incarnation, ticket: self.tickets[v] })).collect()
    }

    /// The voters' addresses.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// The incarnation it will vote under.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes the answer to `asked`. Gives the voter once enough have reported; it must be durable before it votes.
    pub fn report(&mut self, asked: &Rejoin, voter: usize, answer: Answer) -> Option<Acceptor> {
        if asked.incarnation != self.incarnation || voter == self.me || voter >= self.voters.len() {
            return None;
        }
        match answer.verdict() {
            Verdict::Given => self.reports[voter] = Some(answer),
            Verdict::Rejected => {
                self.tickets[voter] = answer.ticket;
                // Someone has seen as late a life as this one claims to be: claim a later one, ask all again.
                let seen = answer.known.get(self.me).copied().unwrap_or(0);
                if seen >= self.incarnation {
                    self.incarnation = ((seen >> 32) + 1) << 32 | self.chance >> 32;
                    self.reports = vec![None; self.voters.len()];
                }
                return None;
            }
            Verdict::NotVoting | Verdict::Unable => return None,
        }
        let given: Vec<(usize, Answer)> =
            self.reports.iter().enumerate().filter_map(|(v, r)| Some((v, r.clone()?))).collect();
        let standing: Vec<_> = consistent(given.iter().map(|(voter, report)| (*voter, report))).collect();
        for (voter, _) in &given {
            // One from before the reporter's own loss does not count; it is asked again.
            if standing.iter().all(|(stands, _)| stands != voter) {
                self.reports[*voter] = None;
            }
        }
        if standing.len() < self.quorum.to_rejoin() {
            return None;
        }
        let mut kept = Kept {
            voters: self.voters.clone(),
            me: self.me as u32,
            incarnation: self.incarnation,
            known: vec![0; self.voters.len()],
            ..Kept::default()
        };
        let mut record = None;
        for (voter, report) in standing {
            kept.promised = kept.promised.max(report.promised);
            if report.accepted > kept.accepted {
                kept.accepted = report.accepted;
                kept.adopted = true;
                record.clone_from(&report.record);
            }
            for (known, theirs) in kept.known.iter_mut().zip(&report.known) {
                *known = (*known).max(*theirs);
            }
            kept.known[voter] = kept.known[voter].max(report.incarnation);
        }
        kept.known[self.me] = self.incarnation;
        Acceptor::restored(kept, record, self.chance)
    }
}
