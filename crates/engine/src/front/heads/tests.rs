//! Tests of the HTTP/1 parser.

use super::*;

fn read(text: &str) -> Result<Option<Head>, Rejection> {
    parse_head(&mut BytesMut::from(text), 16 * 1024)
}

fn read_body(text: &str, mut ends: BodyEnd) -> Result<(Vec<u8>, BodyEnd, Vec<u8>), Rejection> {
    // Feeds the input byte by byte.
    let (mut buffer, mut body) = (BytesMut::new(), Vec::new());
    let mut rest = text.bytes();
    loop {
        while let Some(next_bytes) = next_bytes(&mut buffer, &mut ends)? {
            body.extend_from_slice(&next_bytes);
        }
        if ends == BodyEnd::Reached {
            return Ok((body, ends, rest.collect()));
        }
        match rest.next() {
            Some(byte) => buffer.extend_from_slice(&[byte]),
            None => return Ok((body, ends, Vec::new())),
        }
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
    let post = |lines: &str| read(&format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n"));
    for lines in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Host: other\r\n",
    ] {
        assert!(post(lines).is_err(), "{lines:?}");
    }
    assert!(matches!(post("Content-Length: 3\r\n"), Ok(Some(Head { ends: BodyEnd::AfterBytes(3), .. }))));
    assert!(matches!(post("Content-Length: 0\r\n"), Ok(Some(Head { ends: BodyEnd::Reached, .. }))));
}

#[test]
fn heads_are_parsed_only_when_complete_and_are_bounded() {
    let whole = "\r\nGET /a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n";
    for cut in 0..whole.len() {
        assert!(matches!(read(&whole[..cut]), Ok(None)), "{cut}");
    }
    let head = read(whole).expect("a head").expect("a complete head");
    assert!(head.last && !head.expects_continue && head.parts.uri.path() == "/a");
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(17 * 1024));
    assert_eq!(read(&long).expect_err("too long").status, 431);
    assert!(
        read("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").is_ok_and(|h| h.is_some_and(|h| !h.last))
    );
}

#[test]
fn chunks_are_joined_and_malformed_ones_rejected() {
    let chunks = BodyEnd::LastChunk(ChunkState::Size);
    let (body, ends, rest) =
        read_body("3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\nGET", chunks).expect("a body");
    assert_eq!(
        (body.as_slice(), ends, rest.as_slice()),
        (&b"abc0123456789"[..], BodyEnd::Reached, &b"GET"[..])
    );
    assert_eq!(
        read_body("3\r\nab", chunks).expect("a partial chunk").1,
        BodyEnd::LastChunk(ChunkState::Data(1))
    );
    for bad in ["x\r\n", "-1\r\n", "\r\n", "3\nabc", "3\r\nabcd\r\n", "11111111111111111\r\n"] {
        assert!(read_body(bad, chunks).is_err(), "{bad:?}");
    }
}
