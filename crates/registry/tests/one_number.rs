//! A version is accepted for at most one configuration. Conflicting and repeated commands go through several machines with
//! lost messages and answers, restarts of all processes, wiped disks and changes of the voters. Runs the real commands over
//! the store's real rounds of consensus.

use oatbank_config_model::{Configuration, Proposal};
use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{Accept, Prepare, VoterConfiguration, VoterId, VoterResponse};
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, PhaseId, Task, VoterChange};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_registry::operator_command::{apply_to_register, decode_state, NoNewEdition, OperatorCommand};
use std::collections::{BTreeMap, BTreeSet};

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, NoNewEdition>>;
type ChangeOperation = Operation<Change, NoNewEdition>;

/// The result that the operator receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandResult {
    Accepted,
    Rejected(ErrorKind),
    Unknown,
}

enum InFlight {
    Prepare(Prepare),
    Accept(Accept),
    VoterResponse(VoterResponse),
}

/// A core machine's proposer.
struct Machine {
    proposer_id: u64,
    known: KnownRecord,
    highest: u64,
}

/// A command in progress.
struct Call {
    command: usize,
    machine: usize,
    operation: ChangeOperation,
    in_flight: Vec<(PhaseId, String, InFlight)>,
    rounds: u32,
}

struct System {
    random_state: u64,
    founders: VoterConfiguration,
    voters: BTreeMap<String, Acceptor>,
    machines: Vec<Machine>,
    restarts: u64,
    /// One in this many messages is lost; 0 if none are.
    loss_one_in: u64,
}

impl System {
    fn new(seed: u64) -> System {
        let names: Vec<String> = (0..3).map(|n| format!("v{n}")).collect();
        let voter = |name: &String| (name.clone(), Acceptor::founded(names.clone()));
        let mut system = System {
            random_state: seed.wrapping_mul(2).wrapping_add(1),
            founders: VoterConfiguration::founders(&names),
            voters: names.iter().map(voter).collect(),
            machines: Vec::new(),
            restarts: 0,
            loss_one_in: 0,
        };
        system.restart_all();
        system
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % below
    }

    /// Restarts all processes from the state on their disks.
    fn restart_all(&mut self) {
        for voter in self.voters.values_mut() {
            let restored = Acceptor::restored(voter.state().clone(), voter.record().cloned());
            *voter = restored.expect("a valid state on disk");
        }
        self.machines = (0..3u64)
            .map(|n| Machine {
                proposer_id: 100 * self.restarts + n + 1,
                known: KnownRecord::default(),
                highest: 0,
            })
            .collect();
        self.restarts += 1;
    }

    fn start_call(&mut self, command: usize, machine: usize, task: Task<Change>) -> Call {
        let at = &self.machines[machine];
        let mut operation =
            Operation::new(task, at.proposer_id, self.founders.clone(), at.highest, at.known.clone());
        let first = operation.begin_round();
        let mut call = Call { command, machine, operation, in_flight: Vec::new(), rounds: 1 };
        send(&mut call, first);
        call
    }

    /// Delivers or loses one message. Returns the result of the call if it has ended.
    fn step(&mut self, call: &mut Call) -> Option<Result<Outcome<NoNewEdition>, ()>> {
        let action = if call.in_flight.is_empty() {
            call.operation.on_timeout()
        } else {
            let at = self.random_below(call.in_flight.len() as u64) as usize;
            let (phase_id, voter, sent) = call.in_flight.swap_remove(at);
            if self.loss_one_in > 0 && self.random_below(self.loss_one_in) == 0 {
                return None;
            }
            let answer = match sent {
                InFlight::VoterResponse(answer) => {
                    let action = call.operation.on_response(phase_id, &voter, answer);
                    return self.handle_action(call, action);
                }
                InFlight::Prepare(prepare) => self.voters.get_mut(&voter).map(|v| v.prepare(&prepare).0),
                InFlight::Accept(accept) => self.voters.get_mut(&voter).map(|v| v.accept(&accept).0),
            };
            match answer {
                Some(answer) => {
                    call.in_flight.push((phase_id, voter, InFlight::VoterResponse(answer)));
                    return None;
                }
                None => call.operation.on_failure(phase_id, &voter),
            }
        };
        self.handle_action(call, action)
    }

    fn handle_action(
        &mut self,
        call: &mut Call,
        action: Action<NoNewEdition>,
    ) -> Option<Result<Outcome<NoNewEdition>, ()>> {
        let result = match action {
            Action::Done(outcome) => Some(Ok(outcome)),
            Action::BackOff if call.rounds > 12 => Some(Err(())),
            Action::BackOff => {
                call.rounds += 1;
                let again = call.operation.begin_round();
                send(call, again);
                None
            }
            // No message is in flight, so the phase can only time out.
            Action::Wait if call.in_flight.is_empty() && call.operation.on_timeout() == Action::BackOff => {
                return self.handle_action(call, Action::BackOff);
            }
            action => {
                send(call, action);
                None
            }
        };
        if result.is_some() {
            let machine = &mut self.machines[call.machine];
            machine.highest = machine.highest.max(call.operation.highest_round());
            if call.operation.known().proposal > machine.known.proposal {
                machine.known = call.operation.known().clone();
            }
        }
        result
    }

    /// Runs a command alone and without message loss.
    fn run_without_losses(&mut self, command: &OperatorCommand, machine: usize) -> CommandResult {
        let mut call = self.start_call(0, machine, Task::Change(change_function(command)));
        let loss_one_in = std::mem::take(&mut self.loss_one_in);
        let command_result = loop {
            if let Some(result) = self.step(&mut call) {
                break command_result(result);
            }
        };
        self.loss_one_in = loss_one_in;
        command_result
    }

    /// Adds a voter with an empty disk, which replaces one of the same name.
    fn add_voter(&mut self, name: &str, id: u64) {
        self.voters.insert(name.into(), Acceptor::fresh(id));
        let member = VoterId { address: name.into(), disk_id: id };
        let mut call = self.start_call(0, 0, Task::ChangeVoters(VoterChange::AddVoter(member.clone())));
        let loss_one_in = std::mem::take(&mut self.loss_one_in);
        while self.step(&mut call).is_none() {}
        self.loss_one_in = loss_one_in;
        let current_voters = self.machines[0].known.configuration(&self.founders);
        assert!(
            current_voters.voters.contains(&member) && !current_voters.is_changing(),
            "{current_voters:?}"
        );
    }

    fn config_in_force(&mut self) -> String {
        let (mut call, loss_one_in) =
            (self.start_call(0, 0, Task::Read), std::mem::take(&mut self.loss_one_in));
        let result = loop {
            if let Some(result) = self.step(&mut call) {
                break result;
            }
        };
        self.loss_one_in = loss_one_in;
        match result {
            Ok(Outcome::Chosen(_, value)) => decode_state(value.as_deref()).expect("readable").config,
            other => panic!("the read failed: {other:?}"),
        }
    }
}

fn send(call: &mut Call, action: Action<NoNewEdition>) {
    let phase_id = call.operation.phase_id();
    for voter in call.operation.recipients().to_vec() {
        let sent = match &action {
            Action::Prepare(prepare) => InFlight::Prepare(*prepare),
            Action::Accept(accept) => InFlight::Accept(accept.clone()),
            _ => return,
        };
        call.in_flight.push((phase_id, voter, sent));
    }
}

fn change_function(command: &OperatorCommand) -> Change {
    let command = command.clone();
    Box::new(move |bytes, edition| apply_to_register(&command, bytes, edition))
}

fn command_result(result: Result<Outcome<NoNewEdition>, ()>) -> CommandResult {
    match result {
        Ok(Outcome::Chosen(..) | Outcome::Rejected(NoNewEdition::AlreadyInForce(_))) => {
            CommandResult::Accepted
        }
        Ok(Outcome::Rejected(NoNewEdition::Rejected(rejection)))
            if rejection.kind != ErrorKind::OutcomeUnknown =>
        {
            CommandResult::Rejected(rejection.kind)
        }
        _ => CommandResult::Unknown,
    }
}

fn put(version: u64, built_on: u64, path: &str) -> OperatorCommand {
    let built_on = if built_on == 0 { "0".to_owned() } else { format!("\"r{built_on}\"") };
    let body = format!(
        r#"{{"version":"r{version}","builtOn":{built_on},"routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"],"rows":[["r","h","{path}","safe",1000,400,2,2,"s"]]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
    );
    OperatorCommand::Configure(Proposal::replace(body.as_bytes()).expect("readable"))
}

/// Runs eight conflicting commands built on one version, five of them with the same version. Each is repeated, mostly at
/// another machine, until its result is known. Returns the accepted version.
fn run_conflicting_commands(system: &mut System, built_on: u64) -> u64 {
    let number = |n: u64| built_on + if n < 5 { 4 } else { n };
    let commands: Vec<OperatorCommand> =
        (0..8).map(|n| put(number(n), built_on, &format!("/{built_on}-{n}/"))).collect();
    let mut results: Vec<Option<CommandResult>> = vec![None; commands.len()];
    let mut waiting: Vec<usize> = (0..commands.len()).collect();
    let mut calls: Vec<Call> = Vec::new();
    system.loss_one_in = 6;
    while !waiting.is_empty() || !calls.is_empty() {
        // A machine's proposer runs one operation at a time.
        let busy: BTreeSet<usize> = calls.iter().map(|call| call.machine).collect();
        let free: Vec<usize> = (0..3).filter(|machine| !busy.contains(machine)).collect();
        if !free.is_empty() && !waiting.is_empty() {
            let command = waiting.swap_remove(system.random_below(waiting.len() as u64) as usize);
            let machine = free[system.random_below(free.len() as u64) as usize];
            calls.push(system.start_call(
                command,
                machine,
                Task::Change(change_function(&commands[command])),
            ));
        }
        let at = system.random_below(calls.len() as u64) as usize;
        let mut call = calls.swap_remove(at);
        match system.step(&mut call) {
            None => calls.push(call),
            Some(result) => {
                // One in three answers to the operator is lost.
                let answer =
                    if system.random_below(3) == 0 { CommandResult::Unknown } else { command_result(result) };
                match answer {
                    CommandResult::Unknown => waiting.push(call.command),
                    clear => results[call.command] = Some(clear),
                }
            }
        }
    }
    let winners: Vec<usize> = (0..8).filter(|n| results[*n] == Some(CommandResult::Accepted)).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    assert!(
        results.iter().all(|command_result| matches!(
            command_result,
            Some(CommandResult::Accepted | CommandResult::Rejected(ErrorKind::StaleVersion))
        )),
        "{results:?}"
    );
    let path = format!("\"/{built_on}-{}/\"", winners[0]);
    assert!(system.config_in_force().contains(&path), "{path} in force");
    // A repeated command gets the same result at each machine.
    for (n, command) in commands.iter().enumerate() {
        let again = if n == winners[0] {
            CommandResult::Accepted
        } else {
            CommandResult::Rejected(ErrorKind::StaleVersion)
        };
        for machine in 0..3 {
            assert_eq!(
                system.run_without_losses(command, machine),
                again,
                "command {n} at machine {machine}"
            );
        }
    }
    number(winners[0] as u64)
}

#[test]
fn exactly_one_of_eight_conflicting_commands_is_accepted_despite_losses_and_restarts() {
    for seed in 0..150 {
        let mut system = System::new(seed);
        let first = put(3, 0, "/first/");
        assert_eq!(system.run_without_losses(&first, 0), CommandResult::Accepted);
        let mut built_on = run_conflicting_commands(&mut system, 3);
        system.restart_all();
        assert_eq!(
            system.run_without_losses(&first, 1),
            CommandResult::Accepted,
            "after a restart of all processes"
        );
        built_on = run_conflicting_commands(&mut system, built_on);
        system.add_voter("v1", 77);
        assert_eq!(
            system.run_without_losses(&first, 2),
            CommandResult::Accepted,
            "after a wiped disk of a minority"
        );
        built_on = run_conflicting_commands(&mut system, built_on);
        system.add_voter("v3", 78);
        system.add_voter("v4", 79);
        assert_eq!(
            system.run_without_losses(&first, 1),
            CommandResult::Accepted,
            "after a change of the voters"
        );
        built_on = run_conflicting_commands(&mut system, built_on);
        assert_eq!(Configuration::read(&system.config_in_force()).expect("readable").version, built_on);
    }
}

#[test]
fn exactly_one_of_an_interrupted_and_a_conflicting_command_is_accepted() {
    for seed in 0..150 {
        let mut system = System::new(seed);
        assert_eq!(system.run_without_losses(&put(3, 0, "/first/"), 0), CommandResult::Accepted);
        let (command, conflicting) = (put(7, 3, "/interrupted/"), put(7, 3, "/conflicting/"));
        // The command is interrupted after some messages by a restart of all processes, in one of three cases with a lost disk.
        let mut call = system.start_call(0, 0, Task::Change(change_function(&command)));
        for _ in 0..seed % 12 {
            if system.step(&mut call).is_some() {
                break;
            }
        }
        system.restart_all();
        if seed % 3 == 0 {
            system.add_voter("v2", 80 + seed);
        }
        let first = system.run_without_losses(&conflicting, 1);
        let second = system.run_without_losses(&command, 2);
        let accepted_count = [first, second]
            .iter()
            .filter(|command_result| **command_result == CommandResult::Accepted)
            .count();
        assert_eq!(accepted_count, 1, "seed {seed}: {first:?} {second:?}");
        for machine in 0..3 {
            assert_eq!(
                (
                    system.run_without_losses(&conflicting, machine),
                    system.run_without_losses(&command, machine)
                ),
                (first, second)
            );
        }
        let path = if first == CommandResult::Accepted { "\"/conflicting/\"" } else { "\"/interrupted/\"" };
        assert!(system.config_in_force().contains(path), "seed {seed}");
    }
}

#[test]
fn repeated_command_creates_no_edition() {
    let mut system = System::new(1);
    let command = put(3, 0, "/first/");
    assert_eq!(system.run_without_losses(&command, 0), CommandResult::Accepted);
    let edition = |system: &System| {
        let held = system.voters.values().filter_map(Acceptor::record).map(|record| record.edition);
        held.max()
    };
    let before = edition(&system);
    for machine in 0..3 {
        assert_eq!(system.run_without_losses(&command, machine), CommandResult::Accepted);
    }
    assert_eq!((before, edition(&system)), (Some(1), Some(1)));
}
