//! Ways to count.

pub mod local;
pub mod text;
