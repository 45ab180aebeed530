//! Membership sources: implementations that report the list of servers.

pub mod agent;
pub mod fixed;
