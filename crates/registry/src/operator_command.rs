//! Applies operator commands to the agreed state, without I/O.

use oatbank_cluster_state::messages::{AcceptedVersion, AgreedState, MAX_CONFIG_BYTES};
use oatbank_config_model::{Configuration, Proposal, ProposalError};
use oatbank_node_runtime::error_kind::ErrorKind;
use prost::Message;

/// Number of accepted versions that are remembered; each adds about 10 bytes to every proposal. The outcome of a repeated
/// older version is reported as unknown, so that an accepted version is never reported as rejected.
pub const REMEMBERED_VERSIONS: usize = 4096;

/// An operator's command.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Replaces or changes the configuration.
    Configure(Proposal),
    /// Begins or ends the evacuation of a zone.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// `true` begins the evacuation, `false` ends it.
        begin: bool,
    },
}

/// Why a command is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The kind of error.
    pub kind: ErrorKind,
    /// Description of the problem for the operator.
    pub problem: String,
}

/// Result of a command that is not rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The next state to agree on.
    Next(Box<AgreedState>),
    /// The command was accepted before or changes nothing; the agreed state stays as it is.
    AlreadyInForce,
}

/// Whether a proposal was accepted under its version number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionStatus {
    /// The same proposal was accepted.
    Accepted,
    /// The proposal was not accepted.
    NotAccepted,
    /// The version is older than those remembered.
    Forgotten,
}

/// Accepted versions, the newest last. Invariant: they increase, and none is missing after the first.
struct AcceptedVersions(Vec<AcceptedVersion>);

impl AcceptedVersions {
    fn of(state: &AgreedState) -> AcceptedVersions {
        if !state.accepted.is_empty() {
            // An earlier release wrote this state. It dropped the packed list, which it does not know, and continued the
            // unpacked one.
            return AcceptedVersions(state.accepted.clone());
        }
        let versions = state.steps.iter().scan(0u64, |version, step| {
            *version = version.saturating_add(*step);
            Some(*version)
        });
        let accepted = |(version, digest): (u64, &u64)| AcceptedVersion { version, digest: *digest };
        AcceptedVersions(versions.zip(&state.digests).map(accepted).collect())
    }

    /// Writes the versions into the agreed state in the packed format.
    fn pack_into(&self, state: &mut AgreedState) {
        let before = std::iter::once(0).chain(self.0.iter().map(|accepted| accepted.version));
        state.steps = self.0.iter().zip(before).map(|(accepted, before)| accepted.version - before).collect();
        state.digests = self.0.iter().map(|accepted| accepted.digest).collect();
        state.accepted.clear();
    }

    fn add(&mut self, accepted: AcceptedVersion) {
        self.0.push(accepted);
        let excess = self.0.len().saturating_sub(REMEMBERED_VERSIONS);
        self.0.drain(..excess);
    }

    /// Returns whether this proposal was accepted, given that the version `current` is in force.
    fn status(&self, proposal: &Proposal, current: u64) -> VersionStatus {
        let version = proposal.version();
        // Versions increase, so an accepted version is higher than the one that it builds on.
        if version > current || version <= proposal.built_on() {
            return VersionStatus::NotAccepted;
        }
        match self.0.binary_search_by_key(&version, |accepted| accepted.version) {
            Ok(index) if self.0[index].digest == proposal.digest() => VersionStatus::Accepted,
            Ok(_) => VersionStatus::NotAccepted,
            Err(0) => VersionStatus::Forgotten,
            Err(_) => VersionStatus::NotAccepted,
        }
    }
}

/// Applies a command to the agreed state.
///
/// # Errors
/// Returns a rejection if the command is invalid, builds on another version, or would make the configuration too long. With
/// [`ErrorKind::OutcomeUnknown`] the version is too old to tell whether it was accepted, or the configuration in force
/// cannot be read.
pub fn apply(state: &AgreedState, command: &OperatorCommand) -> Result<Applied, Rejection> {
    match command {
        OperatorCommand::Configure(proposal) => configure(state, proposal),
        OperatorCommand::Evacuate { zone, begin } => Ok(evacuate(state, zone, *begin)),
    }
}

fn configure(state: &AgreedState, proposal: &Proposal) -> Result<Applied, Rejection> {
    let current = current_configuration(state)?;
    let current_version = current.as_ref().map_or(0, |configuration| configuration.version);
    let mut accepted = AcceptedVersions::of(state);
    match accepted.status(proposal, current_version) {
        VersionStatus::Accepted => return Ok(Applied::AlreadyInForce),
        VersionStatus::NotAccepted => {}
        VersionStatus::Forgotten => {
            let first = accepted.0.first().map_or(current_version, |accepted| accepted.version);
            let problem = format!(
                "r{} may have been accepted: versions are remembered from r{first} on; r{current_version} is in force",
                proposal.version()
            );
            return Err(Rejection { kind: ErrorKind::OutcomeUnknown, problem });
        }
    }
    let next_configuration = proposal.onto(current.as_ref()).map_err(reject_proposal)?;
    let mut next = AgreedState { config: next_configuration.text(), ..state.clone() };
    if next.config.len() > MAX_CONFIG_BYTES {
        let problem = format!(
            "the configuration would be {} bytes long; allowed: {MAX_CONFIG_BYTES} at most",
            next.config.len()
        );
        return Err(Rejection { kind: ErrorKind::TooLong, problem });
    }
    accepted.add(AcceptedVersion { version: proposal.version(), digest: proposal.digest() });
    accepted.pack_into(&mut next);
    Ok(Applied::Next(Box::new(next)))
}

fn current_configuration(state: &AgreedState) -> Result<Option<Configuration>, Rejection> {
    if state.config.is_empty() {
        return Ok(None);
    }
    let unreadable = |error| Rejection {
        kind: ErrorKind::OutcomeUnknown,
        problem: format!("the configuration in force cannot be read: {error}"),
    };
    Configuration::read(&state.config).map(Some).map_err(unreadable)
}

fn reject_proposal(error: ProposalError) -> Rejection {
    match error {
        ProposalError::Stale { current } => {
            Rejection { kind: ErrorKind::StaleVersion, problem: format!("r{current} is in force") }
        }
        ProposalError::Invalid(error) => Rejection { kind: ErrorKind::Invalid, problem: error.to_string() },
    }
}

fn evacuate(state: &AgreedState, zone: &str, begin: bool) -> Applied {
    let mut next = state.clone();
    next.evacuated_zones.retain(|evacuated| evacuated != zone);
    if begin {
        next.evacuated_zones.push(zone.to_owned());
        next.evacuated_zones.sort();
    }
    if next.evacuated_zones == state.evacuated_zones {
        return Applied::AlreadyInForce;
    }
    Applied::Next(Box::new(next))
}

/// Why a command makes no new edition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoNewEdition {
    /// The command was accepted before or changes nothing. Holds the edition in which this was found.
    AlreadyInForce(u64),
    /// The command is rejected.
    Rejected(Rejection),
}

/// Decodes the value of the register. No value decodes to the default state.
///
/// # Errors
/// Returns [`ErrorKind::OutcomeUnknown`] if the value cannot be decoded, as when a later version has written it.
pub fn decode_state(bytes: Option<&[u8]>) -> Result<AgreedState, Rejection> {
    let unreadable = |error| Rejection {
        kind: ErrorKind::OutcomeUnknown,
        problem: format!("this version cannot read the agreed state: {error}"),
    };
    AgreedState::decode(bytes.unwrap_or_default()).map_err(unreadable)
}

/// Applies a command to the register's newest value, and returns the encoded next value. Called by the store.
///
/// # Errors
/// Returns the reason if there is no new edition. The store reports it only once the value on which it is based is chosen.
pub fn apply_to_register(
    command: &OperatorCommand,
    bytes: Option<&[u8]>,
    edition: u64,
) -> Result<Vec<u8>, NoNewEdition> {
    let state = decode_state(bytes).map_err(NoNewEdition::Rejected)?;
    match apply(&state, command).map_err(NoNewEdition::Rejected)? {
        Applied::Next(next) => Ok(next.encode_to_vec()),
        Applied::AlreadyInForce => Err(NoNewEdition::AlreadyInForce(edition)),
    }
}
