//! Safety rules of a change of the voters that the tests can disable, to see that their checker notices.

/// A safety rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// During a change, the outgoing and the next voters decide together.
    JointQuorum,
    /// A change begins only once the one before it is chosen.
    ChosenBeforeNext,
    /// A machine with another disk is another voter.
    SameDisk,
}

#[cfg(test)]
thread_local! {
    pub(crate) static DISABLED_GUARD: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// Whether a test has disabled this rule on this thread.
#[cfg(test)]
pub(crate) fn is_disabled(guard: Guard) -> bool {
    DISABLED_GUARD.with(|disabled| disabled.get() == Some(guard))
}

/// Outside tests no rule is ever disabled.
#[cfg(not(test))]
pub(crate) fn is_disabled(_: Guard) -> bool {
    false
}
