//! Sources of the list of servers.

pub mod agent;
pub mod fixed;
