//! A portal that calls the quote engines through its own limiter.
//!
//! `cargo run -p oatbank-tower --example portal -- ENGINE_ADDRESS:PORT [COUNTER_ADDRESS:PORT]`

use bytes::Bytes;
use oatbank_tower::{Builder, Client, Config, Member, Rejection, Request, Setup};
use tower::ServiceExt;

const CONFIG: &str = r#"
    name = "portal"
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

/// Classifies by data that the portal already has, without headers.
fn known(head: &http::request::Parts, setup: &Setup) -> Result<Request, Rejection> {
    let account = head.extensions.get::<u64>().ok_or(Rejection::bad("no account\n"))?;
    let class = setup.names.classes.iter().position(|c| c == "quote").ok_or(Rejection::bad("no class\n"))?;
    Ok(Request {
        customer: oatbank_tower::CustomerId(*account),
        class: oatbank_tower::ClassId(class),
        units: 1.0,
        time_left: 500.0,
        spread: setup.settings.gateways,
        ..Request::default()
    })
}

#[tokio::main(flavor = "multi_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let engine =
        arguments.next().ok_or("usage: portal ENGINE_ADDRESS:PORT [COUNTER_ADDRESS:PORT]")?.parse()?;
    let counter = arguments.next().map_or("none".to_owned(), |a| format!("text://{a}"));
    let mut config = Config::parse(&format!("counter = \"{counter}\"\n{CONFIG}"))?;
    config.members = vec![Member::ready("engine-1", engine)];
    let client = Client::build(Builder::new(config), known)?;
    for number in 0..200u32 {
        let mut request = http::Request::get("/quote?part=7")
            .header("x-correlation-id", format!("{number:016x}"))
            .body(Bytes::new())?;
        request.extensions_mut().insert(42u64);
        let answer = client.clone().oneshot(request).await?;
        println!("{number}: {} {:?}", answer.status(), answer.headers().get("retry-after"));
    }
    client.shutdown().await;
    Ok(())
}
