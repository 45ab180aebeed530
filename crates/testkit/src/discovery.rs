//! A fake of the platform's discovery agent.

use crate::message::{answer, read_message};
use crate::server::Server;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A discovery agent that serves the full list `list` and sends raw chunks to all open watches.
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<Mutex<String>>,
    pub asked: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Suppresses the keep-alive lines of watches, as if their connections were dead.
    pub mute: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port failed");
        let address = listener.local_addr().expect("no local address");
        let list = Arc::new(Mutex::new(list));
        let (asked, watches) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let (list_there, asked_there, watches_there) = (list.clone(), asked.clone(), watches.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().expect("cloning the socket failed"));
                let Some(message) = read_message(&mut reader) else { continue };
                asked_there.lock().expect("lock poisoned").push(message.start.clone());
                if message.start.contains("follow=1") {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n";
                    let _ = stream.write_all(head.as_bytes());
                    watches_there.lock().expect("lock poisoned").push(stream);
                } else {
                    let list = list_there.lock().expect("lock poisoned").clone();
                    let _ = stream.write_all(&answer("200 OK", "", list.as_bytes()));
                }
            }
        });
        let mute = Arc::new(AtomicBool::new(false));
        let (open, quiet) = (watches.clone(), mute.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(500));
            if !quiet.load(Ordering::SeqCst) {
                for stream in open.lock().expect("lock poisoned").iter_mut() {
                    let _ = stream.write_all(b"2\r\n\r\n\r\n");
                }
            }
        });
        Discovery { address, list, asked, watches, mute }
    }

    /// Writes `piece` to all open watches as a separate HTTP chunk.
    pub fn write(&self, piece: &str) {
        for stream in self.watches.lock().expect("lock poisoned").iter_mut() {
            let _ = stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes());
        }
    }

    pub fn watching(&self) -> usize {
        self.watches.lock().expect("lock poisoned").len()
    }
}

/// Formats one entry of a list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// Formats the full list of these servers, all ready, with ids s-1, s-2 and so on.
pub fn all_ready(revision: u64, servers: &[&Server]) -> String {
    let members = servers.iter().enumerate();
    let members = members.map(|(i, s)| member(&format!("s-{}", i + 1), s.address, "Ready"));
    list(revision, true, &members.collect::<Vec<_>>())
}
