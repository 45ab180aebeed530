//! Ways to servers.

pub mod http1;
