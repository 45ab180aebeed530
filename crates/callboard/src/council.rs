//! Agreeing with the store: orders go through ballots among its voters, and a majority is asked often enough that this
//! process knows how old its knowledge is.

use crate::orders::{settle, Order, Refusal};
use greenroom::follow::Knowledge;
use greenroom::kinds::Kind;
use greenroom::log;
use greenroom::wire::Decided;
use promptbook::caller::{Caller, ChangeError};
use prost::Message;
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
    caller: Rc<Caller>,
}

fn read(bytes: Option<&[u8]>) -> Result<Decided, Refusal> {
    match bytes {
        None => Ok(Decided::default()),
        Some(bytes) => Decided::decode(bytes).map_err(|e| Refusal {
            kind: Kind::Unsure,
            problem: format!("what was agreed cannot be read by this version: {e}"),
        }),
    }
}

impl Council {
    /// Agrees by this caller, and tells this knowledge.
    pub fn new(known: Rc<Knowledge>, caller: Rc<Caller>) -> Rc<Self> {
        Rc::new(Council { known, caller })
    }

    /// Whether there is no other core machine.
    pub fn is_alone(&self) -> bool {
        self.caller.voters_count() < 2
    }

    fn take(&self, edition: u64, bytes: &[u8]) {
        match read(Some(bytes)) {
            Ok(decided) => self.known.decide(edition, decided),
            Err(e) => log::error!("council: edition {}: {}", edition, e.problem),
        }
    }

    /// Carries an order out; the edition in which it is in force.
    ///
    /// # Errors
    /// Why it is not taken; with [`Kind::Unsure`] it may have been.
    pub async fn order(&self, order: &Order) -> Result<u64, Refusal> {
        let change =
            |bytes: Option<&[u8]>, _: u64| settle(&read(bytes)?, order).map(|next| next.encode_to_vec());
        match self.caller.change(change, AGREE_WITHIN).await {
            Ok((edition, bytes)) => {
                self.take(edition, &bytes);
                Ok(edition)
            }
            Err(ChangeError::Refused(refusal)) => Err(refusal),
            Err(_) => {
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
        let Some(peeked) = self.caller.peek().await else { return false };
        if peeked.agreed && peeked.edition <= self.known.edition() {
            self.known.confirm(asked, peeked.edition);
            return true;
        }
        let asked = self.known.now();
        match self.caller.read(READ_WITHIN).await {
            Some((edition, bytes)) => {
                if let Some(bytes) = bytes {
                    self.take(edition, &bytes);
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
