//! HTTP/1 parsing and encoding of heads and bodies, for pipelined connections.

use crate::classify::Rejection;
use bytes::{Buf, Bytes, BytesMut};
use http::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{Method, Request, StatusCode, Uri, Version};

/// How long a connection stays open while it is idle.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Most headers in a head.
const MAX_HEADERS: usize = 100;
/// Longest chunk size line, bytes.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// Most bytes of trailers, which are discarded.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

const LENGTH_AND_CODING: &str = "Content-Length beside Transfer-Encoding\n";

/// How the end of a request body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// After this many more bytes.
    AfterBytes(u64),
    /// With the last chunk of a chunked body.
    LastChunk(ChunkState),
    /// The end has been reached.
    Reached,
}

/// Parser state within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// Before a chunk size line.
    Size,
    /// In a chunk with this many bytes left.
    Data(u64),
    /// Before the line ending after a chunk's data.
    DataEnd,
    /// In the trailers, of which this many bytes were read.
    Trailers(usize),
}

/// A parsed request head.
#[derive(Debug)]
pub struct Head {
    /// Method, URI, version and headers.
    pub parts: Parts,
    /// How the end of the body is found.
    pub ends: BodyEnd,
    /// Whether the client wants the connection closed after the answer.
    pub last: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Parses and removes a head from the front of the buffer; `None` if it is incomplete.
///
/// # Errors
/// If the head is malformed, too long or ambiguous.
pub fn parse_head(buffer: &mut BytesMut, most: usize) -> Result<Option<Head>, Rejection> {
    // Skips empty lines before a request (RFC 9112, 2.2).
    while buffer.first().is_some_and(|b| matches!(b, b'\r' | b'\n')) {
        buffer.advance(1);
    }
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut storage);
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
    let is_http10 = parsed.version == Some(0);
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(header.value)) else {
            return Err(Rejection::bad("a header cannot be read\n"));
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    let ends = ends(&headers, is_http10)?;
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(Rejection::bad("Host stands twice\n"));
    }
    let last =
        if is_http10 { !connection_has(&headers, "keep-alive") } else { connection_has(&headers, "close") };
    let expects_continue = ends != BodyEnd::Reached
        && headers.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = if is_http10 { Version::HTTP_10 } else { Version::HTTP_11 };
    *request.headers_mut() = headers;
    Ok(Some(Head { parts: request.into_parts().0, ends, last, expects_continue }))
}

/// Whether the `Connection` header lists this option.
pub fn connection_has(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|said| said.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// Determines how a request's body ends. Ambiguous framing, which may hide a second request, is rejected.
fn ends(headers: &HeaderMap, is_http10: bool) -> Result<BodyEnd, Rejection> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyEnd::Reached),
        (Some(_), Some(_)) => Err(Rejection::bad(LENGTH_AND_CODING)),
        (Some(coding), None) => {
            if is_http10
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

/// Removes the next bytes of a body from the front of the buffer; `None` if more input is needed or the body has
/// ended.
///
/// # Errors
/// If the chunked coding is malformed.
pub fn next_bytes(buffer: &mut BytesMut, ends: &mut BodyEnd) -> Result<Option<Bytes>, Rejection> {
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
            BodyEnd::LastChunk(ChunkState::Trailers(read)) => {
                let Some(line) = line(buffer, MAX_TRAILER_BYTES).ok_or(BAD)? else { return Ok(None) };
                *read += line.len() + 2;
                if *read > MAX_TRAILER_BYTES {
                    return Err(BAD);
                }
                if line.is_empty() {
                    *ends = BodyEnd::Reached;
                }
            }
        }
    }
}

/// Removes a line from the front of the buffer and returns it without its ending; `Some(None)` if it is incomplete,
/// `None` if it is too long or does not end in CR LF.
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

/// How the end of an answer is marked on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the chunked coding.
    Chunked,
    /// By the end of the connection.
    Close,
    /// The answer has no body, whatever its headers say.
    None,
}

/// What an answer says about its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection ends with this answer.
    Close,
    /// The connection stays open while it is idle for at least this many seconds (RFC 2068, 19.7.1.1).
    KeepAlive {
        /// Seconds.
        timeout_s: u64,
    },
}

/// Encodes the head of an answer into `out`.
pub fn write_head(
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    persistence: Persistence,
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
        // The framing headers are written below only.
        let framing = *name == TRANSFER_ENCODING
            || *name == CONNECTION
            || *name == KEEP_ALIVE
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
    match persistence {
        Persistence::KeepAlive { timeout_s } if framing != Framing::Close => {
            line(b"connection", b"keep-alive");
            line(b"keep-alive", format!("timeout={timeout_s}").as_bytes());
        }
        _ => line(b"connection", b"close"),
    }
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests;
