//! The complete list of reasons for which a call can fail, each with its code and HTTP status.

/// The reason for which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// The call or its body is malformed or not allowed.
    Invalid,
    /// The caller's key is not known.
    UnknownKey,
    /// There is no such call, route, server or zone.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// An at-most-once request with this id has been accepted before.
    Duplicate,
    /// The change is based on a version other than the current one.
    StaleVersion,
    /// The body exceeds the size limit.
    TooLong,
    /// The body arrives too slowly.
    TooSlow,
    /// The caller's quota is used up.
    QuotaExceeded,
    /// There is no capacity for the request at the moment.
    Overloaded,
    /// This process has not yet received the state that it needs.
    NotReady,
    /// No majority could be reached: the change may or may not have been made.
    OutcomeUnknown,
    /// No server returned a response that can be forwarded.
    UpstreamFailed,
    /// The deadline has passed.
    DeadlineExceeded,
}

/// The code and HTTP status that callers see for a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Description {
    /// The described kind.
    pub kind: ErrorKind,
    /// The code in logs and response bodies (`docs/api/control.yaml`).
    pub code: &'static str,
    /// The HTTP status of the response.
    pub status: u16,
}

const fn describe(kind: ErrorKind, code: &'static str, status: u16) -> Description {
    Description { kind, code, status }
}

/// The descriptions of all kinds, each kind once. Codes and statuses are part of the API.
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
    // Not 503, which promises clients that nothing was done. Operators retry after any 5xx.
    describe(ErrorKind::OutcomeUnknown, "unsure", 504),
    describe(ErrorKind::UpstreamFailed, "failed", 502),
    describe(ErrorKind::DeadlineExceeded, "late", 504),
];

impl ErrorKind {
    fn description(self) -> &'static Description {
        // A test checks that the table has every kind, so the fallback is never used.
        ERROR_KINDS.iter().find(|description| description.kind == self).unwrap_or(&ERROR_KINDS[0])
    }

    /// The code of the kind in logs and response bodies.
    pub fn code(self) -> &'static str {
        self.description().code
    }

    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        self.description().status
    }

    /// Whether the status promises the caller that the request was not executed and never will be.
    pub fn promises_nothing_done(self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

#[cfg(test)]
mod tests;
