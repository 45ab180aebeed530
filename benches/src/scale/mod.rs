//! Measures the cost of each role as one quantity grows while the others are constant, with real core machines, a few
//! real proxies, hundreds of simulated followers, and generators of heartbeats and changes. `docs/CAPACITY.md` is based
//! on these measurements.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`fit`] | least-squares fits of measured points |
//! | [`formulas`] | extrapolation of measured slopes to another size |
//! | [`page`] | computed rows of the capacity page |
//! | [`gauge`] | CPU time, memory and traffic of processes |
//! | [`load`] | generators of configurations, changes and heartbeats |
//! | [`hollow`] | followers that process all updates but serve no clients |
//! | [`sweep`] | measurement of one quantity at several sizes |
//! | [`bad_day`] | mass reconnects of followers and restarts of core machines |
//! | [`decisions`] | in-process cost of each decision |

pub mod bad_day;
pub mod decisions;
pub mod fit;
pub mod formulas;
pub mod gauge;
pub mod hollow;
pub mod load;
pub mod page;
pub mod sweep;
