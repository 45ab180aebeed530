//! Limiter inside an application, with the same rules and the same shared quota as the daemon.
//!
//! ```
//! use oatbank_tower::{Client, Config};
//! use tower::ServiceExt;
//! # const CONFIG: &str = "[[classes]]\nname = 'quote'\naim_ms = 500\ndeadline_ms = 2000\nrepeat = 'safe'\n[[plans]]\nname = 'team'\nrate = 5\nburst = 10";
//! # #[tokio::main(flavor = "current_thread")] async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::start(Config::parse(CONFIG)?)?; // the TOML of `oatbank serve`
//! let request = http::Request::get("/quote?customer=000000000000002a")
//!     .header("x-service-class", "quote").header("x-plan", "team").header("x-correlation-id", "1")
//!     .header("x-time-left", "0.5").header("x-quota", "units=1,spread=1,first=0").body(bytes::Bytes::new())?;
//! let answer = client.clone().oneshot(request).await?;
//! assert_eq!(answer.status(), 429); // no servers are configured here
//! client.shutdown().await;
//! # Ok(()) }
//! ```
//!
//! | type | use | decides |
//! | --- | --- | --- |
//! | [`Client`] | a portal that calls the servers | admission, server, retries, the single final answer |
//! | [`LimitLayer`] | an application that serves requests itself | admission and concurrency; its handler is the only server |
//!
//! Both run an engine on a thread of its own and work with any runtime. An [`Extract`] classifies each request (class,
//! plan, account, units, deadline).

mod client;
mod extract;
mod layer;
mod start;

pub use client::{Client, ClientFuture};
pub use extract::{Extract, PlatformHeaders, PlatformPath};
pub use layer::{Limit, LimitLayer};
pub use oatbank_engine::classify::Rejection;
pub use oatbank_engine::config::{Config, ConfigError, CounterKind};
pub use oatbank_engine::counters::local::CounterTotals;
pub use oatbank_engine::engine::Setup;
pub use oatbank_engine::ports::membership::{Member, News};
pub use oatbank_limiter_core::interface::{ClassId, CustomerId, PlanId, Request};
pub use start::{Builder, StartError};
