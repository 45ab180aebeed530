//! The registry's client of the configuration store: executes operator commands by consensus, and asks a majority
//! regularly, so that this process knows how old its state is.

use crate::operator_command::{apply_to_register, decode_state, NoNewEdition, OperatorCommand, Rejection};
use oatbank_cluster_state::cluster_view::{ClusterView, FollowerProgress, CONTACT_TIMEOUT};
use oatbank_cluster_state::messages::AgreedState;
use oatbank_config_store::client::{ChangeError, ChosenValue, RegisterClient};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::log;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Interval between quorum reads.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for reading a newer value from the store.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout for asking the stores for the voters.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a command. The operator then repeats it, at this or another core machine.
const AGREE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the configuration store.
pub struct QuorumClient {
    view: Rc<ClusterView>,
    register: Rc<RegisterClient>,
    /// This machine's address.
    ip: Ipv4Addr,
    /// Whether a majority of the voters known here answered the last quorum read.
    is_answered: Cell<bool>,
}

impl QuorumClient {
    /// Creates a client that changes and reads `register`, and records the agreed state in `view`.
    pub fn new(view: Rc<ClusterView>, register: Rc<RegisterClient>, ip: Ipv4Addr) -> Rc<Self> {
        Rc::new(QuorumClient { view, register, ip, is_answered: Cell::new(true) })
    }

    /// Returns whether there is no other voter.
    pub fn is_alone(&self) -> bool {
        self.register.voters_count() < 2
    }

    /// Returns whether a majority of the voters, including this machine if it votes, has merged all changes up to `sequence`.
    /// Any later majority then includes a machine that has them, and the tolerated failures cannot lose them.
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

    /// Returns whether the last contact with a majority is so long ago that commands are rejected at once.
    fn is_cut_off(&self) -> bool {
        let max_age = CONTACT_TIMEOUT + AGREE_TIMEOUT.as_secs_f64() * 1000.0;
        self.view.confirmed_ago().is_some_and(|ago| ago > max_age)
    }

    fn adopt(&self, edition: u64, bytes: &[u8]) {
        match decode_state(Some(bytes)) {
            Ok(state) => {
                // Followers do not need the accepted versions; these are read only when a command is applied.
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

    /// Executes a command and returns the edition in which it is in force.
    ///
    /// # Errors
    /// Returns the reason for the rejection. With [`ErrorKind::OutcomeUnknown`] the command may have been executed, with
    /// [`ErrorKind::NotReady`] it was not.
    pub async fn execute(&self, command: &OperatorCommand) -> Result<u64, Rejection> {
        let not_executed = |problem: &str| Rejection { kind: ErrorKind::NotReady, problem: problem.into() };
        if !self.view.has_caught_up() {
            // The command may have waited in a socket while a later one was executed on another machine.
            return Err(not_executed(
                "this core machine was paused; it accepts commands again within a second",
            ));
        }
        if self.is_cut_off() {
            return Err(not_executed(
                "this core machine is not in touch with a majority; nothing was changed",
            ));
        }
        let begun_at = self.view.now();
        let change = |bytes: Option<&[u8]>, edition: u64| apply_to_register(command, bytes, edition);
        match self.register.change(change, AGREE_TIMEOUT).await {
            Ok(ChosenValue { edition, value }) => {
                self.adopt(edition, &value.unwrap_or_default());
                // The chosen value follows all values that were chosen before this command began.
                self.view.confirm(begun_at, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(NoNewEdition::AlreadyInForce(edition))) => {
                if let ChosenValue { edition: confirmed, value: Some(value) } = self.register.confirmed() {
                    self.adopt(confirmed, &value);
                }
                self.view.confirm(begun_at, edition);
                Ok(edition)
            }
            Err(ChangeError::Rejected(NoNewEdition::Rejected(rejection))) => Err(rejection),
            Err(ChangeError::Unreachable) => {
                Err(not_executed("no majority of the store answered; nothing was changed"))
            }
            Err(ChangeError::Unknown) => Err(Rejection {
                kind: ErrorKind::OutcomeUnknown,
                problem: "no majority of the store agreed in time".into(),
            }),
        }
    }

    /// Returns the newest agreed state, confirmed by a majority.
    ///
    /// # Errors
    /// Returns [`ErrorKind::OutcomeUnknown`] if no majority answers.
    pub async fn newest(&self) -> Result<Rc<AgreedState>, Rejection> {
        if self.refresh().await {
            return Ok(self.view.agreed_state());
        }
        let problem = "no majority of the store answered".into();
        Err(Rejection { kind: ErrorKind::OutcomeUnknown, problem })
    }

    /// Asks the stores at `seeds` and the known voters for the present voters, unless a majority of those known here answers.
    /// That this process is in touch does not suffice: others may have confirmed its state, while the voters known here have
    /// been replaced.
    pub async fn rediscover_voters(&self, seeds: &[SocketAddr]) {
        if !self.is_answered.get() || !self.view.in_touch() {
            self.register.discover_voters(seeds, DISCOVERY_TIMEOUT).await;
        }
    }

    /// Asks a majority once, and reads the newer value if there is one. Returns whether the state known here is now the newest.
    async fn refresh(&self) -> bool {
        let begun_at = self.view.now();
        let peeked = self.register.peek().await;
        self.is_answered.set(peeked.is_some());
        let Some(peeked) = peeked else { return false };
        if peeked.agreed && peeked.edition <= self.view.edition() {
            self.view.confirm(begun_at, peeked.edition);
            return true;
        }
        let begun_at = self.view.now();
        let Some(ChosenValue { edition, value }) = self.register.read(READ_TIMEOUT).await else {
            return false;
        };
        if let Some(value) = value {
            self.adopt(edition, &value);
        }
        self.view.confirm(begun_at, edition);
        true
    }

    /// Refreshes the state periodically for the life of the process, and logs when contact is lost or regained.
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
