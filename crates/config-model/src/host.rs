//! Normalization of host names for route look-up.

use std::borrow::Cow;

/// The host in lower case and without its port. Recognizes IPv6 addresses in brackets.
pub(crate) fn plain_host(host: &str) -> Cow<'_, str> {
    let end = match host.find(']') {
        Some(bracket) if host.starts_with('[') => bracket + 1,
        _ => host.find(':').unwrap_or(host.len()),
    };
    let host = &host[..end];
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
