//! Why a configuration is rejected.

use quick_error::quick_error;
use std::fmt::Display;

/// What is wrong with a configuration, as a text for the operator who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Names the list, the row and the field, what was found there and what is allowed.
    pub problem: String,
}

impl ValidationError {
    /// `found` is not allowed at `place`.
    pub(crate) fn new(place: impl Display, found: impl Display, allowed: impl Display) -> ValidationError {
        ValidationError { problem: format!("{place}: found {found}, allowed is {allowed}") }
    }
}

impl Display for ValidationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.problem)
    }
}

impl std::error::Error for ValidationError {}

quick_error! {
    /// Why a proposal cannot be applied to the configuration in force.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ProposalError {
        /// It builds on another version than the one in force (412). The field is the number of that one, 0 for none.
        #[allow(missing_docs)] // The macro takes no comments at fields.
        Stale { current: u64 } {
            display("another version is in place: r{}", current)
        }
        /// It is invalid, by itself or on the configuration in force (400).
        Invalid(problem: ValidationError) {
            from()
            source(problem)
            display("{}", problem)
        }
    }
}
