//! What several tests of the proxy share.

pub mod quota_fleet;
