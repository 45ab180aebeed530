//! What an operator's order makes of what is decided.

use oatbank_cluster_state::messages::{Decided, Taken, LONGEST_CONFIG};
use oatbank_config_model::{Playbill, Proposal, Refused};
use oatbank_node_runtime::error_kind::Kind;
use prost::Message;

/// Versions whose proposals are remembered: each costs some 10 bytes in every ballot. What is older gets no clear
/// answer, so that a repeat is never refused.
pub const REMEMBERED: usize = 4096;

/// An order.
#[derive(Clone, Debug)]
pub enum Order {
    /// A configuration, or changes of one.
    Settings(Proposal),
    /// A zone is to be empty, or is taken back.
    Empty {
        /// The zone.
        zone: String,
        /// It is to be empty.
        begin: bool,
    },
}

/// Why an order is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind.
    pub kind: Kind,
    /// For the operator.
    pub problem: String,
}

/// What an order that is not refused comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// This is decided next.
    Next(Box<Decided>),
    /// It was taken before, or there is nothing to change: what is decided stays as it is.
    Already,
}

/// What is known of a version's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// This very proposal was taken.
    Taken,
    /// It was not.
    Never,
    /// It is older than what is remembered.
    Forgotten,
}

/// Versions that were taken, the newest last. They climb, and none is missing from the first of them on.
struct Remembered(Vec<Taken>);

impl Remembered {
    fn of(decided: &Decided) -> Remembered {
        let numbers = decided.steps.iter().scan(0u64, |number, step| {
            *number = number.saturating_add(*step);
            Some(*number)
        });
        let packed =
            numbers.zip(&decided.digests).map(|(version, digest)| Taken { version, digest: *digest });
        // A program before knew nothing of the packed ones, left them out, and went on in its own list.
        Remembered(if decided.taken.is_empty() { packed.collect() } else { decided.taken.clone() })
    }

    fn keep(&self, decided: &mut Decided) {
        let before = std::iter::once(0).chain(self.0.iter().map(|taken| taken.version));
        decided.steps = self.0.iter().zip(before).map(|(taken, before)| taken.version - before).collect();
        decided.digests = self.0.iter().map(|taken| taken.digest).collect();
        decided.taken.clear();
    }

    fn add(&mut self, taken: Taken) {
        self.0.push(taken);
        let over = self.0.len().saturating_sub(REMEMBERED);
        self.0.drain(..over);
    }

    /// What became of this proposal, where `current` is in place.
    fn fate(&self, proposal: &Proposal, current: u64) -> Fate {
        let version = proposal.version();
        // Versions climb: nothing is taken that does not lie above what it builds on.
        if version > current || version <= proposal.built_on() {
            return Fate::Never;
        }
        match self.0.binary_search_by_key(&version, |taken| taken.version) {
            Ok(at) if self.0[at].digest == proposal.digest() => Fate::Taken,
            Ok(_) => Fate::Never,
            Err(0) => Fate::Forgotten,
            Err(_) => Fate::Never,
        }
    }
}

/// What is decided once the order is taken.
///
/// # Errors
/// When it is invalid, builds on another version, or would be too long. With [`Kind::Unsure`] it may have been taken
/// long ago.
pub fn settle(decided: &Decided, order: &Order) -> Result<Settled, Refusal> {
    let mut next = decided.clone();
    match order {
        Order::Settings(proposal) => {
            let current = match decided.config.as_str() {
                "" => None,
                text => Some(Playbill::read(text).map_err(|e| Refusal {
                    kind: Kind::Unsure,
                    problem: format!("what is in force cannot be read: {e}"),
                })?),
            };
            let mut remembered = Remembered::of(decided);
            let now = current.as_ref().map_or(0, |bill| bill.version);
            match remembered.fate(proposal, now) {
                Fate::Taken => return Ok(Settled::Already),
                Fate::Never => {}
                Fate::Forgotten => {
                    let since = remembered.0.first().map_or(now, |taken| taken.version);
                    return Err(Refusal {
                        kind: Kind::Unsure,
                        problem: format!(
                            "r{} may have been taken: what was sent is remembered from r{since} on; r{now} is in place",
                            proposal.version()
                        ),
                    });
                }
            }
            let bill = proposal.onto(current.as_ref()).map_err(|refused| match refused {
                Refused::Stale { current } => {
                    Refusal { kind: Kind::Stale, problem: format!("r{current} is in place") }
                }
                Refused::Invalid(e) => Refusal { kind: Kind::Invalid, problem: e.to_string() },
            })?;
            next.config = bill.text();
            if next.config.len() > LONGEST_CONFIG {
                return Err(Refusal {
                    kind: Kind::TooLong,
                    problem: format!(
                        "the configuration would be {} bytes long; allowed: {LONGEST_CONFIG} at most",
                        next.config.len()
                    ),
                });
            }
            remembered.add(Taken { version: proposal.version(), digest: proposal.digest() });
            remembered.keep(&mut next);
        }
        Order::Empty { zone, begin } => {
            next.empty.retain(|z| z != zone);
            if *begin {
                next.empty.push(zone.clone());
                next.empty.sort();
            }
            if next.empty == decided.empty {
                return Ok(Settled::Already);
            }
        }
    }
    Ok(Settled::Next(Box::new(next)))
}

/// Why an order makes no other edition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Not {
    /// It was taken before, or there is nothing to change, in this edition.
    Needed(u64),
    /// It is not taken.
    Taken(Refusal),
}

/// Reads what is agreed.
///
/// # Errors
/// When a later version of this program has written it.
pub fn read(bytes: Option<&[u8]>) -> Result<Decided, Refusal> {
    let problem = |e| format!("what was agreed cannot be read by this version: {e}");
    Decided::decode(bytes.unwrap_or_default())
        .map_err(|e| Refusal { kind: Kind::Unsure, problem: problem(e) })
}

/// [`settle`] as the store asks for it: on the newest value, and the edition that it stands in.
///
/// # Errors
/// Where no other edition is made. It is told only once what it was found in is chosen.
pub fn change(order: &Order, bytes: Option<&[u8]>, edition: u64) -> Result<Vec<u8>, Not> {
    match settle(&read(bytes).map_err(Not::Taken)?, order).map_err(Not::Taken)? {
        Settled::Next(next) => Ok(next.encode_to_vec()),
        Settled::Already => Err(Not::Needed(edition)),
    }
}
