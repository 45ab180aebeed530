//! The least that a portal needs; README shows it.

use oatbank_tower::{Client, Config};
use tower::ServiceExt;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let config = std::fs::read_to_string("deploy/standalone.toml")?;
    let client = Client::start(Config::parse(&config)?)?;
    let request = http::Request::get("/quote?customer=000000000000002a")
        .header("x-service-class", "quote")
        .header("x-plan", "team")
        .header("x-correlation-id", "1")
        .header("x-time-left", "0.5")
        .header("x-quota", "units=1,spread=1,first=0")
        .body(bytes::Bytes::new())?;
    println!("{}", client.clone().oneshot(request).await?.status()); // 429 or 502 without an engine
    client.shutdown().await;
    Ok(())
}
