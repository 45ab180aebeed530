//! A fake backend server with scripted behaviour.

use crate::message::{answer, read_message, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Action of a server on a request.
pub enum Act {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits, then writes these bytes.
    Late(Duration, Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes a response, waits, and writes further unsolicited bytes.
    Twice(Vec<u8>, Duration, Vec<u8>),
    /// Writes nothing until the limiter closes the connection.
    Silence,
}

/// A server whose `act` callback selects the action for each request.
pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
    /// Idle time of each connection when the limiter closed it. Connections closed by the server are not reported.
    pub closed: Receiver<Duration>,
    /// Receives a message after the second write of each [`Act::Twice`].
    pub wrote: Receiver<()>,
}

impl Server {
    pub fn start(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port failed");
        let address = listener.local_addr().expect("no local address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let (sender, closed) = channel();
        let (told, wrote) = channel();
        let (act, seen_there, open) = (Arc::new(act), seen.clone(), connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                open.fetch_add(1, Ordering::SeqCst);
                let (act, seen, sender) = (act.clone(), seen_there.clone(), sender.clone());
                let told = told.clone();
                std::thread::spawn(move || serve(stream, &*act, &seen, &sender, &told));
            }
        });
        Server { address, seen, connections, closed, wrote }
    }

    pub fn ok() -> Server {
        Server::start(|m| Act::Write(answer("200 OK", "X-Backend-Load: queue=0\r\n", m.start.as_bytes())))
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock poisoned").len()
    }
}

fn serve(
    mut stream: TcpStream,
    act: &(dyn Fn(&Message) -> Act + Send + Sync),
    seen: &Mutex<Vec<Message>>,
    closed: &Sender<Duration>,
    wrote: &Sender<()>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloning the socket failed"));
    loop {
        let quiet = Instant::now();
        let Some(message) = read_message(&mut reader) else {
            let _ = closed.send(quiet.elapsed());
            return;
        };
        seen.lock().expect("lock poisoned").push(message.clone());
        match act(&message) {
            Act::Write(bytes) => _ = stream.write_all(&bytes),
            Act::Twice(bytes, wait, more) => {
                if wait.is_zero() {
                    let _ = stream.write_all(&[bytes, more].concat());
                } else {
                    let _ = stream.write_all(&bytes);
                    std::thread::sleep(wait);
                    let _ = stream.write_all(&more);
                }
                let _ = wrote.send(());
            }
            Act::Late(wait, bytes) => {
                std::thread::sleep(wait);
                let _ = stream.write_all(&bytes);
            }
            Act::Close(bytes) => {
                let _ = stream.write_all(&bytes);
                // Dropping the socket is not enough: a child forked by another thread holds a copy of the
                // descriptor until it calls exec, which would keep the connection open.
                let _ = stream.shutdown(std::net::Shutdown::Both);
                drop((stream, reader));
                let _ = closed.send(Duration::ZERO);
                return;
            }
            Act::Silence => {}
        }
    }
}
