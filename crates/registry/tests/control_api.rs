//! Operators' API calls over sockets with three voters on disk, and replication of their result to a follower.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{call, MAX_CONFIG_BYTES};
use oatbank_cluster_state::replication::{follow_once, FollowOptions, ReplicationPosition};
use oatbank_config_store::client::RegisterClient;
use oatbank_config_store::voter::{Voter, VoterOptions};
use oatbank_node_runtime::rpc::{self, RpcClient};
use oatbank_registry::control_api::ControlApi;
use oatbank_registry::control_server::ControlServer;
use oatbank_registry::quorum_client::QuorumClient;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

struct CoreMachine {
    control: SocketAddr,
    inner: SocketAddr,
    view: Rc<ClusterView>,
    folder: PathBuf,
}

impl Drop for CoreMachine {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn run_with_core_machine(name: &str, test: impl AsyncFnOnce(CoreMachine)) {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("outside-{name}-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { test(CoreMachine::start(folder).await).await });
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

impl CoreMachine {
    async fn start(folder: PathBuf) -> CoreMachine {
        let voters = [bind().await, bind().await, bind().await];
        let seeds: Vec<SocketAddr> = voters.iter().map(|(_, at)| *at).collect();
        for (listener, address) in voters {
            let folder = folder.join(address.port().to_string());
            let voter = Voter::start(VoterOptions {
                address,
                seeds: seeds.clone(),
                first_start: true,
                folder,
                tolerated_failures: 1,
            })
            .unwrap();
            spawn_local(voter.clone().run());
            spawn_local(rpc::serve(listener, voter.handler()));
        }
        let client = Rc::new(RegisterClient::new(1));
        while client.voters().is_empty() {
            client.discover_voters(&seeds, Duration::from_millis(800)).await;
        }
        let view = ClusterView::new(MonotonicClock::start(), 1500.0);
        let quorum = QuorumClient::new(view.clone(), client, Ipv4Addr::LOCALHOST);
        let ((outer, control), (listener, inner)) = (bind().await, bind().await);
        let api = ControlApi::new(view.clone(), quorum, vec!["east-1".into()], 0.0);
        spawn_local(ControlServer::new(api).serve(outer));
        let handler_view = view.clone();
        let handler: Rc<dyn Fn(u8, bytes::Bytes) -> rpc::ResponseFuture> = Rc::new(move |kind, body| {
            let handler_view = handler_view.clone();
            Box::pin(async move {
                match kind {
                    call::FOLLOW => handler_view.answer_bytes(body).await,
                    _ => Vec::new(),
                }
            })
        });
        spawn_local(rpc::serve(listener, handler));
        CoreMachine { control, inner, view, folder }
    }

    async fn open(&self, head: &str, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.control).await.unwrap();
        let length = body.len();
        let head =
            format!("{head} HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(body).await.unwrap();
        stream
    }

    /// Sends a request and returns the status and the body of the answer.
    async fn call(&self, head: &str, body: &[u8]) -> (u16, String) {
        let (mut stream, mut answer) = (self.open(head, body).await, Vec::new());
        stream.read_to_end(&mut answer).await.unwrap();
        let answer = String::from_utf8(answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
        (head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"), body.to_owned())
    }
}

/// Returns a configuration whose text has approximately this length when it is read back.
fn configuration_of_length(version: u64, built_on: &str, length: usize) -> String {
    let row = |n: usize| format!(r#"["r{n}","h","/{n}/{}/","safe",1000,400,2,2,"s"]"#, "x".repeat(200));
    let columns =
        r#"["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"]"#;
    let render = |rows: &str| {
        format!(
            r#"{{"version":"r{version}","routes":{{"columns":{columns},"rows":[{rows}]}},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"builtOn":{built_on}}}"#
        )
    };
    let (mut rows, mut n) = (row(0), 1);
    let frame_length = render("").len();
    while frame_length + rows.len() + 300 < length {
        rows = rows + "," + &row(n);
        n += 1;
    }
    let padding = length.saturating_sub(render(&rows).len() + 1);
    rows = rows.replacen("xxx/", &format!("{}xxx/", "y".repeat(padding)), 1);
    render(&rows)
}

async fn timed<T>(future: impl Future<Output = T>) -> (T, Duration) {
    let started_at = Instant::now();
    (future.await, started_at.elapsed())
}

#[test]
fn longest_configuration_is_replicated_and_a_longer_one_is_rejected_with_the_limit() {
    run_with_core_machine("longest", async |core| {
        // The text read back is close to the limit, which does not count `builtOn`.
        let text = configuration_of_length(3, "0", MAX_CONFIG_BYTES);
        assert!(text.len() <= MAX_CONFIG_BYTES && text.len() + 40 > MAX_CONFIG_BYTES, "{}", text.len());
        let ((status, problem), took) = timed(core.call("POST /settings/replace", text.as_bytes())).await;
        assert_eq!(status, 200, "{problem}");
        let ((status, read), read_took) = timed(core.call("GET /settings/read", b"")).await;
        assert_eq!(status, 200, "{read}");
        assert!(read.len() > MAX_CONFIG_BYTES - 100 && read.len() <= MAX_CONFIG_BYTES, "{}", read.len());

        let (follower, client) =
            (ClusterView::new(MonotonicClock::start(), 1500.0), RpcClient::new(core.inner));
        let options = FollowOptions { name: "p".into(), hold_ms: 300, ..FollowOptions::default() };
        let (_, follow_took) =
            timed(follow_once(&follower, &client, &mut ReplicationPosition::default(), options)).await;
        assert_eq!(follower.agreed_state().config, read, "the follower receives it in one call");
        println!("agreed in {took:?}, read in {read_took:?}, followed in {follow_took:?}");

        for length in [MAX_CONFIG_BYTES + 1000, 9 << 20, 20 << 20, 32 << 20] {
            let mut text = configuration_of_length(7, "\"r3\"", MAX_CONFIG_BYTES / 2);
            text.push_str(&" ".repeat(length - text.len()));
            let (status, problem) = core.call("POST /settings/replace", text.as_bytes()).await;
            assert!(
                status == 413 && problem.contains(&MAX_CONFIG_BYTES.to_string()),
                "{length}: {status} {problem}"
            );
        }
        // A short change that would make the configuration too long.
        let change = format!(
            r#"{{"version":"r7","builtOn":"r3","putItems":{{"services":{{"columns":["name"],"rows":[["{}"]]}}}}}}"#,
            "n".repeat(1000)
        );
        let (status, problem) = core.call("POST /settings/change", change.as_bytes()).await;
        assert!(status == 413 && problem.contains(&MAX_CONFIG_BYTES.to_string()), "{status} {problem}");
        assert_eq!(
            core.call("GET /settings/read", b"").await.1,
            read,
            "the previous configuration stays in force"
        );
    });
}

#[test]
fn duplicate_evacuation_is_ignored_if_its_caller_has_disconnected() {
    run_with_core_machine("gone", async |core| {
        assert_eq!(core.call("POST /empty/east-1/begin", b"").await.0, 200);
        assert_eq!(core.view.agreed_state().evacuated_zones, ["east-1"]);
        // As found in the socket of a machine that was paused: the command, followed by the end of its connection.
        for _ in 0..8 {
            drop(core.open("POST /empty/east-1/begin", b"").await);
        }
        assert_eq!(core.call("POST /empty/east-1/end", b"").await.0, 200);
        let edition = core.view.edition();
        for round_trip in [0, 0, 0, 5, 20, 40] {
            // The end of the connection follows the command by a round trip, since an interrupted link retransmits them in turn.
            let copy = core.open("POST /empty/east-1/begin", b"").await;
            tokio::time::sleep(Duration::from_millis(round_trip)).await;
            drop(copy);
        }
        // Any duplicate that is executed precedes this command, because all wait equally long.
        assert_eq!(core.call("POST /empty/east-1/end", b"").await.0, 200);
        assert_eq!(core.call("GET /settings/read", b"").await.0, 404);
        assert_eq!((core.view.edition(), core.view.agreed_state().evacuated_zones.len()), (edition, 0));
    });
}

#[test]
fn repeated_configuration_creates_no_edition() {
    run_with_core_machine("repeat", async |core| {
        let text = configuration_of_length(3, "0", 10_000);
        assert_eq!(core.call("POST /settings/replace", text.as_bytes()).await.0, 200);
        let edition = core.view.edition();
        for _ in 0..3 {
            assert_eq!(core.call("POST /settings/replace", text.as_bytes()).await.0, 200);
        }
        assert_eq!(core.view.edition(), edition);
    });
}
