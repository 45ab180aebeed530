//! Tests of the search for `Content-Length` in raw bytes.

use super::*;

const LIMIT: usize = 16 * 1024;

fn received(chunks: &[&str]) -> RecentBytes {
    let mut received = RecentBytes::new(LIMIT);
    chunks.iter().for_each(|p| received.push(p.as_bytes()));
    received
}

#[test]
fn content_length_is_found_anywhere_in_the_head_and_across_reads() {
    let (plain, chunked) = ("POST / HTTP/1.1\r\nX-Id: a1\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    assert!(received(&[plain, chunked]).has_no_length(b"a1"));
    for length in ["Content-Length: 3\r\n", "content-length:3\r\n", "CONTENT-LENGTH : 3\r\n"] {
        assert!(!received(&[plain, length, chunked]).has_no_length(b"a1"), "{length}");
        assert!(!received(&[&plain[..20], &plain[20..], &length[..5], &length[5..], chunked])
            .has_no_length(b"a1"));
    }
    assert!(!received(&[plain, chunked]).has_no_length(b"a2"), "a head that is not found");
    assert!(received(&[plain, chunked]).has_no_length(b""));
    assert!(
        !received(&[plain, "Content-Length: 3\r\n", chunked]).has_no_length(b""),
        "without a value to locate the head"
    );
}

#[test]
fn the_content_length_of_another_request_is_ignored() {
    let before = "POST / HTTP/1.1\r\nX-Id: a0\r\nContent-Length: 2\r\n\r\n{}";
    let after = "\r\n\r\nPOST / HTTP/1.1\r\nX-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(received(&[before, after, before]).has_no_length(b"a1"));
    let bare = [before, after, before].map(|chunk| chunk.replace("\r\n", "\n"));
    assert!(
        received(&bare.each_ref().map(String::as_str)).has_no_length(b"a1"),
        "lines that end in a bare line feed"
    );
}

#[test]
fn the_buffer_is_bounded() {
    let mut received = RecentBytes::new(LIMIT);
    (0..100).for_each(|_| received.push(&[b'x'; 1000]));
    received.push(&[b'y'; 20_000]);
    assert_eq!(received.bytes.len(), LIMIT);
}
