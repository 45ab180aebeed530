//! Interfaces between the engine and its I/O. Each is a small trait that documents the guarantees of its
//! implementations; `oatbank-testkit` has a conformance suite for each.
//!
//! The engine and its ports share one thread, so a port calls the engine directly and events are ordered by the order
//! of these calls.

pub mod clock;
pub mod counter;
pub mod membership;
pub mod upstream;

use std::future::Future;
use std::pin::Pin;

/// A boxed future that runs on the engine's thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
