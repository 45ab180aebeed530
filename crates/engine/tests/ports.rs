//! Runs the conformance suites on all implementations of the ports.

use bytes::Bytes;
use http::{HeaderMap, Method};
use oatbank_engine::counters::local::{CounterTotals, LocalCounter};
use oatbank_engine::counters::text::TextCounter;
use oatbank_engine::members::{agent, fixed};
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::Member;
use oatbank_engine::ports::upstream::{AttemptJob, Upstream};
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_engine::upstreams::inprocess::{InProcess, Start};
use oatbank_limiter_core::interface::{Outcome, ServerId};
use oatbank_testkit::conformance::upstream::{Behaviour, UnderTest};
use oatbank_testkit::conformance::{clock, counter, membership, on_local_set, upstream};
use oatbank_testkit::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

fn system() -> Rc<dyn Clock> {
    Rc::new(SystemClock::new())
}

#[test]
fn the_system_clock_conforms() {
    on_local_set(async { clock::suite(&SystemClock::new()).await });
}

#[test]
fn a_paused_clock_conforms() {
    on_local_set(async {
        tokio::time::pause();
        clock::suite(&SystemClock::starting_at(1e12)).await;
    });
}

fn text(address: SocketAddr) -> counter::Rig {
    counter::Rig::new(|ends| TextCounter::start(Some(address), system(), ends))
}

#[test]
fn the_local_counter_conforms() {
    on_local_set(async {
        let numbers = CounterTotals::default();
        let rig = counter::Rig::new(|ends| LocalCounter::start(numbers, system(), ends));
        counter::suite(&rig).await;
    });
}

#[test]
fn the_text_counter_conforms() {
    let stand_in = Counter::ok();
    on_local_set(async move { counter::suite(&text(stand_in.address)).await });
}

#[test]
fn a_malformed_counter_answer_leaves_the_call_unknown() {
    let stand_in = Counter::start(|_, _| b"ok many\r\n".to_vec());
    on_local_set(async move { counter::lost_after_adding(&text(stand_in.address)).await });
}

#[test]
fn a_busy_or_unreachable_text_counter_is_reported() {
    let stand_in = Counter::start(|_, _| b"busy\r\n".to_vec());
    on_local_set(async move { counter::busy(&text(stand_in.address)).await });
    // A port on which no test listens.
    let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    on_local_set(async move { counter::unreachable(&text(unreachable)).await });
    on_local_set(async {
        let rig = counter::Rig::new(|ends| TextCounter::start(None, system(), ends));
        counter::unreachable(&rig).await;
    });
}

fn unused_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

#[test]
fn the_fixed_list_conforms() {
    on_local_set(async {
        let seen = membership::Seen::default();
        let sink = seen.told();
        let report = |ids: Vec<&'static str>| -> Box<dyn FnOnce()> {
            let sink = sink.clone();
            let members = ids.into_iter().map(|id| Member::ready(id, unused_address())).collect();
            Box::new(move || fixed::tell(&sink, members))
        };
        let steps = vec![(report(vec!["a", "b"]), vec!["a", "b"]), (report(vec!["b"]), vec!["b"])];
        membership::suite(&seen, steps).await;
    });
}

#[test]
fn the_discovery_agent_conforms() {
    let entry = |id: &str, phase: &str| member(id, unused_address(), phase);
    let complete_list = list(1, true, &[entry("a", "Ready"), entry("b", "Ready")]);
    let agent = Discovery::start(complete_list);
    on_local_set(async move {
        let seen = membership::Seen::default();
        let (sink, at) = (seen.told(), agent::Agent { address: agent.address, on_request: false });
        keep_running("discovery", move || agent::follow(sink.clone(), at, None, 1));
        seen.ready(&["a", "b"]).await;
        while agent.watching() == 0 {
            tokio::task::yield_now().await;
        }
        let agent = Rc::new(agent);
        let write = |line: String| -> Box<dyn FnOnce()> {
            let agent = agent.clone();
            Box::new(move || agent.write(&format!("{line}\n")))
        };
        let steps = vec![
            (write(list(2, false, &[entry("c", "Ready")])), vec!["a", "b", "c"]),
            (write(list(3, false, &[entry("a", "Terminating")])), vec!["b", "c"]),
            (write(list(4, false, &[entry("b", "Gone"), entry("x", "Odd")])), vec!["c"]),
            (write(list(5, true, &[entry("d", "Ready")])), vec!["d"]),
        ];
        membership::suite(&seen, steps).await;
    });
}

/// HTTP/1.1 upstream with one test server for each behaviour.
struct HttpUnderTest {
    way: Http1,
    servers: Vec<(Behaviour, Server)>,
}

impl HttpUnderTest {
    fn new() -> Self {
        let connections = Connections { idle: 10_000.0, connect_timeout: 1000.0, most: 16, bodies_kib: 1024 };
        let servers = [
            (Behaviour::Answers, Server::ok()),
            (Behaviour::Fails, Server::start(|_| Act::Write(answer("500 No", "", b"")))),
            (
                Behaviour::TurnsAway,
                Server::start(|_| Act::Write(answer("503 Full", "X-Unprocessed: 1\r\n", b""))),
            ),
            (Behaviour::Breaks, Server::start(|_| Act::Close(Vec::new()))),
            (Behaviour::Silent, Server::start(|_| Act::Silence)),
        ];
        HttpUnderTest { way: Http1::new(system(), connections, Vec::new()), servers: servers.into() }
    }
}

impl UnderTest for HttpUnderTest {
    type Way = Http1;

    fn way(&self) -> &Http1 {
        &self.way
    }

    fn server(&self, behaviour: Behaviour) -> (SocketAddr, Forward) {
        let (_, server) = self.servers.iter().find(|(b, _)| *b == behaviour).expect("a server");
        let (uri, headers, body) = ("/x?y=1".parse().expect("a path"), HeaderMap::new(), Bytes::new());
        (server.address, Forward { method: Method::GET, uri, headers, body: body.into(), permit: None })
    }

    fn reached(&self) -> usize {
        self.servers.iter().map(|(_, s)| s.count()).sum()
    }

    fn called_off(&self) -> usize {
        let silent = self.servers.iter().find(|(b, _)| *b == Behaviour::Silent);
        silent.map_or(0, |(_, s)| s.closed.try_iter().count())
    }
}

#[test]
fn the_http_upstream_conforms() {
    on_local_set(async { upstream::suite(&HttpUnderTest::new()).await });
}

#[test]
fn a_platform_server_has_to_announce_that_its_answer_ends_with_the_connection() {
    on_local_set(async {
        for (headers, outcome) in [("", Outcome::Error), ("Connection: close\r\n", Outcome::Ok)] {
            let text = format!("HTTP/1.1 200 OK\r\n{headers}\r\nwell").into_bytes();
            let server = Server::start(move |_| Act::Close(text.clone()));
            let under_test =
                HttpUnderTest { servers: vec![(Behaviour::Answers, server)], ..HttpUnderTest::new() };
            let (address, request) = under_test.server(Behaviour::Answers);
            let job = AttemptJob {
                server: ServerId(1),
                name: "s-1".into(),
                address,
                request: Arc::new(request),
                span: 1000.0,
                starts_early: false,
                may_send: Rc::new(|| true),
                progress: Rc::new(|_| ()),
            };
            assert_eq!(under_test.way().attempt(job).await.outcome, outcome, "{headers}");
        }
    });
}

/// In-process upstream whose handler is a task for each request.
#[derive(Default)]
struct InProcessUnderTest {
    way: InProcess,
    reached: Rc<Cell<usize>>,
    called_off: Rc<Cell<usize>>,
}

impl UnderTest for InProcessUnderTest {
    type Way = InProcess;

    fn way(&self) -> &InProcess {
        &self.way
    }

    fn server(&self, behaviour: Behaviour) -> (SocketAddr, Start) {
        let (start, permit) = Start::new();
        let (reached, called_off) = (self.reached.clone(), self.called_off.clone());
        tokio::task::spawn_local(async move {
            let Ok(mut permit) = permit.await else { return };
            reached.set(reached.get() + 1);
            match behaviour {
                Behaviour::Answers => permit.ended(Outcome::Ok),
                Behaviour::Fails => permit.ended(Outcome::Error),
                Behaviour::TurnsAway => permit.ended(Outcome::Full),
                Behaviour::Breaks => drop(permit),
                Behaviour::Silent => {
                    permit.cancelled().await;
                    called_off.set(called_off.get() + 1);
                }
            }
        });
        (unused_address(), start)
    }

    fn reached(&self) -> usize {
        self.reached.get()
    }

    fn called_off(&self) -> usize {
        self.called_off.get()
    }
}

#[test]
fn the_in_process_upstream_conforms() {
    on_local_set(async { upstream::suite(&InProcessUnderTest::default()).await });
}
