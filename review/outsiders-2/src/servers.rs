//! Servers as the pages describe them: each says that it is there by its beats, answers 421 to what is meant for another
//! server, and stops at the time that it was handed.

use crate::deployment::{post, Deployment};
use crate::http::{read_body, read_head, Message};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The time between two beats.
const BEAT_EVERY: Duration = Duration::from_millis(1500);

/// One request at a server. Its head has been read, its body has not.
pub struct Exchange<'a> {
    pub server: &'a Server,
    pub request: Message,
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Exchange<'_> {
    /// The id of the client's try.
    pub fn try_id(&self) -> String {
        self.request.header("try-id").unwrap_or("").to_owned()
    }

    /// Reads the whole body.
    pub fn read_body(&mut self) -> io::Result<()> {
        let mut body = Message { headers: self.request.headers.clone(), ..Message::default() };
        let result = read_body(&mut self.reader, &mut body, false);
        self.request.body = body.body;
        result
    }

    /// Reads the whole body a part at a time, with a pause before each part, and returns its length.
    pub fn read_body_slowly(&mut self, part: usize, pause: Duration) -> io::Result<usize> {
        self.read_body_at(part, &|| pause)
    }

    /// As [`Exchange::read_body_slowly`], with the pause asked for before each part.
    pub fn read_body_at(&mut self, part: usize, pause: &dyn Fn() -> Duration) -> io::Result<usize> {
        use std::io::Read;
        let length = self.request.length().unwrap_or(0);
        let (mut read, mut buffer) = (0, vec![0; part]);
        while read < length {
            sleep(pause());
            let wanted = part.min(length - read);
            self.reader.read_exact(&mut buffer[..wanted])?;
            read += wanted;
        }
        Ok(read)
    }

    /// Writes the head of an answer with this server's stamp.
    pub fn write_head(&mut self, status: &str, length: usize) -> io::Result<()> {
        let (try_id, seal) = (self.try_id(), self.seal());
        write!(
            self.stream,
            "HTTP/1.1 {status}\r\nTry-Id: {try_id}\r\nServer-Seal: {seal}\r\nContent-Length: {length}\r\n\r\n"
        )
    }

    /// Writes part of the body of an answer.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a whole answer.
    pub fn answer(&mut self, status: &str, body: &[u8]) -> io::Result<()> {
        self.write_head(status, body.len())?;
        self.write(body)
    }

    /// Writes a whole answer in chunks.
    pub fn answer_in_chunks(&mut self, length: usize) -> io::Result<()> {
        let (try_id, seal) = (self.try_id(), self.seal());
        let head = format!(
            "HTTP/1.1 200 OK\r\nTry-Id: {try_id}\r\nServer-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.write(head.as_bytes())?;
        let mut left = length;
        while left > 0 {
            let size = left.min(64 << 10);
            let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'c'; size], b"\r\n"].concat();
            self.write(&chunk)?;
            left -= size;
        }
        self.write(b"0\r\n\r\n")
    }

    fn seal(&self) -> String {
        format!("{}.{}", self.server.id, self.server.runs.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        self.server.record.line(&format!("server {}: try {}: {text}", self.server.id, self.try_id()));
    }
}

/// Works on a request and answers it. An error ends the connection.
pub type Work = Arc<dyn Fn(&mut Exchange<'_>) -> io::Result<()> + Send + Sync>;

/// One life of a server.
pub struct Server {
    pub id: String,
    pub number: u8,
    service: String,
    address: SocketAddr,
    record: Arc<Record>,
    runs: AtomicUsize,
    work: Work,
    acknowledged: Mutex<bool>,
}

impl Server {
    /// Starts a server and its beats.
    pub fn start(
        deployment: &Deployment,
        number: u8,
        service: &str,
        work: Work,
    ) -> Result<Arc<Server>, String> {
        let address = deployment.server(number);
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let server = Arc::new(Server {
            id: format!("i-{:x}{number}", std::process::id()),
            number,
            service: service.to_owned(),
            address,
            record: deployment.record.clone(),
            runs: AtomicUsize::new(0),
            work,
            acknowledged: Mutex::new(false),
        });
        let (beats, controls) = (server.clone(), deployment.controls());
        spawn(move || beats.beat_forever(&controls));
        let accepts = server.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepts.clone();
                spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Waits until a beat of this server was acknowledged.
    pub fn wait_until_known(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !*self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner) {
            if Instant::now() > until {
                return Err(format!("no beat of {} was acknowledged", self.id));
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn beat_forever(&self, controls: &[SocketAddr]) {
        let mut at = 0;
        for call_count in 1u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"ub-east-hall\",\"version\":\"v1\",\"slots\":16,\"serverState\":\"ready\",\"coldLeftMs\":0,\"callCount\":{call_count}}}",
                self.service, self.address
            );
            for _ in controls {
                let answer =
                    post(controls[at % controls.len()], &format!("/servers/{}/beat", self.id), &body);
                if matches!(answer, Ok(200..=299)) {
                    *self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner) = true;
                    break;
                }
                at += 1;
            }
            sleep(BEAT_EVERY);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = stream.try_clone().map(BufReader::new) else { return };
        while let Ok(Some(request)) = read_head(&mut reader) {
            let Ok(stream) = stream.try_clone() else { return };
            let mut exchange = Exchange { server: self, request, reader, stream };
            let is_meant = exchange.request.header("meant-server").is_none_or(|meant| meant == self.id);
            let done = if is_meant {
                (self.work)(&mut exchange)
            } else {
                let id = exchange.try_id();
                let answer = format!("HTTP/1.1 421 Misdirected\r\nTry-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                exchange.read_body().and_then(|()| exchange.write(answer.as_bytes()))
            };
            if done.is_err() {
                return;
            }
            reader = exchange.reader;
        }
    }
}
