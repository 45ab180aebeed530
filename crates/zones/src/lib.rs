//! Leaving a zone that fails as a fleet, and coming back at a pace that its servers bear.
//!
//! No I/O and no clock: limiters' counts, the fleet's decided [`ReducedZone`] zones, orders of operators and the time come in;
//! what the fleet should decide next comes out. `docs/design/zones.md` has the argument.
//!
//! | module | does |
//! | --- | --- |
//! | `evidence` | limiters' counts by zone, dated, faded and put side by side |
//! | `verdict` | does the zone fail, or one limiter's way to it, or everything? |
//! | `bears` | what the other zones bear, and so how much of a zone can be left |
//! | `failover` | one zone's way out and back: steps, gates, spans that grow |
//! | `zones` | all zones: what the fleet should decide next |

pub mod capacity;
pub mod evidence;
pub mod failover;
pub mod verdict;
pub mod zones;

/// A point in time or a span, ms, on a monotonic clock of the caller's.
pub type Millis = u64;

/// Why less than all of a zone is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReductionCause {
    /// What limiters saw.
    Evidence,
    /// An operator's order, until they end it.
    Staff,
}

/// A zone of which less than all is used, as the fleet decides it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReducedZone {
    /// Its name.
    pub zone: String,
    /// The part of its servers that each limiter may use, 0 to 1.
    pub share: f64,
    /// Why.
    pub by: ReductionCause,
}
