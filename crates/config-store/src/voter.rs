//! The store process of one core machine: opens its file, answers requests, and makes its state durable before it does.
//!
//! [`crate::voter_maintenance`] adds this machine to the voters and removes voters that are permanently lost.

use crate::acceptor::{Acceptor, RequiredWrite};
use crate::known_record::KnownRecord;
use crate::messages::{
    kind, Accept, Fetch, LocalState, LocalStateRequest, Prepare, ProposalNumber, ResponseStatus, VoterId,
    VoterResponse,
};
use crate::storage::{DiskError, OpenedState, StateWriter, StorageLocation};
use bytes::Bytes;
use oatbank_node_runtime::log::{error, info, warn};
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::rpc::{Handler, ResponseFuture};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Name of the file in which an operator lists the founders, to found the register again (`docs/operators/core.md`).
pub(crate) const FOUND_AGAIN_FILE: &str = "found-again";

/// Configuration of a store process.
#[derive(Clone, Debug)]
pub struct VoterOptions {
    /// The address it listens at, which also identifies it as a voter.
    pub address: SocketAddr,
    /// Addresses of known store processes, with the same port.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, so that the seeds are the founders.
    pub first_start: bool,
    /// Folder of the voter's file.
    pub folder: PathBuf,
    /// The number of machines that the platform may stop at once.
    pub tolerated_failures: usize,
}

/// A request that may need a write before it is answered.
pub(crate) enum QueuedRequest {
    Prepare(Prepare),
    Accept(Accept),
    /// From this process itself: stores a record learned from others, if it is newer. The state is written in any case,
    /// which shows whether writes succeed.
    Adopt(KnownRecord),
}

/// The acceptor in memory and the writer of its file.
pub(crate) struct VoterState {
    pub(crate) acceptor: Acceptor,
    writer: Box<dyn StateWriter>,
}

/// A store process, without its sockets.
pub struct Voter {
    pub(crate) address: SocketAddr,
    pub(crate) seeds: RefCell<Vec<SocketAddr>>,
    pub(crate) state: RefCell<VoterState>,
    pending: RefCell<Vec<(QueuedRequest, oneshot::Sender<VoterResponse>)>>,
    has_pending: Notify,
    /// Whether the last write failed, so that no request is granted.
    pub(crate) is_storage_failing: Cell<bool>,
    /// Notified when the set of voters may have changed, so that it is checked at once.
    pub(crate) membership_changed: Notify,
    pub(crate) tolerated_failures: usize,
}

/// Formats each address as `ip:port`.
pub(crate) fn address_strings(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

/// Returns the founders that the operator lists in [`FOUND_AGAIN_FILE`]; `None` if there is no such file.
///
/// # Errors
/// When the file cannot be read, does not list this machine's address, or lies beside a damaged voter file.
fn operator_named_founders(
    location: &dyn StorageLocation,
    options: &VoterOptions,
) -> Result<Option<BTreeSet<SocketAddr>>, DiskError> {
    let Some(text) = location.operator_file(FOUND_AGAIN_FILE)? else { return Ok(None) };
    let path = options.folder.join(FOUND_AGAIN_FILE);
    let words = text.split([',', ' ', '\n']).filter(|word| !word.is_empty());
    let port = options.address.port();
    let founders: Result<BTreeSet<SocketAddr>, _> =
        words.map(|word| word.parse().map(|ip: IpAddr| SocketAddr::new(ip, port))).collect();
    let (path, own) = (path.display(), options.address.ip());
    let refused = |reason: String| DiskError::Refused(std::io::Error::new(ErrorKind::InvalidInput, reason));
    match founders {
        _ if location.was_set_aside()? => Err(refused(format!(
            "{path}: the damaged file beside it shows that this machine has voted; remove one of the two"
        ))),
        Ok(founders) if founders.contains(&options.address) => Ok(Some(founders)),
        _ => Err(refused(format!(
            "{path}: {text:?}; expected the IP addresses of all founders, {own} among them, such as 10.0.0.4,10.0.0.5"
        ))),
    }
}

impl Voter {
    /// Opens the file, or creates it: as a founder if this is the first start, otherwise empty. A damaged file is
    /// renamed and replaced by an empty one.
    ///
    /// # Errors
    /// When the disk fails, or the operator's file with the founders is invalid; the caller may try again.
    pub fn start(options: VoterOptions) -> Result<Rc<Voter>, DiskError> {
        let folder = options.folder.clone();
        Voter::start_at(&folder, options)
    }

    /// Like [`Voter::start`], with the file at this location.
    ///
    /// # Errors
    /// Those of [`Voter::start`].
    pub fn start_at(location: &dyn StorageLocation, options: VoterOptions) -> Result<Rc<Voter>, DiskError> {
        let state = Voter::open_or_create(location, &options)?;
        Ok(Rc::new(Voter {
            address: options.address,
            seeds: RefCell::new(options.seeds),
            state: RefCell::new(state),
            pending: RefCell::default(),
            has_pending: Notify::new(),
            is_storage_failing: Cell::new(false),
            membership_changed: Notify::new(),
            tolerated_failures: options.tolerated_failures.max(1),
        }))
    }

    fn open_or_create(
        location: &dyn StorageLocation,
        options: &VoterOptions,
    ) -> Result<VoterState, DiskError> {
        match location.open() {
            // This disk has never accepted a record, so the operator's order to found again applies.
            Ok(Some(OpenedState { writer, state, record: None }))
                if state.founders.is_empty() && operator_named_founders(location, options)?.is_some() =>
            {
                drop(writer);
                Voter::create(location, options)
            }
            Ok(Some(opened)) => Voter::restore(location, options, opened),
            Ok(None) => Voter::create(location, options),
            Err(DiskError::Damaged(reason)) => Voter::replace_damaged(location, options, &reason),
            Err(error) => Err(error),
        }
    }

    fn restore(
        location: &dyn StorageLocation,
        options: &VoterOptions,
        opened: OpenedState,
    ) -> Result<VoterState, DiskError> {
        let OpenedState { writer, state, record } = opened;
        let edition = record.as_ref().map_or(0, |record| record.edition);
        let Some(acceptor) = Acceptor::restored(state, record) else {
            return Voter::replace_damaged(location, options, "its state and record contradict each other");
        };
        info!("store: opened the file, at edition {edition}");
        if location.remove_operator_file(FOUND_AGAIN_FILE)? {
            warn!("store: ignored and removed {FOUND_AGAIN_FILE}: this machine still has its voter file");
        }
        Ok(VoterState { acceptor, writer })
    }

    /// Creates the file: a founder's at the first start or by the operator's order, otherwise one with a new disk id.
    fn create(location: &dyn StorageLocation, options: &VoterOptions) -> Result<VoterState, DiskError> {
        let seeds: BTreeSet<SocketAddr> = options.seeds.iter().copied().collect();
        let is_first_start = options.first_start && !location.was_set_aside()?;
        // The operator's order to found again applies to one disk, once: its file is removed below.
        let named_founders = operator_named_founders(location, options)?;
        if named_founders.is_some() {
            warn!("store: founding the register again, as ordered by {FOUND_AGAIN_FILE}");
        }
        let is_founder = is_first_start && seeds.contains(&options.address);
        let acceptor = match named_founders.or(is_founder.then_some(seeds)) {
            Some(founders) => Acceptor::founded(address_strings(&founders.into_iter().collect::<Vec<_>>())),
            None => Acceptor::fresh(random_u64()),
        };
        let writer = location.create(acceptor.state(), None)?;
        location.remove_operator_file(FOUND_AGAIN_FILE)?;
        match acceptor.state().founders.len() {
            0 => info!("store: started with an empty disk"),
            founders => info!("store: founded with {founders} voters"),
        }
        Ok(VoterState { acceptor, writer })
    }

    /// Sets the damaged file aside and creates an empty one.
    fn replace_damaged(
        location: &dyn StorageLocation,
        options: &VoterOptions,
        reason: &str,
    ) -> Result<VoterState, DiskError> {
        error!("store: the file is damaged and is set aside: {reason}");
        location.set_aside()?;
        Voter::create(location, options)
    }

    /// Returns the request handler for [`oatbank_node_runtime::rpc::serve`].
    pub fn handler(self: &Rc<Voter>) -> Handler {
        let voter = self.clone();
        Rc::new(move |kind, body| voter.clone().handle(kind, body))
    }

    fn handle(self: Rc<Voter>, kind: u8, body: Bytes) -> ResponseFuture {
        let ready = |response: Vec<u8>| -> ResponseFuture { Box::pin(std::future::ready(response)) };
        let request = match kind {
            kind::LOCAL_STATE => return ready(self.answer_local_state(body)),
            kind::PEEK => return ready(self.state.borrow().acceptor.peek().encode_to_vec()),
            kind::FETCH => {
                let response =
                    Fetch::decode(body).map(|request| self.state.borrow().acceptor.fetch(&request));
                return ready(response.unwrap_or_default().encode_to_vec());
            }
            kind::PREPARE => Prepare::decode(body).map(QueuedRequest::Prepare),
            kind::ACCEPT => Accept::decode(body).map(QueuedRequest::Accept),
            _ => return ready(Vec::new()),
        };
        // The empty response to a request that cannot be decoded has the status `Unreadable`.
        let Ok(request) = request else { return ready(Vec::new()) };
        let response = self.enqueue(request);
        Box::pin(async move { response.await.unwrap_or_default().encode_to_vec() })
    }

    fn answer_local_state(&self, body: Bytes) -> Vec<u8> {
        let seeds = address_strings(&self.seeds.borrow());
        let state = LocalStateRequest::decode(body)
            .map(|request| self.state.borrow().acceptor.local_state(&request, seeds))
            .map(|state| LocalState { unable: self.is_storage_failing.get(), ..state });
        state.unwrap_or_default().encode_to_vec()
    }

    /// Queues a request for the next write.
    pub(crate) fn enqueue(&self, request: QueuedRequest) -> oneshot::Receiver<VoterResponse> {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push((request, sender));
        self.has_pending.notify_one();
        receiver
    }

    /// Answers queued requests and never returns. All requests that are queued at once share one write.
    pub async fn run(self: Rc<Voter>) {
        loop {
            self.has_pending.notified().await;
            self.process_batch();
        }
    }

    /// Applies all queued requests, makes the result durable with one write, and then responds. If the write fails, the
    /// acceptor returns to its earlier state and every request gets [`ResponseStatus::StorageUnavailable`].
    fn process_batch(&self) {
        let requests = self.pending.take();
        let mut state = self.state.borrow_mut();
        let VoterState { acceptor, writer } = &mut *state;
        let before = acceptor.clone();
        let mut required = RequiredWrite::Nothing;
        let mut responses = Vec::with_capacity(requests.len());
        for (request, sender) in requests {
            let (response, write) = apply(acceptor, &request);
            required = required.max(write);
            responses.push((response, sender));
        }
        let written = match required {
            RequiredWrite::Nothing => Ok(()),
            _ => writer.write(acceptor.state(), acceptor.record(), required == RequiredWrite::StateAndRecord),
        };
        match written {
            Ok(()) => {
                let has_changed = acceptor.configuration_proposed_in() != before.configuration_proposed_in();
                if has_changed && !acceptor.is_changing() {
                    self.membership_changed.notify_one();
                }
                if required != RequiredWrite::Nothing && self.is_storage_failing.replace(false) {
                    info!("store: writes to disk succeed again");
                }
                for (response, sender) in responses {
                    let _ = sender.send(response);
                }
            }
            Err(error) => {
                if !self.is_storage_failing.replace(true) {
                    error!("store: grants no requests while writes to disk fail: {error}");
                }
                *acceptor = before;
                for (_, sender) in responses {
                    let _ = sender.send(acceptor.respond(ResponseStatus::StorageUnavailable));
                }
            }
        }
    }

    /// Replaces the addresses that are asked for the voters.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
        self.membership_changed.notify_one();
    }

    /// Returns the voters that this process knows of.
    pub(crate) fn local_state(&self) -> LocalState {
        let request = LocalStateRequest { known: ProposalNumber::default() };
        self.state.borrow().acceptor.local_state(&request, Vec::new())
    }

    /// Returns the proposal in which the stored record was accepted.
    pub(crate) fn accepted(&self) -> ProposalNumber {
        self.state.borrow().acceptor.state().accepted
    }

    /// Returns the identity of this machine with its current disk.
    pub(crate) fn voter_id(&self) -> VoterId {
        let disk_id = self.state.borrow().acceptor.state().disk_id;
        VoterId { address: self.address.to_string(), disk_id }
    }
}

fn apply(acceptor: &mut Acceptor, request: &QueuedRequest) -> (VoterResponse, RequiredWrite) {
    match request {
        QueuedRequest::Prepare(prepare) => acceptor.prepare(prepare),
        QueuedRequest::Accept(accept) => acceptor.accept(accept),
        QueuedRequest::Adopt(KnownRecord { proposal, record }) => {
            let write = record.as_ref().map(|record| acceptor.adopt(*proposal, record));
            let write = write.unwrap_or(RequiredWrite::Nothing).max(RequiredWrite::State);
            (acceptor.respond(ResponseStatus::Granted), write)
        }
    }
}
