//! Messages of HTTP/1.1 on a socket, read whole and checked strictly.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const LONGEST_HEAD: usize = 64 * 1024;
const FIELDS: usize = 64;

/// How a message ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection came up.
    Unreachable,
    /// Closed before its first byte.
    Closed,
    /// Reset, or closed within.
    Cut,
    /// It did not come in time.
    Late,
    /// It is no message.
    Garbled,
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request.
    pub method: String,
    /// The path and query of a request.
    pub path: String,
    /// The status of an answer.
    pub status: u16,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether the connection ends after it.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// One connection.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    /// Connects.
    ///
    /// # Errors
    /// As the system says.
    pub fn connect(to: SocketAddr, within: Duration) -> io::Result<HttpConnection> {
        Ok(HttpConnection::new(TcpStream::connect_timeout(&to, within)?))
    }

    /// Over this stream.
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new() }
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// As the system says.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        self.stream.write_all(bytes)
    }

    /// Its end will be a reset.
    pub fn linger_none(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Nothing has come that was not read, not even the end.
    pub fn is_quiet(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let quiet = matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && quiet
    }

    /// Waits for bytes of the next message, for so long at most; false when there are none yet.
    ///
    /// # Errors
    /// When the other side has closed.
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

    /// Reads a request whole.
    ///
    /// # Errors
    /// How it ended.
    pub fn request(&mut self, until: Instant) -> Result<Message, HttpError> {
        let mut message = self.head(until, request_head)?;
        self.body(&mut message, until, true)?;
        Ok(message)
    }

    /// Reads an answer whole.
    ///
    /// # Errors
    /// How it ended.
    pub fn answer(&mut self, until: Instant) -> Result<Message, HttpError> {
        let mut message = self.head(until, answer_head)?;
        self.body(&mut message, until, false)?;
        Ok(message)
    }

    fn head(&mut self, until: Instant, parse: fn(&[u8]) -> Parsed) -> Result<Message, HttpError> {
        loop {
            if !self.buffer.is_empty() {
                if let Some((length, message)) = parse(&self.buffer)? {
                    self.buffer.drain(..length);
                    return Ok(message);
                }
                if self.buffer.len() > LONGEST_HEAD {
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

    /// Bytes within a message: an end here cuts it.
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

/// A head and its length, if it is whole.
type Parsed = Result<Option<(usize, Message)>, HttpError>;

fn request_head(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = head.parse(bytes).map_err(|_| HttpError::Garbled)? else {
        return Ok(None);
    };
    let (method, path) =
        (head.method.unwrap_or_default().to_owned(), head.path.unwrap_or_default().to_owned());
    Ok(Some((length, Message { method, path, fields: fields_of(head.headers), ..Message::default() })))
}

fn answer_head(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = head.parse(bytes).map_err(|_| HttpError::Garbled)? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or(0);
    Ok(Some((length, Message { status, fields: fields_of(head.headers), ..Message::default() })))
}

fn fields_of(fields: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    fields.iter().map(|f| (f.name.to_ascii_lowercase(), text(f.value))).collect()
}
