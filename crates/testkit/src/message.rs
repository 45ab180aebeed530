//! Minimal HTTP/1.1 message parsing and formatting.

use std::io::BufRead;

/// An HTTP message: start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("start line without a status code")
    }
}

/// Reads one message with a Content-Length or chunked body. Returns `None` if the connection ends or fails.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("invalid Content-Length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let (mut body, mut line) = (Vec::new(), String::new());
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).ok()?;
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..]).ok()?;
        // An empty line follows each chunk, and also the last one if there are no trailers.
        line.clear();
        reader.read_line(&mut line).ok()?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// Formats a response and adds its Content-Length. Each line in `headers` ends with CRLF.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut all =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    all.extend_from_slice(body);
    all
}
