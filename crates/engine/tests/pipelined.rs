//! Requests that stand behind each other on a client's connection: each answer in the place of its own request, and
//! nothing that runs once begun behind an answer that may end the connection.

mod common;

use common::{class, setup};
use http::request::Parts;
use http::{HeaderName, Method, Response};
use oatbank_engine::body::{Body, Room, Upload};
use oatbank_engine::classify::Rejection;
use oatbank_engine::engine::{Answer, Engine};
use oatbank_engine::front::{Desk, Front, FrontLimits, Judged};
use oatbank_engine::members::fixed;
use oatbank_engine::ports::clock::SystemClock;
use oatbank_engine::ports::membership::Member;
use oatbank_engine::respond::{self, ComeBack};
use oatbank_engine::upstreams::house::{headers_on, House};
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_limiter_core::interface::{Millis, Request};
use oatbank_operations::budget::{Budget, Limits};
use oatbank_testkit::{eventually, read_message, Act, Message, Server, PATIENCE};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Mutex;

/// Several at once; what lies under `/once` may not overtake.
struct Hall(Rc<Engine<Http1<House>>>);

impl Desk for Hall {
    type Ticket = Request;

    fn now(&self) -> Millis {
        self.0.now()
    }

    fn names_requests_by(&self) -> HeaderName {
        HeaderName::from_static("try-id")
    }

    fn several_at_once(&self) -> bool {
        true
    }

    fn may_overtake(&self, head: &Parts) -> bool {
        head.method == Method::GET && head.uri.path() != "/once"
    }

    fn judge(&self, _: &Parts) -> Result<Judged<Request>, Rejection> {
        Ok(Judged::Taken(Request { units: 1.0, spread: 1.0, time_left: 3000.0, ..Request::default() }))
    }

    async fn serve(
        &self,
        request: Request,
        head: Parts,
        body: Upload,
        room: Option<Room>,
    ) -> Result<Response<Body>, Rejection> {
        let headers = headers_on(&head.headers);
        let forward = Forward { method: head.method, uri: head.uri, headers, body, room };
        let answer: Answer<Response<Body>> = self.0.ask(request, forward).await;
        Ok(respond::answered(answer, ComeBack::Standard, |served| served))
    }
}

/// A client of a front before this server, which runs on a thread of its own.
fn client(server: &Server) -> (TcpStream, BufReader<TcpStream>) {
    let (tell, told) = mpsc::channel();
    let address = server.address;
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let budget = Budget::divide(Limits::default(), 0, 1.0);
            let connections = Connections {
                idle: 10_000.0,
                connect_timeout: 1000.0,
                most: budget.servers,
                bodies_kib: budget.answers_kib,
            };
            let clock = Rc::new(SystemClock::new());
            let house = House { held: 64, ..House::default() };
            let engine = Engine::new(
                &setup(class(), 1),
                clock.clone(),
                Http1::speaking(house, clock.clone(), connections),
            );
            engine.start();
            fixed::tell(&engine.told(), vec![Member::ready("s-1", address)]);
            let front = Front::new(Hall(engine), budget, FrontLimits::default());
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            tell.send(listener.local_addr().expect("an address")).expect("the test");
            front.accept(Rc::new(listener)).await;
        });
    });
    let stream = TcpStream::connect(told.recv().expect("a front")).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let reader = BufReader::new(stream.try_clone().expect("a clone"));
    (stream, reader)
}

fn to(m: &Message, length: usize, body: &str) -> Vec<u8> {
    let id = m.header("Try-Id").expect("a name");
    format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn path(m: &Message) -> &str {
    m.start.split(' ').nth(1).expect("a path")
}

/// What is sent to `/wait` is answered when the test says so; what is sent to `/cut` breaks off then.
fn server() -> (Server, Sender<()>) {
    let (release, released) = mpsc::channel();
    let released: Mutex<Receiver<()>> = Mutex::new(released);
    let server = Server::start(move |m| {
        if matches!(path(m), "/wait" | "/cut") {
            let _ = released.lock().expect("a lock").recv();
        }
        match path(m) {
            "/cut" => Act::Close(to(m, 900, &"x".repeat(100))),
            path => Act::Write(to(m, path.len(), path)),
        }
    });
    (server, release)
}

fn request(method: &str, path: &str, id: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nContent-Length: 0\r\n\r\n")
}

fn paths(server: &Server) -> Vec<String> {
    server.seen.lock().expect("a lock").iter().map(|m| path(m).to_owned()).collect()
}

#[test]
fn answers_go_out_in_the_order_of_their_requests_whichever_is_there_first() {
    let (server, release) = server();
    let (mut stream, mut reader) = client(&server);
    let all = request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request("GET", "/c", "3");
    stream.write_all(all.as_bytes()).expect("written");
    eventually("all three are out", || server.count() == 3);
    release.send(()).expect("the server");
    for (id, body) in [("1", "/wait"), ("2", "/b"), ("3", "/c")] {
        let answer = read_message(&mut reader).expect("an answer");
        assert_eq!((answer.header("Try-Id"), &*answer.body), (Some(id), body.as_bytes()));
    }
}

#[test]
fn behind_an_answer_that_breaks_off_nothing_comes_and_nothing_that_runs_once_was_begun() {
    for (method, behind) in [("POST", "/post"), ("GET", "/once"), ("GET", "/b")] {
        let (server, release) = server();
        let (mut stream, mut reader) = client(&server);
        stream
            .write_all((request("GET", "/cut", "1") + &request(method, behind, "2")).as_bytes())
            .expect("written");
        // What may overtake shows that the one behind has been read.
        let out = if behind == "/b" { 2 } else { 1 };
        eventually("it is out", || server.count() == out);
        release.send(()).expect("the server");
        let mut all = Vec::new();
        let _ = reader.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all);
        assert!(!text.contains("Try-Id: 2") && !text.contains("try-id: 2"), "{text}");
        assert!(!text.ends_with(behind), "{text}");
        assert_eq!(paths(&server).len(), out, "{behind}: {:?}", paths(&server));
    }
}

#[test]
fn what_runs_once_is_begun_once_all_before_it_have_their_answers() {
    for (method, behind) in [("POST", "/post"), ("GET", "/once")] {
        let (server, release) = server();
        let (mut stream, mut reader) = client(&server);
        let all = request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request(method, behind, "3");
        stream.write_all(all.as_bytes()).expect("written");
        eventually("two are out", || server.count() == 2);
        release.send(()).expect("the server");
        for id in ["1", "2", "3"] {
            assert_eq!(read_message(&mut reader).expect("an answer").header("Try-Id"), Some(id));
        }
        assert_eq!(paths(&server).last().map(String::as_str), Some(behind));
        assert_eq!(server.count(), 3);
    }
}
