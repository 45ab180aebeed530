//! Tests of the parent module.

use super::*;

const MOST: usize = 16 * 1024;

fn heard(pieces: &[&str]) -> RecentBytes {
    let mut heard = RecentBytes::new(MOST);
    pieces.iter().for_each(|p| heard.push(p.as_bytes()));
    heard
}

#[test]
fn a_length_is_seen_wherever_it_stands_in_the_head_and_however_it_came() {
    let (plain, chunked) = ("POST / HTTP/1.1\r\nX-Id: a1\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    assert!(heard(&[plain, chunked]).has_no_length(b"a1"));
    for length in ["Content-Length: 3\r\n", "content-length:3\r\n", "CONTENT-LENGTH : 3\r\n"] {
        assert!(!heard(&[plain, length, chunked]).has_no_length(b"a1"), "{length}");
        assert!(
            !heard(&[&plain[..20], &plain[20..], &length[..5], &length[5..], chunked]).has_no_length(b"a1")
        );
    }
    assert!(!heard(&[plain, chunked]).has_no_length(b"a2"), "a head that is not found");
    assert!(heard(&[plain, chunked]).has_no_length(b""));
    assert!(!heard(&[plain, "Content-Length: 3\r\n", chunked]).has_no_length(b""), "no value to find it by");
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
    let mut heard = RecentBytes::new(MOST);
    (0..100).for_each(|_| heard.push(&[b'x'; 1000]));
    heard.push(&[b'y'; 20_000]);
    assert_eq!(heard.bytes.len(), MOST);
}
