//! The state that every process of the system holds a copy of, and how the copies are kept the same.
//!
//! [`state`], [`anti_entropy`] and [`pause_detector`] do no I/O and are handed the time; [`cluster_view`] adds the clock and
//! the waiting, [`replication`] the calls between processes.
//!
//! | module | holds |
//! | --- | --- |
//! | [`messages`] | messages between the system's own processes |
//! | [`state`] | rows of servers and limiters that merge, and what a follower lacks |
//! | [`anti_entropy`] | whether a follower and its source hold the same, and when to take a snapshot |
//! | [`pause_detector`] | whether this process has run without a pause |
//! | [`clock`] | the monotonic clock |
//! | [`cluster_view`] | what one process knows, and how it answers its followers |
//! | [`replication`] | following another process |
//! | [`admin_query`], [`outcome_service`] | the commands of `oatbankctl`, and outcomes of attempts |

pub mod admin_query;
mod admin_tables;
pub mod anti_entropy;
pub mod clock;
pub mod cluster_view;
pub mod messages;
pub mod outcome_service;
pub mod pause_detector;
pub mod replication;
pub mod state;
