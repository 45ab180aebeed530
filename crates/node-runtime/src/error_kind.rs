//! The closed list of what can go wrong at a call, and what each kind is answered with.

/// Why a call is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The call or its body cannot be read, or is not allowed.
    Invalid,
    /// The caller's key is not known.
    NoKey,
    /// There is no such call, route, server or zone.
    Unknown,
    /// Its method is not the call's.
    Method,
    /// It runs once at most, and has been taken under this name before.
    Repeated,
    /// Another version is in place.
    Stale,
    /// It is too long.
    TooLong,
    /// It comes on too slowly.
    TooSlow,
    /// Its caller has used up what it may use.
    Quota,
    /// There is no room for it now.
    Busy,
    /// This process does not know enough yet.
    Starting,
    /// No majority could be asked: it may have been done, or not.
    Unsure,
    /// Servers gave no answer that can be given on.
    Failed,
    /// Its time is up.
    Late,
}

/// Each kind with its word for logs and bodies, and the status it is answered with.
pub const TABLE: &[(Kind, &str, u16)] = &[
    (Kind::Invalid, "invalid", 400),
    (Kind::NoKey, "no_key", 401),
    (Kind::Unknown, "unknown", 404),
    (Kind::Method, "method", 405),
    (Kind::Repeated, "repeated", 409),
    (Kind::Stale, "stale", 412),
    (Kind::TooLong, "too_long", 413),
    (Kind::TooSlow, "too_slow", 408),
    (Kind::Quota, "quota", 429),
    (Kind::Busy, "busy", 503),
    (Kind::Starting, "starting", 503),
    // Not 503 where a client asked: that would say that it was not done. Operators repeat after any 5xx.
    (Kind::Unsure, "unsure", 504),
    (Kind::Failed, "failed", 502),
    (Kind::Late, "late", 504),
];

impl Kind {
    fn row(self) -> &'static (Kind, &'static str, u16) {
        // Every kind stands in the table: a test holds it to that.
        TABLE.iter().find(|row| row.0 == self).unwrap_or(&TABLE[0])
    }

    /// Its word.
    pub fn word(self) -> &'static str {
        self.row().1
    }

    /// The status it is answered with.
    pub fn status(self) -> u16 {
        self.row().2
    }

    /// The answer promises that nothing was done and nothing will be.
    pub fn is_promise(self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_kind_stands_once_and_doubt_is_never_a_promise() {
        let all = [
            Kind::Invalid,
            Kind::NoKey,
            Kind::Unknown,
            Kind::Method,
            Kind::Repeated,
            Kind::Stale,
            Kind::TooLong,
            Kind::TooSlow,
            Kind::Quota,
            Kind::Busy,
            Kind::Starting,
            Kind::Unsure,
            Kind::Failed,
            Kind::Late,
        ];
        assert_eq!(all.len(), TABLE.len());
        for kind in all {
            assert_eq!(TABLE.iter().filter(|row| row.0 == kind).count(), 1, "{kind:?}");
        }
        for kind in [Kind::Repeated, Kind::Unsure, Kind::Failed, Kind::Late] {
            assert!(!kind.is_promise(), "{kind:?} may have been done");
        }
    }
}
