//! Implementations of the upstream port.

pub mod http1;
pub mod inprocess;
pub mod try_id;
