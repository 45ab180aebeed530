//! The closed list of what can go wrong with a call, and the HTTP status of each kind.

/// Why a call was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// The call or its body cannot be read, or is not allowed.
    Invalid,
    /// The caller's key is not known.
    UnknownKey,
    /// There is no such call, route, server or zone.
    NotFound,
    /// The method is not the one of the call.
    MethodNotAllowed,
    /// A request that runs at most once has been taken under this id before.
    Duplicate,
    /// Another version is in place.
    StaleVersion,
    /// The body is too long.
    TooLong,
    /// The body arrives too slowly.
    TooSlow,
    /// The caller's quota is used up.
    QuotaExceeded,
    /// There is no capacity for it now.
    Overloaded,
    /// This process does not know enough yet.
    NotReady,
    /// No majority could be asked: it may have been carried out or not.
    OutcomeUnknown,
    /// No server gave a response that can be forwarded.
    UpstreamFailed,
    /// The deadline has passed.
    DeadlineExceeded,
}

/// How a kind appears outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Description {
    /// The kind.
    pub kind: ErrorKind,
    /// Its name in logs and bodies (`docs/api/control.yaml`).
    pub code: &'static str,
    /// The HTTP status of the answer.
    pub status: u16,
}

const fn describe(kind: ErrorKind, code: &'static str, status: u16) -> Description {
    Description { kind, code, status }
}

/// All kinds. Codes and statuses are part of the API.
pub const ERROR_KINDS: &[Description] = &[
    describe(ErrorKind::Invalid, "invalid", 400),
    describe(ErrorKind::UnknownKey, "no_key", 401),
    describe(ErrorKind::NotFound, "unknown", 404),
    describe(ErrorKind::MethodNotAllowed, "method", 405),
    describe(ErrorKind::Duplicate, "repeated", 409),
    describe(ErrorKind::StaleVersion, "stale", 412),
    describe(ErrorKind::TooLong, "too_long", 413),
    describe(ErrorKind::TooSlow, "too_slow", 408),
    describe(ErrorKind::QuotaExceeded, "quota", 429),
    describe(ErrorKind::Overloaded, "busy", 503),
    describe(ErrorKind::NotReady, "starting", 503),
    // Not 503 for clients: that would say that it was not carried out. Operators repeat after any 5xx.
    describe(ErrorKind::OutcomeUnknown, "unsure", 504),
    describe(ErrorKind::UpstreamFailed, "failed", 502),
    describe(ErrorKind::DeadlineExceeded, "late", 504),
];

impl ErrorKind {
    fn description(self) -> &'static Description {
        // Every kind is in the table: a test makes sure of it.
        ERROR_KINDS.iter().find(|description| description.kind == self).unwrap_or(&ERROR_KINDS[0])
    }

    /// Its name in logs and bodies.
    pub fn code(self) -> &'static str {
        self.description().code
    }

    /// The HTTP status of the answer.
    pub fn status(self) -> u16 {
        self.description().status
    }

    /// Whether the answer promises that nothing was done and nothing will be.
    pub fn promises_nothing_done(self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

#[cfg(test)]
mod tests;
