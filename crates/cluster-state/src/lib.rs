//! The state that every process of the system holds a copy of, and its replication.
//!
//! [`state`], [`anti_entropy`] and [`pause_detector`] do no I/O and take the time as an argument. [`cluster_view`] adds the
//! clock and the waiting, [`replication`] the calls between processes.
//!
//! | module | holds |
//! | --- | --- |
//! | [`messages`] | messages between the system's own processes |
//! | [`state`] | the table of mergeable rows, and the updates for followers |
//! | [`anti_entropy`] | detection of differences between a follower and its source |
//! | [`pause_detector`] | detection of pauses of this process |
//! | [`clock`] | the monotonic clock |
//! | [`cluster_view`] | one process's view of the cluster, and the answers to its followers |
//! | [`replication`] | replication from another process |
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
