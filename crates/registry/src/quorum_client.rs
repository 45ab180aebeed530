//! The way from the registry to the configuration store: operator commands are agreed on there, and a majority is asked
//! often enough that this process knows how old its state is.

use crate::operator_command::{apply_to_register, decode_state, NoNewEdition, OperatorCommand, Rejection};
use oatbank_cluster_state::cluster_view::{ClusterView, FollowerProgress, CONTACT_TIMEOUT};
use oatbank_cluster_state::messages::AgreedState;
use oatbank_config_store::client::{ChangeError, ChosenValue, RegisterClient};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::log;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Interval of quorum reads.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// How long catching up may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// A command is given up after this: the operator repeats it, perhaps elsewhere.
const AGREE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The way to what is agreed.
pub struct QuorumClient {
    view: Rc<ClusterView>,
    register: Rc<RegisterClient>,
    /// This machine's address.
    ip: Ipv4Addr,
}

impl QuorumClient {
    /// Agrees by `register`, and records what is agreed in `view`.
    pub fn new(view: Rc<ClusterView>, register: Rc<RegisterClient>, ip: Ipv4Addr) -> Rc<Self> {
        Rc::new(QuorumClient { view, register, ip })
    }

    /// Whether there is no other core machine.
    pub fn is_alone(&self) -> bool {
        self.register.voters_count() < 2
    }

    /// Whether a majority of the core, including this machine if it votes, has merged all changes up to `sequence`. Whoever
    /// reaches a majority later then reaches one that knows them, and the losses that are tolerated do not take them away.
    pub fn is_replicated(&self, followers: &HashMap<String, FollowerProgress>, sequence: u64) -> bool {
        let has_merged = |ip: Ipv4Addr| {
            let merged = |progress: &FollowerProgress| {
                progress.every_change && progress.core_ip == Some(ip) && progress.seen >= sequence
            };
            ip == self.ip || followers.values().any(merged)
        };
        self.register.configuration().quorum(|voter| {
            match voter.address.parse::<SocketAddr>().map(|address| address.ip()) {
                Ok(IpAddr::V4(ip)) => has_merged(ip),
                _ => false,
            }
        })
    }

    /// Whether no majority was reached for so long that none is waited for.
    fn is_cut_off(&self) -> bool {
        let longest = CONTACT_TIMEOUT + AGREE_TIMEOUT.as_secs_f64() * 1000.0;
        self.view.confirmed_ago().is_some_and(|ago| ago > longest)
    }

    fn take(&self, edition: u64, bytes: &[u8]) {
        match decode_state(Some(bytes)) {
            Ok(state) => {
                // Accepted versions are needed only where commands are agreed on; nobody needs to be told of them.
                let state = AgreedState {
                    config: state.config,
                    evacuated_zones: state.evacuated_zones,
                    ..AgreedState::default()
                };
                self.view.adopt_agreed(edition, state);
            }
            Err(rejection) => log::error!("quorum: edition {}: {}", edition, rejection.problem),
        }
    }

    /// Carries out a command; the edition in which it is in force.
    ///
    /// # Errors
    /// Why it is rejected. With [`ErrorKind::OutcomeUnknown`] it may have been carried out, with [`ErrorKind::NotReady`] it
    /// certainly was not.
    pub async fn execute(&self, command: &OperatorCommand) -> Result<u64, Rejection> {
        let not_done = |problem: &str| Rejection { kind: ErrorKind::NotReady, problem: problem.into() };
        if !self.view.has_caught_up() {
            // The command may have waited here since long before another was carried out elsewhere.
            return Err(not_done("this core machine stood still; it takes orders again within a second"));
        }
        if self.is_cut_off() {
            return Err(not_done("this core machine is in touch with no majority; nothing was done"));
        }
        let begun_at = self.view.now();
        let change = |bytes: Option<&[u8]>, edition: u64| apply_to_register(command, bytes, edition);
        match self.register.change(change, AGREE_TIMEOUT).await {
            Ok(ChosenValue { edition, value }) => {
                self.take(edition, &value.unwrap_or_default());
                // It follows all that was chosen before it was begun.
                self.view.confirm(begun_at, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(NoNewEdition::AlreadyInForce(edition))) => {
                if let ChosenValue { edition: confirmed, value: Some(value) } = self.register.confirmed() {
                    self.take(confirmed, &value);
                }
                self.view.confirm(begun_at, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(NoNewEdition::Rejected(rejection))) => Err(rejection),
            Err(ChangeError::Unreachable) => {
                Err(not_done("no majority of the store answered; nothing was done"))
            }
            Err(ChangeError::Unknown) => Err(Rejection {
                kind: ErrorKind::OutcomeUnknown,
                problem: "no majority of the store agreed in time".into(),
            }),
        }
    }

    /// The newest agreed state, as a majority knows it now.
    ///
    /// # Errors
    /// When no majority can be asked.
    pub async fn newest(&self) -> Result<Rc<AgreedState>, Rejection> {
        if self.refresh().await {
            return Ok(self.view.agreed_state());
        }
        let problem = "no majority of the store can be asked".into();
        Err(Rejection { kind: ErrorKind::OutcomeUnknown, problem })
    }

    /// Asks the majority once, and catches up if there is something newer; whether what is known here is now the newest.
    async fn refresh(&self) -> bool {
        let begun_at = self.view.now();
        let Some(peeked) = self.register.peek().await else { return false };
        if peeked.agreed && peeked.edition <= self.view.edition() {
            self.view.confirm(begun_at, peeked.edition);
            return true;
        }
        let begun_at = self.view.now();
        let Some(ChosenValue { edition, value }) = self.register.read(READ_TIMEOUT).await else {
            return false;
        };
        if let Some(value) = value {
            self.take(edition, &value);
        }
        self.view.confirm(begun_at, edition);
        true
    }

    /// Refreshes again and again, for the life of the process.
    pub async fn refresh_forever(self: Rc<Self>) {
        let mut is_in_touch = true;
        loop {
            let was_in_touch = std::mem::replace(&mut is_in_touch, self.refresh().await);
            match (was_in_touch, is_in_touch) {
                (true, false) => log::warn!("quorum: no majority of the store answers"),
                (false, true) => log::info!("quorum: a majority answers, edition {}", self.view.edition()),
                _ => {}
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}
