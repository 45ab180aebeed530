//! Minimal HTTP/1.1 connection that reads complete messages and checks them strictly.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADER_FIELDS: usize = 64;

/// Reason why no complete message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection could not be established.
    Unreachable,
    /// Closed before the first byte of the message.
    Closed,
    /// Reset, or closed within the message.
    Cut,
    /// The timeout expired.
    Late,
    /// The bytes are not a valid HTTP message.
    Garbled,
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request.
    pub method: String,
    /// Path and query of a request.
    pub path: String,
    /// Status of an answer.
    pub status: u16,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body of the message, without the chunked encoding.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first field with this lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns whether the message announces `Connection: close`.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// An HTTP/1.1 connection with its read buffer.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    /// Connects to an address within a timeout.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn connect(to: SocketAddr, within: Duration) -> io::Result<HttpConnection> {
        Ok(HttpConnection::new(TcpStream::connect_timeout(&to, within)?))
    }

    /// Wraps a connected stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new() }
    }

    /// Sends bytes, with a write timeout of 10 s.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        self.stream.write_all(bytes)
    }

    /// Makes closing the connection send a reset, by a linger time of zero.
    pub fn linger_none(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Returns whether the connection is open and has no unread data.
    pub fn is_quiet(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let quiet = matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && quiet
    }

    /// Waits for the first bytes of the next message. Returns false if none arrive within the timeout.
    ///
    /// # Errors
    /// Returns an error if the peer has closed or reset the connection.
    pub fn wait(&mut self, within: Duration) -> Result<bool, HttpError> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        match self.fill(Instant::now() + within) {
            Ok(()) => Ok(true),
            Err(HttpError::Late) => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn fill(&mut self, until: Instant) -> Result<(), HttpError> {
        let broken = if self.buffer.is_empty() { HttpError::Closed } else { HttpError::Cut };
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left)).map_err(|_| HttpError::Cut)?;
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(broken),
            Ok(n) => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(HttpError::Late)
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(_) => Err(HttpError::Cut),
        }
    }

    /// Reads a complete request.
    ///
    /// # Errors
    /// Returns the reason why no complete message was read.
    pub fn request(&mut self, until: Instant) -> Result<Message, HttpError> {
        let mut message = self.head(until, request_head)?;
        self.body(&mut message, until, true)?;
        Ok(message)
    }

    /// Reads a complete answer.
    ///
    /// # Errors
    /// Returns the reason why no complete message was read.
    pub fn answer(&mut self, until: Instant) -> Result<Message, HttpError> {
        let mut message = self.head(until, answer_head)?;
        self.body(&mut message, until, false)?;
        Ok(message)
    }

    fn head(&mut self, until: Instant, parse: fn(&[u8]) -> ParsedHead) -> Result<Message, HttpError> {
        loop {
            if !self.buffer.is_empty() {
                if let Some((length, message)) = parse(&self.buffer)? {
                    self.buffer.drain(..length);
                    return Ok(message);
                }
                if self.buffer.len() > MAX_HEAD_BYTES {
                    return Err(HttpError::Garbled);
                }
            }
            self.fill(until)?;
        }
    }

    fn body(&mut self, message: &mut Message, until: Instant, request: bool) -> Result<(), HttpError> {
        let chunked = message.field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let length =
            message.field("content-length").map(|v| v.parse::<usize>().map_err(|_| HttpError::Garbled));
        match length.transpose()? {
            _ if matches!(message.status, 204 | 304) => {}
            _ if chunked => message.body = self.chunks(until)?,
            Some(length) => message.body = self.bytes(length, until)?,
            None if request => {}
            None => loop {
                match self.fill(until) {
                    Ok(()) => {}
                    Err(HttpError::Closed) => return Ok(()),
                    Err(HttpError::Cut) if self.stream.peek(&mut [0]).is_ok_and(|n| n == 0) => {
                        message.body = std::mem::take(&mut self.buffer);
                        return Ok(());
                    }
                    Err(e) => return Err(e),
                }
            },
        }
        Ok(())
    }

    /// Reads body bytes. The end of the connection here is [`HttpError::Cut`], as the message is incomplete.
    fn bytes(&mut self, length: usize, until: Instant) -> Result<Vec<u8>, HttpError> {
        while self.buffer.len() < length {
            self.fill(until).map_err(|e| if e == HttpError::Closed { HttpError::Cut } else { e })?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self, until: Instant) -> Result<String, HttpError> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return String::from_utf8(line[..at].to_vec()).map_err(|_| HttpError::Garbled);
            }
            self.fill(until).map_err(|e| if e == HttpError::Closed { HttpError::Cut } else { e })?;
        }
    }

    fn chunks(&mut self, until: Instant) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let line = self.line(until)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| HttpError::Garbled)?;
            if size == 0 {
                while !self.line(until)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.bytes(size, until)?);
            if !self.line(until)?.is_empty() {
                return Err(HttpError::Garbled);
            }
        }
    }
}

/// Parsed head and its length in bytes, or `None` if it is incomplete.
type ParsedHead = Result<Option<(usize, Message)>, HttpError>;

fn request_head(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = head.parse(bytes).map_err(|_| HttpError::Garbled)? else {
        return Ok(None);
    };
    let (method, path) =
        (head.method.unwrap_or_default().to_owned(), head.path.unwrap_or_default().to_owned());
    Ok(Some((length, Message { method, path, fields: convert_fields(head.headers), ..Message::default() })))
}

fn answer_head(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = head.parse(bytes).map_err(|_| HttpError::Garbled)? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or(0);
    Ok(Some((length, Message { status, fields: convert_fields(head.headers), ..Message::default() })))
}

fn convert_fields(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    fields.iter().map(|f| (f.name.to_ascii_lowercase(), text(f.value))).collect()
}
