//! The parts of `oatbankctl` below its command line: [`query`] sends a query, [`output`] formats the answer.

pub mod output;
pub mod query;
