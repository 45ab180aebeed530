//! Runs fault schedules or mutants from the command line and prints the violated rules.

use oatbank_simulation::mutants::{copy, try_out, TrialResult, MUTANTS};
use oatbank_simulation::schedule::{play, Played, Point, POINTS};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const HELP: &str = "oatbank-simulation: runs seeded fault schedules against the control plane in virtual time

Usage: oatbank-simulation [--point NAME] [--schedules N] [--seed N] [--jobs N] [--all] [--log LEVEL]
       oatbank-simulation mutants [--only WORDS] [--schedules N] [--jobs N]

With `mutants`, at the workspace root: removes one guard at a time from a copy under target/mutants and runs
schedules until one breaks a rule. If none does, the tests of its package and of the registry are run.
Fails if a removed guard is not detected.

  --point NAME     cutoff, numbers, losses, changes, answers; all of them by default
  --schedules N    number of schedules of each point (100)
  --seed N         the first seed; with --schedules 1 the whole history is printed
  --jobs N         threads (2)
  --all            continue after a broken rule and count them
  --log LEVEL      log level of the simulated processes: error, warn, info, debug (off)
";

struct Arguments {
    points: Vec<(Point, &'static str)>,
    schedules: u64,
    seed: u64,
    jobs: u64,
    all: bool,
    log: String,
    mutants: bool,
    only: String,
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    use lexopt::prelude::*;
    let mut asked = Arguments {
        points: POINTS.to_vec(),
        schedules: 100,
        seed: 1,
        jobs: 2,
        all: false,
        log: "off".into(),
        mutants: false,
        only: String::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("point") => {
                let name = parser.value()?.string()?;
                let point = POINTS.iter().find(|(_, known)| *known == name);
                let names = POINTS.map(|(_, name)| name).join(", ");
                asked.points =
                    vec![*point.ok_or(format!("unknown point {name:?}; expected one of {names}"))?];
            }
            Long("schedules") => asked.schedules = parser.value()?.parse()?,
            Long("seed") => asked.seed = parser.value()?.parse()?,
            Long("jobs") => asked.jobs = parser.value()?.parse()?,
            Value(word) if word == "mutants" => asked.mutants = true,
            Long("only") => asked.only = parser.value()?.string()?,
            Long("all") => asked.all = true,
            Long("log") => asked.log = parser.value()?.string()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(asked))
}

/// Number of events printed before the first violation.
const EVENTS_BEFORE_VIOLATION: usize = 40;

fn print_history(name: &str, played: &Played, whole: bool) {
    println!("{name}, seed {}: {} broken", played.seed, played.broken.len());
    for broken in played.broken.iter().take(5) {
        println!("  {:8.0} ms  {}: {}", broken.at, broken.rule, broken.what);
    }
    let until = played.broken.first().map_or(f64::MAX, |broken| broken.at);
    let before: Vec<_> = played.history.iter().filter(|(at, _)| *at <= until).collect();
    let many = if whole { before.len() } else { EVENTS_BEFORE_VIOLATION };
    for (at, event) in before.iter().skip(before.len() - many.min(before.len())) {
        println!("  {at:8.0} ms  {event}");
    }
}

fn mutants(asked: &Arguments) -> ExitCode {
    let tree = Path::new("target/mutants");
    let (mut missed, mut wrong) = (Vec::new(), Vec::new());
    if let Err(e) = copy(Path::new("."), tree) {
        eprintln!("oatbank-simulation: {e}");
        return ExitCode::FAILURE;
    }
    let chosen = MUTANTS.iter().filter(|mutant| mutant.name.contains(&asked.only));
    for mutant in chosen {
        match try_out(tree, mutant, asked.schedules, asked.jobs) {
            Ok(TrialResult::Caught(how)) => println!("caught: {}: {how}", mutant.name),
            Ok(TrialResult::CaughtElsewhere(how)) => {
                println!("caught by another family: {}: {how}", mutant.name);
            }
            Ok(TrialResult::CaughtByTest(how)) => println!("caught by a test: {}: {how}", mutant.name),
            Ok(TrialResult::Missed) => {
                println!("MISSED: {}", mutant.name);
                missed.push(mutant.name);
            }
            Err(e) => {
                println!("NOT TRIED: {}: {e}", mutant.name);
                wrong.push(mutant.name);
            }
        }
    }
    println!("{} missed, {} not tried", missed.len(), wrong.len());
    if missed.is_empty() && wrong.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    let asked = match parse_arguments() {
        Ok(Some(asked)) => asked,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oatbank-simulation: {e}; see oatbank-simulation --help");
            return ExitCode::FAILURE;
        }
    };
    if let Err(e) = oatbank_node_runtime::log::start(&asked.log) {
        eprintln!("oatbank-simulation: {e}");
        return ExitCode::FAILURE;
    }
    if asked.mutants {
        return mutants(&asked);
    }
    let mut whole = true;
    for (point, name) in &asked.points {
        let (next, broken) = (AtomicU64::new(asked.seed), Mutex::new((0u64, 0u64)));
        let end = asked.seed + asked.schedules;
        std::thread::scope(|scope| {
            for _ in 0..asked.jobs.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        break;
                    }
                    let played = play(*point, seed);
                    let mut sums = broken.lock().expect("no thread panics while holding the lock");
                    sums.0 += 1;
                    if !played.broken.is_empty() {
                        sums.1 += 1;
                        if sums.1 <= 5 {
                            print_history(name, &played, asked.schedules == 1);
                        }
                        if !asked.all {
                            next.store(end, Ordering::Relaxed);
                        }
                    } else if asked.schedules == 1 {
                        print_history(name, &played, true);
                    }
                });
            }
        });
        let (played, broke) = broken.into_inner().expect("no thread panics while holding the lock");
        println!("{name}: {played} schedules from seed {}, {broke} with a broken rule", asked.seed);
        whole &= broke == 0;
    }
    if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
