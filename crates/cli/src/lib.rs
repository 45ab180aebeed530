//! The shell, without its command line: [`query`] asks a program, [`output`] writes what it says.

pub mod output;
pub mod query;
