//! The errors for which a configuration is rejected.

use quick_error::quick_error;
use std::fmt::Display;

/// A problem in a configuration, as a text for the operator who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The list, row and field, the value found there and the allowed values.
    pub problem: String,
}

impl ValidationError {
    /// Creates an error for the value `found` at `place`.
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
    /// The reason for which a proposal cannot be applied to the current configuration.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ProposalError {
        /// The proposal is based on a version other than the current one (412). `current` is that version's number, 0 for none.
        #[allow(missing_docs)] // The macro takes no comments at fields.
        Stale { current: u64 } {
            display("the current version is another one: r{}", current)
        }
        /// The proposal is invalid, by itself or when applied to the current configuration (400).
        Invalid(problem: ValidationError) {
            from()
            source(problem)
            display("{}", problem)
        }
    }
}
