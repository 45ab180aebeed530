//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request's or an answer's first line, headers (names in lower case) and body.
#[derive(Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The stated length of the body.
    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    /// Whether the body is chunked.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        match text.split_once(':') {
            Some((name, value)) if !message.first.is_empty() => {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
            _ => message.first = text.to_owned(),
        }
    }
}

/// Reads a body by its length or its chunks; an answer without either ends with its connection.
pub fn read_body(from: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "the body broke off");
    if message.is_chunked() {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(cut());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| cut())?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }
    match message.length() {
        Some(length) => {
            let read = from.take(length as u64).read_to_end(&mut message.body)?;
            if read == length {
                Ok(())
            } else {
                Err(cut())
            }
        }
        None if to_end => from.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Sends several requests without bodies at once on a connection of their own, and reads their answers, which come in the
/// same order, until the deadline. Returns the answers that came whole, with the time at which each did.
pub fn pipeline(to: SocketAddr, heads: &[String], within: Duration) -> io::Result<Vec<(Message, Duration)>> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(heads.concat().as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answers = Vec::new();
    while answers.len() < heads.len() {
        let left = within.saturating_sub(begun.elapsed());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left))?;
        let Ok(Some(mut answer)) = read_head(&mut reader) else { break };
        if read_body(&mut reader, &mut answer, false).is_err() {
            break;
        }
        answers.push((answer, begun.elapsed()));
    }
    Ok(answers)
}

/// How much of one answer came.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub status: u16,
    pub stated: usize,
    pub came: usize,
}

/// Sends several requests without bodies at once on a connection of their own, and reads their answers, which state their
/// lengths, `piece` bytes at a time with a pause after each. Returns what came of each answer that began.
pub fn pipeline_slowly(
    to: SocketAddr,
    heads: &[String],
    within: Duration,
    piece: usize,
    pause: Duration,
) -> io::Result<Vec<Part>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(heads.concat().as_bytes())?;
    let mut reader = BufReader::with_capacity(8 * 1024, stream);
    let (mut parts, mut buffer) = (Vec::new(), vec![0; piece]);
    while parts.len() < heads.len() {
        let Ok(Some(answer)) = read_head(&mut reader) else { break };
        let mut part = Part { status: answer.status(), stated: answer.length().unwrap_or(0), came: 0 };
        while part.came < part.stated {
            let wanted = piece.min(part.stated - part.came);
            match reader.read(&mut buffer[..wanted]) {
                Ok(read @ 1..) => part.came += read,
                _ => break,
            }
            std::thread::sleep(pause.mul_f64(wanted as f64 / piece as f64));
        }
        let is_whole = part.came == part.stated;
        parts.push(part);
        if !is_whole {
            break;
        }
    }
    Ok(parts)
}

/// Sends one request on a connection of its own and reads the whole answer. Errors hold what had arrived.
pub fn call(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    connect_within: Duration,
    within: Duration,
) -> Result<Message, (io::Error, Message)> {
    let fail = |error| (error, Message::default());
    let mut stream = TcpStream::connect_timeout(&to, connect_within).map_err(fail)?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(within)).map_err(fail)?;
    stream.set_write_timeout(Some(within)).map_err(fail)?;
    // The answer may come before the body has been taken, so both directions run at once.
    let mut writer = stream.try_clone().map_err(fail)?;
    std::thread::scope(|scope| {
        scope.spawn(move || writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body)));
        let mut reader = BufReader::new(&mut stream);
        let result = (|| {
            let Some(mut answer) = read_head(&mut reader).map_err(fail)? else {
                let error = io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
                return Err(fail(error));
            };
            match read_body(&mut reader, &mut answer, true) {
                Ok(()) => Ok(answer),
                Err(error) => Err((error, answer)),
            }
        })();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        result
    })
}
