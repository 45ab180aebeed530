//! Safety rules of voter changes that tests can disable, to verify that the consistency checker detects the violation.

/// A safety rule of voter changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// During a change, a majority of the outgoing and of the next voters is needed.
    JointQuorum,
    /// A change begins only once the previous configuration is chosen.
    ChosenBeforeNext,
    /// A machine with a new disk is a different voter.
    SameDisk,
}

#[cfg(test)]
thread_local! {
    pub(crate) static DISABLED_GUARD: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Returns whether a test has disabled this rule on this thread.
#[cfg(test)]
pub(crate) fn is_disabled(guard: Guard) -> bool {
    DISABLED_GUARD.with(|disabled| disabled.get() == Some(guard))
}

/// Returns `false`: outside tests no rule is ever disabled.
#[cfg(not(test))]
pub(crate) fn is_disabled(_: Guard) -> bool {
    false
}
