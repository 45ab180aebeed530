//! The raw bytes received last on a connection, to detect headers that the parser drops.
//!
//! The parser drops a `Content-Length` next to a `Transfer-Encoding`, and such a request may hide another one in its
//! body.

use memchr::{memchr_iter, memmem};

/// The last bytes received on a connection.
pub(super) struct RecentBytes {
    bytes: Vec<u8>,
    /// Most bytes kept: the size of the parser's buffer, which has to hold a whole head.
    limit: usize,
}

impl RecentBytes {
    /// Creates an empty buffer that keeps the last `limit` bytes.
    pub(super) fn new(limit: usize) -> Self {
        RecentBytes { bytes: Vec::new(), limit }
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let bytes = &bytes[bytes.len().saturating_sub(self.limit)..];
        let excess = (self.bytes.len() + bytes.len()).saturating_sub(self.limit);
        self.bytes.drain(..excess);
        self.bytes.extend_from_slice(bytes);
    }

    /// Clears the buffer; called when no received byte belongs to a head still to be read.
    pub(super) fn forget(&mut self) {
        self.bytes = Vec::new();
    }

    /// Whether the head that contains `value` has no `Content-Length`. Returns false if no such head is found. With an
    /// empty value, all buffered bytes are searched.
    pub(super) fn has_no_length(&self, value: &[u8]) -> bool {
        let has_length = |head: &[u8]| head.split(|b| *b == b'\n').any(is_length);
        if value.is_empty() {
            return !has_length(&self.bytes);
        }
        // End of the heads searched so far.
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

/// Offsets after each empty line, where heads end. Like the parser, it accepts a bare line feed as a line ending.
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
