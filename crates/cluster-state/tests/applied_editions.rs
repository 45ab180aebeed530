//! Who is known to act by an edition, and how soon: core machines and limiters in virtual time, with a way of some length
//! between any two of them.

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

/// Follows for ever over a way that takes so long. A limiter tells its row; a core machine wants each word, and says
/// where an order waits.
fn follows(
    from: &Rc<ClusterView>,
    teller: &Rc<ClusterView>,
    way: Duration,
    limiter: Option<&str>,
) -> JoinHandle<()> {
    let (from, teller) = (from.clone(), teller.clone());
    let limiter = limiter.map(str::to_owned);
    spawn_local(async move {
        let (mut place, mut heartbeat) = (ReplicationPosition::default(), 0);
        loop {
            let asked = from.now();
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
            let follow = FollowRequest {
                name: limiter.clone().unwrap_or_else(|| "core".into()),
                epoch: place.epoch,
                seen: place.seen,
                edition: from.edition(),
                every_change: core,
                hold_ms: if core { 300 } else { 600 },
                member,
                wants_prompt_acks: core && from.has_waiting_commands(),
                ..FollowRequest::default()
            };
            sleep(way).await;
            let update = teller.answer_follow(follow).await;
            sleep(way).await;
            place = ReplicationPosition { epoch: update.epoch, seen: update.seen };
            from.apply_update(asked, update);
        }
    })
}

struct Stage {
    core: Vec<Rc<ClusterView>>,
    sessions: Vec<JoinHandle<()>>,
}

/// Three core machines that follow each other, and limiters with their sessions spread over them, all long at work.
async fn cluster(way: Duration, limiters: usize) -> Stage {
    let clock = MonotonicClock::start();
    let new = || ClusterView::new(clock, 1500.0);
    let core: Vec<_> = (0..3).map(|_| new()).collect();
    for (from, to) in (0..3).flat_map(|a| (0..3).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        follows(&core[from], &core[to], way, None);
    }
    let session = |n: usize| follows(&new(), &core[n % 3], way, Some(&format!("edge-{n}")));
    let sessions = (0..limiters).map(session).collect();
    core[0].adopt_agreed(1, AgreedState::default());
    sleep(3000 * MS).await;
    Stage { core, sessions }
}

#[test]
fn an_order_is_known_to_act_everywhere_after_four_ways_and_no_sooner_than_it_does() {
    for way in [0, 1, 5, 20, 40, 60] {
        run(async move {
            let cluster = cluster(way * MS, 30).await;
            assert!(cluster.core[0].wait_until_applied(WITHIN, 1).await.is_empty());
            let begun = Instant::now();
            cluster.core[0].adopt_agreed(2, AgreedState::default());
            let limiters_behind = cluster.core[0].wait_until_applied(WITHIN, 2).await;
            let took = begun.elapsed();
            assert!(limiters_behind.is_empty(), "{way} ms: {limiters_behind:?} after {took:?}");
            assert!(took <= (7 * way + 25) * MS, "{way} ms: {took:?}");
            // The edition has to get there and the word of it back.
            assert!(took >= 4 * way * MS, "{way} ms: {took:?}");
        });
    }
}

#[test]
fn a_limiter_that_does_not_act_is_named_and_one_without_a_session_is_not_waited_for() {
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
fn words_that_change_nothing_are_gathered_as_ever_while_no_order_waits_and_while_one_does() {
    run(async {
        let cluster = cluster(MS, 6).await;
        let [here, there, _] = &cluster.core[..] else { panic!("three") };
        for wants_prompt_acks in [false, true] {
            let all = there.with(|table, _| (table.epoch(), table.sequence()));
            let follow = FollowRequest {
                name: "asks".into(),
                epoch: all.0,
                seen: all.1,
                edition: 1,
                every_change: true,
                hold_ms: 300,
                wants_prompt_acks,
                ..FollowRequest::default()
            };
            let begun = Instant::now();
            there.answer_follow(follow).await;
            assert!(begun.elapsed() >= 200 * MS, "{wants_prompt_acks}: {:?}", begun.elapsed());
        }
        assert!(!here.has_waiting_commands());
        let waiting = here.clone();
        let has_waiting_commands = spawn_local(async move { waiting.wait_until_applied(WITHIN, 9).await });
        tokio::task::yield_now().await;
        assert!(here.has_waiting_commands());
        has_waiting_commands.abort();
        assert!(has_waiting_commands.await.is_err() && !here.has_waiting_commands(), "a caller that leaves");
    });
}
