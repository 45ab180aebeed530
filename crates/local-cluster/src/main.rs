//! Command-line program that runs a local cluster with traffic until ctrl-C or for a given time.

use oatbank_local_cluster::changes;
use oatbank_local_cluster::chart;
use oatbank_local_cluster::client::ClientRequest;
use oatbank_local_cluster::cluster::{LocalCluster, Plan};
use oatbank_local_cluster::error::ClusterError;
use oatbank_local_cluster::failing::{self, Options};
use oatbank_local_cluster::operator::{Operator, TestConfiguration};
use oatbank_local_cluster::random_u64;
use oatbank_local_cluster::server::Server;
use oatbank_local_cluster::soak;
use oatbank_local_cluster::traffic::{Count, Traffic};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const HELP: &str =
    "oatbank-local-cluster: runs the whole system on one machine with test servers and clients, and prints a line per second

Usage: oatbank-local-cluster [--proxies N] [--servers N] [--rate N] [--seconds N] [--keep]
       oatbank-local-cluster failing-backend [--rate N] [--seconds N] [--json FILE] [--picture FILE] [--fault duplicate]
       oatbank-local-cluster changes [--cores N] [--proxies N] [--changes N]
       oatbank-local-cluster soak [--seconds N] [--seed N] [--seeds N] [--proxies N]

failing-backend: three proxies, three core machines, and bookings that must run at most once at four servers, of
which one turns slow, then fails, then recovers. Prints a row per second; at the end an independent checker compares
the runs recorded by servers with the answers that clients got.
changes: successive configuration changes; prints the time until each is acknowledged, and the number of proxies that
have not applied it by then.
soak: random overlapping faults, drawn from a seed, with clients that may disconnect early; prints all violations.

  --proxies N  number of proxies (3); the core has three machines
  --servers N  number of test servers (6)
  --rate N     requests per second (100; failing-backend: 80)
  --seconds N  duration of the traffic in seconds (0: until ctrl-C; failing-backend: 30; soak: 20)
  --json FILE     failing-backend: writes the results as JSON
  --picture FILE  failing-backend: writes the results as an SVG chart
  --fault NAME    failing-backend: duplicate: sends some bookings twice with the same id, for the checker to detect
  --cores N    changes: number of core machines (3)
  --changes N  changes: number of changes (30)
  --seed N     soak: first seed (random)
  --seeds N    soak: number of consecutive seeds (1)
  --keep       keeps the folder with settings, logs and data, and prints its path
  --help, --version

Exit status: 0 if requests were served, none failed and no program ended by itself (failing-backend: if the checker
finds no violation; changes: if all changes were accepted; soak: if there was no violation); otherwise 1.
";
const HOST: &str = "shop.example";

struct CommandLine {
    proxies: usize,
    servers: usize,
    rate: f64,
    seconds: u64,
    keep: bool,
    failing: bool,
    /// Numbers of core machines and of changes, if the command is `changes`.
    changes: Option<(usize, usize)>,
    /// First seed and number of seeds, if the command is `soak`.
    soak: Option<(u64, u64)>,
    json: Option<String>,
    picture: Option<String>,
    duplicate: bool,
}

impl CommandLine {
    /// Returns whether no command has been given yet.
    fn has_no_command(&self) -> bool {
        !self.failing && self.changes.is_none() && self.soak.is_none()
    }
}

fn command_line() -> Result<Option<CommandLine>, lexopt::Error> {
    use lexopt::prelude::*;
    let mut command_line = CommandLine {
        proxies: 3,
        servers: 6,
        rate: 100.0,
        seconds: 0,
        keep: false,
        failing: false,
        changes: None,
        soak: None,
        json: None,
        picture: None,
        duplicate: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("proxies") if !command_line.failing => command_line.proxies = parser.value()?.parse()?,
            Long("servers") if !command_line.failing => command_line.servers = parser.value()?.parse()?,
            Long("rate") => command_line.rate = parser.value()?.parse()?,
            Long("seconds") => command_line.seconds = parser.value()?.parse()?,
            Long("keep") if !command_line.failing => command_line.keep = true,
            Value(word) if word == "changes" && command_line.has_no_command() => {
                command_line.changes = Some((3, 30));
            }
            Value(word) if word == "soak" && command_line.has_no_command() => {
                (command_line.soak, command_line.seconds) = (Some((random_u64() >> 32, 1)), 20);
            }
            Long("seed") if command_line.soak.is_some() => {
                let seed = parser.value()?.parse()?;
                command_line.soak = command_line.soak.map(|(_, seeds)| (seed, seeds));
            }
            Long("seeds") if command_line.soak.is_some() => {
                let seeds = parser.value()?.parse()?;
                command_line.soak = command_line.soak.map(|(seed, _)| (seed, seeds));
            }
            Long("cores") if command_line.changes.is_some() => {
                command_line.changes =
                    command_line.changes.zip(Some(parser.value()?.parse()?)).map(|((_, n), c)| (c, n));
            }
            Long("changes") if command_line.changes.is_some() => {
                command_line.changes =
                    command_line.changes.zip(Some(parser.value()?.parse()?)).map(|((c, _), n)| (c, n));
            }
            Value(word) if word == "failing-backend" && command_line.has_no_command() => {
                (command_line.failing, command_line.rate, command_line.seconds) = (true, 80.0, 30);
            }
            Long("json") if command_line.failing => command_line.json = Some(parser.value()?.string()?),
            Long("picture") if command_line.failing => command_line.picture = Some(parser.value()?.string()?),
            Long("fault") if command_line.failing => match parser.value()?.string()?.as_str() {
                "duplicate" => command_line.duplicate = true,
                other => return Err(lexopt::Error::from(format!("--fault: {other:?}; allowed: duplicate"))),
            },
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("oatbank-local-cluster {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    let within = |what: &str, is: bool| if is { Ok(()) } else { Err(lexopt::Error::from(what.to_owned())) };
    within("--proxies: 1 to 80", (1..=80).contains(&command_line.proxies))?;
    within("--servers: 1 to 150", (1..=150).contains(&command_line.servers))?;
    let changes = command_line.changes.is_none_or(|(c, n)| (1..=9).contains(&c) && (1..=10_000).contains(&n));
    within("--cores: 1 to 9, --changes: 1 to 10000", changes)?;
    within("--rate: 1 to 5000", (1.0..=5000.0).contains(&command_line.rate))?;
    within(
        "--seconds: 4 to 600 for failing-backend",
        !command_line.failing || (4..=600).contains(&command_line.seconds),
    )?;
    within(
        "--seconds: 1 to 600, --seeds: 1 to 1000 for soak",
        command_line.soak.is_none_or(|(_, seeds)| {
            (1..=600).contains(&command_line.seconds) && (1..=1000).contains(&seeds)
        }),
    )?;
    Ok(Some(command_line))
}

/// Runs the failing-backend scenario. Returns whether the checker found no violation.
fn run_failing_backend(command_line: &CommandLine, end: &AtomicBool) -> Result<bool, ClusterError> {
    let (span, step) = (Duration::from_secs(command_line.seconds), Duration::from_secs(1));
    let options = Options { span, step, rate: command_line.rate, duplicate: command_line.duplicate };
    let played = failing::run(&options, end, |line| println!("{line}"))?;
    for (path, text) in [(&command_line.json, played.json()), (&command_line.picture, chart::draw(&played))] {
        if let Some(path) = path {
            std::fs::write(path, text).map_err(ClusterError::io(path.clone()))?;
        }
    }
    Ok(played.wrongs.is_empty())
}

/// Measures configuration changes. Returns whether all were accepted.
fn measure_changes(
    proxies: usize,
    (cores, changes): (usize, usize),
    end: &AtomicBool,
) -> Result<bool, ClusterError> {
    let options = changes::Options { cores, proxies, changes };
    let played = changes::run(options, end, |nth, change| {
        println!("{nth:5} acknowledged in {:4} ms, {} behind", change.took.as_millis(), change.behind);
    })?;
    let (median, longest) = changes::median_and_longest(&played);
    let behind = played.iter().filter(|c| c.behind > 0).count();
    println!(
        "{} changes, {cores} core machines, {proxies} proxies: median {} ms, longest {} ms; {behind} acknowledged before all proxies applied them",
        played.len(),
        median.as_millis(),
        longest.as_millis()
    );
    Ok(played.len() == changes)
}

/// Runs soaks with consecutive seeds. Returns whether none had a violation.
fn run_soak(command_line: &CommandLine, end: &AtomicBool) -> Result<bool, ClusterError> {
    let (first, seeds) = command_line.soak.unwrap_or_default();
    let mut is_clean = true;
    for seed in first..first.saturating_add(seeds) {
        if end.load(Ordering::SeqCst) {
            break;
        }
        let options = soak::Options {
            seed,
            span: Duration::from_secs(command_line.seconds),
            proxies: command_line.proxies,
        };
        let report = soak::run(&options)?;
        println!(
            "seed {seed}: {} faults, {} changes, {} requests, {} served, {} left by their clients, {} violations",
            report.faults,
            report.changes,
            report.requests,
            report.served,
            report.left,
            report.violations.len()
        );
        let fullest = report.fullest.iter().map(|(tenant, share)| format!("{tenant} {share:.2}"));
        println!("  fullest windows of what is allowed: {}", fullest.collect::<Vec<_>>().join(", "));
        report.violations.iter().for_each(|violation| println!("  {violation}"));
        is_clean &= report.violations.is_empty();
    }
    Ok(is_clean)
}

/// Returns a flag that is set on SIGINT or SIGTERM.
fn shutdown_flag() -> Arc<AtomicBool> {
    let end = Arc::new(AtomicBool::new(false));
    let acknowledged = end.clone();
    std::thread::spawn(move || {
        use tokio::signal::unix::{signal, SignalKind};
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let (Ok(mut int), Ok(mut term)) =
                (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
            else {
                return;
            };
            loop {
                tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
                acknowledged.store(true, Ordering::SeqCst);
            }
        });
    });
    end
}

fn run_cluster(command_line: &CommandLine, end: &AtomicBool) -> Result<bool, ClusterError> {
    let plan =
        Plan { proxies: command_line.proxies, keep: command_line.keep, ..Plan::default() }.bound("graceS", 2);
    let cluster = LocalCluster::start(plan)?;
    let operator = Operator::new(cluster.controls());
    let configuration =
        TestConfiguration::new(HOST).route("/read/", "safe", "reader").route("/write/", "unsafe", "writer");
    let configuration =
        configuration.tenant("first", &["first-key"], 0.0).tenant("second", &["second-key"], 0.0);
    operator.must_put(&configuration)?;
    let servers: Result<Vec<Server>, ClusterError> = (0..command_line.servers)
        .map(|nth| {
            Server::start(
                &cluster,
                nth,
                if nth % 2 == 0 || command_line.servers == 1 { "reader" } else { "writer" },
            )
        })
        .collect();
    let servers = servers?;
    for server in &servers {
        server.register()?;
    }
    cluster.until_ready()?;
    let fronts: Vec<String> = cluster.fronts().iter().map(ToString::to_string).collect();
    println!("oatbank-local-cluster serves at {} in {}", fronts.join(", "), cluster.folder().display());
    let mut asks = Vec::new();
    for key in ["first-key", "second-key"] {
        asks.push(ClientRequest::get(HOST, "/read/1").key(key));
        if command_line.servers > 1 {
            asks.push(ClientRequest::post(HOST, "/write/1", "some words").key(key));
        }
    }
    let traffic = Traffic::start(&cluster.directories(), &asks, command_line.rate, false);
    let begun = Instant::now();
    let (mut all, mut lost) = (Count::default(), Vec::new());
    for second in 1.. {
        let next = begun + Duration::from_secs(second);
        while Instant::now() < next && !end.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let count = traffic.take();
        println!("{second:5} s {}", count.line());
        all.add(count);
        lost = cluster.lost();
        if !lost.is_empty()
            || end.load(Ordering::SeqCst)
            || command_line.seconds > 0 && second >= command_line.seconds
        {
            break;
        }
    }
    all.add(traffic.stop());
    println!("  all   {}", all.line());
    lost.iter().for_each(|program| println!("has ended by itself: {program}"));
    cluster.end();
    drop(servers);
    let served = all.ends[0] > 0 || end.load(Ordering::SeqCst);
    Ok(served && all.ends[2] == 0 && all.mixed == 0 && lost.is_empty())
}

fn main() -> ExitCode {
    let command_line = match command_line() {
        Ok(Some(command_line)) => command_line,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oatbank-local-cluster: {e}; see oatbank-local-cluster --help");
            return ExitCode::FAILURE;
        }
    };
    let end = shutdown_flag();
    let played = match command_line.changes {
        None if command_line.soak.is_some() => run_soak(&command_line, &end),
        Some(changes) => measure_changes(command_line.proxies, changes, &end),
        None if command_line.failing => run_failing_backend(&command_line, &end),
        None => run_cluster(&command_line, &end),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("oatbank-local-cluster: {e}");
            ExitCode::FAILURE
        }
    }
}
