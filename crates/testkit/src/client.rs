//! An HTTP client of the daemon.

use crate::message::{read_message, Message};
use crate::wait::PATIENCE;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connecting failed");
        stream.set_read_timeout(Some(PATIENCE)).expect("setting the timeout failed");
        Client::over(stream)
    }

    /// Creates a client over an established connection.
    pub fn over(stream: TcpStream) -> Client {
        let reader = BufReader::new(stream.try_clone().expect("cloning the socket failed"));
        Client { stream, reader }
    }

    /// Writes a request without reading the response.
    pub fn send(&mut self, method: &str, class: &str, headers: &str, body: &[u8]) {
        let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {class}\r\nX-Plan: team\r\nX-Quota: units=1,spread=2,first=0\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("writing the request failed");
    }

    pub fn raw(&mut self, bytes: &[u8]) -> Option<Message> {
        let _ = self.stream.write_all(bytes);
        self.read()
    }

    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    pub fn get(&mut self, path: &str, headers: &str) -> Message {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        self.raw(request.as_bytes()).expect("no response")
    }

    /// Sends a request of class `look`, which is safe to repeat, and returns the response.
    pub fn look(&mut self) -> Message {
        self.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        self.read().expect("no response")
    }

    /// Sends a `look` request to a limiter that has no peers and returns the response.
    pub fn look_of_one(&mut self) -> Message {
        self.of_one("GET", "look").1
    }

    /// Sends a request to a limiter that has no peers. Returns the request id and the response.
    pub fn of_one(&mut self, method: &str, class: &str) -> (String, Message) {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let request = format!("{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Plan: team\r\nX-Quota: units=1,spread=1,first=0\r\nX-Time-Left: 2.0\r\nContent-Length: 0\r\n\r\n");
        let answer = self.raw(request.as_bytes()).expect("no response");
        (id, answer)
    }

    /// Sends a request of class `once`, which must not run twice, and returns the response.
    pub fn once(&mut self, left: &str) -> Message {
        self.send("POST", "once", &format!("X-Time-Left: {left}\r\n"), b"{}");
        self.read().expect("no response")
    }
}
