//! The client of the register: runs Paxos rounds with the voters over the network, on one thread, in a `LocalSet`.

use crate::known_record::KnownRecord;
use crate::messages::{
    kind, Fetch, LocalState, LocalStateRequest, Peek, ProposalNumber, VoterConfiguration, VoterResponse,
};
use crate::peek::summarize_peek;
use crate::proposer::{Action, Operation, Outcome, PhaseId, Task, VoterChange};
use bytes::Bytes;
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::rpc::{RpcClient, RpcError};
use prost::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Mutex};
use tokio::time::{sleep, timeout_at, Instant};

/// How long a phase of a round waits for responses.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(350);
/// The initial upper bound of the random back-off between two rounds, in ms; it doubles with each round.
const FIRST_BACK_OFF_MS: u64 = 20;
/// The largest upper bound of the random back-off between two rounds, in ms.
const LONGEST_BACK_OFF_MS: u64 = 240;
/// The number of quorum reads a read attempts, each after a fetched record named other voters, before it runs a round.
const QUORUM_READS: usize = 3;

/// The reason why a change has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError<R> {
    /// The function rejected the newest chosen value. The change was not made and never will be.
    Rejected(R),
    /// No majority could be reached in time. The change was not made and never will be.
    Unreachable,
    /// The change may have been made, or may still be made.
    Unknown,
}

impl<R: fmt::Debug> fmt::Display for ChangeError<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Rejected(rejection) => write!(f, "rejected: {rejection:?}"),
            ChangeError::Unreachable => f.write_str("not made: no majority could be reached"),
            ChangeError::Unknown => f.write_str("the change may or may not have been made"),
        }
    }
}

impl<R: fmt::Debug> std::error::Error for ChangeError<R> {}

/// A value that is known to be chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChosenValue {
    /// Counts the changes of the value; 0 before the first.
    pub edition: u64,
    /// The value; `None` before the first change.
    pub value: Option<Bytes>,
}

/// The result of a quorum read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeekResult {
    /// The proposal that a majority has accepted, otherwise the highest that any voter has accepted.
    pub proposal: ProposalNumber,
    /// The edition of the record accepted in `proposal`; 0 before the first change.
    pub edition: u64,
    /// Whether a majority has accepted it: then it is chosen, and no newer record was chosen before the call began.
    pub agreed: bool,
    /// Whether the client has the value of this same proposal.
    pub is_known: bool,
}

/// Error of an operation that ran out of time.
struct TimedOut {
    /// Whether its change may have been chosen or may still be chosen.
    may_be_chosen: bool,
}

/// The function of an operation that changes no value.
type NoValueChange = fn(Option<&[u8]>, u64) -> Result<Vec<u8>, Infallible>;
/// Responses to one request, each with the address of its voter.
type Responses = mpsc::UnboundedReceiver<(String, Result<VoterResponse, RpcError>)>;

/// One program's access to the register.
pub struct RegisterClient {
    proposer_id: u64,
    /// The voters if no record names any.
    founders: RefCell<VoterConfiguration>,
    links: RefCell<BTreeMap<SocketAddr, Rc<RpcClient>>>,
    /// The highest round seen. Invariant: no round of this proposer is ever used twice.
    highest_round: Cell<u64>,
    /// The newest record seen, chosen or not.
    known: RefCell<KnownRecord>,
    /// The newest record that is known to be chosen.
    confirmed: RefCell<KnownRecord>,
    random: RefCell<Pcg64Mcg>,
    /// Held during an operation: a proposer runs one operation at a time.
    operating: Mutex<()>,
}

impl fmt::Debug for RegisterClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RegisterClient({:x}, {:?})", self.proposer_id, self.configuration())
    }
}

impl RegisterClient {
    /// Creates a client that knows of no voters yet. `salt` is added to the random proposer id, to tell the clients
    /// of one machine apart.
    pub fn new(salt: u64) -> RegisterClient {
        let proposer_id = random_u64().wrapping_add(salt);
        RegisterClient {
            proposer_id,
            founders: RefCell::default(),
            links: RefCell::default(),
            highest_round: Cell::default(),
            known: RefCell::default(),
            confirmed: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(proposer_id)),
            operating: Mutex::new(()),
        }
    }

    /// Stores the founders and the record of a store process's local state, if they are new.
    pub fn learn(&self, state: &LocalState) {
        if self.founders.borrow().voters.is_empty() {
            *self.founders.borrow_mut() = VoterConfiguration::founders(&state.founders);
        }
        self.known.borrow_mut().learn_from(state);
    }

    /// Returns the known voters; empty before any are known.
    pub fn configuration(&self) -> VoterConfiguration {
        self.known.borrow().configuration(&self.founders.borrow()).clone()
    }

    /// Returns the newest record seen, chosen or not.
    pub fn known(&self) -> KnownRecord {
        self.known.borrow().clone()
    }

    /// Returns the number of known voters.
    pub fn voters_count(&self) -> usize {
        self.known.borrow().configuration(&self.founders.borrow()).voters.len()
    }

    /// Returns the addresses of the known voters.
    pub fn voters(&self) -> Vec<SocketAddr> {
        self.configuration().addresses().iter().filter_map(|address| address.parse().ok()).collect()
    }

    /// Asks the store processes at `seeds`, the seeds that they return while no voters are known, and the known
    /// voters for their local state. Returns the state of each process that answered in time.
    pub async fn discover_voters(
        &self,
        seeds: &[SocketAddr],
        within: Duration,
    ) -> BTreeMap<SocketAddr, LocalState> {
        let until = Instant::now() + within;
        let (sender, mut incoming) = mpsc::unbounded_channel::<(SocketAddr, Option<LocalState>)>();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut next: Vec<SocketAddr> = seeds.to_vec();
        let mut pending = 0;
        let mut states = BTreeMap::new();
        loop {
            next.extend(self.voters());
            for to in next.drain(..) {
                if asked.insert(to) {
                    pending += 1;
                    let (link, sender) = (self.link(to), sender.clone());
                    let known = self.known.borrow().proposal;
                    tokio::task::spawn_local(async move {
                        let _ = sender.send((to, request_local_state(&link, known, within).await));
                    });
                }
            }
            if pending == 0 {
                return states;
            }
            let Ok(Some((from, state))) = timeout_at(until, incoming.recv()).await else { return states };
            pending -= 1;
            let Some(state) = state else { continue };
            self.learn(&state);
            if self.configuration().voters.is_empty() {
                next.extend(state.seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok()));
            }
            states.insert(from, state);
        }
    }

    /// Changes the voters. Returns whether the operation completed within the time: the change is then chosen, was made
    /// before, or no longer applies. On `false` it may or may not be chosen.
    pub async fn change_voters(&self, change: VoterChange, within: Duration) -> bool {
        let until = Instant::now() + within;
        let Ok(_operating) = timeout_at(until, self.operating.lock()).await else { return false };
        self.operate::<NoValueChange, Infallible>(Task::ChangeVoters(change), until).await.is_ok()
    }

    fn link(&self, to: SocketAddr) -> Rc<RpcClient> {
        self.links.borrow_mut().entry(to).or_insert_with(|| RpcClient::new(to)).clone()
    }

    /// Returns the newest value that this client knows to be chosen.
    pub fn confirmed(&self) -> ChosenValue {
        let confirmed = self.confirmed.borrow();
        ChosenValue { edition: confirmed.edition(), value: confirmed.value().cloned() }
    }

    /// Changes the value. `change` takes the newest value (`None` before the first change) and its edition, and
    /// returns the next value or a rejection; it may be called several times. Returns the edition and value that it
    /// made.
    ///
    /// # Errors
    /// [`ChangeError::Unknown`] if the change may have been made; with the other errors it was not made.
    pub async fn change<F, R>(&self, change: F, within: Duration) -> Result<ChosenValue, ChangeError<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let until = Instant::now() + within;
        let Ok(_operating) = timeout_at(until, self.operating.lock()).await else {
            return Err(ChangeError::Unreachable);
        };
        match self.operate(Task::Change(change), until).await {
            Ok(Outcome::Chosen(edition, value)) => Ok(ChosenValue { edition, value }),
            Ok(Outcome::Rejected(rejection)) => Err(ChangeError::Rejected(rejection)),
            Ok(Outcome::Unknown) | Err(TimedOut { may_be_chosen: true }) => Err(ChangeError::Unknown),
            Err(TimedOut { may_be_chosen: false }) => Err(ChangeError::Unreachable),
        }
    }

    /// Returns the newest value at some moment during the call (a linearizable read); `None` if no majority answered
    /// in time. If the value has not changed since the last read and a majority agrees on it, this takes one request
    /// to each voter and no write.
    pub async fn read(&self, within: Duration) -> Option<ChosenValue> {
        let until = Instant::now() + within;
        for _ in 0..QUORUM_READS {
            let Some(peeked) = timeout_at(until, self.peek()).await.ok()? else { break };
            let is_known = peeked.is_known || timeout_at(until, self.fetch(peeked.proposal)).await.ok()?;
            match (peeked.agreed, is_known) {
                (true, true) => return Some(self.confirm()),
                // The fetched record may name other voters, so the next attempt asks those.
                (false, true) if !peeked.is_known => {}
                _ => break,
            }
        }
        let _operating = timeout_at(until, self.operating.lock()).await.ok()?;
        match self.operate::<NoValueChange, Infallible>(Task::Read, until).await {
            Ok(Outcome::Chosen(edition, value)) => Some(ChosenValue { edition, value }),
            _ => None,
        }
    }

    /// Asks each known voter which proposal it has accepted. Returns the known configuration and the responses that
    /// arrived in time, by address.
    pub async fn poll_voters(&self) -> (VoterConfiguration, BTreeMap<String, VoterResponse>) {
        let configuration = self.configuration();
        let mut responses = BTreeMap::new();
        let mut incoming = self.request(&configuration.addresses(), kind::PEEK, Peek {}.encode_to_vec());
        let until = Instant::now() + PHASE_TIMEOUT;
        while let Ok(Some((voter, response))) = timeout_at(until, incoming.recv()).await {
            responses.extend(response.ok().map(|response| (voter, response)));
        }
        (configuration, responses)
    }

    /// Asks the voters which proposal a majority has accepted (a quorum read). Returns as soon as a majority agrees,
    /// otherwise after [`PHASE_TIMEOUT`] at the latest; `None` if no majority responded.
    pub async fn peek(&self) -> Option<PeekResult> {
        let configuration = self.configuration();
        let mut responses: BTreeMap<String, VoterResponse> = BTreeMap::new();
        let mut incoming = self.request(&configuration.addresses(), kind::PEEK, Peek {}.encode_to_vec());
        let until = Instant::now() + PHASE_TIMEOUT;
        let mut summary = None;
        while let Ok(Some((voter, response))) = timeout_at(until, incoming.recv()).await {
            let Ok(response) = response else { continue };
            responses.insert(voter, response);
            summary = summarize_peek(&configuration, &responses);
            if summary.is_some_and(|summary| summary.agreed) {
                break;
            }
        }
        let summary = summary?;
        self.raise_highest_round(summary.highest_round);
        let is_known = self.known.borrow().proposal == summary.proposal;
        if summary.agreed && is_known {
            self.confirm();
        }
        let (proposal, edition) = (summary.proposal, summary.edition);
        Some(PeekResult { proposal, edition, agreed: summary.agreed, is_known })
    }

    /// Records that the newest record seen is chosen, and returns its value.
    fn confirm(&self) -> ChosenValue {
        let known = self.known.borrow();
        let mut confirmed = self.confirmed.borrow_mut();
        if known.proposal > confirmed.proposal {
            confirmed.clone_from(&known);
        }
        ChosenValue { edition: known.edition(), value: known.value().cloned() }
    }

    fn raise_highest_round(&self, seen: u64) {
        self.highest_round.set(self.highest_round.get().max(seen));
    }

    /// Fetches the record of this proposal from any voter that has it. Returns whether it is the newest known record
    /// afterwards.
    async fn fetch(&self, proposal: ProposalNumber) -> bool {
        let fetch = Fetch { known: self.known.borrow().proposal };
        let mut incoming =
            self.request(&self.configuration().addresses(), kind::FETCH, fetch.encode_to_vec());
        let until = Instant::now() + PHASE_TIMEOUT;
        while let Ok(Some((_, response))) = timeout_at(until, incoming.recv()).await {
            // A newer record may not be chosen yet; rounds may build on it, but this read must not return it.
            match response {
                Ok(response) if response.accepted == proposal => self.known.borrow_mut().learn(&response),
                _ => continue,
            }
            if self.known.borrow().proposal == proposal {
                return true;
            }
        }
        false
    }

    /// Sends a request to these voters and returns the receiver of their responses.
    fn request(&self, recipients: &[String], kind: u8, body: Vec<u8>) -> Responses {
        let (sender, receiver) = mpsc::unbounded_channel();
        for voter in recipients {
            let Ok(address) = voter.parse() else { continue };
            let (link, voter, sender, body) =
                (self.link(address), voter.clone(), sender.clone(), body.clone());
            tokio::task::spawn_local(async move {
                let call = link.call(kind, body, PHASE_TIMEOUT);
                // If the caller has enough responses already, the request is still sent but its response is dropped.
                let response = tokio::select! {
                    biased;
                    response = call => response,
                    () = sender.closed() => return,
                };
                let response =
                    response.and_then(|bytes| VoterResponse::decode(bytes).map_err(|_| RpcError::Lost));
                let _ = sender.send((voter, response));
            });
        }
        receiver
    }

    /// Runs an operation until `until`, and stores the newest record and the highest round that it has seen.
    async fn operate<F, R>(&self, task: Task<F>, until: Instant) -> Result<Outcome<R>, TimedOut>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let known = self.known.borrow().clone();
        let founders = self.founders.borrow().clone();
        let mut operation = Operation::new(task, self.proposer_id, founders, self.highest_round.get(), known);
        let outcome = self.run_rounds(&mut operation, until).await;
        self.raise_highest_round(operation.highest_round());
        if operation.known().proposal > self.known.borrow().proposal {
            self.known.borrow_mut().clone_from(operation.known());
        }
        let outcome = outcome.ok_or(TimedOut { may_be_chosen: operation.may_be_chosen() })?;
        if !matches!(outcome, Outcome::Unknown) {
            self.confirm();
        }
        Ok(outcome)
    }

    /// Runs rounds until one succeeds; `None` if the operation runs out of time.
    async fn run_rounds<F, R>(&self, operation: &mut Operation<F, R>, until: Instant) -> Option<Outcome<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        for round in 0u32.. {
            let highest_before = operation.highest_round();
            if let Action::Done(outcome) = self.run_round(operation, until).await? {
                return Some(outcome);
            }
            // The first round usually fails because its number was too low. The responses contain the highest number,
            // so the second round needs no back-off.
            if round > 0 || operation.highest_round() <= highest_before + 1 {
                let bound = LONGEST_BACK_OFF_MS.min(FIRST_BACK_OFF_MS << round.min(8));
                let wait = self.random.borrow_mut().next_u64() % bound;
                timeout_at(until, sleep(Duration::from_millis(wait))).await.ok()?;
            }
            if Instant::now() >= until {
                return None;
            }
        }
        None
    }

    /// Runs one round. Returns the action that ended it, or `None` if the operation runs out of time.
    async fn run_round<F, R>(&self, operation: &mut Operation<F, R>, until: Instant) -> Option<Action<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let mut action = operation.begin_round();
        loop {
            self.raise_highest_round(operation.highest_round());
            let (kind, body) = match &action {
                Action::Prepare(prepare) => (kind::PREPARE, prepare.encode_to_vec()),
                Action::Accept(accept) => (kind::ACCEPT, accept.encode_to_vec()),
                _ => return Some(action),
            };
            let phase_id = operation.phase_id();
            let incoming = self.request(operation.recipients(), kind, body);
            action = Self::run_phase(operation, phase_id, incoming, until).await?;
        }
    }

    /// Passes the responses of one phase to the operation until it requests an action; `None` if the operation runs
    /// out of time.
    async fn run_phase<F, R>(
        operation: &mut Operation<F, R>,
        phase_id: PhaseId,
        mut incoming: Responses,
        until: Instant,
    ) -> Option<Action<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let phase_ends = Instant::now() + PHASE_TIMEOUT;
        loop {
            let action = match timeout_at(phase_ends.min(until), incoming.recv()).await {
                Ok(Some((voter, Ok(response)))) => operation.on_response(phase_id, &voter, response),
                Ok(Some((voter, Err(_)))) => operation.on_failure(phase_id, &voter),
                Ok(None) => operation.on_timeout(),
                Err(_) if Instant::now() >= until => return None,
                Err(_) => operation.on_timeout(),
            };
            if !matches!(action, Action::Wait) {
                return Some(action);
            }
        }
    }
}

/// Asks one store process for its local state, which names the voters; `None` if it does not answer in time.
pub async fn request_local_state(
    link: &RpcClient,
    known: ProposalNumber,
    within: Duration,
) -> Option<LocalState> {
    let request = LocalStateRequest { known }.encode_to_vec();
    let response = link.call(kind::LOCAL_STATE, request, within).await.ok()?;
    LocalState::decode(response).ok()
}
