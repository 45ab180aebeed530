//! The state that every process of the system holds a copy of, and how the copies are kept the same.
//!
//! [`state`], [`anti_entropy`] and [`pause_detector`] do no I/O and are handed the time; [`replication`] and
//! [`admin_query`] run them over the network.
//!
//! | module | holds |
//! | --- | --- |
//! | [`state`] | rows of servers and members that merge, and which changes a follower lacks |
//! | [`replication`] | following another process's state, and being followed |
//! | [`anti_entropy`] | whether a follower and its source hold the same, and when to take a full snapshot |
//! | [`pause_detector`] | whether this process has run without a pause |
//! | [`messages`] | messages between the system's own processes |
//! | [`admin_query`] | the commands of `oatbankctl`, for every program that answers them |

pub mod admin_query;
pub mod anti_entropy;
pub mod messages;
pub mod pause_detector;
pub mod replication;
pub mod state;
