//! The store of configuration: one register that a majority agrees on by rounds of ballots, with no standing leader.
//!
//! [`acceptor`] and [`proposer`] are the two sides without I/O, [`caller`] is what other programs use, [`wire`] what is
//! said between them.

pub mod acceptor;
pub mod caller;
pub mod disk;
pub mod members;
#[cfg(test)]
mod model;
pub mod proposer;
pub mod voter;
pub mod wire;
