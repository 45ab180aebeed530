//! Ways to servers.

pub mod house;
pub mod http1;
pub mod inprocess;
