//! The proxy. Pure: [`config_snapshot`] (what an edition says), [`lease`] (how long it may be acted by), [`counter_owner`] (who keeps a
//! number), [`quota_partition`] (which part of a quota is given out here), [`subsetting`] (which servers it sends to), [`slow_start`] (which
//! cold ones, and how much), [`limiter_settings`] (what a decision module is told). Shells: [`request_handler`] (the desk, and an engine for each
//! service), [`quota_counter`] (quotas over all limiters), [`session`] (with a control limiter, and a few others), [`outlier_ejection`]
//! (away from ill servers), [`readiness`].

pub mod config_snapshot;
pub mod counter_owner;
pub mod lease;
pub mod limiter_settings;
pub mod outlier_ejection;
pub mod quota_counter;
pub mod quota_partition;
pub mod readiness;
pub mod request_handler;
pub mod session;
pub mod slow_start;
pub mod subsetting;
