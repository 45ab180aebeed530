//! What a core machine answers when it is cut off from the others, or wakes from a freeze: rows of the table in
//! `docs/design/control.md`. Scripted peers, a fake clock.

use assert_matches::assert_matches;
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{AgreedState, FollowRequest, MemberRow, StateUpdate};
use oatbank_cluster_state::state::{server_state, StateTable, SESSION_TIMEOUT};
use oatbank_config_model::ApiCall;
use oatbank_config_store::client::RegisterClient;
use oatbank_config_store::messages::LocalState;
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_registry::control_api::ControlApi;
use oatbank_registry::operator_command::{OperatorCommand, Rejection};
use oatbank_registry::quorum_client::QuorumClient;
use prost::Message;
use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const T: f64 = 1500.0;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 13, 77, n)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Core machine 1 of so many. Nobody listens at the others' addresses: they are scripted.
struct One {
    view: Rc<ClusterView>,
    quorum: Rc<QuorumClient>,
    api: Rc<ControlApi>,
}

impl One {
    fn of(voters: u8) -> One {
        let view = ClusterView::new(MonotonicClock::start(), T);
        let client = Rc::new(RegisterClient::new(1));
        let founders = (1..=voters).map(|n| format!("{}:9", ip(n))).collect();
        client.learn(&LocalState { founders, ..LocalState::default() });
        let quorum = QuorumClient::new(view.clone(), client, ip(1));
        let api = ControlApi::new(view.clone(), quorum.clone(), vec!["z".into()], 2.0);
        One { view, quorum, api }
    }

    /// A majority was asked this moment.
    fn touch(&self) {
        self.view.confirm(self.view.now(), self.view.edition());
    }

    /// Core machine `n` says that it took in all that there is here.
    async fn follows(&self, n: u8) {
        let (epoch, seen) = self.view.with(|table, _| (table.epoch(), table.sequence()));
        let core_ip = u32::from(ip(n));
        let follow = FollowRequest {
            name: n.to_string(),
            epoch,
            seen,
            every_change: true,
            core_ip,
            ..FollowRequest::default()
        };
        self.view.answer_follow(follow).await;
    }

    async fn heartbeat(&self, id: &str, call_count: u64, state: &str) -> u16 {
        let body = format!(
            r#"{{"service":"s","address":"10.1.0.1:80","zone":"z","serverState":"{state}","callCount":{call_count}}}"#
        );
        self.api.carry_out(ApiCall::Heartbeat(id.into()), body.as_bytes()).await.status
    }

    async fn leave(&self, id: &str) -> u16 {
        self.api.carry_out(ApiCall::Leave(id.into()), &[]).await.status
    }

    async fn lookup(&self) -> u16 {
        let (name, region, zone) = ("h".into(), "r".into(), "z".into());
        self.api.carry_out(ApiCall::Lookup { name, region, zone }, &[]).await.status
    }

    fn server(&self, id: &str) -> Option<(u32, bool, u64)> {
        self.view.with(|table, now| {
            let mut rows = table.servers(now);
            rows.find(|(row, _)| row.id == id).map(|(row, _)| (row.state, row.timed_out, row.call_count))
        })
    }
}

fn on_a_fake_clock(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_beat_is_acknowledged_for_no_longer_than_the_verdict_elsewhere_allows() {
    // A server beats every 1.5 s; the last beat that others heard came `ahead` before the cut. Its later ones are
    // acknowledged here while this machine believes to be in touch: until 1.5 s after what others confirmed last, which a
    // held answer may bring 0.3 s after the cut.
    for ahead in (0..=1700).step_by(50) {
        on_a_fake_clock(async move {
            let one = One::of(3);
            sleep(ms(ahead)).await;
            let cut = Instant::now();
            let heard_elsewhere = cut - ms(ahead);
            sleep(ms(300)).await;
            one.touch();
            let mut refused = None;
            for n in 1..9u64 {
                let at = heard_elsewhere + ms(1500 * n);
                if at < Instant::now() {
                    continue;
                }
                tokio::time::sleep_until(at).await;
                if one.heartbeat("i", n, "ready").await == 503 {
                    refused = Some(at);
                    break;
                }
            }
            let silence = StateTable::new(1, T, 0.0).server_timeout();
            let elsewhere = refused.expect("refused at last") - heard_elsewhere;
            // What is left is for a caller that met a second machine that says nothing: it is given a second.
            assert!(
                elsewhere + ms(1000) <= Duration::from_secs_f64(silence / 1000.0),
                "{ahead}: {elsewhere:?}"
            );
        });
    }
}

#[test]
fn who_leaves_is_acknowledged_by_a_majority_and_not_by_one_that_is_cut_off_as_well() {
    on_a_fake_clock(async {
        for leave in [false, true] {
            let one = One::of(5);
            one.touch();
            assert_eq!(one.heartbeat("i", 1, "ready").await, 200);
            let say = || async {
                match leave {
                    true => one.leave("i").await,
                    false => one.heartbeat("i", 2, "draining").await,
                }
            };
            // Machine 2 is cut off with this one, and the only one that hears it.
            let (status, ()) = tokio::join!(say(), async {
                sleep(ms(20)).await;
                one.follows(2).await;
            });
            assert_eq!(status, 503, "two of five");
            // A limiter, or a core machine that has no vote, makes no majority.
            let (status, ()) = tokio::join!(say(), async {
                sleep(ms(20)).await;
                one.follows(77).await;
            });
            assert_eq!(status, 503);
            one.touch();
            let (status, ()) = tokio::join!(say(), async {
                sleep(ms(20)).await;
                one.follows(3).await;
            });
            assert_eq!(status, 200, "three of five");
            // Sent again after its answer was lost.
            assert_eq!(say().await, 200);
            // Machine 3 has started anew: what it had taken in is gone.
            let anew = FollowRequest {
                name: "3".into(),
                every_change: true,
                core_ip: u32::from(ip(3)),
                ..FollowRequest::default()
            };
            one.view.answer_follow(anew).await;
            assert_eq!(say().await, 503);
        }
    });
}

#[test]
fn a_word_that_was_heard_before_the_cut_counts_if_a_majority_had_it() {
    on_a_fake_clock(async {
        let one = One::of(3);
        one.touch();
        one.heartbeat("i", 1, "ready").await;
        one.leave("i").await;
        one.follows(2).await;
        // Out of touch for long: it is no less true.
        sleep(ms(20_000)).await;
        assert_eq!(one.leave("i").await, 200);
        assert_eq!(one.heartbeat("j", 1, "ready").await, 503, "others would take it for dead");
    });
}

#[test]
fn orders_are_refused_at_once_by_who_is_cut_off_and_told_apart_from_doubt() {
    on_a_fake_clock(async {
        let one = One::of(3);
        let order = OperatorCommand::Evacuate { zone: "z".into(), begin: true };
        // Never in touch yet, or cut off a moment ago: a majority may answer in time.
        for within in [0, 2900] {
            if within > 0 {
                one.touch();
                sleep(ms(within)).await;
            }
            let asked = Instant::now();
            let refusal = one.quorum.execute(&order).await;
            assert_matches!(
                refusal,
                Err(Rejection { kind: ErrorKind::NotReady, .. }),
                "nothing was proposed"
            );
            assert!(asked.elapsed() >= ms(1000) && asked.elapsed() <= ms(1500), "{:?}", asked.elapsed());
        }
        sleep(ms(200)).await;
        let asked = Instant::now();
        assert_matches!(one.quorum.execute(&order).await, Err(Rejection { kind: ErrorKind::NotReady, .. }));
        assert_eq!(asked.elapsed(), ms(0));
        // Reading is refused as well, inside the caller's second; what is known here may be old.
        one.view.adopt_agreed(3, AgreedState { config: "{}".into(), ..AgreedState::default() });
        let asked = Instant::now();
        assert_matches!(one.quorum.newest().await, Err(Rejection { kind: ErrorKind::OutcomeUnknown, .. }));
        assert!(asked.elapsed() < ms(1000), "{:?}", asked.elapsed());
    });
}

fn proxy(name: &str, incarnation: u64, heartbeat: u64) -> MemberRow {
    let front = format!("10.9.9.9:{incarnation}");
    MemberRow {
        name: name.into(),
        incarnation,
        heartbeat,
        front,
        state: 1,
        zone: "z".into(),
        ..MemberRow::default()
    }
}

#[test]
fn the_directory_names_limiters_that_were_heard_and_no_others() {
    on_a_fake_clock(async {
        let one = One::of(3);
        one.view.change(|table, now| table.merge_member(now, &proxy("own", 1, 1)));
        // Heard by another machine 0.9 s before it told of it.
        let told = StateUpdate {
            members: vec![MemberRow { age_ms: 900, ..proxy("far", 2, 1) }],
            ..StateUpdate::default()
        };
        one.view.apply_update(one.view.now(), told);
        let named = || {
            let fronts =
                one.view.with(|table, now| oatbank_registry::directory::fronts(table.members(now), "z", "r"));
            fronts.len()
        };
        assert_eq!(named(), 2);
        sleep(ms(SESSION_TIMEOUT as u64 - 900)).await;
        assert_eq!(named(), 1, "what was heard through others grows old with the cut");
        sleep(ms(900)).await;
        assert_eq!(named(), 0);
        assert_eq!(one.lookup().await, 503, "the client asks another");
    });
}

#[test]
fn who_is_cut_off_takes_nobody_for_ended_whom_it_could_not_hear() {
    on_a_fake_clock(async {
        let one = One::of(3);
        one.view.change(|table, now| {
            table.merge_member(now, &proxy("far", 2, 1));
            table.merge_server(now, &oatbank_registry::heartbeat::parse("i", br#"{"service":"s","address":"10.1.0.1:80","zone":"z","serverState":"ready","callCount":1}"#).unwrap())
        });
        sleep(ms(300)).await;
        one.touch();
        // In touch for another 1.5 s, as far as it knows; the session's end is 1.7 s after its last word.
        let expired = || one.view.with(|table, now| table.members(now).any(|(row, _)| row.expired));
        for _ in 0..100 {
            sleep(ms(200)).await;
            let judges = one.view.confirmed_at();
            one.view.change(|table, now| table.expire(now, judges));
            assert!(!expired() && one.server("i") == Some((server_state::READY, false, 1)));
        }
        // In touch again, and still nothing of them.
        one.touch();
        let judges = one.view.confirmed_at();
        one.view.change(|table, now| table.expire(now, judges));
        assert!(expired() && one.server("i") == Some((server_state::READY, true, 1)));
    });
}

#[test]
fn who_wakes_from_a_freeze_takes_no_old_word_for_a_new_one_whatever_runs_first() {
    on_a_fake_clock(async {
        for pulse_first in [false, true] {
            let one = One::of(3);
            one.view.tick();
            one.touch();
            assert_eq!(one.heartbeat("i", 1, "ready").await, 200);
            one.view.change(|table, now| table.merge_member(now, &proxy("p", 8, 1)));
            sleep(ms(200)).await;
            one.view.tick();
            sleep(ms(20_000)).await;
            if pulse_first {
                assert!(one.view.tick().is_some());
            }
            // The question to a majority may have been answered first.
            one.touch();
            assert_eq!(one.heartbeat("i", 2, "ready").await, 503);
            assert_eq!(one.server("i"), Some((server_state::READY, false, 1)), "not heard now");
            let order = OperatorCommand::Evacuate { zone: "z".into(), begin: true };
            let asked = Instant::now();
            assert_matches!(
                one.quorum.execute(&order).await,
                Err(Rejection { kind: ErrorKind::NotReady, .. })
            );
            assert_eq!(asked.elapsed(), ms(0), "in touch again, and yet no old order is tried");
            // A session's word of an earlier life, and a core machine's call.
            let old = FollowRequest {
                name: "p".into(),
                member: Some(proxy("p", 7, 9)),
                ..FollowRequest::default()
            };
            assert!(one.view.answer_bytes(old.encode_to_vec().into()).await.is_empty());
            assert!(one.view.with(|table, now| table.members(now).all(|(row, _)| row.incarnation == 8)));
            // That a server drains is no less true for being old.
            one.heartbeat("i", 2, "draining").await;
            assert_eq!(one.server("i"), Some((server_state::DRAINING, false, 2)));
            // What lay in the sockets has been read.
            one.view.tick();
            for _ in 0..6 {
                sleep(ms(200)).await;
                assert!(one.view.tick().is_none());
            }
            one.touch();
            assert_eq!(one.heartbeat("j", 1, "ready").await, 200);
        }
    });
}

#[test]
fn news_that_lay_in_a_socket_are_as_old_as_they_are() {
    on_a_fake_clock(async {
        let one = One::of(3);
        let asked = one.view.now();
        sleep(ms(20_000)).await;
        // Another machine's news were read first: this limiter has begun anew meanwhile.
        one.view
            .change(|table, now| table.merge_member(now, &MemberRow { age_ms: 5000, ..proxy("p", 8, 1) }));
        // Heard of while this machine stood still; the answer was held for 0.3 s.
        let row = MemberRow { age_ms: 100, ..proxy("p", 7, 5) };
        let update = StateUpdate {
            held_ms: 300,
            confirmed_ago: Some(10),
            members: vec![row, proxy("q", 9, 1)],
            ..StateUpdate::default()
        };
        one.view.apply_update(asked, update);
        assert!(!one.view.in_touch());
        one.view.with(|table, now| {
            for (row, ago) in table.members(now) {
                assert!(row.incarnation != 7, "a life that was heard later stays");
                assert!(row.name == "p" || ago >= 18_900.0, "{}: {ago}", row.name);
            }
        });
        assert_eq!(one.lookup().await, 503);
    });
}
