//! Agreeing with the store: orders go through ballots among its voters, and a majority is asked often enough that this
//! process knows how old its knowledge is.

use crate::operator_command::{change, read, Not, Order, Refusal};
use oatbank_cluster_state::messages::Decided;
use oatbank_cluster_state::replication::{Knowledge, Seen, IN_TOUCH};
use oatbank_config_store::client::{ChangeError, ChosenValue, RegisterClient};
use oatbank_node_runtime::error_kind::Kind;
use oatbank_node_runtime::log;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Between two questions to the majority.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Catching up takes so long at most.
const READ_WITHIN: Duration = Duration::from_millis(1200);
/// An order is given up after this: the operator asks again, perhaps elsewhere.
const AGREE_WITHIN: Duration = Duration::from_millis(1500);

/// The way to what is agreed.
pub struct Council {
    known: Rc<Knowledge>,
    client: Rc<RegisterClient>,
    /// This machine's address.
    ip: Ipv4Addr,
}

impl Council {
    /// Agrees by this caller, and tells this knowledge.
    pub fn new(known: Rc<Knowledge>, client: Rc<RegisterClient>, ip: Ipv4Addr) -> Rc<Self> {
        Rc::new(Council { known, client, ip })
    }

    /// Whether there is no other core machine.
    pub fn is_alone(&self) -> bool {
        self.client.voters_count() < 2
    }

    /// Whether a majority of the core, this machine among it if it votes, has taken in all up to this. Whoever reaches a
    /// majority then reaches one that knows it, and as many as may be lost at once do not take it with them.
    pub fn is_shared(&self, seen: &HashMap<String, Seen>, since: u64) -> bool {
        let has = |ip: Ipv4Addr| {
            ip == self.ip || seen.values().any(|s| s.each && s.core_ip == Some(ip) && s.seen >= since)
        };
        self.client.configuration().quorum(|voter| {
            match voter.address.parse::<SocketAddr>().map(|at| at.ip()) {
                Ok(IpAddr::V4(ip)) => has(ip),
                _ => false,
            }
        })
    }

    /// No majority was heard of for so long that none is waited for.
    fn is_cut_off(&self) -> bool {
        let longest = IN_TOUCH + AGREE_WITHIN.as_secs_f64() * 1000.0;
        self.known.fresh_ago().is_some_and(|ago| ago > longest)
    }

    fn take(&self, edition: u64, bytes: &[u8]) {
        match read(Some(bytes)) {
            Ok(decided) => {
                // Who holds which number is settled on what is agreed; nobody needs to be told of it.
                let decided = Decided { config: decided.config, empty: decided.empty, ..Decided::default() };
                self.known.decide(edition, decided);
            }
            Err(e) => log::error!("council: edition {}: {}", edition, e.problem),
        }
    }

    /// Carries an order out; the edition in which it is in force.
    ///
    /// # Errors
    /// Why it is not taken; with [`Kind::Unsure`] it may have been, with [`Kind::Starting`] it certainly was not.
    pub async fn order(&self, order: &Order) -> Result<u64, Refusal> {
        let none = |problem: &str| Refusal { kind: Kind::Starting, problem: problem.into() };
        if !self.known.is_settled() {
            // It may have lain here since long before its like was taken, or taken back, elsewhere.
            return Err(none("this core machine stood still; it takes orders again within a second"));
        }
        if self.is_cut_off() {
            return Err(none("this core machine is in touch with no majority; nothing was done"));
        }
        let asked = self.known.now();
        let change = |bytes: Option<&[u8]>, edition: u64| change(order, bytes, edition);
        match self.client.change(change, AGREE_WITHIN).await {
            Ok(ChosenValue { edition, value }) => {
                self.take(edition, &value.unwrap_or_default());
                // It came after all that was chosen before it was begun.
                self.known.confirm(asked, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(Not::Needed(edition))) => {
                if let ChosenValue { edition: confirmed, value: Some(value) } = self.client.confirmed() {
                    self.take(confirmed, &value);
                }
                self.known.confirm(asked, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(Not::Taken(refusal))) => Err(refusal),
            Err(ChangeError::Unreachable) => Err(none("no majority of the store answered; nothing was done")),
            Err(ChangeError::Unknown) => {
                Err(Refusal { kind: Kind::Unsure, problem: "no majority of the store agreed in time".into() })
            }
        }
    }

    /// The newest of what is agreed, as a majority knows it now.
    ///
    /// # Errors
    /// When none can be asked.
    pub async fn newest(&self) -> Result<Rc<Decided>, Refusal> {
        if self.ask().await {
            Ok(self.known.decided())
        } else {
            Err(Refusal { kind: Kind::Unsure, problem: "no majority of the store can be asked".into() })
        }
    }

    /// Asks the majority once, and catches up if there is something newer; whether what is known here was the newest then.
    async fn ask(&self) -> bool {
        let asked = self.known.now();
        let Some(peeked) = self.client.peek().await else { return false };
        if peeked.agreed && peeked.edition <= self.known.edition() {
            self.known.confirm(asked, peeked.edition);
            return true;
        }
        let asked = self.known.now();
        match self.client.read(READ_WITHIN).await {
            Some(ChosenValue { edition, value }) => {
                if let Some(value) = value {
                    self.take(edition, &value);
                }
                self.known.confirm(asked, edition);
                true
            }
            None => false,
        }
    }

    /// Asks again and again, for the life of the process.
    pub async fn keep_up(self: Rc<Self>) {
        let mut knows = true;
        loop {
            let knew = std::mem::replace(&mut knows, self.ask().await);
            match (knew, knows) {
                (true, false) => log::warn!("council: no majority of the store answers"),
                (false, true) => log::info!("council: a majority answers, edition {}", self.known.edition()),
                _ => {}
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }
}
