//! What an embedded limiter takes in memory for each account it knows.
//!
//! `cargo run --release -p oatbank-benches --bin accounts [ACCOUNTS [COUNTER]]`; each counter in a run
//! of its own, since memory that was freed is used again.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use oatbank_tower::{Config, LimitLayer};
use std::convert::Infallible;
use tower::{service_fn, Layer, ServiceExt};

const CONFIG: &str = r#"
    [[classes]]
    name = "look"
    aim_ms = 500
    deadline_ms = 1000
    repeat = "safe"
    [[plans]]
    name = "team"
    rate = 5
    burst = 1000
"#;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let accounts: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(100_000);
    let counter = std::env::args().nth(2).unwrap_or("none".into());
    {
        let config = Config::parse(&format!("counter = \"{counter}\"\n{CONFIG}")).expect("a configuration");
        let layer = LimitLayer::start(config).expect("a layer");
        let service = layer.layer(service_fn(|_: Request<()>| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
        }));
        let (before, started) = (resident_kb(), std::time::Instant::now());
        for account in 0..accounts {
            let request = Request::get(format!("/look?customer={account:016x}"))
                .header("x-service-class", "look")
                .header("x-plan", "team")
                .header("x-correlation-id", "1")
                .header("x-time-left", "1.0")
                .header("x-quota", "units=1,spread=1,first=0")
                .body(())
                .expect("a request");
            let answer = service.clone().oneshot(request).await.expect("an answer");
            assert_eq!(answer.status(), 200, "account {account}");
        }
        let taken = resident_kb().saturating_sub(before);
        println!(
            "counter {counter}: {accounts} accounts, {} MB, {} bytes each, asked once within {:.1} s",
            taken / 1024,
            taken * 1024 / accounts,
            started.elapsed().as_secs_f64()
        );
        layer.shutdown().await;
    }
}
