//! The store of configuration: one register that a majority agrees on by rounds of ballots, with no standing leader.
//!
//! [`acceptor`] and [`proposer`] are the two sides without I/O, [`client`] is what other programs use, [`messages`] what is
//! said between them.

pub mod acceptor;
pub mod client;
pub mod membership;
pub mod messages;
#[cfg(test)]
mod model;
pub mod proposer;
pub mod storage;
pub mod voter;
