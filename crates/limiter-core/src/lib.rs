//! The decisions of a quota-keeping gateway ("limiter") in front of a shared API.
//!
//! [`logic::Gateway`] is one gateway's decision module: it takes settings and a seed, then events with
//! their times, and appends the actions to carry out. [`logic::Quotas`] is the quota enforcement alone, for
//! callers with several gateways or none. The data types are in [`interface`]; [`wire`] reads and writes the
//! frames of the benchmark's adapter protocol and contains no decision logic.
//!
//! ```
//! use oatbank_limiter_core::interface::*;
//! use oatbank_limiter_core::logic::Gateway;
//!
//! let settings = Settings {
//!     classes: vec![Class { target: 500.0, deadline: 1500.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = ServerEntry { server: ServerId(1), ..ServerEntry::default() };
//! gateway.handle(0.0, Event::Servers { update: ListUpdate::Full, entries: vec![server] }, &mut actions);
//! let request = Request { id: RequestId(9), time_left: 1500.0, ..Request::default() };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```

pub mod interface;
pub mod logic;
mod state;
mod window;
pub mod wire;
