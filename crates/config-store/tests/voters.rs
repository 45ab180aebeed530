//! Further losses during voter changes: machines join, are replaced, leave and crash between the steps of a change,
//! on a simulated clock. A machine counts as lost as the platform defines it: while it is down or partitioned, for
//! four seconds after its return or start, and, if it is removed, until its successor has been up for that time. As
//! long as no more machines are lost than tolerated, changes succeed at any time and no acknowledged change is lost.
//! `SCHEDULES` sets the number of random schedules, `SEED` runs a single one.

use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::membership::{may_join, removable_on_shutdown, LivenessTracker, RemovalDecision};
use oatbank_config_store::messages::{
    LocalStateRequest, ProposalNumber, ResponseStatus, VoterConfiguration, VoterId, VoterResponse,
};
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, Task, VoterChange};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a machine counts as lost after its return, in ms.
const CATCH_UP_MS: u64 = 4000;
/// How long a check of the voters waits for unreachable machines, in ms.
const DISCOVERY_WAIT_MS: u64 = 400;

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, ()>>;

struct Machine {
    /// The acceptor on its disk; `None` if the disk is lost. All state is durable at once; the schedules in `src/tests`
    /// cover state that is not durable yet.
    disk: Option<Acceptor>,
    is_up: bool,
    is_partitioned: bool,
    refuses_writes: bool,
    /// Whether it is shutting down.
    is_shutting_down: bool,
    liveness: LivenessTracker,
    known: KnownRecord,
    highest_round: u64,
    next_check: u64,
    accepted_before: ProposalNumber,
    /// It counts as lost until this time, in ms.
    lost_until: u64,
}

struct World {
    now: u64,
    tolerated_failures: usize,
    founders: VoterConfiguration,
    machines: Vec<Machine>,
    last_disk_id: u64,
    incarnations: u64,
    acknowledged: Vec<u8>,
    /// The number of messages that the current proposer can send before it crashes; `None` for no limit.
    messages_left: Option<usize>,
}

fn addresses(voters: usize) -> Vec<String> {
    (0..voters).map(|voter| voter.to_string()).collect()
}

impl World {
    fn new(voters: usize, tolerated_failures: usize) -> World {
        let mut world = World {
            now: 10_000,
            tolerated_failures,
            founders: VoterConfiguration::founders(&addresses(voters)),
            machines: Vec::new(),
            last_disk_id: 1,
            incarnations: 0,
            acknowledged: Vec::new(),
            messages_left: None,
        };
        for _ in 0..voters {
            world.machines.push(Machine::new(Some(Acceptor::founded(addresses(voters))), tolerated_failures));
        }
        world
    }

    fn voter_id(&self, at: usize) -> VoterId {
        let disk = self.machines[at].disk.as_ref().expect("it has been started");
        VoterId { address: at.to_string(), disk_id: disk.state().disk_id }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_partitioned =
            from != to && (self.machines[from].is_partitioned || self.machines[to].is_partitioned);
        self.machines[to].is_up && !is_partitioned
    }

    /// Starts a machine with its disk, or with an empty one if it has none, at an existing or the next new address.
    fn start(&mut self, at: usize) {
        self.last_disk_id += 1;
        if at == self.machines.len() {
            self.machines.push(Machine::new(None, self.tolerated_failures));
        }
        let (now, tolerated_failures, id) = (self.now, self.tolerated_failures, self.last_disk_id);
        let machine = &mut self.machines[at];
        let disk = machine.disk.take().unwrap_or_else(|| Acceptor::fresh(id));
        *machine = Machine {
            lost_until: now + CATCH_UP_MS,
            next_check: now,
            ..Machine::new(Some(disk), tolerated_failures)
        };
    }

    fn kill(&mut self, at: usize) {
        self.machines[at].is_up = false;
    }

    fn wipe(&mut self, at: usize) {
        self.kill(at);
        self.machines[at].disk = None;
    }

    /// Returns whether the platform counts the machine as lost.
    fn is_lost(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        !machine.is_up || machine.is_partitioned || self.now < machine.lost_until
    }

    // Operations, which take no simulated time.

    /// Sends a request to one machine. Returns its response, or `None` if one of the two does not arrive.
    fn send<R>(&mut self, from: usize, to: usize, action: &Action<R>) -> Option<VoterResponse> {
        let reaches = self.reaches(from, to);
        if let Some(left) = &mut self.messages_left {
            *left = left.checked_sub(1)?;
        }
        let machine = &mut self.machines[to];
        let acceptor = machine.disk.as_mut().filter(|_| reaches)?;
        if machine.refuses_writes {
            return Some(acceptor.respond(ResponseStatus::StorageUnavailable));
        }
        match action {
            Action::Prepare(prepare) => Some(acceptor.prepare(prepare).0),
            Action::Accept(accept) => {
                let before = acceptor.configuration_proposed_in();
                let response = acceptor.accept(accept).0;
                if acceptor.configuration_proposed_in() != before && !acceptor.is_changing() {
                    machine.next_check = machine.next_check.min(self.now);
                }
                Some(response)
            }
            _ => None,
        }
    }

    fn operate(&mut self, at: usize, task: Task<Change>) -> Option<Outcome<()>> {
        self.incarnations += 1;
        let machine = &self.machines[at];
        let (founders, known) = (self.founders.clone(), machine.known.clone());
        let mut operation = Operation::new(task, self.incarnations, founders, machine.highest_round, known);
        let mut outcome = None;
        'rounds: for _ in 0..12 {
            let mut action = operation.begin_round();
            loop {
                let (phase_id, recipients) = (operation.phase_id(), operation.recipients().to_vec());
                let mut next = Action::Wait;
                for name in recipients {
                    let response = self.send(at, name.parse().unwrap(), &action);
                    let step = match response {
                        Some(response) => operation.on_response(phase_id, &name, response),
                        None => operation.on_failure(phase_id, &name),
                    };
                    if !matches!(step, Action::Wait) {
                        next = step;
                        // The proposer has enough responses, but the other recipients still get the request.
                    }
                }
                match next {
                    Action::Done(done) => {
                        outcome = Some(done);
                        break 'rounds;
                    }
                    Action::Wait | Action::BackOff => break,
                    next => action = next,
                }
            }
        }
        let machine = &mut self.machines[at];
        machine.highest_round = operation.highest_round();
        if operation.known().proposal > machine.known.proposal {
            machine.known = operation.known().clone();
        }
        outcome
    }

    fn change_voters(&mut self, at: usize, change: VoterChange) -> bool {
        self.operate(at, Task::ChangeVoters(change)).is_some()
    }

    /// Appends a change through this machine. Returns whether it was acknowledged.
    fn append_change(&mut self, at: usize) -> bool {
        let id = self.acknowledged.len() as u8;
        let change: Change = Box::new(move |before, _| Ok([before.unwrap_or_default(), &[id]].concat()));
        match self.operate(at, Task::Change(change)) {
            Some(Outcome::Chosen(_, Some(value))) => {
                self.acknowledged = value.to_vec();
                true
            }
            _ => false,
        }
    }

    fn read(&mut self, at: usize) -> Option<Vec<u8>> {
        match self.operate(at, Task::Read)? {
            Outcome::Chosen(_, value) => Some(value.unwrap_or_default().to_vec()),
            _ => None,
        }
    }

    // Periodic maintenance, with the steps of `Maintenance::check` in the same order.

    fn discover(&mut self, at: usize) -> BTreeSet<VoterId> {
        let mut responses = BTreeSet::new();
        for other in 0..self.machines.len() {
            if !self.reaches(at, other) {
                continue;
            }
            let local_state = self.machines[other]
                .disk
                .as_ref()
                .map(|d| d.local_state(&LocalStateRequest { known: ProposalNumber::default() }, vec![]));
            if let Some(local_state) = local_state {
                self.machines[at].known.learn_from(&local_state);
                if !self.machines[other].refuses_writes {
                    responses.insert(self.voter_id(other));
                }
            }
        }
        responses
    }

    fn check_voters(&mut self, at: usize) {
        let this_voter = self.voter_id(at);
        let responses = self.discover(at);
        let configuration = self.machines[at].known.configuration(&self.founders).clone();
        let is_reachable = |voter: &VoterId| responses.contains(voter);
        let is_voter = configuration.voters.contains(&this_voter);
        let machine = &mut self.machines[at];
        let disk = machine.disk.as_mut().unwrap();
        let holds_configuration = disk.configuration_proposed_in() == configuration.proposed_in;
        let before = std::mem::replace(&mut machine.accepted_before, disk.state().accepted);
        let behind = machine.known.proposal > machine.accepted_before;
        if behind
            && (!is_voter || !holds_configuration || before == machine.accepted_before)
            && !machine.refuses_writes
        {
            disk.adopt(machine.known.proposal, machine.known.record.as_ref().unwrap());
        }
        let took = if configuration.voters.iter().all(is_reachable) { 0 } else { DISCOVERY_WAIT_MS };
        let mut wait = 2000;
        if configuration.is_changing() || may_join(&configuration, &this_voter, is_reachable) {
            wait = 300;
            if !machine.refuses_writes && self.change_voters(at, VoterChange::AddVoter(this_voter.clone())) {
                self.machines[at].next_check = self.now + took;
                return;
            }
        }
        let now = Duration::from_millis(self.now);
        match self.machines[at].liveness.observe(now, &configuration, &this_voter, is_reachable) {
            RemovalDecision::KeepAll => {}
            RemovalDecision::CheckSoon => wait = wait.min(500),
            RemovalDecision::Remove(removed) => {
                if self
                    .change_voters(at, VoterChange::RemoveVoters(removed.clone(), configuration.proposed_in))
                {
                    self.machines[at].liveness.record_removed(&removed);
                }
            }
        }
        self.machines[at].next_check = self.now + took + wait;
    }

    /// Shuts a machine down, with the steps of `Voter::leave`.
    fn shut_down(&mut self, at: usize) {
        self.machines[at].is_shutting_down = true;
        let this_voter = self.voter_id(at);
        for _ in 0..2 {
            let responses = self.discover(at);
            let configuration = self.machines[at].known.configuration(&self.founders).clone();
            let absent: Vec<VoterId> =
                configuration.voters.iter().filter(|m| !responses.contains(m)).cloned().collect();
            let removed =
                removable_on_shutdown(&configuration, &this_voter, &absent, self.tolerated_failures);
            if removed.is_empty() && !configuration.is_changing() {
                break;
            }
            if self.change_voters(at, VoterChange::RemoveVoters(removed.clone(), configuration.proposed_in))
                && !removed.is_empty()
            {
                break;
            }
        }
        self.kill(at);
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100;
            for at in 0..self.machines.len() {
                let machine = &self.machines[at];
                if machine.is_up && !machine.is_shutting_down && machine.next_check <= self.now {
                    self.check_voters(at);
                }
            }
        }
    }

    fn voters(&mut self, at: usize) -> Vec<String> {
        self.discover(at);
        let mut addresses = self.machines[at].known.configuration(&self.founders).addresses();
        addresses.sort();
        addresses
    }

    /// Checks that this machine reads every acknowledged change and that a further change through it succeeds.
    fn assert_serves(&mut self, at: usize, what: &str) {
        self.discover(at);
        let acknowledged = self.acknowledged.clone();
        let read = self.read(at);
        assert!(
            read.is_some(),
            "{what}: machine {at} reaches no majority: {:?}",
            self.machines[at].known.configuration(&self.founders)
        );
        assert!(read.unwrap().starts_with(&acknowledged), "{what}: an acknowledged change is lost");
        assert!(self.append_change(at), "{what}: a change through machine {at} fails");
    }
}

impl Machine {
    fn new(disk: Option<Acceptor>, tolerated_failures: usize) -> Machine {
        Machine {
            disk,
            is_up: true,
            is_partitioned: false,
            refuses_writes: false,
            is_shutting_down: false,
            liveness: LivenessTracker::new(tolerated_failures),
            known: KnownRecord::default(),
            highest_round: 0,
            next_check: 0,
            accepted_before: ProposalNumber::default(),
            lost_until: 0,
        }
    }
}

/// Returns each single machine of `of`, or each pair if two may be lost.
fn loss_sets(of: &[usize], tolerated_failures: usize) -> Vec<Vec<usize>> {
    match tolerated_failures {
        1 => of.iter().map(|one| vec![*one]).collect(),
        _ => of.iter().flat_map(|a| of.iter().filter(move |b| a < b).map(move |b| vec![*a, *b])).collect(),
    }
}

/// Numbers of core machines, each with the number that may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (4, 1), (5, 2), (6, 2)];

/// Returns a stable cluster with some changes made, the last one while a machine was down.
fn stable_cluster(voters: usize, tolerated_failures: usize) -> World {
    let mut world = World::new(voters, tolerated_failures);
    world.run(3000);
    world.assert_serves(0, "stable");
    world.kill(voters - 1);
    world.assert_serves(0, "with one machine down");
    world.start(voters - 1);
    world.run(CATCH_UP_MS);
    world
}

#[test]
fn a_replacement_followed_at_once_by_further_losses_keeps_a_majority() {
    for (voters, tolerated_failures) in SIZES {
        for planned in [true, false] {
            for lost in loss_sets(&(1..=voters).collect::<Vec<_>>(), tolerated_failures) {
                let what = format!("{voters} voters, planned {planned}, then {lost:?}");
                let mut world = stable_cluster(voters, tolerated_failures);
                if planned {
                    // The successor starts first; the old machine shuts down once the successor no longer counts as
                    // lost.
                    world.start(voters);
                    world.run(CATCH_UP_MS);
                    world.shut_down(0);
                } else {
                    world.kill(0);
                    world.run(1000);
                    world.start(voters);
                    world.run(CATCH_UP_MS);
                }
                lost.iter().for_each(|one| world.kill(*one));
                let healthy_machine = (1..=voters).find(|one| !lost.contains(one)).unwrap();
                world.assert_serves(healthy_machine, &what);
                // Now they also lose their disks.
                lost.iter().for_each(|one| world.wipe(*one));
                lost.iter().for_each(|one| world.start(*one));
                world.run(CATCH_UP_MS);
                world.kill(healthy_machine);
                world.assert_serves((1..=voters).find(|one| *one != healthy_machine).unwrap(), &what);
            }
        }
    }
}

#[test]
fn a_removal_without_a_successor_counts_as_a_loss_besides_a_crash() {
    for (voters, tolerated_failures) in SIZES {
        let mut world = stable_cluster(voters, tolerated_failures);
        world.shut_down(0);
        world.kill(1);
        if voters == 3 {
            // With two of three voters lost neither reads nor changes succeed, and no change is lost.
            assert!(world.read(2).is_none() && !world.append_change(2));
            world.start(1);
            world.run(1000);
        }
        world.assert_serves(2, &format!("{voters} voters"));
    }
}

/// A joining machine crashes after each of its messages, with and without the loss of its disk.
#[test]
fn a_joining_machine_may_crash_after_any_message() {
    for (voters, tolerated_failures) in SIZES {
        for wiped in [false, true] {
            for messages_left in 0..60 {
                let what =
                    format!("{voters} voters, crash after {messages_left} messages, disk lost: {wiped}");
                let mut world = stable_cluster(voters, tolerated_failures);
                world.start(voters);
                world.messages_left = Some(messages_left);
                world.check_voters(voters);
                world.messages_left = None;
                if wiped {
                    world.wipe(voters);
                } else {
                    world.kill(voters);
                }
                world.assert_serves(0, &what);
                // Further machines are lost once it has been unreachable for as long as a return takes.
                world.run(CATCH_UP_MS);
                (0..tolerated_failures).for_each(|one| world.kill(one));
                world.assert_serves(voters - 1, &what);
                world.start(voters);
                (0..tolerated_failures).for_each(|one| world.start(one));
                world.run(CATCH_UP_MS);
                (1..=tolerated_failures).for_each(|one| world.wipe(one));
                world.assert_serves(voters, &what);
            }
        }
    }
}

#[test]
fn a_leaving_machine_may_crash_after_any_message() {
    for (voters, tolerated_failures) in SIZES {
        for messages_left in 0..60 {
            let what = format!("{voters} voters, crash after {messages_left} messages");
            let mut world = stable_cluster(voters, tolerated_failures);
            world.start(voters);
            world.run(CATCH_UP_MS);
            world.messages_left = Some(messages_left);
            world.shut_down(0);
            world.messages_left = None;
            world.assert_serves(voters, &what);
            world.run(CATCH_UP_MS);
            (1..=tolerated_failures).for_each(|one| world.wipe(one));
            world.assert_serves(voters, &what);
        }
    }
}

#[test]
fn a_new_disk_may_be_lost_again_right_after_joining() {
    for (voters, tolerated_failures) in SIZES {
        for messages_left in 0..40 {
            let what = format!("{voters} voters, second loss after {messages_left} messages");
            let mut world = stable_cluster(voters, tolerated_failures);
            (0..tolerated_failures).for_each(|one| world.wipe(one));
            (0..tolerated_failures).for_each(|one| world.start(one));
            world.messages_left = Some(messages_left);
            world.check_voters(0);
            world.messages_left = None;
            world.wipe(0);
            world.assert_serves(voters - 1, &what);
            world.start(0);
            world.run(CATCH_UP_MS);
            assert_eq!(world.voters(0), addresses(voters), "{what}");
            // Other machines lose their disks, so the replaced disks are needed for the majority.
            (tolerated_failures..2 * tolerated_failures).for_each(|one| world.wipe(one));
            world.assert_serves(0, &what);
        }
    }
}

#[test]
fn a_joining_machine_has_the_agreed_record_before_it_is_added() {
    let mut world = stable_cluster(3, 1);
    world.start(3);
    let agreed = world.acknowledged.clone();
    // It crashes before its first message: no machine knows of it, but its disk has the agreed record.
    world.messages_left = Some(0);
    world.check_voters(3);
    let record = world.machines[3].disk.as_ref().unwrap().record().cloned().unwrap();
    assert_eq!(&record.value[..], &agreed[..]);
    assert_eq!(world.voters(0), addresses(3));
    // A voter that was down while the others agreed soon has the record, without another change.
    let held = |world: &World| world.machines[2].disk.as_ref().unwrap().record().unwrap().value.to_vec();
    world.messages_left = None;
    world.kill(2);
    world.assert_serves(0, "one machine down");
    world.start(2);
    assert_ne!(held(&world), world.acknowledged);
    world.run(300);
    assert_eq!(held(&world), world.acknowledged);
}

#[test]
fn a_machine_whose_writes_fail_is_not_added() {
    let mut world = stable_cluster(3, 1);
    world.start(3);
    world.machines[3].refuses_writes = true;
    let this_voter = world.voter_id(3);
    world.discover(3);
    // Not even if it asks, which the program does not do while writes fail.
    assert!(!world.change_voters(3, VoterChange::AddVoter(this_voter)));
    world.run(CATCH_UP_MS);
    assert_eq!(world.voters(0), addresses(3));
    world.kill(0);
    world.assert_serves(1, "one of three lost");
    world.start(0);
    world.machines[3].refuses_writes = false;
    world.run(1000);
    assert_eq!(world.voters(0), addresses(4));
    // A voter whose writes fail counts as unreachable.
    world.machines[3].refuses_writes = true;
    world.run(CATCH_UP_MS);
    assert_eq!(world.voters(0), addresses(3));
    world.kill(0);
    world.assert_serves(1, "one of three lost again");
}

#[test]
fn two_replacements_at_once_keep_a_majority() {
    for planned in [true, false] {
        for lost in loss_sets(&[2, 3, 4, 5, 6], 2) {
            let what = format!("planned {planned}, then {lost:?}");
            let mut world = stable_cluster(5, 2);
            if planned {
                world.start(5);
                world.start(6);
                world.run(CATCH_UP_MS);
                // The first machine has shut down before the second one does.
                world.shut_down(0);
                world.shut_down(1);
            } else {
                world.kill(0);
                world.kill(1);
                world.run(1000);
                world.start(5);
                world.start(6);
                world.run(CATCH_UP_MS);
            }
            lost.iter().for_each(|one| world.kill(*one));
            world.assert_serves((2..=6).find(|one| !lost.contains(one)).unwrap(), &what);
        }
    }
}

#[test]
fn spares_join_while_a_disk_is_lost_and_the_old_disk_returns() {
    let mut world = stable_cluster(3, 1);
    let old = world.machines[0].disk.clone();
    world.wipe(0);
    world.assert_serves(1, "one disk lost");
    // All join at the same moment; the machine that lost its disk is not a voter until it is added again.
    world.start(3);
    world.start(4);
    world.start(0);
    world.run(CATCH_UP_MS);
    assert_eq!(world.voters(0), addresses(5));
    let new = world.voter_id(0);
    world.kill(1);
    world.wipe(2);
    world.assert_serves(0, "two of five lost");
    world.start(1);
    world.start(2);
    world.run(CATCH_UP_MS);
    // The old disk returns to its machine: it has its earlier promises and records, and is a different voter.
    let replaced = std::mem::replace(&mut world.machines[0].disk, old);
    world.start(0);
    assert_ne!(world.voter_id(0), new);
    world.assert_serves(1, "the old disk is not a voter");
    world.run(CATCH_UP_MS);
    let configuration = world.machines[1].known.configuration(&world.founders).clone();
    assert!(
        configuration.voters.contains(&world.voter_id(0))
            && !configuration.voters.contains(&new)
            && configuration.voters.len() == 5
    );
    world.wipe(1);
    world.wipe(3);
    world.assert_serves(0, "two of five lost, with the old disk");
    world.start(1);
    world.start(3);
    world.run(CATCH_UP_MS);
    // The new disk returns.
    world.machines[0].disk = replaced;
    world.start(0);
    world.run(CATCH_UP_MS);
    world.kill(2);
    world.kill(4);
    world.assert_serves(0, "two of five lost, with the new disk again");
    assert!(world.machines[0].known.configuration(&world.founders).voters.contains(&new));
}

// Random schedules.

struct RandomSchedule {
    world: World,
    random: Pcg64Mcg,
    /// Machines to be started, each with the time in ms.
    pending_starts: Vec<(u64, usize)>,
    /// Removed machines, each with its successor.
    removed: Vec<(usize, usize)>,
    /// Partitioned machines, each with the time in ms at which its partition ends.
    partitions: Vec<(u64, usize)>,
    event_counts: [u32; 6],
    last_voters: String,
    event_log: Vec<String>,
}

impl Drop for RandomSchedule {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "tolerated losses: {}; events: {}",
                self.world.tolerated_failures,
                self.event_log.join("; ")
            );
        }
    }
}

impl RandomSchedule {
    fn new(seed: u64) -> RandomSchedule {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (voters, tolerated_failures) = SIZES[random.next_u32() as usize % SIZES.len()];
        let world = World::new(voters, tolerated_failures);
        RandomSchedule {
            world,
            random,
            pending_starts: Vec::new(),
            removed: Vec::new(),
            partitions: Vec::new(),
            event_counts: [0; 6],
            last_voters: String::new(),
            event_log: Vec::new(),
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        u64::from(self.random.next_u32()) % limit
    }

    /// Returns how many machines count as lost. A removed machine counts through its successor, until that is up and no
    /// longer counts as lost.
    fn lost(&self) -> usize {
        let machines = self.world.machines.len();
        let due = self.removed.iter().filter(|(_, successor)| *successor >= machines).count();
        let removed = |at: usize| self.removed.iter().any(|(machine, _)| *machine == at);
        due + (0..machines).filter(|at| !removed(*at) && self.world.is_lost(*at)).count()
    }

    fn random_healthy(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.world.machines.len()).filter(|at| !self.world.is_lost(*at)).collect();
        (!all.is_empty()).then(|| all[self.below(all.len() as u64) as usize])
    }

    fn trigger_event(&mut self) {
        let Some(at) = self.random_healthy() else { return };
        if self.lost() >= self.world.tolerated_failures {
            return;
        }
        let (now, what) = (self.world.now, self.below(6) as usize);
        let new = self.world.machines.len()
            + self.pending_starts.iter().filter(|(_, at)| *at >= self.world.machines.len()).count();
        let full = new > 14;
        match what {
            0 => {
                self.world.kill(at);
                let restart_at = now + 300 + self.below(25_000);
                self.pending_starts.push((restart_at, at));
            }
            1 => {
                self.world.wipe(at);
                let restart_at = now + 300 + self.below(3000);
                self.pending_starts.push((restart_at, at));
            }
            2 => {
                self.world.shut_down(at);
                let restart_at = now + 300 + self.below(3000);
                self.pending_starts.push((restart_at, at));
            }
            3 => {
                self.world.machines[at].is_partitioned = true;
                let until = now + 500 + self.below(22_000);
                self.partitions.push((until, at));
            }
            4 if !full => {
                self.world.kill(at);
                self.removed.push((at, new));
                let start_at = now + self.below(3000);
                self.pending_starts.push((start_at, new));
            }
            5 if !full => {
                // The successor starts first. Skipped if another machine is due at the new address.
                let successor = self.world.machines.len();
                if successor != new {
                    return;
                }
                self.world.start(successor);
                let run_ms = self.below(3000);
                self.world.run(run_ms);
                self.removed.push((at, successor));
                if self.world.machines[at].is_up {
                    self.world.shut_down(at);
                }
            }
            _ => return,
        }
        self.event_counts[what] += 1;
        let what =
            ["killed", "disk lost", "restarted", "partitioned", "removed for good", "replaced as planned"]
                [what];
        self.event_log.push(format!("{now} {at} {what}"));
    }

    fn tick(&mut self) {
        self.world.run(100);
        let now = self.world.now;
        let healthy_machine =
            self.world.machines.iter().position(|machine| machine.is_up && !machine.is_partitioned);
        if let Some(healthy_machine) = healthy_machine {
            let voters = self.world.voters(healthy_machine).join(" ");
            if self.last_voters != voters {
                self.event_log.push(format!("{now} voters are {voters}"));
                self.last_voters = voters;
            }
        }
        self.pending_starts.sort_unstable();
        while let Some(at) = self.pending_starts.iter().position(|(when, _)| *when <= now) {
            let (_, machine) = self.pending_starts.remove(at);
            if machine <= self.world.machines.len() {
                self.world.start(machine);
                self.event_log.push(format!("{now} {machine} started"));
            } else {
                self.pending_starts.push((now + 100, machine));
                break;
            }
        }
        for nth in (0..self.partitions.len()).rev() {
            if self.partitions[nth].0 <= now {
                let (_, machine) = self.partitions.remove(nth);
                self.world.machines[machine].is_partitioned = false;
                self.world.machines[machine].lost_until = now + CATCH_UP_MS;
            }
        }
    }

    fn run_and_check(&mut self, seed: u64) {
        for _ in 0..600 {
            self.tick();
            if self.below(20) == 0 {
                self.trigger_event();
            }
            if self.below(4) == 0 && self.lost() <= self.world.tolerated_failures {
                if let Some(healthy_machine) = self.random_healthy() {
                    self.world
                        .assert_serves(healthy_machine, &format!("SEED={seed}, at {} ms", self.world.now));
                }
            }
        }
        // All machines lose power, and as many as tolerated lose their disks as well.
        let running: Vec<usize> =
            (0..self.world.machines.len()).filter(|at| self.world.machines[*at].is_up).collect();
        let spare = self.world.tolerated_failures.saturating_sub(self.lost());
        let wiped: Vec<usize> =
            running.iter().copied().filter(|at| !self.world.is_lost(*at)).take(spare).collect();
        running.iter().for_each(|at| self.world.kill(*at));
        wiped.iter().for_each(|at| self.world.wipe(*at));
        running.iter().for_each(|at| self.world.start(*at));
        self.world.run(2 * CATCH_UP_MS);
        if let Some(healthy_machine) = self.random_healthy() {
            self.world.assert_serves(healthy_machine, &format!("SEED={seed}, after all lost power"));
        }
    }
}

#[test]
fn random_schedules_of_tolerated_losses_keep_a_majority() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SCHEDULES").unwrap_or(300),
    };
    let (mut event_counts, seed_range) = ([0; 6], seeds.clone());
    for seed in seeds {
        let mut schedule = RandomSchedule::new(seed);
        schedule.run_and_check(seed);
        schedule.event_counts.iter().zip(&mut event_counts).for_each(|(one, all)| *all += one);
    }
    let [killed, wiped, restarted, partitioned, removed, planned] = event_counts;
    println!("seeds {seed_range:?}: {killed} kills, {wiped} lost disks, {restarted} planned restarts, {partitioned} partitions, {removed} removed for good, {planned} planned replacements");
    assert!(seed_range.end - seed_range.start < 100 || event_counts.iter().all(|count| *count > 100));
}
