//! One number, one change: rivals and repeats through several machines whose messages and answers are lost, over ends
//! of all processes, wiped disks and changes of the voters. The real orders over the real rounds of the store.

use oatbank_config_model::{Configuration, Proposal};
use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{Accept, Prepare, VoterConfiguration, VoterId, VoterResponse};
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, PhaseId, Task, VoterChange};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_registry::operator_command::{apply_to_register, decode_state, NoNewEdition, OperatorCommand};
use std::collections::{BTreeMap, BTreeSet};

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, NoNewEdition>>;
type Work = Operation<Change, NoNewEdition>;

/// What the operator hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandResult {
    AcceptedVersion,
    ProposalError(ErrorKind),
    Unclear,
}

enum Sent {
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

/// An order under way.
struct ApiCall {
    order: usize,
    machine: usize,
    work: Work,
    under_way: Vec<(PhaseId, String, Sent)>,
    rounds: u32,
}

struct System {
    chance: u64,
    founders: VoterConfiguration,
    voters: BTreeMap<String, Acceptor>,
    machines: Vec<Machine>,
    restarts: u64,
    /// One of so many messages is lost; 0: none.
    lost: u64,
}

impl System {
    fn new(seed: u64) -> System {
        let names: Vec<String> = (0..3).map(|n| format!("v{n}")).collect();
        let voter = |name: &String| (name.clone(), Acceptor::founded(names.clone()));
        let mut system = System {
            chance: seed.wrapping_mul(2).wrapping_add(1),
            founders: VoterConfiguration::founders(&names),
            voters: names.iter().map(voter).collect(),
            machines: Vec::new(),
            restarts: 0,
            lost: 0,
        };
        system.begin_again();
        system
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 33) % below
    }

    /// All processes end, and begin with what their disks hold.
    fn begin_again(&mut self) {
        for voter in self.voters.values_mut() {
            let restored = Acceptor::restored(voter.state().clone(), voter.record().cloned());
            *voter = restored.expect("whole");
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

    fn begin(&mut self, order: usize, machine: usize, task: Task<Change>) -> ApiCall {
        let at = &self.machines[machine];
        let mut work =
            Operation::new(task, at.proposer_id, self.founders.clone(), at.highest, at.known.clone());
        let first = work.begin_round();
        let mut call = ApiCall { order, machine, work, under_way: Vec::new(), rounds: 1 };
        send(&mut call, first);
        call
    }

    /// One message more arrives, or is lost. The end of it, if it has come.
    fn step(&mut self, call: &mut ApiCall) -> Option<Result<Outcome<NoNewEdition>, ()>> {
        let action = if call.under_way.is_empty() {
            call.work.on_timeout()
        } else {
            let at = self.draw(call.under_way.len() as u64) as usize;
            let (phase_id, voter, sent) = call.under_way.swap_remove(at);
            if self.lost > 0 && self.draw(self.lost) == 0 {
                return None;
            }
            let answer = match sent {
                Sent::VoterResponse(answer) => {
                    let action = call.work.on_response(phase_id, &voter, answer);
                    return self.go_on(call, action);
                }
                Sent::Prepare(prepare) => self.voters.get_mut(&voter).map(|v| v.prepare(&prepare).0),
                Sent::Accept(accept) => self.voters.get_mut(&voter).map(|v| v.accept(&accept).0),
            };
            match answer {
                Some(answer) => {
                    call.under_way.push((phase_id, voter, Sent::VoterResponse(answer)));
                    return None;
                }
                None => call.work.on_failure(phase_id, &voter),
            }
        };
        self.go_on(call, action)
    }

    fn go_on(
        &mut self,
        call: &mut ApiCall,
        action: Action<NoNewEdition>,
    ) -> Option<Result<Outcome<NoNewEdition>, ()>> {
        let ended = match action {
            Action::Done(outcome) => Some(Ok(outcome)),
            Action::BackOff if call.rounds > 12 => Some(Err(())),
            Action::BackOff => {
                call.rounds += 1;
                let again = call.work.begin_round();
                send(call, again);
                None
            }
            // Nothing is under way any more and it waits: its time is over.
            Action::Wait if call.under_way.is_empty() && call.work.on_timeout() == Action::BackOff => {
                return self.go_on(call, Action::BackOff);
            }
            action => {
                send(call, action);
                None
            }
        };
        if ended.is_some() {
            let machine = &mut self.machines[call.machine];
            machine.highest = machine.highest.max(call.work.highest_round());
            if call.work.known().proposal > machine.known.proposal {
                machine.known = call.work.known().clone();
            }
        }
        ended
    }

    /// Alone and without losses.
    fn calm(&mut self, order: &OperatorCommand, machine: usize) -> CommandResult {
        let mut call = self.begin(0, machine, Task::Change(ask(order)));
        let lost = std::mem::take(&mut self.lost);
        let command_result = loop {
            if let Some(ended) = self.step(&mut call) {
                break command_result(ended);
            }
        };
        self.lost = lost;
        command_result
    }

    /// A voter votes with an empty disk from now on, or a new one does.
    fn take_in(&mut self, name: &str, id: u64) {
        self.voters.insert(name.into(), Acceptor::fresh(id));
        let member = VoterId { address: name.into(), disk_id: id };
        let mut call = self.begin(0, 0, Task::ChangeVoters(VoterChange::AddVoter(member.clone())));
        let lost = std::mem::take(&mut self.lost);
        while self.step(&mut call).is_none() {}
        self.lost = lost;
        let current_voters = self.machines[0].known.configuration(&self.founders);
        assert!(
            current_voters.voters.contains(&member) && !current_voters.is_changing(),
            "{current_voters:?}"
        );
    }

    fn in_force(&mut self) -> String {
        let (mut call, lost) = (self.begin(0, 0, Task::Read), std::mem::take(&mut self.lost));
        let ended = loop {
            if let Some(ended) = self.step(&mut call) {
                break ended;
            }
        };
        self.lost = lost;
        match ended {
            Ok(Outcome::Chosen(_, value)) => decode_state(value.as_deref()).expect("readable").config,
            other => panic!("not read: {other:?}"),
        }
    }
}

fn send(call: &mut ApiCall, action: Action<NoNewEdition>) {
    let phase_id = call.work.phase_id();
    for voter in call.work.recipients().to_vec() {
        let sent = match &action {
            Action::Prepare(prepare) => Sent::Prepare(*prepare),
            Action::Accept(accept) => Sent::Accept(accept.clone()),
            _ => return,
        };
        call.under_way.push((phase_id, voter, sent));
    }
}

fn ask(order: &OperatorCommand) -> Change {
    let order = order.clone();
    Box::new(move |bytes, edition| apply_to_register(&order, bytes, edition))
}

fn command_result(ended: Result<Outcome<NoNewEdition>, ()>) -> CommandResult {
    match ended {
        Ok(Outcome::Chosen(..) | Outcome::Rejected(NoNewEdition::AlreadyInForce(_))) => {
            CommandResult::AcceptedVersion
        }
        Ok(Outcome::Rejected(NoNewEdition::Rejected(refusal)))
            if refusal.kind != ErrorKind::OutcomeUnknown =>
        {
            CommandResult::ProposalError(refusal.kind)
        }
        _ => CommandResult::Unclear,
    }
}

fn put(version: u64, built_on: u64, path: &str) -> OperatorCommand {
    let built_on = if built_on == 0 { "0".to_owned() } else { format!("\"r{built_on}\"") };
    let body = format!(
        r#"{{"version":"r{version}","builtOn":{built_on},"routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"],"rows":[["r","h","{path}","safe",1000,400,2,2,"s"]]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
    );
    OperatorCommand::Configure(Proposal::replace(body.as_bytes()).expect("readable"))
}

/// Eight rivals on top of one version, five of them under one number; each is sent again, mostly to another machine,
/// until it hears something clear. The number of the one that was taken.
fn race(system: &mut System, built_on: u64) -> u64 {
    let number = |n: u64| built_on + if n < 5 { 4 } else { n };
    let operator_command: Vec<OperatorCommand> =
        (0..8).map(|n| put(number(n), built_on, &format!("/{built_on}-{n}/"))).collect();
    let mut results: Vec<Option<CommandResult>> = vec![None; operator_command.len()];
    let mut waiting: Vec<usize> = (0..operator_command.len()).collect();
    let mut call_count: Vec<ApiCall> = Vec::new();
    system.lost = 6;
    while !waiting.is_empty() || !call_count.is_empty() {
        // A machine's proposer runs one operation at a time.
        let busy: BTreeSet<usize> = call_count.iter().map(|call| call.machine).collect();
        let free: Vec<usize> = (0..3).filter(|machine| !busy.contains(machine)).collect();
        if !free.is_empty() && !waiting.is_empty() {
            let order = waiting.swap_remove(system.draw(waiting.len() as u64) as usize);
            let machine = free[system.draw(free.len() as u64) as usize];
            call_count.push(system.begin(order, machine, Task::Change(ask(&operator_command[order]))));
        }
        let at = system.draw(call_count.len() as u64) as usize;
        let mut call = call_count.swap_remove(at);
        match system.step(&mut call) {
            None => call_count.push(call),
            Some(ended) => {
                // Every third answer is lost on its way to the operator.
                let answer = if system.draw(3) == 0 { CommandResult::Unclear } else { command_result(ended) };
                match answer {
                    CommandResult::Unclear => waiting.push(call.order),
                    clear => results[call.order] = Some(clear),
                }
            }
        }
    }
    let winners: Vec<usize> =
        (0..8).filter(|n| results[*n] == Some(CommandResult::AcceptedVersion)).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    assert!(
        results.iter().all(|command_result| matches!(
            command_result,
            Some(CommandResult::AcceptedVersion | CommandResult::ProposalError(ErrorKind::StaleVersion))
        )),
        "{results:?}"
    );
    let path = format!("\"/{built_on}-{}/\"", winners[0]);
    assert!(system.in_force().contains(&path), "{path} in force");
    // Whoever asks again hears the same, at each machine.
    for (n, order) in operator_command.iter().enumerate() {
        let again = if n == winners[0] {
            CommandResult::AcceptedVersion
        } else {
            CommandResult::ProposalError(ErrorKind::StaleVersion)
        };
        for machine in 0..3 {
            assert_eq!(system.calm(order, machine), again, "order {n} at machine {machine}");
        }
    }
    number(winners[0] as u64)
}

#[test]
fn of_eight_rivals_one_is_taken_and_all_hear_the_same_again_whatever_ends_or_is_lost() {
    for seed in 0..150 {
        let mut system = System::new(seed);
        let first = put(3, 0, "/first/");
        assert_eq!(system.calm(&first, 0), CommandResult::AcceptedVersion);
        let mut built_on = race(&mut system, 3);
        system.begin_again();
        assert_eq!(system.calm(&first, 1), CommandResult::AcceptedVersion, "after the end of all processes");
        built_on = race(&mut system, built_on);
        system.take_in("v1", 77);
        assert_eq!(system.calm(&first, 2), CommandResult::AcceptedVersion, "after the wipe of a minority");
        built_on = race(&mut system, built_on);
        system.take_in("v3", 78);
        system.take_in("v4", 79);
        assert_eq!(system.calm(&first, 1), CommandResult::AcceptedVersion, "among other voters");
        built_on = race(&mut system, built_on);
        assert_eq!(Configuration::read(&system.in_force()).expect("readable").version, built_on);
    }
}

#[test]
fn an_order_that_is_under_way_when_all_ends_is_taken_once_by_its_repeat() {
    for seed in 0..150 {
        let mut system = System::new(seed);
        assert_eq!(system.calm(&put(3, 0, "/first/"), 0), CommandResult::AcceptedVersion);
        let (order, rival) = (put(7, 3, "/order/"), put(7, 3, "/rival/"));
        // It gets so far, and then all processes end, a disk with them or not.
        let mut call = system.begin(0, 0, Task::Change(ask(&order)));
        for _ in 0..seed % 12 {
            if system.step(&mut call).is_some() {
                break;
            }
        }
        system.begin_again();
        if seed % 3 == 0 {
            system.take_in("v2", 80 + seed);
        }
        let first = system.calm(&rival, 1);
        let second = system.calm(&order, 2);
        let one = [first, second]
            .iter()
            .filter(|command_result| **command_result == CommandResult::AcceptedVersion)
            .count();
        assert_eq!(one, 1, "seed {seed}: {first:?} {second:?}");
        for machine in 0..3 {
            assert_eq!((system.calm(&rival, machine), system.calm(&order, machine)), (first, second));
        }
        let path = if first == CommandResult::AcceptedVersion { "\"/rival/\"" } else { "\"/order/\"" };
        assert!(system.in_force().contains(path), "seed {seed}");
    }
}

#[test]
fn a_repeat_makes_no_edition() {
    let mut system = System::new(1);
    let order = put(3, 0, "/first/");
    assert_eq!(system.calm(&order, 0), CommandResult::AcceptedVersion);
    let edition = |system: &System| {
        let held = system.voters.values().filter_map(Acceptor::record).map(|record| record.edition);
        held.max()
    };
    let before = edition(&system);
    for machine in 0..3 {
        assert_eq!(system.calm(&order, machine), CommandResult::AcceptedVersion);
    }
    assert_eq!((before, edition(&system)), (Some(1), Some(1)));
}
