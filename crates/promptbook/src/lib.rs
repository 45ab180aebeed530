//! The store of configuration: one register that a majority agrees on by rounds of ballots, with no standing leader.

pub mod link;
