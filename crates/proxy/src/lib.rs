//! The proxy: forwards clients' requests to servers.
//!
//! | module | holds |
//! | --- | --- |
//! | [`front_adapter`] | hands requests from the engine's HTTP front to the handler |
//! | [`request_handler`] | routing, admission and forwarding of requests, and updates of the state that this needs |
//! | [`rejection`] | answers of the proxy itself |
//! | [`config_snapshot`] | immutable snapshot of one edition of the configuration |
//! | [`service_pool`], [`limiter_settings`] | per-service engines: their servers and settings |
//! | [`subsetting`], [`slow_start`] | which servers a limiter uses, and how it sends to warming ones; no I/O |
//! | [`outlier_ejection`] | which servers are unhealthy, from the observations of all proxies |
//! | [`outcome_recorder`] | outcomes of at-most-once requests |
//! | [`tenant_plans`], [`quota_plan`], [`quota_counter`] | tenants' quotas across all limiters |
//! | [`quota_credit`], [`quota_backlog`] | stricter quota bounds: admissions ahead of an owner's answer, and the owner's buckets; no I/O |
//! | [`quota_partition`], [`counter_owner`] | which limiters count together, and who owns a counter |
//! | [`session`] | the session with a core machine, and replication from other limiters |
//! | [`lease`] | how long a limiter may act without a new confirmation; no I/O |
//! | [`readiness`] | `GET /ready` |
//! | [`invariants`] | invariants that a running proxy checks itself |

pub mod config_snapshot;
pub mod counter_owner;
pub mod front_adapter;
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
