//! `oatbankctl` without its command line: [`query`] asks a program, [`output`] writes its answer.

pub mod output;
pub mod query;
