//! Seeded random schedules of acceptors, proposers and voter changes, checked by a checker that sees only the results
//! of clients. The environment variable `SCHEDULES` sets their number, `SEED` runs a single one.
//!
//! [`World`] holds the simulated system; `voters` has the actions of sites, `clients` those of proposers, and
//! `events` the random events.

mod cases;
mod checker;
mod clients;
mod events;
mod schedules;
mod voters;

use crate::acceptor::Acceptor;
use crate::guard::{Guard, DISABLED_GUARD};
use crate::membership::removable_on_shutdown;
use crate::messages::{
    Accept, LocalStateRequest, PersistentState, Prepare, ProposalNumber, Record, ResponseStatus,
    VoterConfiguration, VoterId, VoterResponse,
};
use crate::peek::summarize_peek;
use crate::proposer::{Action, KnownRecord, Operation, Outcome, PhaseId, Task, VoterChange};
use assert_matches::assert_matches;
use bytes::Bytes;
use prost::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

use checker::Checker;

/// A fault that is injected to test the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// Acceptors respond before their state is durable.
    RespondsBeforeWrite,
    /// A voter's response also counts for another voter.
    CountsResponseTwice,
    /// A voter that has lost its disk votes with its old identity and an empty state.
    VotesWithoutDisk,
    /// Voter changes run without this safety rule.
    DisabledGuard(Guard),
    /// A read reports its value before the value is chosen.
    UnconfirmedReads,
}

/// Decodes a value into the ids of the changes that made it, in order.
fn history(value: Option<&[u8]>) -> Vec<u32> {
    value.unwrap_or_default().chunks(4).map(|id| u32::from_be_bytes(id.try_into().unwrap())).collect()
}

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, (u64, Vec<u32>)>>;

enum ClientState {
    Idle,
    Operating {
        operation: Box<Operation<Change, (u64, Vec<u32>)>>,
        change_id: Option<u32>,
        backing_off: bool,
    },
    Peeking {
        configuration: VoterConfiguration,
        responses: BTreeMap<String, VoterResponse>,
    },
}

/// A proposer: the first [`CLIENTS`] change and read the value, then one for each site changes the voters.
struct Client {
    proposer_id: u64,
    highest_round: u64,
    known: KnownRecord,
    /// Incremented with each operation, so that responses to earlier ones are ignored.
    serial: u64,
    /// The number of changes known to be made when the operation began.
    min_changes: usize,
    /// Whether its operation removes voters.
    is_removing: bool,
    /// Whether its site shuts down once the operation is complete.
    is_shutting_down: bool,
    state: ClientState,
}

impl Client {
    fn new(proposer_id: u64) -> Client {
        let (known, state) = (KnownRecord::default(), ClientState::Idle);
        Client {
            proposer_id,
            highest_round: 0,
            known,
            serial: 0,
            min_changes: 0,
            is_removing: false,
            is_shutting_down: false,
            state,
        }
    }
}

const CLIENTS: usize = 3;
const SITES: usize = 7;

#[derive(Clone)]
enum Request {
    Prepare(Prepare),
    Accept(Accept),
    Peek,
}

#[derive(Clone)]
enum Envelope {
    Request {
        client: usize,
        proposer_id: u64,
        serial: u64,
        phase_id: PhaseId,
        site: usize,
        request: Request,
    },
    Response {
        client: usize,
        proposer_id: u64,
        serial: u64,
        phase_id: PhaseId,
        site: usize,
        response: VoterResponse,
    },
}

#[derive(Default)]
struct Site {
    /// `None` while the site is down, and before its first start.
    up: Option<Acceptor>,
    durable: Option<(PersistentState, Option<Record>)>,
    /// Responses that wait for the write to disk.
    unsynced: Vec<Envelope>,
    /// The disk id at its last start.
    disk_id: u64,
}

struct World {
    fault: Fault,
    random: Pcg64Mcg,
    founders: VoterConfiguration,
    sites: Vec<Site>,
    clients: Vec<Client>,
    in_flight: Vec<Envelope>,
    /// Messages that are delayed for long.
    delayed: Vec<Envelope>,
    /// A crash, lost disk or refused write happens at one in this many attempts.
    crash_rarity: usize,
    /// Voter changes become rarer as this grows.
    change_rarity: usize,
    /// The record of each proposal sent in an accept request.
    proposals: BTreeMap<ProposalNumber, Record>,
    /// The highest proposal known to be chosen.
    chosen: ProposalNumber,
    /// Voters whose disks were lost.
    lost_disks: BTreeSet<VoterId>,
    checker: Checker,
    changes: u32,
    incarnations: u64,
    disk_losses: u32,
    voter_changes: u32,
}

impl World {
    pub(super) fn new(seed: u64, fault: Fault) -> World {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let founders = if random.next_u32() % 4 == 0 { 5 } else { 3 };
        let addresses: Vec<String> = (0..founders).map(|site| site.to_string()).collect();
        let mut sites: Vec<Site> = (0..SITES).map(|_| Site::default()).collect();
        for site in &mut sites[..founders] {
            let acceptor = Acceptor::founded(addresses.clone());
            site.durable = Some((acceptor.state().clone(), None));
            site.up = Some(acceptor);
        }
        let incarnations = (CLIENTS + SITES) as u64;
        let crash_rarity = 1 + random.next_u32() as usize % 12;
        let change_rarity = 1 + random.next_u32() as usize % 6;
        World {
            fault,
            random,
            founders: VoterConfiguration::founders(&addresses),
            sites,
            clients: (1..=incarnations).map(Client::new).collect(),
            in_flight: Vec::new(),
            delayed: Vec::new(),
            crash_rarity,
            change_rarity,
            proposals: BTreeMap::new(),
            chosen: ProposalNumber::default(),
            lost_disks: BTreeSet::new(),
            checker: Checker::default(),
            changes: 0,
            incarnations,
            disk_losses: 0,
            voter_changes: 0,
        }
    }

    /// Returns a random number below `limit`.
    pub(super) fn below(&mut self, limit: usize) -> usize {
        self.random.next_u32() as usize % limit
    }

    /// Returns `true` with the probability `1 / odds`.
    pub(super) fn one_in(&mut self, odds: usize) -> bool {
        self.below(odds) == 0
    }

    /// Returns a random index below `of` that satisfies `applies`; `None` if there is none.
    pub(super) fn random_index(
        &mut self,
        of: usize,
        applies: impl Fn(&World, usize) -> bool,
    ) -> Option<usize> {
        let some: Vec<usize> = (0..of).filter(|one| applies(self, *one)).collect();
        (!some.is_empty()).then(|| some[self.below(some.len())])
    }
}
