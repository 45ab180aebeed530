//! Tests of the parent module.

use super::parse_over_ms;

#[test]
fn an_invalid_period_is_rejected_instead_of_draining_at_once() {
    assert_eq!((parse_over_ms(""), parse_over_ms("over_ms=3000")), (Ok(0), Ok(3000)));
    for bad in ["over_ms=", "over_ms=3s", "over_ms=-1", "over=3", "over_ms"] {
        assert!(parse_over_ms(bad).is_err(), "{bad}");
    }
}
