//! The proxy: takes the requests of clients to the servers.
//!
//! | module | holds |
//! | --- | --- |
//! | [`front_desk`] | hands requests from the engine's HTTP front to the handler |
//! | [`request_handler`] | what happens to a request, and keeping its state up to date |
//! | [`rejection`] | the proxy's own answers |
//! | [`config_snapshot`] | one edition of the configuration, as requests are handled by it |
//! | [`service_pool`], [`limiter_settings`] | one engine for each service: its servers and settings |
//! | [`subsetting`], [`slow_start`] | which servers a limiter uses, and how it treats those that warm up; pure |
//! | [`outlier_ejection`] | which servers are unhealthy, by what all proxies observe |
//! | [`outcome_recorder`] | outcomes of requests that run at most once |
//! | [`tenant_plans`], [`quota_plan`], [`quota_counter`] | quotas of tenants over all limiters |
//! | [`quota_credit`], [`quota_backlog`] | what bounds a quota beneath that: admissions ahead of an owner's answer, and the owner's buckets; pure |
//! | [`quota_partition`], [`counter_owner`] | which limiters count together, and who owns a counter |
//! | [`session`] | the session with a core machine, and following other limiters |
//! | [`lease`] | for how long a limiter may act by what it knows; pure |
//! | [`readiness`] | `GET /ready` |
//! | [`invariants`] | what a running proxy checks of itself |

pub mod config_snapshot;
pub mod counter_owner;
pub mod front_desk;
pub mod invariants;
pub mod lease;
pub mod limiter_settings;
pub mod outcome_recorder;
pub mod outlier_ejection;
pub mod quota_backlog;
pub mod quota_counter;
pub mod quota_credit;
pub mod quota_partition;
pub mod quota_plan;
pub mod readiness;
pub mod rejection;
pub mod request_handler;
pub mod service_pool;
pub mod session;
pub mod slow_start;
pub mod subsetting;
pub mod tenant_plans;
