//! Further losses during voter changes: machines join, are replaced, leave and crash between the steps of a change, on a
//! simulated clock. A machine counts as lost as the platform defines it: while it is down or partitioned, for four
//! seconds after its return or start, and, if it is removed, until its successor has been up for that time. As long as no
//! more machines are lost than tolerated, changes succeed at any time and no acknowledged change is lost. `SCHEDULES` sets
//! the number of random schedules, `SEED` runs a single one.

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
const CATCH_UP: u64 = 4000;
/// How long a check of the voters waits for unreachable machines, in ms.
const WAITS: u64 = 400;

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, ()>>;

struct Machine {
    /// The acceptor on its disk; `None` if the disk is lost. All state is durable at once; the schedules in `src/tests`
    /// cover state that is not durable yet.
    disk: Option<Acceptor>,
    up: bool,
    cut: bool,
    refuses: bool,
    /// Whether it is shutting down.
    ends: bool,
    watch: LivenessTracker,
    known: KnownRecord,
    highest_round: u64,
    next_look: u64,
    held: ProposalNumber,
    /// It counts as lost until this time, in ms.
    lost_until: u64,
}

struct World {
    now: u64,
    tolerated_failures: usize,
    founders: VoterConfiguration,
    machines: Vec<Machine>,
    ids: u64,
    incarnations: u64,
    acknowledged: Vec<u8>,
    /// The number of messages that the current proposer can send before it crashes; `None` for no limit.
    in_flight: Option<usize>,
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
            ids: 1,
            incarnations: 0,
            acknowledged: Vec::new(),
            in_flight: None,
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
        let cut = from != to && (self.machines[from].cut || self.machines[to].cut);
        self.machines[to].up && !cut
    }

    /// Starts a machine with its disk, or with an empty one if it has none, at an existing or the next new address.
    fn start(&mut self, at: usize) {
        self.ids += 1;
        if at == self.machines.len() {
            self.machines.push(Machine::new(None, self.tolerated_failures));
        }
        let (now, tolerated_failures, id) = (self.now, self.tolerated_failures, self.ids);
        let machine = &mut self.machines[at];
        let disk = machine.disk.take().unwrap_or_else(|| Acceptor::fresh(id));
        *machine = Machine {
            lost_until: now + CATCH_UP,
            next_look: now,
            ..Machine::new(Some(disk), tolerated_failures)
        };
    }

    fn kill(&mut self, at: usize) {
        self.machines[at].up = false;
    }

    fn wipe(&mut self, at: usize) {
        self.kill(at);
        self.machines[at].disk = None;
    }

    /// Returns whether the platform counts the machine as lost.
    fn is_lost(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        !machine.up || machine.cut || self.now < machine.lost_until
    }

    // Operations, which take no simulated time.

    /// Sends a request to one machine. Returns its response, or `None` if one of the two does not arrive.
    fn ask<R>(&mut self, from: usize, to: usize, action: &Action<R>) -> Option<VoterResponse> {
        let reaches = self.reaches(from, to);
        if let Some(left) = &mut self.in_flight {
            *left = left.checked_sub(1)?;
        }
        let machine = &mut self.machines[to];
        let acceptor = machine.disk.as_mut().filter(|_| reaches)?;
        if machine.refuses {
            return Some(acceptor.respond(ResponseStatus::StorageUnavailable));
        }
        match action {
            Action::Prepare(prepare) => Some(acceptor.prepare(prepare).0),
            Action::Accept(accept) => {
                let before = acceptor.configuration_proposed_in();
                let response = acceptor.accept(accept).0;
                if acceptor.configuration_proposed_in() != before && !acceptor.is_changing() {
                    machine.next_look = machine.next_look.min(self.now);
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
                    let response = self.ask(at, name.parse().unwrap(), &action);
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

    fn change_voters(&mut self, at: usize, turn: VoterChange) -> bool {
        self.operate(at, Task::ChangeVoters(turn)).is_some()
    }

    /// Appends a change through this machine. Returns whether it was acknowledged.
    fn order(&mut self, at: usize) -> bool {
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
                if !self.machines[other].refuses {
                    responses.insert(self.voter_id(other));
                }
            }
        }
        responses
    }

    fn look(&mut self, at: usize) {
        let this_voter = self.voter_id(at);
        let responses = self.discover(at);
        let configuration = self.machines[at].known.configuration(&self.founders).clone();
        let is_reachable = |voter: &VoterId| responses.contains(voter);
        let votes = configuration.voters.contains(&this_voter);
        let machine = &mut self.machines[at];
        let disk = machine.disk.as_mut().unwrap();
        let holds_cast = disk.configuration_proposed_in() == configuration.proposed_in;
        let before = std::mem::replace(&mut machine.held, disk.state().accepted);
        let behind = machine.known.proposal > machine.held;
        if behind && (!votes || !holds_cast || before == machine.held) && !machine.refuses {
            disk.adopt(machine.known.proposal, machine.known.record.as_ref().unwrap());
        }
        let took = if configuration.voters.iter().all(is_reachable) { 0 } else { WAITS };
        let mut wait = 2000;
        if configuration.is_changing() || may_join(&configuration, &this_voter, is_reachable) {
            wait = 300;
            if !machine.refuses && self.change_voters(at, VoterChange::AddVoter(this_voter.clone())) {
                self.machines[at].next_look = self.now + took;
                return;
            }
        }
        let now = Duration::from_millis(self.now);
        match self.machines[at].watch.observe(now, &configuration, &this_voter, is_reachable) {
            RemovalDecision::KeepAll => {}
            RemovalDecision::CheckSoon => wait = wait.min(500),
            RemovalDecision::Remove(gone) => {
                if self.change_voters(at, VoterChange::RemoveVoters(gone.clone(), configuration.proposed_in))
                {
                    self.machines[at].watch.record_removed(&gone);
                }
            }
        }
        self.machines[at].next_look = self.now + took + wait;
    }

    /// Shuts a machine down, with the steps of `Voter::leave`.
    fn shut_down(&mut self, at: usize) {
        self.machines[at].ends = true;
        let this_voter = self.voter_id(at);
        for _ in 0..2 {
            let responses = self.discover(at);
            let configuration = self.machines[at].known.configuration(&self.founders).clone();
            let absent: Vec<VoterId> =
                configuration.voters.iter().filter(|m| !responses.contains(m)).cloned().collect();
            let goes = removable_on_shutdown(&configuration, &this_voter, &absent, self.tolerated_failures);
            if goes.is_empty() && !configuration.is_changing() {
                break;
            }
            if self.change_voters(at, VoterChange::RemoveVoters(goes.clone(), configuration.proposed_in))
                && !goes.is_empty()
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
                if machine.up && !machine.ends && machine.next_look <= self.now {
                    self.look(at);
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
    fn serves(&mut self, at: usize, what: &str) {
        self.discover(at);
        let acknowledged = self.acknowledged.clone();
        let read = self.read(at);
        assert!(
            read.is_some(),
            "{what}: machine {at} reaches no majority: {:?}",
            self.machines[at].known.configuration(&self.founders)
        );
        assert!(read.unwrap().starts_with(&acknowledged), "{what}: an acknowledged change is lost");
        assert!(self.order(at), "{what}: a change through machine {at} fails");
    }
}

impl Machine {
    fn new(disk: Option<Acceptor>, tolerated_failures: usize) -> Machine {
        Machine {
            disk,
            up: true,
            cut: false,
            refuses: false,
            ends: false,
            watch: LivenessTracker::new(tolerated_failures),
            known: KnownRecord::default(),
            highest_round: 0,
            next_look: 0,
            held: ProposalNumber::default(),
            lost_until: 0,
        }
    }
}

/// Returns each single machine of `of`, or each pair if two may be lost.
fn losses(of: &[usize], tolerated_failures: usize) -> Vec<Vec<usize>> {
    match tolerated_failures {
        1 => of.iter().map(|one| vec![*one]).collect(),
        _ => of.iter().flat_map(|a| of.iter().filter(move |b| a < b).map(move |b| vec![*a, *b])).collect(),
    }
}

/// Numbers of core machines, each with the number that may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (4, 1), (5, 2), (6, 2)];

/// Returns a stable cluster with some changes made, the last one while a machine was down.
fn steady(voters: usize, tolerated_failures: usize) -> World {
    let mut world = World::new(voters, tolerated_failures);
    world.run(3000);
    world.serves(0, "stable");
    world.kill(voters - 1);
    world.serves(0, "with one machine down");
    world.start(voters - 1);
    world.run(CATCH_UP);
    world
}

#[test]
fn a_successor_comes_and_the_removed_one_is_followed_by_a_loss_at_once() {
    for (voters, tolerated_failures) in SIZES {
        for planned in [true, false] {
            for lost in losses(&(1..=voters).collect::<Vec<_>>(), tolerated_failures) {
                let what = format!("{voters} voters, planned {planned}, then {lost:?}");
                let mut world = steady(voters, tolerated_failures);
                if planned {
                    // The successor starts first; the old machine shuts down once the successor no longer counts as lost.
                    world.start(voters);
                    world.run(CATCH_UP);
                    world.shut_down(0);
                } else {
                    world.kill(0);
                    world.run(1000);
                    world.start(voters);
                    world.run(CATCH_UP);
                }
                lost.iter().for_each(|one| world.kill(*one));
                let proposer_id = (1..=voters).find(|one| !lost.contains(one)).unwrap();
                world.serves(proposer_id, &what);
                // Now they also lose their disks.
                lost.iter().for_each(|one| world.wipe(*one));
                lost.iter().for_each(|one| world.start(*one));
                world.run(CATCH_UP);
                world.kill(proposer_id);
                world.serves((1..=voters).find(|one| *one != proposer_id).unwrap(), &what);
            }
        }
    }
}

#[test]
fn a_remove_without_a_successor_and_a_crash_are_two_losses_and_borne_as_such() {
    for (voters, tolerated_failures) in SIZES {
        let mut world = steady(voters, tolerated_failures);
        world.shut_down(0);
        world.kill(1);
        if voters == 3 {
            // With two of three voters lost neither reads nor changes succeed, and no change is lost.
            assert!(world.read(2).is_none() && !world.order(2));
            world.start(1);
            world.run(1000);
        }
        world.serves(2, &format!("{voters} voters"));
    }
}

/// A joining machine crashes after each of its messages, with and without the loss of its disk.
#[test]
fn a_joiner_that_dies_between_any_two_messages_costs_no_more_than_itself() {
    for (voters, tolerated_failures) in SIZES {
        for wiped in [false, true] {
            for in_flight in 0..60 {
                let what = format!("{voters} voters, crash after {in_flight} messages, disk lost: {wiped}");
                let mut world = steady(voters, tolerated_failures);
                world.start(voters);
                world.in_flight = Some(in_flight);
                world.look(voters);
                world.in_flight = None;
                if wiped {
                    world.wipe(voters);
                } else {
                    world.kill(voters);
                }
                world.serves(0, &what);
                // Further machines are lost once it has been unreachable for as long as a return takes.
                world.run(CATCH_UP);
                (0..tolerated_failures).for_each(|one| world.kill(one));
                world.serves(voters - 1, &what);
                world.start(voters);
                (0..tolerated_failures).for_each(|one| world.start(one));
                world.run(CATCH_UP);
                (1..=tolerated_failures).for_each(|one| world.wipe(one));
                world.serves(voters, &what);
            }
        }
    }
}

#[test]
fn a_leaver_that_dies_between_any_two_messages_costs_no_more_than_itself() {
    for (voters, tolerated_failures) in SIZES {
        for in_flight in 0..60 {
            let what = format!("{voters} voters, crash after {in_flight} messages");
            let mut world = steady(voters, tolerated_failures);
            world.start(voters);
            world.run(CATCH_UP);
            world.in_flight = Some(in_flight);
            world.shut_down(0);
            world.in_flight = None;
            world.serves(voters, &what);
            world.run(CATCH_UP);
            (1..=tolerated_failures).for_each(|one| world.wipe(one));
            world.serves(voters, &what);
        }
    }
}

#[test]
fn a_disk_lost_again_right_after_it_was_taken_in_costs_nothing_more() {
    for (voters, tolerated_failures) in SIZES {
        for in_flight in 0..40 {
            let what = format!("{voters} voters, second loss after {in_flight} messages");
            let mut world = steady(voters, tolerated_failures);
            (0..tolerated_failures).for_each(|one| world.wipe(one));
            (0..tolerated_failures).for_each(|one| world.start(one));
            world.in_flight = Some(in_flight);
            world.look(0);
            world.in_flight = None;
            world.wipe(0);
            world.serves(voters - 1, &what);
            world.start(0);
            world.run(CATCH_UP);
            assert_eq!(world.voters(0), addresses(voters), "{what}");
            // Other machines lose their disks, so the replaced disks are needed for the majority.
            (tolerated_failures..2 * tolerated_failures).for_each(|one| world.wipe(one));
            world.serves(0, &what);
        }
    }
}

#[test]
fn what_is_agreed_is_on_a_joiners_disk_before_it_counts() {
    let mut world = steady(3, 1);
    world.start(3);
    let agreed = world.acknowledged.clone();
    // It crashes before its first message: no machine knows of it, but its disk has the agreed record.
    world.in_flight = Some(0);
    world.look(3);
    let record = world.machines[3].disk.as_ref().unwrap().record().cloned().unwrap();
    assert_eq!(&record.value[..], &agreed[..]);
    assert_eq!(world.voters(0), addresses(3));
    // A voter that was down while the others agreed soon has the record, without another change.
    let held = |world: &World| world.machines[2].disk.as_ref().unwrap().record().unwrap().value.to_vec();
    world.in_flight = None;
    world.kill(2);
    world.serves(0, "one machine down");
    world.start(2);
    assert_ne!(held(&world), world.acknowledged);
    world.run(300);
    assert_eq!(held(&world), world.acknowledged);
}

#[test]
fn a_joiner_whose_disk_takes_nothing_is_not_taken_in() {
    let mut world = steady(3, 1);
    world.start(3);
    world.machines[3].refuses = true;
    let this_voter = world.voter_id(3);
    world.discover(3);
    // Not even if it asks, which the program does not do while writes fail.
    assert!(!world.change_voters(3, VoterChange::AddVoter(this_voter)));
    world.run(CATCH_UP);
    assert_eq!(world.voters(0), addresses(3));
    world.kill(0);
    world.serves(1, "one of three lost");
    world.start(0);
    world.machines[3].refuses = false;
    world.run(1000);
    assert_eq!(world.voters(0), addresses(4));
    // A voter whose writes fail counts as unreachable.
    world.machines[3].refuses = true;
    world.run(CATCH_UP);
    assert_eq!(world.voters(0), addresses(3));
    world.kill(0);
    world.serves(1, "one of three lost again");
}

#[test]
fn two_replacements_at_once() {
    for planned in [true, false] {
        for lost in losses(&[2, 3, 4, 5, 6], 2) {
            let what = format!("planned {planned}, then {lost:?}");
            let mut world = steady(5, 2);
            if planned {
                world.start(5);
                world.start(6);
                world.run(CATCH_UP);
                // The first machine has shut down before the second one does.
                world.shut_down(0);
                world.shut_down(1);
            } else {
                world.kill(0);
                world.kill(1);
                world.run(1000);
                world.start(5);
                world.start(6);
                world.run(CATCH_UP);
            }
            lost.iter().for_each(|one| world.kill(*one));
            world.serves((2..=6).find(|one| !lost.contains(one)).unwrap(), &what);
        }
    }
}

#[test]
fn spares_that_join_while_a_voter_is_wiped_and_the_old_disk_that_comes_back() {
    let mut world = steady(3, 1);
    let old = world.machines[0].disk.clone();
    world.wipe(0);
    world.serves(1, "one disk lost");
    // All join at the same moment; the machine that lost its disk is not a voter until it is added again.
    world.start(3);
    world.start(4);
    world.start(0);
    world.run(CATCH_UP);
    assert_eq!(world.voters(0), addresses(5));
    let new = world.voter_id(0);
    world.kill(1);
    world.wipe(2);
    world.serves(0, "two of five lost");
    world.start(1);
    world.start(2);
    world.run(CATCH_UP);
    // The old disk returns to its machine: it has its earlier promises and records, and is a different voter.
    let replaced = std::mem::replace(&mut world.machines[0].disk, old);
    world.start(0);
    assert_ne!(world.voter_id(0), new);
    world.serves(1, "the old disk is not a voter");
    world.run(CATCH_UP);
    let configuration = world.machines[1].known.configuration(&world.founders).clone();
    assert!(
        configuration.voters.contains(&world.voter_id(0))
            && !configuration.voters.contains(&new)
            && configuration.voters.len() == 5
    );
    world.wipe(1);
    world.wipe(3);
    world.serves(0, "two of five lost, with the old disk");
    world.start(1);
    world.start(3);
    world.run(CATCH_UP);
    // The new disk returns.
    world.machines[0].disk = replaced;
    world.start(0);
    world.run(CATCH_UP);
    world.kill(2);
    world.kill(4);
    world.serves(0, "two of five lost, with the new disk again");
    assert!(world.machines[0].known.configuration(&world.founders).voters.contains(&new));
}

// Random schedules.

struct Days {
    world: World,
    chance: Pcg64Mcg,
    /// Machines to be started, each with the time in ms.
    comes: Vec<(u64, usize)>,
    /// Removed machines, each with its successor.
    removed: Vec<(usize, usize)>,
    /// Partitioned machines, each with the time in ms at which its partition ends.
    cut: Vec<(u64, usize)>,
    happened: [u32; 6],
    votes: String,
    story: Vec<String>,
}

impl Drop for Days {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "tolerated losses: {}; events: {}",
                self.world.tolerated_failures,
                self.story.join("; ")
            );
        }
    }
}

impl Days {
    fn new(seed: u64) -> Days {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (voters, tolerated_failures) = SIZES[chance.next_u32() as usize % SIZES.len()];
        let world = World::new(voters, tolerated_failures);
        Days {
            world,
            chance,
            comes: Vec::new(),
            removed: Vec::new(),
            cut: Vec::new(),
            happened: [0; 6],
            votes: String::new(),
            story: Vec::new(),
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        u64::from(self.chance.next_u32()) % limit
    }

    /// Returns how many machines count as lost. A removed machine counts through its successor, until that is up and no
    /// longer counts as lost.
    fn lost(&self) -> usize {
        let machines = self.world.machines.len();
        let due = self.removed.iter().filter(|(_, successor)| *successor >= machines).count();
        let removed = |at: usize| self.removed.iter().any(|(gone, _)| *gone == at);
        due + (0..machines).filter(|at| !removed(*at) && self.world.is_lost(*at)).count()
    }

    fn well(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.world.machines.len()).filter(|at| !self.world.is_lost(*at)).collect();
        (!all.is_empty()).then(|| all[self.below(all.len() as u64) as usize])
    }

    fn event(&mut self) {
        let Some(at) = self.well() else { return };
        if self.lost() >= self.world.tolerated_failures {
            return;
        }
        let (now, what) = (self.world.now, self.below(6) as usize);
        let new = self.world.machines.len()
            + self.comes.iter().filter(|(_, at)| *at >= self.world.machines.len()).count();
        let full = new > 14;
        match what {
            0 => {
                self.world.kill(at);
                let back = now + 300 + self.below(25_000);
                self.comes.push((back, at));
            }
            1 => {
                self.world.wipe(at);
                let back = now + 300 + self.below(3000);
                self.comes.push((back, at));
            }
            2 => {
                self.world.shut_down(at);
                let back = now + 300 + self.below(3000);
                self.comes.push((back, at));
            }
            3 => {
                self.world.machines[at].cut = true;
                let until = now + 500 + self.below(22_000);
                self.cut.push((until, at));
            }
            4 if !full => {
                self.world.kill(at);
                self.removed.push((at, new));
                let comes = now + self.below(3000);
                self.comes.push((comes, new));
            }
            5 if !full => {
                // The successor starts first. Skipped if another machine is due at the new address.
                let successor = self.world.machines.len();
                if successor != new {
                    return;
                }
                self.world.start(successor);
                let runs = self.below(3000);
                self.world.run(runs);
                self.removed.push((at, successor));
                if self.world.machines[at].up {
                    self.world.shut_down(at);
                }
            }
            _ => return,
        }
        self.happened[what] += 1;
        let what =
            ["killed", "disk lost", "restarted", "partitioned", "removed for good", "replaced as planned"]
                [what];
        self.story.push(format!("{now} {at} {what}"));
    }

    fn tick(&mut self) {
        self.world.run(100);
        let now = self.world.now;
        let proposer_id = self.world.machines.iter().position(|machine| machine.up && !machine.cut);
        if let Some(proposer_id) = proposer_id {
            let votes = self.world.voters(proposer_id).join(" ");
            if self.votes != votes {
                self.story.push(format!("{now} voters are {votes}"));
                self.votes = votes;
            }
        }
        self.comes.sort_unstable();
        while let Some(at) = self.comes.iter().position(|(when, _)| *when <= now) {
            let (_, machine) = self.comes.remove(at);
            if machine <= self.world.machines.len() {
                self.world.start(machine);
                self.story.push(format!("{now} {machine} started"));
            } else {
                self.comes.push((now + 100, machine));
                break;
            }
        }
        for nth in (0..self.cut.len()).rev() {
            if self.cut[nth].0 <= now {
                let (_, machine) = self.cut.remove(nth);
                self.world.machines[machine].cut = false;
                self.world.machines[machine].lost_until = now + CATCH_UP;
            }
        }
    }

    fn play(&mut self, seed: u64) {
        for _ in 0..600 {
            self.tick();
            if self.below(20) == 0 {
                self.event();
            }
            if self.below(4) == 0 && self.lost() <= self.world.tolerated_failures {
                if let Some(proposer_id) = self.well() {
                    self.world.serves(proposer_id, &format!("SEED={seed}, at {} ms", self.world.now));
                }
            }
        }
        // All machines lose power, and as many as tolerated lose their disks as well.
        let running: Vec<usize> =
            (0..self.world.machines.len()).filter(|at| self.world.machines[*at].up).collect();
        let spare = self.world.tolerated_failures.saturating_sub(self.lost());
        let wiped: Vec<usize> =
            running.iter().copied().filter(|at| !self.world.is_lost(*at)).take(spare).collect();
        running.iter().for_each(|at| self.world.kill(*at));
        wiped.iter().for_each(|at| self.world.wipe(*at));
        running.iter().for_each(|at| self.world.start(*at));
        self.world.run(2 * CATCH_UP);
        if let Some(proposer_id) = self.well() {
            self.world.serves(proposer_id, &format!("SEED={seed}, after all lost power"));
        }
    }
}

#[test]
fn no_schedule_of_second_losses_leaves_no_majority() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SCHEDULES").unwrap_or(300),
    };
    let (mut happened, played) = ([0; 6], seeds.clone());
    for seed in seeds {
        let mut days = Days::new(seed);
        days.play(seed);
        days.happened.iter().zip(&mut happened).for_each(|(one, all)| *all += one);
    }
    let [killed, wiped, restarted, cut, gone, planned] = happened;
    println!("seeds {played:?}: {killed} kills, {wiped} lost disks, {restarted} planned restarts, {cut} partitions, {gone} removed for good, {planned} planned replacements");
    assert!(played.end - played.start < 100 || happened.iter().all(|count| *count > 100));
}
