//! The bytes of a head as they came, where the parser shows less than it was sent.
//!
//! Of a length beside a coding the parser keeps the coding only, and such a request may hide another in its body.

use memchr::{memchr_iter, memmem};

/// The last bytes that came on a connection.
pub(super) struct Heard {
    bytes: Vec<u8>,
    /// The most that is kept: what the parser's own buffer holds, in which a head must fit whole.
    most: usize,
}

impl Heard {
    /// Nothing has come; so many bytes are kept.
    pub(super) fn new(most: usize) -> Self {
        Heard { bytes: Vec::new(), most }
    }

    /// These bytes have come.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let bytes = &bytes[bytes.len().saturating_sub(self.most)..];
        let over = (self.bytes.len() + bytes.len()).saturating_sub(self.most);
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
mod tests {
    use super::*;

    const MOST: usize = 16 * 1024;

    fn heard(pieces: &[&str]) -> Heard {
        let mut heard = Heard::new(MOST);
        pieces.iter().for_each(|p| heard.push(p.as_bytes()));
        heard
    }

    #[test]
    fn a_length_is_seen_wherever_it_stands_in_the_head_and_however_it_came() {
        let (plain, chunked) = ("POST / HTTP/1.1\r\nX-Id: a1\r\n", "Transfer-Encoding: chunked\r\n\r\n");
        assert!(heard(&[plain, chunked]).has_no_length(b"a1"));
        for length in ["Content-Length: 3\r\n", "content-length:3\r\n", "CONTENT-LENGTH : 3\r\n"] {
            assert!(!heard(&[plain, length, chunked]).has_no_length(b"a1"), "{length}");
            assert!(!heard(&[&plain[..20], &plain[20..], &length[..5], &length[5..], chunked])
                .has_no_length(b"a1"));
        }
        assert!(!heard(&[plain, chunked]).has_no_length(b"a2"), "a head that is not found");
        assert!(heard(&[plain, chunked]).has_no_length(b""));
        assert!(
            !heard(&[plain, "Content-Length: 3\r\n", chunked]).has_no_length(b""),
            "no value to find it by"
        );
    }

    #[test]
    fn the_length_of_another_request_is_its_own() {
        let before = "POST / HTTP/1.1\r\nX-Id: a0\r\nContent-Length: 2\r\n\r\n{}";
        let after = "\r\n\r\nPOST / HTTP/1.1\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        assert!(heard(&[before, after, before]).has_no_length(b"a1"));
        let bare = [before, after, before].map(|piece| piece.replace("\r\n", "\n"));
        assert!(
            heard(&bare.each_ref().map(String::as_str)).has_no_length(b"a1"),
            "lines that end in a line feed"
        );
    }

    #[test]
    fn what_is_kept_is_bounded() {
        let mut heard = Heard::new(MOST);
        (0..100).for_each(|_| heard.push(&[b'x'; 1000]));
        heard.push(&[b'y'; 20_000]);
        assert_eq!(heard.bytes.len(), MOST);
    }
}
