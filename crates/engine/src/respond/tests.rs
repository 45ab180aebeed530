//! Tests of the parent module.

use super::*;

fn retry_headers(form: RetryAfterFormat, wait: Millis) -> (Option<String>, Option<String>) {
    let answer = Answer::<()>::Refused(wait);
    let response: Response<&'static str> = answered(answer, form, |()| Response::new(""));
    let text = |name| response.headers().get(name).map(|v| v.to_str().expect("text").to_owned());
    (text(RETRY_AFTER), text(EXACT_RETRY_AFTER))
}

#[test]
fn a_wait_is_rounded_up_and_never_sent_as_zero() {
    let some = |text: &str| Some(text.to_owned());
    assert_eq!(retry_headers(RetryAfterFormat::Standard, 0.2), (some("1"), some("0.001")));
    assert_eq!(retry_headers(RetryAfterFormat::Standard, 1000.0), (some("1"), some("1.000")));
    assert_eq!(retry_headers(RetryAfterFormat::Standard, 1000.4), (some("2"), some("1.001")));
    assert_eq!(retry_headers(RetryAfterFormat::Decimal, 0.2), (some("0.001"), None));
    assert_eq!(retry_headers(RetryAfterFormat::Decimal, 1500.0), (some("1.500"), None));
    assert_eq!(retry_headers(RetryAfterFormat::Standard, 0.0), (None, None));
}
