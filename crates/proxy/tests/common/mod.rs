//! Helpers shared by several tests of the proxy.

pub mod quota_fleet;
