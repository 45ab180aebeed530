//! Heads and bodies of requests and answers as bytes, for connections on which several requests are in hand at once.

use crate::classify::Rejection;
use bytes::{Buf, Bytes, BytesMut};
use http::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{Method, Request, StatusCode, Uri, Version};

/// Most headers of one head.
const MAX_HEADERS: usize = 100;
/// Longest line of a chunk's size.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// Most that trailers take; they say nothing that is passed on.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

const LENGTH_AND_CODING: &str = "Content-Length beside Transfer-Encoding\n";

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// After so many bytes.
    AfterBytes(u64),
    /// With its last chunk.
    LastChunk(ChunkState),
    /// It has ended.
    Reached,
}

/// Where a chunked body stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// Before a size.
    Size,
    /// So many bytes of this chunk are to come.
    Data(u64),
    /// Before the line's end behind a chunk's bytes.
    DataEnd,
    /// In the trailers, of which so many bytes have come.
    Trailers(usize),
}

/// A request's head.
#[derive(Debug)]
pub struct Head {
    /// What it says.
    pub parts: Parts,
    /// Where its body ends.
    pub ends: BodyEnd,
    /// The connection ends with its answer.
    pub last: bool,
    /// Its sender waits for a word before it sends the body.
    pub expects_continue: bool,
}

/// Takes a head off the front of what has come; none if it is not whole yet.
///
/// # Errors
/// When it is no head, or can be read in two ways.
pub fn parse_head(buffer: &mut BytesMut, most: usize) -> Result<Option<Head>, Rejection> {
    // Empty lines before a request are let pass (RFC 9112, 2.2).
    while buffer.first().is_some_and(|b| matches!(b, b'\r' | b'\n')) {
        buffer.advance(1);
    }
    let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut room);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= most => length,
        Ok(httparse::Status::Partial) if buffer.len() < most => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(Rejection { status, why: "the head is too long\n" });
        }
        Err(_) => return Err(Rejection::bad("no request that can be read\n")),
    };
    let method = parsed.method.and_then(|m| Method::from_bytes(m.as_bytes()).ok());
    let method = method.ok_or(Rejection::bad("no method that can be read\n"))?;
    let uri: Option<Uri> = parsed.path.and_then(|p| p.parse().ok());
    let uri = uri.ok_or(Rejection::bad("no path that can be read\n"))?;
    let old = parsed.version == Some(0);
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(header.value)) else {
            return Err(Rejection::bad("a header cannot be read\n"));
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    let ends = ends(&headers, old)?;
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(Rejection::bad("Host stands twice\n"));
    }
    let last = if old { !connection_has(&headers, "keep-alive") } else { connection_has(&headers, "close") };
    let expects_continue = ends != BodyEnd::Reached
        && headers.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = if old { Version::HTTP_10 } else { Version::HTTP_11 };
    *request.headers_mut() = headers;
    Ok(Some(Head { parts: request.into_parts().0, ends, last, expects_continue }))
}

/// Whether `Connection` names this option.
pub fn connection_has(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|said| said.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// Where a request's body ends. What can be read in two ways may hide a second request, and is turned away.
fn ends(headers: &HeaderMap, old: bool) -> Result<BodyEnd, Rejection> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyEnd::Reached),
        (Some(_), Some(_)) => Err(Rejection::bad(LENGTH_AND_CODING)),
        (Some(coding), None) => {
            if old
                || codings.next().is_some()
                || !coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
            {
                let status = StatusCode::NOT_IMPLEMENTED;
                return Err(Rejection { status, why: "no other coding than chunked\n" });
            }
            Ok(BodyEnd::LastChunk(ChunkState::Size))
        }
        (None, Some(length)) => {
            let plain = |v: &HeaderValue| -> Option<u64> {
                let text = v.to_str().ok()?;
                (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
            };
            if lengths.next().is_some() {
                return Err(Rejection::bad("Content-Length stands twice\n"));
            }
            match plain(length) {
                Some(0) => Ok(BodyEnd::Reached),
                Some(length) => Ok(BodyEnd::AfterBytes(length)),
                None => Err(Rejection::bad("Content-Length is no number\n")),
            }
        }
    }
}

/// Takes the next piece of a body off the front of what has come. None: more has to come first, or the body is over.
///
/// # Errors
/// When it is no body.
pub fn piece(buffer: &mut BytesMut, ends: &mut BodyEnd) -> Result<Option<Bytes>, Rejection> {
    const BAD: Rejection = Rejection::bad("the body cannot be read\n");
    loop {
        match ends {
            BodyEnd::Reached => return Ok(None),
            BodyEnd::AfterBytes(left) => {
                let taken = (buffer.len() as u64).min(*left);
                if taken == 0 {
                    return Ok(None);
                }
                *left -= taken;
                if *left == 0 {
                    *ends = BodyEnd::Reached;
                }
                return Ok(Some(buffer.split_to(taken as usize).freeze()));
            }
            BodyEnd::LastChunk(ChunkState::Size) => {
                let Some(line) = line(buffer, MAX_CHUNK_SIZE_LINE).ok_or(BAD)? else { return Ok(None) };
                let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                let size =
                    std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
                let size = size.and_then(|d| u64::from_str_radix(d, 16).ok()).ok_or(BAD)?;
                *ends = BodyEnd::LastChunk(if size == 0 {
                    ChunkState::Trailers(0)
                } else {
                    ChunkState::Data(size)
                });
            }
            BodyEnd::LastChunk(ChunkState::Data(left)) => {
                let taken = (buffer.len() as u64).min(*left);
                if taken == 0 {
                    return Ok(None);
                }
                *left -= taken;
                if *left == 0 {
                    *ends = BodyEnd::LastChunk(ChunkState::DataEnd);
                }
                return Ok(Some(buffer.split_to(taken as usize).freeze()));
            }
            BodyEnd::LastChunk(ChunkState::DataEnd) => {
                let Some(line) = line(buffer, 2).ok_or(BAD)? else { return Ok(None) };
                if !line.is_empty() {
                    return Err(BAD);
                }
                *ends = BodyEnd::LastChunk(ChunkState::Size);
            }
            BodyEnd::LastChunk(ChunkState::Trailers(come)) => {
                let Some(line) = line(buffer, MAX_TRAILER_BYTES).ok_or(BAD)? else { return Ok(None) };
                *come += line.len() + 2;
                if *come > MAX_TRAILER_BYTES {
                    return Err(BAD);
                }
                if line.is_empty() {
                    *ends = BodyEnd::Reached;
                }
            }
        }
    }
}

/// Takes a line off the front, without its end. The outer none: it is too long or ends otherwise than in CR LF.
fn line(buffer: &mut BytesMut, most: usize) -> Option<Option<Bytes>> {
    match buffer.iter().position(|b| *b == b'\n') {
        Some(0) => None,
        Some(at) if buffer[at - 1] == b'\r' && at < most + 2 => {
            let line = buffer.split_to(at + 1).freeze();
            Some(Some(line.slice(..at - 1)))
        }
        Some(_) => None,
        None if buffer.len() > most + 1 => None,
        None => Some(None),
    }
}

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// With the connection.
    Close,
    /// There is no body, whatever the headers say.
    None,
}

/// An answer's head as bytes.
pub fn write_head(
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    close: bool,
    out: &mut BytesMut,
) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    out.extend_from_slice(b"\r\n");
    let mut line = |name: &[u8], value: &[u8]| {
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    };
    for (name, value) in headers {
        // The end of the answer is marked below, and nowhere else.
        let framing = *name == TRANSFER_ENCODING
            || *name == CONNECTION
            || *name == CONTENT_LENGTH && framing != Framing::None;
        if !framing {
            line(name.as_str().as_bytes(), value.as_bytes());
        }
    }
    match framing {
        Framing::Length(length) => line(b"content-length", length.to_string().as_bytes()),
        Framing::Chunked => line(b"transfer-encoding", b"chunked"),
        Framing::Close | Framing::None => {}
    }
    if close || framing == Framing::Close {
        line(b"connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests;
