//! The bytes of a head as they came, where the parser shows less than it was sent.
//!
//! Of a length beside a coding the parser keeps the coding only, and such a request may hide another in its body.

use memchr::{memchr_iter, memmem};

/// The most that is kept: what the parser's own buffer holds, in which a head must fit whole.
const MOST: usize = 16 * 1024;

/// The last bytes that came on a connection.
#[derive(Default)]
pub struct Heard(Vec<u8>);

impl Heard {
    /// These bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        let bytes = &bytes[bytes.len().saturating_sub(MOST)..];
        let over = (self.0.len() + bytes.len()).saturating_sub(MOST);
        self.0.drain(..over);
        self.0.extend_from_slice(bytes);
    }

    /// Nothing that came so far belongs to a head that is still to be read.
    pub fn forget(&mut self) {
        self.0 = Vec::new();
    }

    /// Whether the head in which this value stands has no `Content-Length`. A head that cannot be found has one, for
    /// all that is known.
    pub fn has_no_length(&self, value: &[u8]) -> bool {
        let mut found = false;
        for at in memmem::find_iter(&self.0, value) {
            let start = head_ends(&self.0[..at]).last().unwrap_or(0);
            let end = head_ends(&self.0[at..]).next().map_or(self.0.len(), |end| at + end);
            let head = &self.0[start..end];
            if head.split(|b| *b == b'\n').any(is_length) {
                return false;
            }
            found = true;
        }
        found
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

    fn heard(pieces: &[&str]) -> Heard {
        let mut heard = Heard::default();
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
        let mut heard = Heard::default();
        (0..100).for_each(|_| heard.push(&[b'x'; 1000]));
        heard.push(&[b'y'; 20_000]);
        assert_eq!(heard.0.len(), MOST);
    }
}
