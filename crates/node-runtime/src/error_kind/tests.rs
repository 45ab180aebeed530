//! Tests of the parent module.

use super::*;

#[test]
fn each_kind_is_described_once_and_uncertain_kinds_promise_nothing() {
    let all = [
        ErrorKind::Invalid,
        ErrorKind::UnknownKey,
        ErrorKind::NotFound,
        ErrorKind::MethodNotAllowed,
        ErrorKind::Duplicate,
        ErrorKind::StaleVersion,
        ErrorKind::TooLong,
        ErrorKind::TooSlow,
        ErrorKind::QuotaExceeded,
        ErrorKind::Overloaded,
        ErrorKind::NotReady,
        ErrorKind::OutcomeUnknown,
        ErrorKind::UpstreamFailed,
        ErrorKind::DeadlineExceeded,
    ];
    assert_eq!(all.len(), ERROR_KINDS.len());
    for kind in all {
        assert_eq!(ERROR_KINDS.iter().filter(|row| row.kind == kind).count(), 1, "{kind:?}");
    }
    let uncertain = [
        ErrorKind::Duplicate,
        ErrorKind::OutcomeUnknown,
        ErrorKind::UpstreamFailed,
        ErrorKind::DeadlineExceeded,
    ];
    for kind in uncertain {
        assert!(!kind.promises_nothing_done(), "{kind:?}: the request may have been executed");
    }
}
