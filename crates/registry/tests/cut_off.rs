//! What a core machine answers when it is cut off from the others, or wakes from a freeze: rows of the table in
//! `docs/design/control.md`. Scripted peers, a fake clock.

use assert_matches::assert_matches;
use oatbank_cluster_state::messages::{Decided, Follow, MemberRow, News};
use oatbank_cluster_state::replication::{Knowledge, Steady};
use oatbank_cluster_state::state::{server_state, Book, SESSION};
use oatbank_config_model::Call;
use oatbank_config_store::client::RegisterClient;
use oatbank_config_store::messages::LocalState;
use oatbank_node_runtime::error_kind::Kind;
use oatbank_registry::control_api::Outside;
use oatbank_registry::operator_command::{Order, Refusal};
use oatbank_registry::quorum_client::Council;
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
    known: Rc<Knowledge>,
    council: Rc<Council>,
    outside: Rc<Outside>,
}

impl One {
    fn of(voters: u8) -> One {
        let known = Knowledge::new(Steady::start(), T);
        let client = Rc::new(RegisterClient::new(1));
        let founders = (1..=voters).map(|n| format!("{}:9", ip(n))).collect();
        client.learn(&LocalState { founders, ..LocalState::default() });
        let council = Council::new(known.clone(), client, ip(1));
        let outside = Outside::new(known.clone(), council.clone(), vec!["z".into()], 2.0);
        One { known, council, outside }
    }

    /// A majority was asked this moment.
    fn touch(&self) {
        self.known.confirm(self.known.now(), self.known.edition());
    }

    /// Core machine `n` says that it took in all that there is here.
    async fn follows(&self, n: u8) {
        let (epoch, seen) = self.known.with(|book, _| (book.epoch(), book.count()));
        let core_ip = u32::from(ip(n));
        let follow = Follow { name: n.to_string(), epoch, seen, each: true, core_ip, ..Follow::default() };
        self.known.answer(follow).await;
    }

    async fn beat(&self, id: &str, calls: u64, state: &str) -> u16 {
        let body = format!(
            r#"{{"service":"s","address":"10.1.0.1:80","zone":"z","serverState":"{state}","callCount":{calls}}}"#
        );
        self.outside.carry_out(Call::Beat(id.into()), body.as_bytes()).await.status
    }

    async fn leave(&self, id: &str) -> u16 {
        self.outside.carry_out(Call::Leave(id.into()), &[]).await.status
    }

    async fn lookup(&self) -> u16 {
        let (name, region, zone) = ("h".into(), "r".into(), "z".into());
        self.outside.carry_out(Call::Lookup { name, region, zone }, &[]).await.status
    }

    fn server(&self, id: &str) -> Option<(u32, bool, u64)> {
        self.known.with(|book, now| {
            let mut rows = book.servers(now);
            rows.find(|(row, _)| row.id == id).map(|(row, _)| (row.state, row.silent, row.calls))
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
                if one.beat("i", n, "ready").await == 503 {
                    refused = Some(at);
                    break;
                }
            }
            let silence = Book::new(1, T, 0.0).silence();
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
            assert_eq!(one.beat("i", 1, "ready").await, 200);
            let say = || async {
                match leave {
                    true => one.leave("i").await,
                    false => one.beat("i", 2, "draining").await,
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
            let anew =
                Follow { name: "3".into(), each: true, core_ip: u32::from(ip(3)), ..Follow::default() };
            one.known.answer(anew).await;
            assert_eq!(say().await, 503);
        }
    });
}

#[test]
fn a_word_that_was_heard_before_the_cut_counts_if_a_majority_had_it() {
    on_a_fake_clock(async {
        let one = One::of(3);
        one.touch();
        one.beat("i", 1, "ready").await;
        one.leave("i").await;
        one.follows(2).await;
        // Out of touch for long: it is no less true.
        sleep(ms(20_000)).await;
        assert_eq!(one.leave("i").await, 200);
        assert_eq!(one.beat("j", 1, "ready").await, 503, "others would take it for dead");
    });
}

#[test]
fn orders_are_refused_at_once_by_who_is_cut_off_and_told_apart_from_doubt() {
    on_a_fake_clock(async {
        let one = One::of(3);
        let order = Order::Empty { zone: "z".into(), begin: true };
        // Never in touch yet, or cut off a moment ago: a majority may answer in time.
        for within in [0, 2900] {
            if within > 0 {
                one.touch();
                sleep(ms(within)).await;
            }
            let asked = Instant::now();
            let refusal = one.council.order(&order).await;
            assert_matches!(refusal, Err(Refusal { kind: Kind::Starting, .. }), "nothing was proposed");
            assert!(asked.elapsed() >= ms(1000) && asked.elapsed() <= ms(1500), "{:?}", asked.elapsed());
        }
        sleep(ms(200)).await;
        let asked = Instant::now();
        assert_matches!(one.council.order(&order).await, Err(Refusal { kind: Kind::Starting, .. }));
        assert_eq!(asked.elapsed(), ms(0));
        // Reading is refused as well, inside the caller's second; what is known here may be old.
        one.known.decide(3, Decided { config: "{}".into(), ..Decided::default() });
        let asked = Instant::now();
        assert_matches!(one.council.newest().await, Err(Refusal { kind: Kind::Unsure, .. }));
        assert!(asked.elapsed() < ms(1000), "{:?}", asked.elapsed());
    });
}

fn proxy(name: &str, life: u64, beat: u64) -> MemberRow {
    let front = format!("10.9.9.9:{life}");
    MemberRow { name: name.into(), life, beat, front, state: 1, zone: "z".into(), ..MemberRow::default() }
}

#[test]
fn the_directory_names_limiters_that_were_heard_and_no_others() {
    on_a_fake_clock(async {
        let one = One::of(3);
        one.known.change(|book, now| book.member(now, &proxy("own", 1, 1)));
        // Heard by another machine 0.9 s before it told of it.
        let told =
            News { members: vec![MemberRow { heard_ago: 900, ..proxy("far", 2, 1) }], ..News::default() };
        one.known.hear(one.known.now(), told);
        let named = || {
            let fronts =
                one.known.with(|book, now| oatbank_registry::directory::fronts(book.members(now), "z", "r"));
            fronts.len()
        };
        assert_eq!(named(), 2);
        sleep(ms(SESSION as u64 - 900)).await;
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
        one.known.change(|book, now| {
            book.member(now, &proxy("far", 2, 1));
            book.server(now, &oatbank_registry::heartbeat::read("i", br#"{"service":"s","address":"10.1.0.1:80","zone":"z","serverState":"ready","callCount":1}"#).unwrap())
        });
        sleep(ms(300)).await;
        one.touch();
        // In touch for another 1.5 s, as far as it knows; the session's end is 1.7 s after its last word.
        let lapsed = || one.known.with(|book, now| book.members(now).any(|(row, _)| row.lapsed));
        for _ in 0..100 {
            sleep(ms(200)).await;
            let judges = one.known.fresh_at();
            one.known.change(|book, now| book.look(now, judges));
            assert!(!lapsed() && one.server("i") == Some((server_state::READY, false, 1)));
        }
        // In touch again, and still nothing of them.
        one.touch();
        let judges = one.known.fresh_at();
        one.known.change(|book, now| book.look(now, judges));
        assert!(lapsed() && one.server("i") == Some((server_state::READY, true, 1)));
    });
}

#[test]
fn who_wakes_from_a_freeze_takes_no_old_word_for_a_new_one_whatever_runs_first() {
    on_a_fake_clock(async {
        for pulse_first in [false, true] {
            let one = One::of(3);
            one.known.pulse();
            one.touch();
            assert_eq!(one.beat("i", 1, "ready").await, 200);
            one.known.change(|book, now| book.member(now, &proxy("p", 8, 1)));
            sleep(ms(200)).await;
            one.known.pulse();
            sleep(ms(20_000)).await;
            if pulse_first {
                assert!(one.known.pulse().is_some());
            }
            // The question to a majority may have been answered first.
            one.touch();
            assert_eq!(one.beat("i", 2, "ready").await, 503);
            assert_eq!(one.server("i"), Some((server_state::READY, false, 1)), "not heard now");
            let order = Order::Empty { zone: "z".into(), begin: true };
            let asked = Instant::now();
            assert_matches!(one.council.order(&order).await, Err(Refusal { kind: Kind::Starting, .. }));
            assert_eq!(asked.elapsed(), ms(0), "in touch again, and yet no old order is tried");
            // A session's word of an earlier life, and a core machine's call.
            let old = Follow { name: "p".into(), member: Some(proxy("p", 7, 9)), ..Follow::default() };
            assert!(one.known.answer_bytes(old.encode_to_vec().into()).await.is_empty());
            assert!(one.known.with(|book, now| book.members(now).all(|(row, _)| row.life == 8)));
            // That a server drains is no less true for being old.
            one.beat("i", 2, "draining").await;
            assert_eq!(one.server("i"), Some((server_state::DRAINING, false, 2)));
            // What lay in the sockets has been read.
            one.known.pulse();
            for _ in 0..6 {
                sleep(ms(200)).await;
                assert!(one.known.pulse().is_none());
            }
            one.touch();
            assert_eq!(one.beat("j", 1, "ready").await, 200);
        }
    });
}

#[test]
fn news_that_lay_in_a_socket_are_as_old_as_they_are() {
    on_a_fake_clock(async {
        let one = One::of(3);
        let asked = one.known.now();
        sleep(ms(20_000)).await;
        // Another machine's news were read first: this limiter has begun anew meanwhile.
        one.known.change(|book, now| book.member(now, &MemberRow { heard_ago: 5000, ..proxy("p", 8, 1) }));
        // Heard of while this machine stood still; the answer was held for 0.3 s.
        let row = MemberRow { heard_ago: 100, ..proxy("p", 7, 5) };
        let news =
            News { held: 300, fresh_ago: Some(10), members: vec![row, proxy("q", 9, 1)], ..News::default() };
        one.known.hear(asked, news);
        assert!(!one.known.in_touch());
        one.known.with(|book, now| {
            for (row, ago) in book.members(now) {
                assert!(row.life != 7, "a life that was heard later stays");
                assert!(row.name == "p" || ago >= 18_900.0, "{}: {ago}", row.name);
            }
        });
        assert_eq!(one.lookup().await, 503);
    });
}
