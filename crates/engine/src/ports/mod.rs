//! The seams between the engine and all that does I/O. Each is a small trait; what an implementation must
//! keep stands at the trait, and `oatbank-testkit` holds a suite that any of them is run through.
//!
//! Everything here is single-threaded: the engine and its ports live on one thread, so a call from a port
//! into the engine is a plain call, and order is the order of the calls.

pub mod clock;
pub mod counter;
pub mod membership;
pub mod upstream;

use std::future::Future;
use std::pin::Pin;

/// A future that stays on the engine's thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
