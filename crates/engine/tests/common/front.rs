//! A front for one server, on its own thread, with or without pipelining.

use super::{class, setup};
use http::request::Parts;
use http::{HeaderName, Method, Response, StatusCode};
use oatbank_engine::body::{Body, BodyPermit, Upload};
use oatbank_engine::classify::Rejection;
use oatbank_engine::engine::{Answer, Engine};
use oatbank_engine::front::request_progress::RequestProgress;
use oatbank_engine::front::{Front, FrontLimits, HeadDecision, HttpHandler};
use oatbank_engine::members::fixed;
use oatbank_engine::ports::clock::SystemClock;
use oatbank_engine::ports::membership::Member;
use oatbank_engine::respond::{self, RetryAfterFormat};
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_engine::upstreams::try_id::{headers_on, TryIdDialect};
use oatbank_limiter_core::interface::{Class, Millis, Repeat, Request, Rules};
use oatbank_operations::budget::{Budget, Limits};
use oatbank_testkit::{Act, LoopThread, Message, Server, PATIENCE};
use std::cell::{Cell, RefCell};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};

pub type TestEngine = Engine<Http1<TryIdDialect>>;

/// How many requests of a connection may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenRequests {
    /// One, with two attempts each.
    One,
    /// Several, with one attempt each. `POST` requests and those below `/once` run at most once and are not pipelined.
    Several,
}

/// Forwards all requests to one service, except for those to `/closed`, which it answers with 503.
pub struct TestHandler {
    open_requests: OpenRequests,
    pub engine: Rc<TestEngine>,
    /// Offset of the front's clock from the engine's, ms.
    ahead: Cell<Millis>,
    /// Called when a server has answered, before the answer is passed on.
    pub on_answer: RefCell<Option<Box<dyn Fn()>>>,
}

impl TestHandler {
    /// Advances the front's clock by `by` ms.
    pub fn advance(&self, by: Millis) {
        self.ahead.set(self.ahead.get() + by);
    }
}

fn is_at_most_once(head: &Parts) -> bool {
    head.method == Method::POST || head.uri.path().starts_with("/once")
}

impl HttpHandler for TestHandler {
    type Ticket = Request;

    fn now(&self) -> Millis {
        self.engine.now() + self.ahead.get()
    }

    fn request_id_header(&self) -> HeaderName {
        HeaderName::from_static("try-id")
    }

    fn supports_pipelining(&self) -> bool {
        self.open_requests == OpenRequests::Several
    }

    fn may_pipeline(&self, head: &Parts) -> bool {
        !is_at_most_once(head)
    }

    fn check_head(&self, head: &Parts) -> Result<HeadDecision<Request>, Rejection> {
        if head.uri.path() == "/closed" {
            return Ok(HeadDecision::Respond(respond::plain(StatusCode::SERVICE_UNAVAILABLE, "closed\n")));
        }
        let request = Request { units: 1.0, spread: 1.0, time_left: 3000.0, ..Request::default() };
        if self.open_requests == OpenRequests::One {
            return Ok(HeadDecision::Accept(request));
        }
        let repeat = if is_at_most_once(head) { Repeat::Unsafe } else { Repeat::Safe };
        let rules = Rules { class: Class { repeat, ..class() }, max_attempts: 1 };
        Ok(HeadDecision::Accept(Request { rules: Some(Arc::new(rules)), ..request }))
    }

    async fn serve(
        &self,
        mut request: Request,
        head: Parts,
        body: Upload,
        permit: Option<BodyPermit>,
        _progress: RequestProgress,
    ) -> Result<Response<Body>, Rejection> {
        request.uploading = body.is_stream();
        let headers = headers_on(&head.headers);
        let forward = Forward { method: head.method, uri: head.uri, headers, body, permit };
        let answer: Answer<Response<Body>> = self.engine.submit_and_wait(request, forward).await;
        if let Some(on_answer) = &*self.on_answer.borrow() {
            on_answer();
        }
        Ok(respond::answered(answer, RetryAfterFormat::Standard, |served| served))
    }
}

/// A running front.
pub struct Rig {
    pub address: SocketAddr,
    front: LoopThread<Front<TestHandler>>,
}

impl Rig {
    /// Starts a front with pipelining for this server.
    pub fn start(server: &Server) -> Rig {
        Rig::with_open_requests(server, OpenRequests::Several)
    }

    /// Starts a front for this server.
    pub fn with_open_requests(server: &Server, open_requests: OpenRequests) -> Rig {
        Rig::for_address(server.address, open_requests)
    }

    /// Starts a front for a server at this address.
    pub fn for_address(address: SocketAddr, open_requests: OpenRequests) -> Rig {
        let (sender, receiver) = mpsc::channel();
        let front = LoopThread::start(move || async move {
            let front = Front::new(test_handler(address, open_requests), budget(), FrontLimits::default());
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            sender.send(listener.local_addr().expect("an address")).expect("the test");
            tokio::task::spawn_local(front.clone().close_stalled_connections());
            tokio::task::spawn_local(front.clone().accept(Rc::new(listener)));
            front
        });
        Rig { address: receiver.recv().expect("a front"), front }
    }

    /// Runs an action on the front's thread and returns its result.
    pub fn with<T: Send + 'static>(
        &self,
        action: impl FnOnce(&Rc<Front<TestHandler>>) -> T + Send + 'static,
    ) -> T {
        self.front.with(action)
    }

    /// Runs an action on the front's thread without waiting for its result.
    pub fn start_action<T: Send + 'static>(
        &self,
        action: impl FnOnce(&Rc<Front<TestHandler>>) -> T + Send + 'static,
    ) -> Receiver<T> {
        self.front.start_action(action)
    }

    /// Advances the front's clock, which connections use, by `by` ms.
    pub fn advance(&self, by: Millis) {
        self.with(move |front| front.handler().advance(by));
    }

    /// Opens a connection.
    pub fn connect(&self) -> (TcpStream, BufReader<TcpStream>) {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        (stream, reader)
    }
}

fn budget() -> Budget {
    Budget::divide(Limits::default(), 0, 1.0)
}

fn test_handler(server: SocketAddr, open_requests: OpenRequests) -> TestHandler {
    let budget = budget();
    let connections = Connections {
        idle: 10_000.0,
        connect_timeout: 1000.0,
        most: budget.servers,
        bodies_kib: budget.answers_kib,
    };
    let attempts = if open_requests == OpenRequests::One { 2 } else { 1 };
    let clock = Rc::new(SystemClock::new());
    let dialect = TryIdDialect { held: 64, ..TryIdDialect::default() };
    let engine = Engine::new(
        &setup(class(), attempts),
        clock.clone(),
        Http1::with_dialect(dialect, clock, connections),
    );
    engine.start();
    if open_requests == OpenRequests::Several {
        engine.cancel_on_disconnect();
    }
    fixed::tell(&engine.membership_sink(), vec![Member::ready("s-1", server)]);
    TestHandler { open_requests, engine, ahead: Cell::new(0.0), on_answer: RefCell::default() }
}

/// An answer to this request with the given `Content-Length` and body.
pub fn answer_to(m: &Message, length: usize, body: &str) -> Vec<u8> {
    let id = m.header("Try-Id").expect("a try id");
    format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

pub fn path(m: &Message) -> &str {
    m.start.split(' ').nth(1).expect("a path")
}

pub fn request(method: &str, path: &str, id: &str) -> String {
    request_with(method, path, id, "")
}

/// A request with additional header lines, each terminated by CR LF.
pub fn request_with(method: &str, path: &str, id: &str, lines: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\n{lines}Content-Length: 0\r\n\r\n")
}

/// The paths of all requests that have reached a server.
pub fn paths(server: &Server) -> Vec<String> {
    server.seen.lock().expect("a lock").iter().map(|m| path(m).to_owned()).collect()
}

/// A server that answers `/wait` when the test releases it, truncates its answer to `/cut` then, and answers all other
/// requests at once.
pub fn waiting_server() -> (Server, Sender<()>) {
    let (release, released) = mpsc::channel();
    let released: Mutex<Receiver<()>> = Mutex::new(released);
    let server = Server::start(move |m| {
        if matches!(path(m), "/wait" | "/cut") {
            let _ = released.lock().expect("a lock").recv();
        }
        match path(m) {
            "/cut" => Act::Close(answer_to(m, 900, &"x".repeat(100))),
            path => Act::Write(answer_to(m, path.len(), path)),
        }
    });
    (server, release)
}
