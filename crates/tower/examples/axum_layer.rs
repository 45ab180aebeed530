//! An axum application that serves quotes itself behind a `LimitLayer`.
//!
//! `cargo run -p oatbank-tower --example axum_layer [COUNTER_ADDRESS:PORT]`; with a counter it shares the
//! accounts' quotas with the daemons that use the same one.

use axum::routing::get;
use axum::Router;
use oatbank_tower::{Config, LimitLayer};

const CONFIG: &str = r#"
    name = "quotes-app"
    limiters = 2
    [[classes]]
    name = "quote"
    aim_ms = 500
    deadline_ms = 2000
    repeat = "safe"
    [[plans]]
    name = "team"
    rate = 50
    burst = 100
"#;

async fn quote() -> &'static str {
    "{\"price\": 42}"
}

#[tokio::main(flavor = "multi_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Without a shared counter each limiter counts only its own requests.
    let counter = std::env::args().nth(1).map_or("none".to_owned(), |a| format!("text://{a}"));
    let config = Config::parse(&format!("counter = \"{counter}\"\n{CONFIG}"))?;
    let limit = LimitLayer::start(config)?;
    let app = Router::new().route("/price", get(quote)).layer(limit.clone());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:8081").await?;
    println!("serving on {}", listener.local_addr()?);
    let until_asked = async { tokio::signal::ctrl_c().await.unwrap_or_default() };
    axum::serve(listener, app).with_graceful_shutdown(until_asked).await?;
    limit.shutdown().await;
    Ok(())
}
