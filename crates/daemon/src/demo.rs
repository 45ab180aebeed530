//! `oatbank demo`: a limiter in front of small engines on loopback. One engine fails for a while and one drains, and
//! customers send within and beyond their quotas.

mod engines;
mod traffic;

use crate::serve::on_one_thread;
use crate::standalone::Running;
use engines::SmallEngine;
use oatbank_engine::config::{Base, Config};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::ServerState;
use std::time::Duration;
use traffic::Customer;

const CONFIG: &str = r#"
    name = "demo"
    listen = "127.0.0.1:0"
    counter = "local"
    cold.share = 1.0
    [[classes]]
    name = "quote"
    aim_ms = 500
    deadline_ms = 1000
    repeat = "safe"
    [[plans]]
    name = "team"
    rate = 100
    burst = 100
    [[plans]]
    name = "free"
    rate = 5
    burst = 5
"#;
// Times of the events after the start.
const FAILS_AT: Duration = Duration::from_millis(1000);
const RECOVERS_AT: Duration = Duration::from_millis(2000);
const DRAINS_AT: Duration = Duration::from_millis(2500);
const ENDS_AT: Duration = Duration::from_millis(4000);

/// Runs the demo and prints the results.
///
/// # Errors
/// If a loopback address cannot be bound.
pub fn run() -> Result<(), String> {
    on_one_thread(async { play().await })
}

async fn play() -> Result<(), String> {
    let mut engines = Vec::new();
    for n in 1..=3 {
        engines.push(SmallEngine::start(format!("engine-{n}")).await.map_err(|e| e.to_string())?);
    }
    let mut config = Config::parse(CONFIG).map_err(|e| e.to_string())?;
    config.members = engines.iter().map(|e| Member::ready(e.name.clone(), e.address)).collect();
    let running = Running::start(&config, Base::default())?;
    let address = running.address();
    println!("A limiter on {address} in front of three engines, for four seconds of requests.");
    let team = Customer::start("team, 60 a second, within its quota", address, "team", 1, 60);
    let free = Customer::start("free, 25 a second, quota of 5 a second", address, "free", 2, 25);

    tokio::time::sleep(FAILS_AT).await;
    println!("  1.0 s  engine-2 begins to fail: every request ends in 500");
    engines[1].failing.set(true);
    tokio::time::sleep(RECOVERS_AT - FAILS_AT).await;
    println!("  2.0 s  engine-2 has recovered");
    engines[1].failing.set(false);
    tokio::time::sleep(DRAINS_AT - RECOVERS_AT).await;
    println!("  2.5 s  engine-3 drains: it finishes what it has and wants nothing new");
    let leaving = Member { state: ServerState::Draining, ..config.members[2].clone() };
    running.engine.membership_sink()(News::Changes(vec![leaving]));
    let told = tokio::time::Instant::now();
    tokio::time::sleep(ENDS_AT - DRAINS_AT).await;

    println!("\nEngines:");
    for e in &engines {
        println!("  {}  {:4} requests, {:3} of them failed", e.name, e.seen.get(), e.failed.get());
    }
    let after = engines[2].last.get().and_then(|last| last.checked_duration_since(told));
    match after {
        Some(late) => println!("  the last request reached engine-3 {} ms after the drain", late.as_millis()),
        None => println!("  no request reached engine-3 after the drain"),
    }
    println!("\nCustomers:");
    for customer in [team, free] {
        println!("  {}", customer.finish());
    }
    running.stop().await;
    Ok(())
}
