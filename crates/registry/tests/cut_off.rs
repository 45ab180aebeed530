//! Answers of a core machine that is cut off from the others or resumes after a pause, as listed in the table of
//! `docs/design/control.md`. Peers are scripted and the clock is paused.

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

const HEARTBEAT_INTERVAL: f64 = 1500.0;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 13, 77, n)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Core machine 1. The others are scripted; nothing listens at their addresses.
struct CoreMachine {
    view: Rc<ClusterView>,
    quorum: Rc<QuorumClient>,
    api: Rc<ControlApi>,
}

impl CoreMachine {
    fn of(voters: u8) -> CoreMachine {
        let view = ClusterView::new(MonotonicClock::start(), HEARTBEAT_INTERVAL);
        let client = Rc::new(RegisterClient::new(1));
        let founders = (1..=voters).map(|n| format!("{}:9", ip(n))).collect();
        client.learn(&LocalState { founders, ..LocalState::default() });
        let quorum = QuorumClient::new(view.clone(), client, ip(1));
        let api = ControlApi::new(view.clone(), quorum.clone(), vec!["z".into()], 2.0);
        CoreMachine { view, quorum, api }
    }

    /// Records a confirmation by a majority at the current time.
    fn confirm_majority(&self) {
        self.view.confirm(self.view.now(), self.view.edition());
    }

    /// Reports that core machine `n` has merged all changes known here.
    async fn acknowledge_all(&self, n: u8) {
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

fn run_with_paused_clock(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn cut_off_machine_stops_acknowledging_heartbeats_before_others_time_the_server_out() {
    // A server sends a heartbeat every 1.5 s, and the last one that other machines received came `lead_ms` before the
    // partition. Later ones are acknowledged here while this machine counts as in touch: until 1.5 s after the last
    // confirmation, which a held response may deliver 0.3 s after the partition.
    for lead_ms in (0..=1700).step_by(50) {
        run_with_paused_clock(async move {
            let machine = CoreMachine::of(3);
            sleep(ms(lead_ms)).await;
            let cut = Instant::now();
            let heard_elsewhere = cut - ms(lead_ms);
            sleep(ms(300)).await;
            machine.confirm_majority();
            let mut refused = None;
            for n in 1..9u64 {
                let at = heard_elsewhere + ms(1500 * n);
                if at < Instant::now() {
                    continue;
                }
                tokio::time::sleep_until(at).await;
                if machine.heartbeat("i", n, "ready").await == 503 {
                    refused = Some(at);
                    break;
                }
            }
            let timeout = StateTable::new(1, HEARTBEAT_INTERVAL, 0.0).server_timeout();
            let acknowledged_for = refused.expect("rejected in the end") - heard_elsewhere;
            // One second is left for a caller that then tries a second machine and gets no answer.
            assert!(
                acknowledged_for + ms(1000) <= Duration::from_secs_f64(timeout / 1000.0),
                "{lead_ms}: {acknowledged_for:?}"
            );
        });
    }
}

#[test]
fn leaving_server_is_acknowledged_only_by_a_majority() {
    run_with_paused_clock(async {
        for leave in [false, true] {
            let machine = CoreMachine::of(5);
            machine.confirm_majority();
            assert_eq!(machine.heartbeat("i", 1, "ready").await, 200);
            let announce = || async {
                match leave {
                    true => machine.leave("i").await,
                    false => machine.heartbeat("i", 2, "draining").await,
                }
            };
            // Machine 2 is on the same side of the partition, and the only one that receives the change.
            let (status, ()) = tokio::join!(announce(), async {
                sleep(ms(20)).await;
                machine.acknowledge_all(2).await;
            });
            assert_eq!(status, 503, "two of five");
            // A machine without a vote does not count towards the majority.
            let (status, ()) = tokio::join!(announce(), async {
                sleep(ms(20)).await;
                machine.acknowledge_all(77).await;
            });
            assert_eq!(status, 503);
            machine.confirm_majority();
            let (status, ()) = tokio::join!(announce(), async {
                sleep(ms(20)).await;
                machine.acknowledge_all(3).await;
            });
            assert_eq!(status, 200, "three of five");
            // Repeated after a lost answer.
            assert_eq!(announce().await, 200);
            // Machine 3 has restarted and lost what it had merged.
            let restarted = FollowRequest {
                name: "3".into(),
                every_change: true,
                core_ip: u32::from(ip(3)),
                ..FollowRequest::default()
            };
            machine.view.answer_follow(restarted).await;
            assert_eq!(announce().await, 503);
        }
    });
}

#[test]
fn leave_replicated_before_a_partition_stays_acknowledged() {
    run_with_paused_clock(async {
        let machine = CoreMachine::of(3);
        machine.confirm_majority();
        machine.heartbeat("i", 1, "ready").await;
        machine.leave("i").await;
        machine.acknowledge_all(2).await;
        // The acknowledgement stays valid however long this machine is out of touch.
        sleep(ms(20_000)).await;
        assert_eq!(machine.leave("i").await, 200);
        assert_eq!(machine.heartbeat("j", 1, "ready").await, 503, "other machines would time it out");
    });
}

#[test]
fn cut_off_machine_rejects_commands_as_not_executed_and_reads_as_unknown() {
    run_with_paused_clock(async {
        let machine = CoreMachine::of(3);
        let command = OperatorCommand::Evacuate { zone: "z".into(), begin: true };
        // Never in touch yet, or cut off recently: a majority may still answer in time.
        for within in [0, 2900] {
            if within > 0 {
                machine.confirm_majority();
                sleep(ms(within)).await;
            }
            let started_at = Instant::now();
            let rejection = machine.quorum.execute(&command).await;
            assert_matches!(
                rejection,
                Err(Rejection { kind: ErrorKind::NotReady, .. }),
                "no proposal was sent"
            );
            assert!(
                started_at.elapsed() >= ms(1000) && started_at.elapsed() <= ms(1500),
                "{:?}",
                started_at.elapsed()
            );
        }
        sleep(ms(200)).await;
        let started_at = Instant::now();
        assert_matches!(
            machine.quorum.execute(&command).await,
            Err(Rejection { kind: ErrorKind::NotReady, .. })
        );
        assert_eq!(started_at.elapsed(), ms(0));
        // Reads are rejected too, within the caller's timeout of one second, because the state known here may be old.
        machine.view.adopt_agreed(3, AgreedState { config: "{}".into(), ..AgreedState::default() });
        let started_at = Instant::now();
        assert_matches!(
            machine.quorum.newest().await,
            Err(Rejection { kind: ErrorKind::OutcomeUnknown, .. })
        );
        assert!(started_at.elapsed() < ms(1000), "{:?}", started_at.elapsed());
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
fn directory_returns_only_limiters_with_recent_heartbeats() {
    run_with_paused_clock(async {
        let machine = CoreMachine::of(3);
        machine.view.change(|table, now| table.merge_member(now, &proxy("own", 1, 1)));
        // Another machine received the heartbeat 0.9 s before it sent the update.
        let update = StateUpdate {
            members: vec![MemberRow { age_ms: 900, ..proxy("far", 2, 1) }],
            ..StateUpdate::default()
        };
        machine.view.apply_update(machine.view.now(), update);
        let named = || {
            let fronts = machine
                .view
                .with(|table, now| oatbank_registry::directory::fronts(table.members(now), "z", "r"));
            fronts.len()
        };
        assert_eq!(named(), 2);
        sleep(ms(SESSION_TIMEOUT as u64 - 900)).await;
        assert_eq!(named(), 1, "heartbeats received through other machines age during the partition");
        sleep(ms(900)).await;
        assert_eq!(named(), 0);
        assert_eq!(machine.lookup().await, 503, "the client asks another machine");
    });
}

#[test]
fn cut_off_machine_times_out_nothing_until_it_is_in_touch_again() {
    run_with_paused_clock(async {
        let machine = CoreMachine::of(3);
        machine.view.change(|table, now| {
            table.merge_member(now, &proxy("far", 2, 1));
            table.merge_server(now, &oatbank_registry::heartbeat::parse("i", br#"{"service":"s","address":"10.1.0.1:80","zone":"z","serverState":"ready","callCount":1}"#).unwrap())
        });
        sleep(ms(300)).await;
        machine.confirm_majority();
        // The machine counts as in touch for another 1.5 s, and the session ends 1.7 s after its last heartbeat.
        let expired = || machine.view.with(|table, now| table.members(now).any(|(row, _)| row.expired));
        for _ in 0..100 {
            sleep(ms(200)).await;
            let confirmed_at = machine.view.confirmed_at();
            machine.view.change(|table, now| table.expire(now, confirmed_at));
            assert!(!expired() && machine.server("i") == Some((server_state::READY, false, 1)));
        }
        // In touch again, and still no heartbeats of either.
        machine.confirm_majority();
        let confirmed_at = machine.view.confirmed_at();
        machine.view.change(|table, now| table.expire(now, confirmed_at));
        assert!(expired() && machine.server("i") == Some((server_state::READY, true, 1)));
    });
}

#[test]
fn machine_that_was_paused_ignores_messages_from_before_the_pause() {
    run_with_paused_clock(async {
        for tick_first in [false, true] {
            let machine = CoreMachine::of(3);
            machine.view.tick();
            machine.confirm_majority();
            assert_eq!(machine.heartbeat("i", 1, "ready").await, 200);
            machine.view.change(|table, now| table.merge_member(now, &proxy("p", 8, 1)));
            sleep(ms(200)).await;
            machine.view.tick();
            sleep(ms(20_000)).await;
            if tick_first {
                assert!(machine.view.tick().is_some());
            }
            // A response of the majority may be processed first.
            machine.confirm_majority();
            assert_eq!(machine.heartbeat("i", 2, "ready").await, 503);
            assert_eq!(
                machine.server("i"),
                Some((server_state::READY, false, 1)),
                "the heartbeat is not merged"
            );
            let command = OperatorCommand::Evacuate { zone: "z".into(), begin: true };
            let started_at = Instant::now();
            assert_matches!(
                machine.quorum.execute(&command).await,
                Err(Rejection { kind: ErrorKind::NotReady, .. })
            );
            assert_eq!(started_at.elapsed(), ms(0), "in touch again, but no old command is tried");
            // A session's heartbeat of an earlier incarnation gets an empty answer and is not merged.
            let old = FollowRequest {
                name: "p".into(),
                member: Some(proxy("p", 7, 9)),
                ..FollowRequest::default()
            };
            assert!(machine.view.answer_bytes(old.encode_to_vec().into()).await.is_empty());
            assert!(machine.view.with(|table, now| table.members(now).all(|(row, _)| row.incarnation == 8)));
            // Draining is final, so an old announcement of it is merged.
            machine.heartbeat("i", 2, "draining").await;
            assert_eq!(machine.server("i"), Some((server_state::DRAINING, false, 2)));
            // Messages that waited in the sockets have been read after this.
            machine.view.tick();
            for _ in 0..6 {
                sleep(ms(200)).await;
                assert!(machine.view.tick().is_none());
            }
            machine.confirm_majority();
            assert_eq!(machine.heartbeat("j", 1, "ready").await, 200);
        }
    });
}

#[test]
fn update_that_waited_during_a_pause_is_aged_by_the_wait() {
    run_with_paused_clock(async {
        let machine = CoreMachine::of(3);
        let started_at = machine.view.now();
        sleep(ms(20_000)).await;
        // An update of another machine was merged first; limiter `p` has restarted in the meantime.
        machine
            .view
            .change(|table, now| table.merge_member(now, &MemberRow { age_ms: 5000, ..proxy("p", 8, 1) }));
        // Received while this machine was paused, with a response that was held for 0.3 s.
        let row = MemberRow { age_ms: 100, ..proxy("p", 7, 5) };
        let update = StateUpdate {
            held_ms: 300,
            confirmed_ago: Some(10),
            members: vec![row, proxy("q", 9, 1)],
            ..StateUpdate::default()
        };
        machine.view.apply_update(started_at, update);
        assert!(!machine.view.in_touch());
        machine.view.with(|table, now| {
            for (row, ago) in table.members(now) {
                assert!(row.incarnation != 7, "the more recent incarnation stays");
                assert!(row.name == "p" || ago >= 18_900.0, "{}: {ago}", row.name);
            }
        });
        assert_eq!(machine.lookup().await, 503);
    });
}
