//! Fleet-wide failover away from a failing zone, and a gradual return limited by the capacity of its servers.
//!
//! No I/O and no clock. Inputs: the limiters' counts, the [`ReducedZone`] list that the fleet has decided, operator orders
//! and the time. Output: the list that the fleet should decide next. `docs/design/zones.md` has the argument.
//!
//! | module | does |
//! | --- | --- |
//! | `evidence` | per-limiter, per-zone attempt counts with exponential decay |
//! | `verdict` | classifies a failure: the zone, one limiter's path, a link, or all zones |
//! | `capacity` | estimates the capacity of the other zones, and so how much traffic can leave a zone |
//! | `failover` | the state machine of one zone: leaving, hold time with backoff, return in steps |
//! | `zones` | combines all zones into the list that the fleet should decide next |

pub mod capacity;
pub mod evidence;
pub mod failover;
pub mod verdict;
pub mod zones;

/// A point in time or a duration in ms, on the caller's monotonic clock.
pub type Millis = u64;

/// The reason why only a part of a zone is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReductionCause {
    /// The failures that limiters observed.
    Evidence,
    /// An operator order, in force until the operator ends it.
    Staff,
}

/// A zone of which the fleet has decided to use only a part.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReducedZone {
    /// Name of the zone.
    pub zone: String,
    /// Share of the zone's servers that each limiter may use, 0 to 1.
    pub share: f64,
    /// Reason for the reduction.
    pub by: ReductionCause,
}
