//! Scenario: a backend turns slow, fails and recovers while clients send bookings that must run at most once. Prints a
//! table row per interval and the checker's result at the end.

use crate::checker::{self, CheckResult, Execution, TryResult};
use crate::client::{try_with_id, ClientRequest, Try};
use crate::cluster::{LocalCluster, Plan, INNER_PROXY, INNER_REGISTRY};
use crate::error::ClusterError;
use crate::operator::{Operator, TestConfiguration};
use crate::server::{Behaviour, Server};
use crate::shell;
use crate::traffic::Traffic;
use crate::wait;
use miniserde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const HOST: &str = "halls.example";
const BOOK: &str = "booking";
const READ: &str = "calendar";
/// Number of servers of the booking service.
const BOOKING_SERVERS: usize = 4;
const READ_SERVERS: usize = 2;
const SLOTS: usize = 8;
const WORK: Duration = Duration::from_millis(16);
/// Timeout of a booking. It is shorter than the run time of a slow server.
const BOOKING_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay after the last request, until no request is outstanding.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// With the fault `duplicate`, one in this many bookings is sent twice.
const DUPLICATE_INTERVAL: usize = 40;

/// Phases of the faulty backend: start as a share of the run time, name and behaviour.
const PHASES: [(f64, &str, Behaviour); 4] = [
    (0.0, "calm", Behaviour::Serve),
    (0.2, "slow", Behaviour::Slow),
    (0.45, "failing", Behaviour::Fails),
    (0.7, "recovered", Behaviour::Serve),
];

/// Parameters of the scenario.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of the traffic.
    pub span: Duration,
    /// Interval between rows of the table.
    pub step: Duration,
    /// Bookings per second.
    pub rate: f64,
    /// Whether some bookings are sent to two proxies with the same id. This is a protocol violation that the checker must
    /// detect.
    pub duplicate: bool,
}

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Moment {
    /// End of the interval, in seconds from the start.
    pub at: f64,
    /// Phase of the faulty backend.
    pub phase: String,
    /// Each server's share of the bookings that were run.
    pub shares: Vec<f64>,
    /// Bookings whose clients finished in this interval: the sum of `answered`, `refused` and
    /// `unknown`.
    pub asked: u64,
    /// Bookings that servers ran.
    pub run: u64,
    /// Bookings answered by a server, or with status 500.
    pub answered: u64,
    /// Bookings whose clients were promised that they were not run.
    pub refused: u64,
    /// Bookings whose outcome is unknown to their clients.
    pub unknown: u64,
    /// Each proxy's verdict on the faulty backend; empty if proxies do not report verdicts.
    pub verdicts: Vec<String>,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// Ids of the booking servers, the faulty one first.
    pub servers: Vec<String>,
    /// Rows of the table.
    pub moments: Vec<Moment>,
    /// Totals of bookings: asked, run, answered, refused, unknown, and the number of tries whose outcome the shell could
    /// report.
    pub totals: Vec<u64>,
    /// One line for each violation.
    pub wrongs: Vec<String>,
    /// Number of reads served, and of all reads.
    pub reads: Vec<u64>,
}

fn acknowledged(one: &Try) -> TryResult {
    TryResult { id: one.id.clone(), status: one.status(), by: one.served_by() }
}

fn phase(share: f64) -> (&'static str, Behaviour) {
    let phase = PHASES.iter().rev().find(|(from, _, _)| share >= *from).unwrap_or(&PHASES[0]);
    (phase.1, phase.2)
}

/// Returns a proxy's verdict on a server, or `None` if the proxy does not report verdicts.
fn verdict(cluster: &LocalCluster, proxy: usize, id: &str) -> Option<String> {
    let table = shell::ask(cluster.inner(proxy, INNER_PROXY), &["verdicts"])?;
    // Servers with the verdict `well` have no row.
    Some(table.cell(id, "verdict").unwrap_or("well").to_owned())
}

/// Returns the header line of the table.
pub fn table_header(servers: &[String]) -> String {
    let names: Vec<String> = servers.iter().map(|s| format!("{s:>10}")).collect();
    format!(
        "   s  phase      {}   asked    run answered refused unknown  verdicts on {}",
        names.join(" "),
        servers.first().map_or("", String::as_str)
    )
}

/// Formats one row of the table.
pub fn table_row(m: &Moment) -> String {
    let shares: Vec<String> = m.shares.iter().map(|s| format!("{:>9.0}%", 100.0 * s)).collect();
    format!(
        "{:>4.0}  {:<9}  {}  {:>6} {:>6} {:>8} {:>7} {:>7}  {}",
        m.at,
        m.phase,
        shares.join(" "),
        m.asked,
        m.run,
        m.answered,
        m.refused,
        m.unknown,
        if m.verdicts.is_empty() { "-".to_owned() } else { m.verdicts.join(", ") }
    )
}

/// Runs the scenario and passes each line of output to `tell`.
///
/// # Errors
/// Returns an error if the system does not start. Programs that exit by themselves are reported as violations.
pub fn run(options: &Options, end: &AtomicBool, mut tell: impl FnMut(&str)) -> Result<Played, ClusterError> {
    let cluster = LocalCluster::start(Plan::default().bound("graceS", 2))?;
    let operator = Operator::new(cluster.controls());
    operator.must_put(
        &TestConfiguration::new(HOST).route("/book/", "unsafe", BOOK).route("/read/", "safe", READ),
    )?;
    let start = |nth: usize| {
        let service = if nth < BOOKING_SERVERS { BOOK } else { READ };
        Server::with(&cluster, nth, service, SLOTS, WORK)
    };
    let servers: Vec<Server> = (0..BOOKING_SERVERS + READ_SERVERS).map(start).collect::<Result<_, _>>()?;
    for server in &servers {
        server.register()?;
    }
    cluster.until_ready()?;
    let (booking_servers, _) = servers.split_at(BOOKING_SERVERS);
    let names: Vec<String> = booking_servers.iter().map(|s| s.id().to_owned()).collect();
    tell(&table_header(&names));
    let booking = ClientRequest { within: BOOKING_TIMEOUT, ..ClientRequest::post(HOST, "/book/1", "a hall") };
    let bookings = Traffic::start(&cluster.directories(), std::slice::from_ref(&booking), options.rate, true);
    let reads = Traffic::start(
        &cluster.directories(),
        &[ClientRequest::get(HOST, "/read/1")],
        options.rate / 2.0,
        false,
    );

    let begun = Instant::now();
    let mut seen = checker::Observations::default();
    let mut moments: Vec<Moment> = Vec::new();
    let mut counted = vec![0; BOOKING_SERVERS];
    let mut duplicated: Vec<String> = Vec::new();
    let mut has_verdicts = true;
    while begun.elapsed() < options.span && !end.load(Ordering::SeqCst) {
        let (name, behaviour) = phase(begun.elapsed().as_secs_f64() / options.span.as_secs_f64());
        booking_servers[0].set_behaviour(behaviour);
        wait::moment(begun + options.step * (moments.len() as u32 + 1));
        let count = bookings.take();
        let now: Vec<usize> =
            booking_servers.iter().map(|s| s.seen().iter().filter(|seen| seen.ran).count()).collect();
        let run: Vec<u64> = now.iter().zip(&counted).map(|(now, before)| (now - before) as u64).collect();
        counted = now;
        let all: u64 = run.iter().sum();
        let requests: Vec<Vec<TryResult>> =
            count.attempts.iter().map(|(_, attempts)| attempts.iter().map(acknowledged).collect()).collect();
        let part =
            checker::check(&checker::Observations { requests: requests.clone(), ..Default::default() });
        let mut verdicts = Vec::new();
        if has_verdicts {
            verdicts = cluster.proxies().filter_map(|p| verdict(&cluster, p, &names[0])).collect();
            has_verdicts = !verdicts.is_empty();
        }
        let moment = Moment {
            at: begun.elapsed().as_secs_f64(),
            phase: name.to_owned(),
            shares: run.iter().map(|n| *n as f64 / all.max(1) as f64).collect(),
            asked: part.asked as u64,
            run: all,
            answered: part.answered as u64,
            refused: part.refused as u64,
            unknown: part.unknown as u64,
            verdicts,
        };
        tell(&table_row(&moment));
        moments.push(moment);
        seen.requests.extend(requests);
        if options.duplicate && seen.requests.len() / DUPLICATE_INTERVAL > duplicated.len() {
            let fronts = cluster.fronts();
            let first = crate::client::try_at(fronts[0], &booking);
            let second = try_with_id(fronts[1], &booking, &first.id);
            seen.requests.push(vec![acknowledged(&first)]);
            duplicated.push(second.id);
        }
    }
    let more = bookings.stop();
    seen.requests
        .extend(more.attempts.iter().map(|(_, attempts)| attempts.iter().map(acknowledged).collect()));
    let reads = reads.stop();
    std::thread::sleep(SETTLE_TIME);

    // Asks the core about the tries whose outcome the clients do not know.
    let unsure = |t: &&TryResult| t.by.is_none() && t.status != 500 && !checker::is_promise(t.status);
    let unsure: Vec<String> =
        seen.requests.iter().flatten().filter(unsure).map(|t| format!("outcome {}", t.id)).collect();
    let core = cluster.inner(cluster.cores().start, INNER_REGISTRY);
    for table in shell::ask_all(core, &unsure) {
        if let Some((id, said)) = table.title.split_once(": ") {
            let said = said.split([';', '(']).next().unwrap_or_default().trim().to_owned();
            seen.said.insert(id.to_owned(), said);
        }
    }
    // Prints the system's report on the duplicated tries.
    let duplicated: Vec<String> = duplicated.iter().map(|id| format!("outcome {id}")).collect();
    shell::ask_all(core, &duplicated).iter().for_each(|table| tell(&table.title));
    for server in booking_servers {
        let ran = server.seen().into_iter().filter(|s| s.ran);
        seen.runs.extend(ran.map(|s| Execution { id: s.try_id, server: server.id().to_owned() }));
    }
    let lost = cluster.lost();
    let mut found = checker::check(&seen);
    found.wrongs.extend(lost.iter().map(|program| format!("has ended by itself: {program}")));
    for said in count_outcomes(&seen.said) {
        tell(&said);
    }
    tell(&format_result(&found));
    cluster.end();
    let totals = [found.asked, found.run, found.answered, found.refused, found.unknown, found.settled];
    Ok(Played {
        servers: names,
        moments,
        totals: totals.iter().map(|n| *n as u64).collect(),
        wrongs: found.wrongs,
        reads: vec![reads.ends[0], reads.all()],
    })
}

/// Counts how often the shell gave each answer, one line per answer.
fn count_outcomes(said: &BTreeMap<String, String>) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    said.values().for_each(|word| *counts.entry(word).or_default() += 1);
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    counts
        .into_iter()
        .map(|(word, n)| format!("outcome reported by the system for {n} tries: {word}"))
        .collect()
}

/// Formats the checker's result.
fn format_result(found: &CheckResult) -> String {
    let mut text = format!(
        "{} bookings: {} run, {} answered, {} refused, {} unknown to clients, {} settled afterwards",
        found.asked, found.run, found.answered, found.refused, found.unknown, found.settled
    );
    for wrong in &found.wrongs {
        text += &format!("\nWRONG {wrong}");
    }
    text + match found.wrongs.is_empty() {
        true => "\nchecker: each ran once at most, no promise was broken, no answer was another's",
        false => "\nchecker: FAILED",
    }
}

impl Played {
    /// Returns the faulty backend's share of the bookings run in a phase.
    pub fn share(&self, phase: &str) -> f64 {
        let of = || self.moments.iter().filter(|m| m.phase == phase);
        let run: u64 = of().map(|m| m.run).sum();
        let own: f64 = of().filter_map(|m| Some(m.shares.first()? * m.run as f64)).sum();
        own / run.max(1) as f64
    }

    /// Returns the results as JSON.
    pub fn json(&self) -> String {
        miniserde::json::to_string(self) + "\n"
    }
}
