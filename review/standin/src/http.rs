//! HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| &v[..])
    }
    pub fn get(&self, name: &str) -> Option<String> {
        self.bytes(name).map(|v| String::from_utf8_lossy(v).into_owned())
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub whole: bool,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk).map_err(|e| {
            if e.kind() == io::ErrorKind::WouldBlock {
                io::ErrorKind::TimedOut.into()
            } else {
                e
            }
        })?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the peer closes before its first byte.
    pub fn head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text: Vec<u8> = self.buffer.drain(..at + 4).collect();
                let mut lines = text[..at].split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
                let line = String::from_utf8_lossy(lines.next().unwrap_or(b"")).into_owned();
                let headers = lines
                    .filter_map(|l| {
                        let colon = l.iter().position(|b| *b == b':')?;
                        Some((
                            String::from_utf8_lossy(&l[..colon]).into_owned(),
                            l[colon + 1..].trim_ascii().to_vec(),
                        ))
                    })
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill(until)? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Takes up to `most` bytes of what has come; waits for the first.
    pub fn some(&mut self, most: usize, until: Instant) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && self.fill(until)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let n = self.buffer.len().min(most);
        Ok(self.buffer.drain(..n).collect())
    }

    pub fn exactly(&mut self, n: usize, until: Instant) -> io::Result<Vec<u8>> {
        let mut out = Vec::new();
        while out.len() < n {
            let more = self.some(n - out.len(), until)?;
            out.extend_from_slice(&more);
        }
        Ok(out)
    }

    /// Reads `n` bytes and forgets them.
    pub fn skip(&mut self, mut n: usize, until: Instant) -> io::Result<()> {
        while n > 0 {
            n -= self.some(n, until)?.len();
        }
        Ok(())
    }

    fn text_line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces. With `to_end`, one without a length ends with the connection.
    pub fn body(&mut self, head: &Head, to_end: bool, until: Instant) -> (Vec<u8>, bool) {
        let mut out = Vec::new();
        if let Some(length) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
            while out.len() < length {
                match self.some(length - out.len(), until) {
                    Ok(more) => out.extend_from_slice(&more),
                    Err(_) => return (out, false),
                }
            }
            return (out, true);
        }
        if head.get("transfer-encoding").is_some() {
            loop {
                let Ok(line) = self.text_line(until) else { return (out, false) };
                let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                    return (out, false);
                };
                if size == 0 {
                    return (out, self.text_line(until).is_ok());
                }
                match self.exactly(size + 2, until) {
                    Ok(more) => out.extend_from_slice(&more[..size]),
                    Err(_) => return (out, false),
                }
            }
        }
        if to_end {
            loop {
                match self.some(65536, until) {
                    Ok(more) => out.extend_from_slice(&more),
                    Err(e) => return (out, e.kind() == io::ErrorKind::UnexpectedEof),
                }
            }
        }
        (out, true)
    }

    /// Reads an answer; interim ones are passed over.
    pub fn answer(&mut self, method: &str, within: Duration) -> io::Result<Answer> {
        let until = Instant::now() + within;
        loop {
            let head = self.head(until)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let status: u16 = head.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            if (100..200).contains(&status) {
                continue;
            }
            let (body, whole) = if method == "HEAD" || status == 204 {
                (Vec::new(), true)
            } else {
                self.body(&head, true, until)
            };
            return Ok(Answer { status, head, body, whole });
        }
    }
}

pub fn call(
    address: std::net::SocketAddr,
    text: &[u8],
    method: &str,
    within: Duration,
) -> io::Result<Answer> {
    let mut c = Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?);
    c.write(text)?;
    c.answer(method, within)
}
