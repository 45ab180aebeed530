//! A fake counter service that speaks the platform's text protocol.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A counter that adds amounts. `twist` can replace a response: it receives the request line and the total and
/// returns the bytes to send.
pub struct Counter {
    pub address: SocketAddr,
    /// Sum of all added amounts.
    pub added: Arc<Mutex<f64>>,
    /// Totals by name.
    pub totals: Arc<Mutex<BTreeMap<String, f64>>>,
    pub calls: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
}

impl Counter {
    pub fn start(twist: impl Fn(usize, f64) -> Vec<u8> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port failed");
        let address = listener.local_addr().expect("no local address");
        let (calls, connections) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let totals = Arc::new(Mutex::new(BTreeMap::<String, f64>::new()));
        let added = Arc::new(Mutex::new(0.0));
        let (sum, book) = (added.clone(), totals.clone());
        let (calls_there, open, twist) = (calls.clone(), connections.clone(), Arc::new(twist));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                open.fetch_add(1, Ordering::SeqCst);
                let sum = sum.clone();
                let (totals, calls, twist) = (book.clone(), calls_there.clone(), twist.clone());
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().expect("cloning the socket failed"));
                    for line in reader.lines().map_while(Result::ok) {
                        let words: Vec<&str> = line.split(' ').collect();
                        let bytes = match words[..] {
                            ["bump", name, add, _] => {
                                let add: f64 = add.parse().expect("invalid amount");
                                *sum.lock().expect("lock poisoned") += add;
                                let total = {
                                    let mut totals = totals.lock().expect("lock poisoned");
                                    let total = totals.entry(name.to_owned()).or_default();
                                    *total += add;
                                    *total
                                };
                                twist(calls.fetch_add(1, Ordering::SeqCst), total)
                            }
                            _ => b"pong\r\n".to_vec(),
                        };
                        if stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Counter { address, added, totals, calls, connections }
    }

    pub fn ok() -> Counter {
        Counter::start(|_, total| format!("ok {total}\r\n").into_bytes())
    }
}
