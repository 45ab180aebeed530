//! The configuration is replaced while requests are open: each of them is answered, whatever it waits for.

#[path = "common/running_proxy.rs"]
mod running_proxy;

use oatbank_testkit::{eventually, read_message, Act, Message, Server};
use running_proxy::RunningProxy;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};

/// Number of successive configurations at each step.
const REPLACEMENTS: u64 = 5;
/// Number of connections of a test with several of them.
const CONNECTIONS: usize = 4;
/// Length of a body that is forwarded while it arrives, bytes.
const STREAMED_BYTES: usize = 200_000;
/// Length of an answer that does not fit into the socket's buffers, bytes.
const LARGE_ANSWER_BYTES: usize = 16 << 20;

/// What a request waits for when the configuration is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The end of its head.
    Head,
    /// The end of its body.
    Body,
    /// The answers to earlier requests, before it is started.
    Turn,
    /// The owner of its tenant's counter.
    Quota,
    /// The server's answer.
    Server,
    /// The answer to an earlier request, with its own answer ready.
    EarlierAnswer,
    /// Its client, which does not read the answer.
    Client,
}

impl Step {
    const ALL: [Step; 7] =
        [Step::Head, Step::Body, Step::Turn, Step::Quota, Step::Server, Step::EarlierAnswer, Step::Client];
}

/// What changes in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The routes lead to another service.
    RoutesMoved,
    /// The routes lead to another service, and the former one is gone.
    ServiceRemoved,
    /// The routes are gone.
    RoutesRemoved,
    /// The tenants' keys are gone.
    KeysRevoked,
    /// The tenants have other quotas.
    QuotasChanged,
    /// The routes have other time limits.
    TimeLimitsChanged,
}

impl Change {
    const ALL: [Change; 6] = [
        Change::RoutesMoved,
        Change::ServiceRemoved,
        Change::RoutesRemoved,
        Change::KeysRevoked,
        Change::QuotasChanged,
        Change::TimeLimitsChanged,
    ];
}

/// The configuration of an edition; `change` distinguishes it from the initial one.
fn configuration(edition: u64, change: Option<Change>) -> String {
    let is = |wanted: Change| change == Some(wanted);
    let service = if is(Change::RoutesMoved) || is(Change::ServiceRemoved) { "other" } else { "first" };
    let give_up_ms = if is(Change::TimeLimitsChanged) { 20_000 } else { 30_000 };
    let route = |name: &str, kind: &str, keyless: bool| {
        format!(r#"["{name}","h","/{name}/","{kind}",{give_up_ms},400,2,1,{keyless},"{service}"]"#)
    };
    let routes = match is(Change::RoutesRemoved) {
        true => Vec::new(),
        false => {
            vec![route("read", "safe", true), route("write", "unsafe", true), route("quota", "safe", false)]
        }
    };
    let services = match is(Change::ServiceRemoved) {
        true => vec![r#"["other","/health"]"#],
        false => vec![r#"["first","/health"]"#, r#"["other","/health"]"#],
    };
    let keys = if is(Change::KeysRevoked) { "" } else { r#""k""# };
    let quota = if is(Change::QuotasChanged) { 7 } else { 40 };
    format!(
        r#"{{"version":"r{edition}","routes":{{"columns":["name","hostName","pathStart","routeKind","giveUpMs",
        "targetMs","rank","tries","keyless","service"],"rows":[{}]}},"services":{{"columns":["name","healthPath"],
        "rows":[{}]}},"limits":{{}},"customers":{{"columns":["name","keys","rank","ratePerS","burst"],
        "rows":[["tenant",[{keys}],0,{quota},{quota}]]}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Holds the answers of servers back until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().expect("a lock") = true;
        self.0 .1.notify_all();
    }

    fn pass(&self) {
        let is_open = self.0 .0.lock().expect("a lock");
        drop(self.0 .1.wait_while(is_open, |is_open| !*is_open).expect("a lock"));
    }
}

/// A server that answers paths that end with `held` once the gate is open, those that end with `large` with a large body,
/// and all others at once.
fn server(gate: &Gate) -> Server {
    let gate = gate.clone();
    Server::start(move |message| {
        let path = message.start.split(' ').nth(1).unwrap_or_default();
        if path.ends_with("held") {
            gate.pass();
        }
        let length = if path.ends_with("large") { LARGE_ANSWER_BYTES } else { 2 };
        let id = message.header("Try-Id").unwrap_or_default();
        let head =
            format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {length}\r\n\r\n");
        Act::Write([head.into_bytes(), vec![b'x'; length]].concat())
    })
}

/// The requests of one client connection.
struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Ids of the requests sent, in order.
    sent: Vec<String>,
    /// What completes the last request.
    rest: Vec<u8>,
}

impl Client {
    /// Connects and sends the requests that bring the last of them to this step.
    fn start(proxy: &RunningProxy, step: Step, name: &str) -> Client {
        let (stream, reader) = proxy.connect();
        let mut client = Client { stream, reader, sent: Vec::new(), rest: Vec::new() };
        let id = |nth: usize| format!("{name}-{nth}");
        match step {
            Step::Head => {
                client.send(&id(1), "GET /read/a HTTP/1.1\r\n", b"", b"Host: h\r\n\r\n");
            }
            Step::Body => {
                let start =
                    format!("POST /write/a HTTP/1.1\r\nHost: h\r\nContent-Length: {STREAMED_BYTES}\r\n");
                let half = vec![b'x'; STREAMED_BYTES / 2];
                client.send(&id(1), &start, &[b"\r\n", &half[..]].concat(), &half);
            }
            Step::Turn => {
                client.send(&id(1), &get("/read/held"), b"\r\n", b"");
                client.send(
                    &id(2),
                    "POST /write/a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n",
                    b"\r\nab",
                    b"",
                );
            }
            Step::Quota => client.send(&id(1), &get("/quota/a"), b"Authorization: Bearer k\r\n\r\n", b""),
            Step::Server => client.send(&id(1), &get("/read/held"), b"\r\n", b""),
            Step::EarlierAnswer => {
                client.send(&id(1), &get("/read/held"), b"\r\n", b"");
                client.send(&id(2), &get("/read/a"), b"\r\n", b"");
            }
            Step::Client => client.send(&id(1), &get("/read/large"), b"\r\n", b""),
        }
        client
    }

    /// Sends the start of a request and `more`; `rest` follows once the configuration has been replaced.
    fn send(&mut self, id: &str, start: &str, more: &[u8], rest: &[u8]) {
        let head = format!("{start}Try-Id: {id}\r\n");
        self.stream.write_all(&[head.as_bytes(), more].concat()).expect("written");
        self.sent.push(id.to_owned());
        self.rest = rest.to_vec();
    }

    /// Completes the last request and reads all answers, which also the proxy may give.
    fn read_answers(&mut self, what: &str) -> Vec<Message> {
        let _ = self.stream.write_all(&self.rest);
        let mut answers = Vec::new();
        for id in &self.sent {
            let answer =
                read_message(&mut self.reader).unwrap_or_else(|| panic!("{what}: {id} has no answer"));
            answers.push(answer);
        }
        answers
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n")
}

/// Whether all of these connections' requests have come to the step.
fn have_reached(step: Step, proxy: &RunningProxy, server: &Server, connections: usize) -> bool {
    match step {
        Step::Head => proxy.open() == connections,
        Step::Body => proxy.at_servers() == connections,
        Step::Quota => proxy.has_called_owner(),
        Step::Turn | Step::Server | Step::Client => server.count() == connections,
        Step::EarlierAnswer => server.count() == 2 * connections && proxy.at_servers() == connections,
    }
}

/// Replaces the configuration while the requests of some connections are at a step, and checks that all are answered.
fn check(step: Step, change: Change, connections: usize) {
    let what = format!("{step:?}, {change:?}, {connections} connections");
    let gate = Gate::default();
    let (first, other) = (server(&gate), server(&gate));
    let proxy = RunningProxy::start(vec![("first", first.address), ("other", other.address)]);
    proxy.apply(1, configuration(1, None));
    let mut clients: Vec<Client> =
        (0..connections).map(|number| Client::start(&proxy, step, &number.to_string())).collect();
    eventually(&format!("{what}: the step is reached"), || have_reached(step, &proxy, &first, connections));
    for nth in 0..REPLACEMENTS {
        let change = (nth % 2 == 0).then_some(change);
        proxy.apply(nth + 2, configuration(nth + 2, change));
    }
    gate.open();
    for client in &mut clients {
        let answers = client.read_answers(&what);
        let started = step != Step::Head && step != Step::Turn && step != Step::Quota;
        if started {
            assert!(answers.iter().all(|answer| answer.status() == 200), "{what}: {answers:?}");
        }
    }
    assert_eq!(proxy.end_reports(), [], "{what}");
}

/// Guards against a request that is lost because what it waits for belongs to a replaced configuration (LOST, 89).
#[test]
fn an_open_request_is_answered_when_the_configuration_is_replaced() {
    for step in Step::ALL {
        for change in Change::ALL {
            check(step, change, 1);
        }
    }
}

#[test]
fn open_requests_of_several_connections_are_answered_when_the_configuration_is_replaced() {
    for step in Step::ALL {
        for change in Change::ALL {
            check(step, change, CONNECTIONS);
        }
    }
}
