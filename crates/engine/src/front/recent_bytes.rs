//! The bytes of a head as they came, where the parser shows less than it was sent.
//!
//! Of a length beside a coding the parser keeps the coding only, and such a request may hide another in its body.

use memchr::{memchr_iter, memmem};

/// The last bytes that came on a connection.
pub(super) struct RecentBytes {
    bytes: Vec<u8>,
    /// The most that is kept: what the parser's own buffer holds, in which a head must fit whole.
    limit: usize,
}

impl RecentBytes {
    /// Nothing has come; so many bytes are kept.
    pub(super) fn new(limit: usize) -> Self {
        RecentBytes { bytes: Vec::new(), limit }
    }

    /// These bytes have come.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let bytes = &bytes[bytes.len().saturating_sub(self.limit)..];
        let over = (self.bytes.len() + bytes.len()).saturating_sub(self.limit);
        self.bytes.drain(..over);
        self.bytes.extend_from_slice(bytes);
    }

    /// Nothing that came so far belongs to a head that is still to be read.
    pub(super) fn forget(&mut self) {
        self.bytes = Vec::new();
    }

    /// Whether the head in which this value stands has no `Content-Length`. A head that cannot be found has one, for
    /// all that is known; without a value to find it by it may be any.
    pub(super) fn has_no_length(&self, value: &[u8]) -> bool {
        let has_length = |head: &[u8]| head.split(|b| *b == b'\n').any(is_length);
        if value.is_empty() {
            return !has_length(&self.bytes);
        }
        // Up to where heads have been looked at.
        let mut seen = 0;
        for at in memmem::find_iter(&self.bytes, value) {
            if at < seen {
                continue;
            }
            let start = head_ends(&self.bytes[..at]).last().unwrap_or(0);
            let end = head_ends(&self.bytes[at..]).next().map_or(self.bytes.len(), |end| at + end);
            if has_length(&self.bytes[start..end]) {
                return false;
            }
            seen = end;
        }
        seen > 0
    }
}

/// Where heads end: behind each empty line. The parser takes a bare line feed for a line's end, so this does too.
fn head_ends(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    memchr_iter(b'\n', bytes).filter_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

fn is_length(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    name.trim_ascii().eq_ignore_ascii_case(b"content-length")
}

#[cfg(test)]
mod tests;
