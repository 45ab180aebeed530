//! What hundreds of changes cost the store: three voters as processes of their own, one of which is killed before the
//! changes and started again after them.
//!
//! `cargo run --release -p oatbank-benches --bin changes [CHANGES] [BYTES]`; without, 1,000 of 64 KiB, of 1 MB and of the
//! longest configuration.

use oatbank_cluster_state::messages::MAX_CONFIG_BYTES;
use oatbank_config_store::client::{request_local_state, ChosenValue, RegisterClient};
use oatbank_config_store::messages::ProposalNumber;
use oatbank_config_store::storage::StateFile;
use oatbank_config_store::voter::{Voter, VoterOptions};
use oatbank_node_runtime::rpc::{self, RpcClient};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

const WITHIN: Duration = Duration::from_millis(1500);

fn run_here<T>(what: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, what)
}

/// A voter's process: its place among the addresses, whether it founds, its folder, the addresses.
fn vote(terms: &[String]) {
    let at: usize = terms[0].parse().expect("a place");
    let seeds: Vec<SocketAddr> = terms[3..].iter().map(|a| a.parse().expect("an address")).collect();
    let folder = PathBuf::from(&terms[2]);
    run_here(async {
        let listener = tokio::net::TcpListener::bind(seeds[at]).await.expect("its address");
        let terms = VoterOptions {
            address: seeds[at],
            seeds,
            first_start: terms[1] == "first",
            folder,
            tolerated_failures: 1,
        };
        let voter = Voter::start(terms).expect("its disk");
        spawn_local(voter.clone().run());
        spawn_local(voter.clone().maintain_voters());
        rpc::serve(listener, voter.handler()).await;
    });
}

fn start(at: usize, first: bool, folder: &Path, addresses: &[SocketAddr]) -> Child {
    let mut command = Command::new(std::env::current_exe().expect("itself"));
    command.arg("vote").arg(at.to_string()).arg(if first { "first" } else { "again" });
    command.arg(folder.join(at.to_string())).args(addresses.iter().map(ToString::to_string));
    command.stdout(std::process::Stdio::null()).spawn().expect("a voter")
}

fn status_kb(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find(|l| l.starts_with(field)).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

fn file_mb(folder: &Path, at: usize) -> f64 {
    let file = std::fs::metadata(folder.join(at.to_string()).join("promptbook.redb")).expect("its file");
    file.len() as f64 / 1e6
}

async fn held(link: &RpcClient) -> Option<u64> {
    let here = request_local_state(link, ProposalNumber::default(), Duration::from_millis(300)).await?;
    Some(here.record.map_or(0, |record| record.edition))
}

async fn change(client: &RegisterClient, n: usize, bytes: usize) -> Duration {
    let began = Instant::now();
    let next = |_: Option<&[u8]>, _: u64| Ok::<_, Infallible>(vec![n as u8; bytes]);
    let mut tries = 1;
    while client.change(next, WITHIN).await.is_err() {
        tries += 1;
        assert!(tries < 100, "no majority");
    }
    began.elapsed()
}

async fn measure(changes: usize, bytes: usize, folder: &Path) {
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().expect("an address")).collect();
    drop(listeners);
    let mut voters: Vec<Child> = (0..3).map(|at| start(at, true, folder, &addresses)).collect();
    let client = RegisterClient::new(1);
    while client.voters().is_empty() {
        client.discover_voters(&addresses, Duration::from_millis(300)).await;
    }
    change(&client, 0, bytes).await;
    voters[2].kill().and_then(|()| voters[2].wait()).expect("a kill");
    let began = Instant::now();
    let mut times = Vec::with_capacity(changes);
    let mut largest = 0f64;
    for n in 0..changes {
        times.push(change(&client, n, bytes).await.as_secs_f64() * 1e3);
        largest = largest.max(file_mb(folder, 0));
    }
    let all = began.elapsed().as_secs_f64();
    times.sort_by(f64::total_cmp);
    println!("{changes} changes of {bytes} bytes in {all:.1} s with one of three voters away");
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("  a change: median {:.1} ms, 99 of 100 {:.1} ms, longest {:.1} ms", at(0.5), at(0.99), at(1.0));

    let began = Instant::now();
    voters[2] = start(2, false, folder, &addresses);
    let link = RpcClient::new(addresses[2]);
    while held(&link).await.is_none() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let answers = began.elapsed();
    let fresh = RegisterClient::new(2);
    while fresh.voters().is_empty() {
        fresh.discover_voters(&addresses[2..], Duration::from_millis(300)).await;
    }
    let ChosenValue { edition, value } = fresh.read(WITHIN).await.expect("a majority");
    // One whose end was not known was made again.
    assert!(edition > changes as u64 && value.is_some_and(|value| value.len() == bytes), "edition {edition}");
    let read = began.elapsed();
    // A change goes to whom there is a connection; to one that was away it is made by the first of them.
    let (changed, mut more) = (Instant::now(), 0);
    while held(&link).await < Some(edition + 1) {
        change(&client, changes + more, bytes).await;
        more += 1;
        assert!(more < 100, "it never catches up");
    }
    println!(
        "  started again: it votes after {:.1} ms; whoever asks by it has the newest after {:.1} ms; it holds the newest \
         itself after {more} changes more, {:.1} ms",
        answers.as_secs_f64() * 1e3,
        read.as_secs_f64() * 1e3,
        changed.elapsed().as_secs_f64() * 1e3
    );
    let peaks: Vec<u64> = voters.iter().map(|voter| status_kb(voter.id(), "VmHWM:") / 1024).collect();
    let files: Vec<String> = (0..3).map(|at| format!("{:.1}", file_mb(folder, at))).collect();
    println!("  memory at its peak {peaks:?} MiB; files {} MB, {largest:.1} at most", files.join(", "));
    for voter in &mut voters {
        voter.kill().and_then(|()| voter.wait()).expect("a kill");
    }
    let began = Instant::now();
    let opened = StateFile::open(&folder.join("0")).expect("whole").expect("there");
    let length = opened.record.map_or(0, |record| record.value.len());
    println!(
        "  read from the disk after a kill: {length} bytes in {:.1} ms",
        began.elapsed().as_secs_f64() * 1e3
    );
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "vote") {
        return vote(&words[1..]);
    }
    let number = |at: usize| words.get(at).map(|word| word.parse::<usize>().expect("a number"));
    let changes = number(0).unwrap_or(1000);
    let sizes = number(1).map_or_else(|| vec![64 << 10, 1_000_000, MAX_CONFIG_BYTES], |bytes| vec![bytes]);
    for bytes in sizes {
        let folder = std::env::temp_dir().join(format!("changes-{}-{bytes}", std::process::id()));
        run_here(measure(changes, bytes, &folder));
        std::fs::remove_dir_all(&folder).expect("its folder");
    }
}
