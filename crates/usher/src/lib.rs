//! The shell, without its command line: [`ask`] asks a program, [`show`] writes what it says.

pub mod ask;
pub mod show;
