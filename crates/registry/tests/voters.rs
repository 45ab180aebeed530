//! A registry whose known voters have been replaced, with voters on disk and over sockets.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_config_store::client::RegisterClient;
use oatbank_config_store::messages::VoterId;
use oatbank_config_store::proposer::VoterChange;
use oatbank_config_store::voter::{Voter, VoterOptions};
use oatbank_node_runtime::rpc;
use oatbank_registry::quorum_client::QuorumClient;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(800);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the registry has to find the present voters: a few of its checks.
const FOUND_WITHIN: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A store process, as a thread of its own. Dropping it ends the process with all its connections.
struct Store {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    fn start(listener: TcpListener, seeds: Vec<SocketAddr>, folder: &Path) -> Store {
        let address = listener.local_addr().unwrap();
        let folder = folder.join(address.port().to_string());
        let (stop, stopped) = channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let options =
                    VoterOptions { address, seeds, first_start: true, folder, tolerated_failures: 1 };
                let voter = Voter::start(options).unwrap();
                spawn_local(voter.clone().run());
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                spawn_local(rpc::serve(listener, voter.handler()));
                let wait = move || stopped.recv();
                let _ = tokio::task::spawn_blocking(wait).await;
            });
        });
        Store { stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn client(seeds: &[SocketAddr]) -> Rc<RegisterClient> {
    let client = Rc::new(RegisterClient::new(1));
    while client.voters().is_empty() {
        client.discover_voters(seeds, DISCOVERY_TIMEOUT).await;
    }
    client
}

/// Guards against a registry that asks replaced voters for good: it knows four voters, of which one is removed and another
/// one ends before it reads again, while other core machines keep confirming its state.
#[test]
fn registry_finds_the_present_voters_while_others_confirm_its_state() {
    let name = format!("voters-{}", std::process::id());
    let folder = Folder(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name));
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            listener
        })
        .collect();
    let seeds: Vec<SocketAddr> = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let start = |listener| Some(Store::start(listener, seeds.clone(), &folder.0));
    let mut stores: Vec<Option<Store>> = listeners.into_iter().map(start).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let view = ClusterView::new(MonotonicClock::start(), 1500.0);
        let register = client(&seeds).await;
        let registry = QuorumClient::new(view.clone(), register.clone(), Ipv4Addr::LOCALHOST);
        registry.newest().await.expect("a majority of four");
        assert_eq!(register.voters_count(), 4);

        // The first machine leaves in order, the second one ends.
        let other = client(&seeds).await;
        let (configuration, responses) = other.poll_voters().await;
        let address = seeds[0].to_string();
        let leaving = VoterId { disk_id: responses[&address].disk_id, address };
        let change = VoterChange::RemoveVoters(vec![leaving], configuration.proposed_in);
        assert!(other.change_voters(change, CHANGE_TIMEOUT).await);
        stores[0] = None;
        stores[1] = None;

        let until = Instant::now() + FOUND_WITHIN;
        while registry.newest().await.is_err() {
            assert!(Instant::now() < until, "asks {} voters for good", register.voters_count());
            view.confirm(view.now(), view.edition());
            assert!(view.in_touch());
            // The settings may name machines that are gone.
            registry.rediscover_voters(&seeds[..2]).await;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        assert_eq!(register.voters_count(), 3);
    });
}
