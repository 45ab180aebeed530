//! Why a configuration is not taken.

use quick_error::quick_error;
use std::fmt::Display;

/// What is wrong with a configuration, in words for the operator who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// Names the list, the row and the field, what was found there and what is allowed.
    pub problem: String,
}

impl Invalid {
    /// Something was found at a place where it is not allowed.
    pub(crate) fn new(place: impl Display, found: impl Display, allowed: impl Display) -> Invalid {
        Invalid { problem: format!("{place}: found {found}, allowed is {allowed}") }
    }
}

impl Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.problem)
    }
}

impl std::error::Error for Invalid {}

quick_error! {
    /// Why a proposal cannot be put on the configuration in place.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refused {
        /// It builds on another version than the one in place (412). The field is the number of that one, 0 for none.
        #[allow(missing_docs)] // The macro takes no words at fields.
        Stale { current: u64 } {
            display("another version is in place: r{}", current)
        }
        /// It is wrong in itself, or would be on the configuration in place (400).
        Invalid(problem: Invalid) {
            from()
            source(problem)
            display("{}", problem)
        }
    }
}
