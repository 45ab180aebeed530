//! A stand-in for a server.

use crate::message::{answer, read_message, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum Act {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits, then writes.
    Late(Duration, Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes bytes, waits, and writes others that nobody asked for.
    Twice(Vec<u8>, Duration, Vec<u8>),
    /// Says nothing until the limiter closes.
    Silence,
}

/// A server whose `act` decides on each request.
pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
    /// How long each connection had been quiet when the limiter closed it; nothing where the server did.
    pub closed: Receiver<Duration>,
    /// The second write of each [`Act::Twice`] is done.
    pub wrote: Receiver<()>,
}

impl Server {
    pub fn start(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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
        self.seen.lock().expect("a lock").len()
    }
}

fn serve(
    mut stream: TcpStream,
    act: &(dyn Fn(&Message) -> Act + Send + Sync),
    seen: &Mutex<Vec<Message>>,
    closed: &Sender<Duration>,
    wrote: &Sender<()>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    loop {
        let quiet = Instant::now();
        let Some(message) = read_message(&mut reader) else {
            let _ = closed.send(quiet.elapsed());
            return;
        };
        seen.lock().expect("a lock").push(message.clone());
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
                // Not just dropped: a process that another thread is starting holds every descriptor until it
                // has become its own program, and so long the connection would stay open.
                let _ = stream.shutdown(std::net::Shutdown::Both);
                drop((stream, reader));
                let _ = closed.send(Duration::ZERO);
                return;
            }
            Act::Silence => {}
        }
    }
}
