//! Ways to servers.

pub mod http1;
pub mod inprocess;
pub mod try_id;
