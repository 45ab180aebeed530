//! Which limiters are known to have applied an edition, and how soon. Runs core machines and limiters in virtual time, with a
//! fixed one-way latency between any two of them.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{AgreedState, FollowRequest, MemberRow};
use oatbank_cluster_state::replication::ReplicationPosition;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

const MS: Duration = Duration::from_millis(1);
const WITHIN: Duration = Duration::from_millis(400);

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Spawns a follower of `source` with this one-way latency. A limiter sends its own row. A core machine requests every
/// change, and prompt acknowledgements while a command waits there.
fn spawn_follower(
    from: &Rc<ClusterView>,
    source: &Rc<ClusterView>,
    latency: Duration,
    limiter: Option<&str>,
) -> JoinHandle<()> {
    let (from, source) = (from.clone(), source.clone());
    let limiter = limiter.map(str::to_owned);
    spawn_local(async move {
        let (mut position, mut heartbeat) = (ReplicationPosition::default(), 0);
        loop {
            let requested = from.now();
            heartbeat += 1;
            let member = limiter.clone().map(|name| MemberRow {
                name,
                incarnation: 1,
                heartbeat,
                state: 1,
                edition: from.edition(),
                ..MemberRow::default()
            });
            let core = member.is_none();
            let request = FollowRequest {
                name: limiter.clone().unwrap_or_else(|| "core".into()),
                epoch: position.epoch,
                seen: position.seen,
                edition: from.edition(),
                every_change: core,
                hold_ms: if core { 300 } else { 600 },
                member,
                wants_prompt_acks: core && from.has_waiting_commands(),
                ..FollowRequest::default()
            };
            sleep(latency).await;
            let update = source.answer_follow(request).await;
            sleep(latency).await;
            position = ReplicationPosition { epoch: update.epoch, seen: update.seen };
            from.apply_update(requested, update);
        }
    })
}

struct Cluster {
    core: Vec<Rc<ClusterView>>,
    sessions: Vec<JoinHandle<()>>,
}

/// Starts three core machines that follow each other, and limiters whose sessions are spread over them, and runs them for 3 s.
async fn cluster(latency: Duration, limiters: usize) -> Cluster {
    let clock = MonotonicClock::start();
    let new_view = || ClusterView::new(clock, 1500.0);
    let core: Vec<_> = (0..3).map(|_| new_view()).collect();
    for (from, to) in (0..3).flat_map(|a| (0..3).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        spawn_follower(&core[from], &core[to], latency, None);
    }
    let session = |n: usize| spawn_follower(&new_view(), &core[n % 3], latency, Some(&format!("edge-{n}")));
    let sessions = (0..limiters).map(session).collect();
    core[0].adopt_agreed(1, AgreedState::default());
    sleep(3000 * MS).await;
    Cluster { core, sessions }
}

#[test]
fn edition_is_confirmed_as_applied_after_at_least_four_one_way_latencies() {
    for latency in [0, 1, 5, 20, 40, 60] {
        run(async move {
            let cluster = cluster(latency * MS, 30).await;
            assert!(cluster.core[0].wait_until_applied(WITHIN, 1).await.is_empty());
            let begun = Instant::now();
            cluster.core[0].adopt_agreed(2, AgreedState::default());
            let limiters_behind = cluster.core[0].wait_until_applied(WITHIN, 2).await;
            let took = begun.elapsed();
            assert!(limiters_behind.is_empty(), "{latency} ms: {limiters_behind:?} after {took:?}");
            assert!(took <= (7 * latency + 25) * MS, "{latency} ms: {took:?}");
            // The edition has to reach the limiters, and their acknowledgements have to come back.
            assert!(took >= 4 * latency * MS, "{latency} ms: {took:?}");
        });
    }
}

#[test]
fn limiter_behind_is_named_and_one_without_a_session_is_not_waited_for() {
    run(async {
        let cluster = cluster(5 * MS, 6).await;
        cluster.sessions[4].abort();
        let begun = Instant::now();
        cluster.core[0].adopt_agreed(2, AgreedState::default());
        assert_eq!(cluster.core[0].wait_until_applied(WITHIN, 2).await, ["edge-4"]);
        assert_eq!(begun.elapsed(), WITHIN);
        sleep(2000 * MS).await;
        let begun = Instant::now();
        cluster.core[0].adopt_agreed(3, AgreedState::default());
        assert!(cluster.core[0].wait_until_applied(WITHIN, 3).await.is_empty());
        assert!(begun.elapsed() < 60 * MS);
    });
}

#[test]
fn changes_without_effect_are_batched_whether_or_not_a_command_waits() {
    run(async {
        let cluster = cluster(MS, 6).await;
        let [here, there, _] = &cluster.core[..] else { panic!("three core machines") };
        for wants_prompt_acks in [false, true] {
            let position_there = there.with(|table, _| (table.epoch(), table.sequence()));
            let request = FollowRequest {
                name: "follower".into(),
                epoch: position_there.0,
                seen: position_there.1,
                edition: 1,
                every_change: true,
                hold_ms: 300,
                wants_prompt_acks,
                ..FollowRequest::default()
            };
            let begun = Instant::now();
            there.answer_follow(request).await;
            assert!(begun.elapsed() >= 200 * MS, "{wants_prompt_acks}: {:?}", begun.elapsed());
        }
        assert!(!here.has_waiting_commands());
        let waiting = here.clone();
        let has_waiting_commands = spawn_local(async move { waiting.wait_until_applied(WITHIN, 9).await });
        tokio::task::yield_now().await;
        assert!(here.has_waiting_commands());
        has_waiting_commands.abort();
        assert!(
            has_waiting_commands.await.is_err() && !here.has_waiting_commands(),
            "a command whose caller leaves no longer waits"
        );
    });
}
