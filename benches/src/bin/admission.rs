//! What one admission costs: through the layer, through its handler alone, through plain buckets by account under one
//! lock (the least that a limiter can do), and through the daemon on loopback, all in one run.
//!
//! `cargo build --release && cargo run --release -p oatbank-benches --bin admission [SECONDS]`

use axum::body::Body;
use hdrhistogram::Histogram;
use http::{Request, Response};
use oatbank_benches::cpu;
use oatbank_testkit::{answer, Act, Client, Server};
use oatbank_tower::{Builder, Config, LimitLayer, PlatformHeaders};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::hint::black_box;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tower::{service_fn, Layer, ServiceExt};

const CONFIG: &str = r#"
    [[classes]]
    name = "look"
    aim_ms = 500
    deadline_ms = 1000
    repeat = "safe"
    [[plans]]
    name = "team"
    rate = 100000000
    burst = 100000000
"#;
/// Accounts that the requests go round.
const ACCOUNTS: u64 = 1000;

fn request(account: u64) -> Request<()> {
    Request::get(format!("/look?customer={:016x}", account % ACCOUNTS))
        .header("x-service-class", "look")
        .header("x-plan", "team")
        .header("x-correlation-id", "1")
        .header("x-time-left", "1.0")
        .header("x-quota", "units=1,spread=1,first=0")
        .body(())
        .expect("a request")
}

fn handler() -> impl tower::Service<
    Request<()>,
    Response = Response<Body>,
    Error = Infallible,
    Future = impl Future<Output = Result<Response<Body>, Infallible>> + Send,
> + Clone
       + Send
       + 'static {
    service_fn(|_: Request<()>| async { Ok::<_, Infallible>(Response::new(Body::empty())) })
}

struct Row {
    what: String,
    rate: f64,
    median: f64,
    p99: f64,
    cpu: f64,
}

impl Row {
    fn print(&self) {
        println!(
            "{:<42} {:>9.0}/s  median {:>8.2} us  p99 {:>8.2} us  CPU {:>7.2} us a request",
            self.what, self.rate, self.median, self.p99, self.cpu
        );
    }
}

/// Runs `tasks` copies of a closed loop for `span`; `cpu_of` is the process whose CPU counts.
fn measure<F, Fut>(what: String, tasks: usize, span: Duration, cpu_of: &str, one: F) -> Row
where
    F: Fn(u64) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send,
{
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let (started, before) = (Instant::now(), cpu(cpu_of));
    let loops: Vec<_> = (0..tasks)
        .map(|task| {
            let one = one.clone();
            runtime.spawn(async move {
                let mut times = Histogram::<u64>::new(3).expect("a histogram");
                let mut n = task as u64 * 7919;
                while started.elapsed() < span {
                    let at = Instant::now();
                    one(n).await;
                    times.record(at.elapsed().as_nanos() as u64).expect("a time");
                    n += 1;
                }
                times
            })
        })
        .collect();
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for task in loops {
        all.add(runtime.block_on(task).expect("a task")).expect("times");
    }
    let (took, used) = (started.elapsed(), cpu(cpu_of) - before);
    let us = |q: f64| all.value_at_quantile(q) as f64 / 1000.0;
    let made = all.len() as f64;
    let rate = made / took.as_secs_f64();
    Row { what, rate, median: us(0.5), p99: us(0.99), cpu: used.as_secs_f64() * 1e6 / made }
}

/// A bucket for each account: what is in it, and when that was.
#[derive(Default)]
struct Plain(Mutex<HashMap<u64, (f64, f64)>>);

impl Plain {
    const RATE: f64 = 1e9;

    /// Takes one unit, if it is there.
    fn check(&self, account: u64, now: f64) -> bool {
        let mut buckets = self.0.lock().expect("a lock");
        let (left, at) = buckets.entry(account).or_insert((Self::RATE, now));
        *left = (*left + (now - *at) * Self::RATE).min(Self::RATE);
        *at = now;
        let there = *left >= 1.0;
        *left -= f64::from(u8::from(there));
        there
    }
}

fn daemon(engine: &Server) -> (Child, std::net::SocketAddr) {
    let text = format!(
        "listen = \"127.0.0.1:0\"\ncold.share = 1.0\n[[servers]]\nid = \"s-00000001\"\naddress = \"{}\"\n{CONFIG}",
        engine.address
    );
    let file = std::env::temp_dir().join(format!("oatbank-bench-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let mut command = Command::new("target/release/oatbank");
    command.args(["serve", "--config"]).arg(&file).stderr(Stdio::piped());
    let mut child = command.spawn().expect("target/release/oatbank, run from the root");
    let mut log = BufReader::new(child.stderr.take().expect("a log")).lines();
    let line = log.next().expect("a line").expect("text");
    std::thread::spawn(move || log.for_each(drop));
    let address = line.rsplit(' ').next().expect("an address").parse().expect("an address");
    (child, address)
}

/// A closed loop of clients at the daemon, one a thread.
fn through_daemon(tasks: usize, span: Duration, child: &Child, address: std::net::SocketAddr) -> Row {
    let pid = child.id().to_string();
    let (started, before) = (Instant::now(), cpu(&pid));
    let clients: Vec<_> = (0..tasks)
        .map(|_| {
            std::thread::spawn(move || {
                let mut times = Histogram::<u64>::new(3).expect("a histogram");
                let mut client = Client::connect(address);
                while started.elapsed() < span {
                    let at = Instant::now();
                    black_box(client.look_of_one().status());
                    times.record(at.elapsed().as_nanos() as u64).expect("a time");
                }
                times
            })
        })
        .collect();
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for client in clients {
        all.add(client.join().expect("a client")).expect("times");
    }
    let us = |q: f64| all.value_at_quantile(q) as f64 / 1000.0;
    let (made, used) = (all.len() as f64, cpu(&pid) - before);
    Row {
        what: format!("the daemon on loopback, {tasks} clients"),
        rate: made / started.elapsed().as_secs_f64(),
        median: us(0.5),
        p99: us(0.99),
        cpu: used.as_secs_f64() * 1e6 / made,
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(3);
    let span = Duration::from_secs(seconds);
    let limit =
        LimitLayer::build(Builder::new(Config::parse(CONFIG).expect("a configuration")), PlatformHeaders);
    let service = limit.expect("a layer").layer(handler());
    let (plain, begun) = (Arc::new(Plain::default()), Instant::now());
    let engine = Server::start(|_| Act::Write(answer("200 OK", "", b"")));
    let (mut child, address) = daemon(&engine);
    let mut ratios = Vec::new();
    for tasks in [1, 4, 16] {
        let handled = service.clone();
        let ours = measure(format!("layer, {tasks} tasks"), tasks, span, "self", move |n| {
            let service = handled.clone();
            async move { drop(black_box(service.oneshot(request(n)).await)) }
        });
        let checked = plain.clone();
        let keyed = measure(format!("plain buckets, {tasks} tasks"), tasks, span, "self", move |n| {
            let plain = checked.clone();
            async move { _ = black_box(plain.check(n % ACCOUNTS, begun.elapsed().as_secs_f64())) }
        });
        let alone =
            measure(format!("handler alone, {tasks} tasks"), tasks, span, "self", move |n| async move {
                drop(black_box(handler().oneshot(request(n)).await))
            });
        let daemon = through_daemon(tasks, span, &child, address);
        [&ours, &keyed, &alone, &daemon].into_iter().for_each(Row::print);
        ratios.push(format!(
            "{tasks} tasks: daemon / layer: CPU {:.1}, median {:.1}; layer / handler alone: CPU {:.1}, median {:.1}",
            daemon.cpu / ours.cpu,
            daemon.median / ours.median,
            ours.cpu / alone.cpu,
            ours.median / alone.median
        ));
    }
    ratios.iter().for_each(|r| println!("{r}"));
    child.kill().expect("a kill");
    child.wait().expect("its end");
}
