//! What an operator's order makes of what is decided.

use greenroom::kinds::Kind;
use greenroom::wire::{Decided, Taken};
use playbill::{Playbill, Proposal, Refused};

/// Versions whose proposals are remembered: a repeat without a clear answer comes within seconds.
const REMEMBERED: usize = 256;

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

/// What is decided once the order is taken. One that has been taken already changes nothing.
///
/// # Errors
/// When it is invalid, or builds on another version.
pub fn settle(decided: &Decided, order: &Order) -> Result<Decided, Refusal> {
    let mut next = decided.clone();
    match order {
        Order::Settings(proposal) => {
            let taken = Taken { version: proposal.version(), digest: proposal.digest() };
            if decided.taken.contains(&taken) {
                return Ok(next);
            }
            let current = match decided.config.as_str() {
                "" => None,
                text => Some(Playbill::read(text).map_err(|e| Refusal {
                    kind: Kind::Invalid,
                    problem: format!("what is in force cannot be read: {e}"),
                })?),
            };
            let bill = proposal.onto(current.as_ref()).map_err(|refused| match refused {
                Refused::Stale { current } => {
                    Refusal { kind: Kind::Stale, problem: format!("r{current} is in place") }
                }
                Refused::Invalid(e) => Refusal { kind: Kind::Invalid, problem: e.to_string() },
            })?;
            next.config = bill.text();
            next.taken.push(taken);
            let over = next.taken.len().saturating_sub(REMEMBERED);
            next.taken.drain(..over);
        }
        Order::Empty { zone, begin } => {
            next.empty.retain(|z| z != zone);
            if *begin {
                next.empty.push(zone.clone());
                next.empty.sort();
            }
        }
    }
    Ok(next)
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn put(version: &str, built_on: &str) -> Order {
        let body = format!(
            r#"{{"version":"{version}","builtOn":{built_on},"routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"],"rows":[["r","h","/p/","safe",1000,400,2,2,"s"]]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
        );
        Order::Settings(Proposal::replace(body.as_bytes()).expect("readable"))
    }

    #[test]
    fn a_repeat_is_taken_and_changes_nothing_and_a_rival_is_stale() {
        let first = settle(&Decided::default(), &put("r3", "0")).expect("the first");
        let second = settle(&first, &put("r7", "\"r3\"")).expect("on top of it");
        assert_eq!(settle(&second, &put("r7", "\"r3\"")).expect("the same again"), second);
        assert_eq!(settle(&second, &put("r3", "0")).expect("an older one again"), second);
        assert_matches!(settle(&second, &put("r8", "\"r3\"")), Err(Refusal { kind: Kind::Stale, .. }));
        assert_matches!(settle(&first, &put("r3", "\"r3\"")), Err(_), "not above the current one");
    }

    #[test]
    fn zones_are_emptied_and_taken_back_and_outlive_configurations() {
        let order = |zone: &str, begin| Order::Empty { zone: zone.into(), begin };
        let decided = settle(&Decided::default(), &order("z", true)).expect("an order");
        let decided = settle(&decided, &order("z", true)).expect("again");
        let decided = settle(&decided, &put("r3", "0")).expect("a configuration");
        assert_eq!(decided.empty, ["z"]);
        assert!(settle(&decided, &order("z", false)).expect("taken back").empty.is_empty());
    }
}
