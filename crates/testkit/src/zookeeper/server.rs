//! Endpoints, sessions and fault injection of the fake ensemble.

use super::jute::{Reader, Writer};
use super::tree::{Change, Tree, BAD_ARGUMENTS};
use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const UNIMPLEMENTED: i32 = -6;
/// Maximum accepted frame size, in bytes.
const MOST_FRAME: usize = 4 << 20;

/// Watched paths of one connection, by watch type.
#[derive(Default)]
struct Watches {
    data: HashSet<String>,
    exist: HashSet<String>,
    child: HashSet<String>,
    persistent: HashSet<String>,
    recursive: HashSet<String>,
}

impl Watches {
    /// Returns the event type and path if a watch matches the change, and removes the matching one-shot watches.
    fn hear(&mut self, change: &Change) -> Option<(i32, String)> {
        let (kind, path) = match change {
            Change::Created(path) => (1, path),
            Change::Deleted(path) => (2, path),
            Change::Data(path) => (3, path),
            Change::Children(path) => (4, path),
        };
        let once = match kind {
            1 => self.exist.remove(path),
            // A deletion triggers all three kinds of one-shot watch but sends a single event.
            2 => self.data.remove(path) | self.exist.remove(path) | self.child.remove(path),
            3 => self.data.remove(path) | self.exist.remove(path),
            _ => self.child.remove(path),
        };
        let under =
            |root: &String| path == root || path.starts_with(&format!("{}/", root.trim_end_matches('/')));
        let always = self.persistent.contains(path) || kind != 4 && self.recursive.iter().any(under);
        (once || always).then(|| (kind, path.clone()))
    }
}

struct Connection {
    stream: TcpStream,
    session: i64,
    endpoint: usize,
    watches: Watches,
}

#[derive(Clone)]
struct Session {
    password: Vec<u8>,
    timeout: Duration,
    heard: Instant,
}

#[derive(Default)]
struct State {
    tree: Tree,
    sessions: HashMap<i64, Session>,
    connections: HashMap<u64, Connection>,
    /// Stale trees served by lagging endpoints, by endpoint index.
    lagging: HashMap<usize, Tree>,
    next: i64,
}

impl State {
    /// Sends watch events to the connections of all endpoints that are not lagging.
    fn spread(&mut self, changes: &[Change]) {
        for connection in self.connections.values_mut() {
            if !self.lagging.contains_key(&connection.endpoint) {
                tell(connection, changes);
            }
        }
    }

    fn view(&self, endpoint: usize) -> &Tree {
        self.lagging.get(&endpoint).unwrap_or(&self.tree)
    }

    fn end_session(&mut self, session: i64) {
        let mut changes = Vec::new();
        self.sessions.remove(&session);
        self.tree.end_session(session, &mut changes);
        for connection in self.connections.values().filter(|c| c.session == session) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
        self.spread(&changes);
    }
}

fn tell(connection: &mut Connection, changes: &[Change]) {
    for (kind, path) in changes.iter().filter_map(|c| connection.watches.hear(c)).collect::<Vec<_>>() {
        let mut out = Writer::default();
        out.int(-1).long(-1).int(0).int(kind).int(3).buffer(path.as_bytes());
        // Write errors are ignored: the client may have disconnected.
        let _ = connection.stream.write_all(&out.frame());
    }
}

/// Faults injected at one endpoint.
#[derive(Default)]
struct Faults {
    refuse: AtomicBool,
    /// Delay before each reply, in milliseconds.
    late: AtomicU64,
    /// Corrupts the next reply.
    spoil: AtomicBool,
    frozen: Mutex<bool>,
    thawed: Condvar,
}

/// One server address of the ensemble.
pub struct Endpoint {
    pub address: SocketAddr,
    faults: Arc<Faults>,
}

/// A fake ZooKeeper ensemble whose endpoints share one tree.
pub struct Coordinator {
    state: Arc<Mutex<State>>,
    pub endpoints: Vec<Endpoint>,
}

impl Coordinator {
    /// Starts an ensemble with the given number of endpoints and an empty tree.
    pub fn start(addresses: usize) -> Coordinator {
        let state = Arc::new(Mutex::new(State { next: 0x5e55_0000, ..State::default() }));
        let endpoints = (0..addresses).map(|index| Endpoint::start(state.clone(), index)).collect();
        let weak = Arc::downgrade(&state);
        std::thread::spawn(move || {
            // Expires sessions until the coordinator is dropped.
            while let Some(state) = weak.upgrade() {
                let mut locked = state.lock().expect("lock poisoned");
                let over = locked.sessions.iter().filter(|(_, s)| s.heard.elapsed() > s.timeout);
                let over: Vec<i64> = over.map(|(id, _)| *id).collect();
                over.into_iter().for_each(|id| locked.end_session(id));
                drop(locked);
                drop(state);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Coordinator { state, endpoints }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock poisoned")
    }

    /// Returns the connect string: all endpoint addresses, separated by commas.
    pub fn cluster(&self) -> String {
        self.endpoints.iter().map(|e| e.address.to_string()).collect::<Vec<_>>().join(",")
    }

    /// Creates or overwrites a persistent node and creates its missing ancestors. Watch events have been written
    /// to the connections when this returns.
    pub fn put(&self, path: &str, data: &[u8]) {
        let mut state = self.lock();
        let mut changes = Vec::new();
        let above: Vec<String> = path.match_indices('/').skip(1).map(|(i, _)| path[..i].to_owned()).collect();
        for folder in above {
            let _ = state.tree.create(&folder, Vec::new(), 0, 0, &mut changes);
        }
        if state.tree.get(path).is_ok() {
            state.tree.set(path, data.to_vec(), -1, &mut changes).expect("updating the node failed");
        } else {
            state.tree.create(path, data.to_vec(), 0, 0, &mut changes).expect("creating the node failed");
        }
        state.spread(&changes);
    }

    /// Deletes a node. Returns false if it does not exist or has children.
    pub fn delete(&self, path: &str) -> bool {
        let (mut state, mut changes) = (self.lock(), Vec::new());
        let done = state.tree.delete(path, -1, &mut changes).is_ok();
        state.spread(&changes);
        done
    }

    /// Returns the data of a node, or `None` if it does not exist.
    pub fn get(&self, path: &str) -> Option<Vec<u8>> {
        self.lock().tree.get(path).ok().map(|n| n.data.clone())
    }

    /// Returns the names of a node's children; empty if the node does not exist.
    pub fn children(&self, path: &str) -> Vec<String> {
        let state = self.lock();
        state.tree.children(path).map(|c| c.iter().map(|n| (*n).to_owned()).collect()).unwrap_or_default()
    }

    /// Returns the ids of the live sessions.
    pub fn sessions(&self) -> Vec<i64> {
        self.lock().sessions.keys().copied().collect()
    }

    /// Ends a session as if it had timed out.
    pub fn expire(&self, session: i64) {
        self.lock().end_session(session);
    }

    /// Closes all connections but keeps the sessions.
    pub fn cut(&self) {
        let state = self.lock();
        state.connections.values().for_each(|c| _ = c.stream.shutdown(Shutdown::Both));
    }

    /// Drops all nodes, sessions and connections, as if the service had been reinstalled.
    pub fn lose_tree(&self) {
        let mut state = self.lock();
        (state.tree, state.sessions) = Default::default();
        state.connections.values().for_each(|c| _ = c.stream.shutdown(Shutdown::Both));
    }

    /// Returns a copy of the tree for [`Coordinator::restore`].
    pub fn snapshot(&self) -> Tree {
        self.lock().tree.clone()
    }

    /// Rolls the tree back to a snapshot. Sessions and connections end.
    pub fn restore(&self, tree: Tree) {
        self.lose_tree();
        self.lock().tree = tree;
    }

    /// Freezes the endpoint's view of the tree at its current state, or returns it to the live tree.
    pub fn lag(&self, endpoint: usize, lags: bool) {
        let mut state = self.lock();
        if lags {
            let now = state.tree.clone();
            state.lagging.insert(endpoint, now);
        } else if state.lagging.remove(&endpoint).is_some() {
            // The clients missed events. Closing their connections makes them set their watches again and catch up.
            let of = state.connections.values().filter(|c| c.endpoint == endpoint);
            of.for_each(|c| _ = c.stream.shutdown(Shutdown::Both));
        }
    }
}

impl Endpoint {
    fn start(state: Arc<Mutex<State>>, index: usize) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port failed");
        let address = listener.local_addr().expect("no local address");
        let faults = Arc::new(Faults::default());
        let there = faults.clone();
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                if there.refuse.load(Ordering::SeqCst) {
                    continue;
                }
                let (state, faults) = (state.clone(), there.clone());
                let number = (index as u64) << 32 | n as u64;
                std::thread::spawn(move || {
                    let _ = converse(&state, &faults, stream, index, number);
                    state.lock().expect("lock poisoned").connections.remove(&number);
                });
            }
        });
        Endpoint { address, faults }
    }

    /// Sets whether new connections are closed immediately.
    pub fn refuse(&self, refuses: bool) {
        self.faults.refuse.store(refuses, Ordering::SeqCst);
    }

    /// Sets whether requests are held unanswered until the endpoint is unfrozen.
    pub fn freeze(&self, frozen: bool) {
        *self.faults.frozen.lock().expect("lock poisoned") = frozen;
        self.faults.thawed.notify_all();
    }

    /// Delays each reply by the given time.
    pub fn late(&self, by: Duration) {
        self.faults.late.store(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Corrupts the next reply.
    pub fn spoil(&self) {
        self.faults.spoil.store(true, Ordering::SeqCst);
    }
}

fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let length = u32::from_be_bytes(length) as usize;
    let mut frame = vec![0; length];
    (length <= MOST_FRAME).then_some(())?;
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

/// Serves one client connection until it closes.
fn converse(
    state: &Mutex<State>,
    faults: &Faults,
    mut stream: TcpStream,
    endpoint: usize,
    number: u64,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let hello = read_frame(&mut stream)?;
    let session = connect(state, &mut stream, &hello, endpoint, number)?;
    loop {
        let frame = read_frame(&mut stream)?;
        let mut frozen = faults.frozen.lock().expect("lock poisoned");
        while *frozen {
            frozen = faults.thawed.wait(frozen).expect("lock poisoned");
        }
        drop(frozen);
        std::thread::sleep(Duration::from_millis(faults.late.load(Ordering::SeqCst)));
        let mut state = state.lock().expect("lock poisoned");
        state.sessions.get_mut(&session)?.heard = Instant::now();
        let (mut reply, closes) = Request { state: &mut state, session, endpoint, number }.serve(&frame)?;
        if faults.spoil.swap(false, Ordering::SeqCst) {
            reply.0.iter_mut().for_each(|byte| *byte ^= 0x5a);
        }
        // Written under the lock so that replies and events arrive in zxid order.
        stream.write_all(&reply.frame()).ok()?;
        if closes {
            state.end_session(session);
            return Some(());
        }
    }
}

fn connect(
    state: &Mutex<State>,
    stream: &mut TcpStream,
    hello: &[u8],
    endpoint: usize,
    number: u64,
) -> Option<i64> {
    let mut hello = Reader(hello);
    let (_, seen, timeout) = (hello.int()?, hello.long()?, hello.int()?);
    let (asked, password) = (hello.long()?, hello.buffer()?);
    let mut state = state.lock().expect("lock poisoned");
    if seen > state.view(endpoint).zxid {
        // The client has seen a newer zxid than this endpoint and must try another one.
        return None;
    }
    let timeout = timeout.clamp(100, 60_000);
    let known = state.sessions.get(&asked).is_some_and(|s| s.password == password);
    let mut out = Writer::default();
    if asked != 0 && !known {
        out.int(0).int(0).long(0).buffer(&[0; 16]).bool(false);
        stream.write_all(&out.frame()).ok()?;
        return None;
    }
    let id = if known { asked } else { state.next };
    state.next += 1;
    let password: Vec<u8> = (id as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c).to_be_bytes().into();
    let session = Session {
        password: password.clone(),
        timeout: Duration::from_millis(timeout as u64),
        heard: Instant::now(),
    };
    state.sessions.insert(id, session);
    out.int(0).int(timeout).long(id).buffer(&password).bool(false);
    stream.write_all(&out.frame()).ok()?;
    let stream = stream.try_clone().ok()?;
    state
        .connections
        .insert(number, Connection { stream, session: id, endpoint, watches: Watches::default() });
    Some(id)
}

/// Context of a request: its session, endpoint and connection.
struct Request<'a> {
    state: &'a mut State,
    session: i64,
    endpoint: usize,
    number: u64,
}

impl Request<'_> {
    /// Returns the reply and whether the session closes, or `None` if the frame is malformed.
    fn serve(&mut self, frame: &[u8]) -> Option<(Writer, bool)> {
        let mut input = Reader(frame);
        let (xid, kind) = (input.int()?, input.int()?);
        let (mut body, mut changes) = (Writer::default(), Vec::new());
        let done = self.operate(kind, &mut input, &mut body, &mut changes)?;
        let mut reply = Writer::default();
        reply.int(xid).long(self.state.view(self.endpoint).zxid).int(done.err().unwrap_or(0));
        if done.is_ok() {
            reply.0.extend(body.0);
        }
        self.state.spread(&changes);
        Some((reply, kind == -11))
    }

    fn watches(&mut self) -> Option<&mut Watches> {
        self.state.connections.get_mut(&self.number).map(|c| &mut c.watches)
    }

    fn operate(
        &mut self,
        kind: i32,
        input: &mut Reader<'_>,
        out: &mut Writer,
        changes: &mut Vec<Change>,
    ) -> Option<Result<(), i32>> {
        Some(match kind {
            1 | 15 | 2 | 5 | 13 => {
                let mut tree = std::mem::take(&mut self.state.tree);
                let done = write(&mut tree, kind, self.session, input, out, changes);
                self.state.tree = tree;
                done?
            }
            3 | 4 | 8 | 12 => self.read(kind, input.string()?, input.bool()?, out)?,
            9 => {
                out.buffer(input.string()?.as_bytes());
                Ok(())
            }
            11 | -11 | 100 => Ok(()),
            14 => self.multi(input, out, changes)?,
            101 | 105 => self.set_watches(kind, input)?,
            106 => {
                let (path, mode) = (input.string()?, input.int()?);
                let watches = self.watches()?;
                let set = if mode == 1 { &mut watches.recursive } else { &mut watches.persistent };
                set.insert(path);
                out.int(0);
                Ok(())
            }
            _ => Err(UNIMPLEMENTED),
        })
    }

    fn read(&mut self, kind: i32, path: String, watch: bool, out: &mut Writer) -> Option<Result<(), i32>> {
        let tree = self.state.view(self.endpoint);
        let done = match kind {
            3 => tree.put_stat(&path, out),
            4 => tree.get(&path).map(|n| _ = out.buffer(&n.data)).and_then(|()| tree.put_stat(&path, out)),
            _ => tree.children(&path).map(|c| _ = out.strings(c.into_iter())),
        };
        let done = match (kind, done) {
            (12, Ok(())) => tree.put_stat(&path, out),
            (_, done) => done,
        };
        if watch {
            let watches = self.watches()?;
            match (kind, &done) {
                (3, Err(_)) => _ = watches.exist.insert(path),
                (3 | 4, Ok(())) => _ = watches.data.insert(path),
                (_, Ok(())) => _ = watches.child.insert(path),
                _ => {}
            }
        }
        Some(done)
    }

    /// Applies a list of operations atomically.
    fn multi(
        &mut self,
        input: &mut Reader<'_>,
        out: &mut Writer,
        changes: &mut Vec<Change>,
    ) -> Option<Result<(), i32>> {
        let (mut tree, mut made) = (self.state.tree.clone(), Vec::new());
        let (mut results, mut failed) = (Vec::new(), None);
        loop {
            let (kind, done, _) = (input.int()?, input.bool()?, input.int()?);
            if done {
                break;
            }
            let mut body = Writer::default();
            let result = write(&mut tree, kind, self.session, input, &mut body, &mut made)?;
            if failed.is_none() {
                failed = result.err().map(|code| (results.len(), code));
            }
            results.push((kind, body));
        }
        match failed {
            None => {
                for (kind, body) in results {
                    out.int(kind).bool(false).int(0);
                    out.0.extend(body.0);
                }
                self.state.tree = tree;
                changes.extend(made);
            }
            Some((at, code)) => {
                for i in 0..results.len() {
                    // 0 for operations before the failed one, which were rolled back; -2 for later ones, which are not applied.
                    let code = if i < at {
                        0
                    } else if i == at {
                        code
                    } else {
                        -2
                    };
                    out.int(-1).bool(false).int(code).int(code);
                }
            }
        }
        out.int(-1).bool(true).int(-1);
        Some(Ok(()))
    }

    /// Restores the watches of an earlier connection and immediately sends events for changes it missed.
    fn set_watches(&mut self, kind: i32, input: &mut Reader<'_>) -> Option<Result<(), i32>> {
        let seen = input.long()?;
        let (data, exist, child) = (input.strings()?, input.strings()?, input.strings()?);
        let tree = self.state.view(self.endpoint);
        let mut missed = Vec::new();
        for path in &data {
            match tree.get(path) {
                Err(_) => missed.push(Change::Deleted(path.clone())),
                Ok(node) if node.stat.mzxid > seen => missed.push(Change::Data(path.clone())),
                Ok(_) => {}
            }
        }
        missed.extend(exist.iter().filter(|p| tree.get(p).is_ok()).cloned().map(Change::Created));
        for path in &child {
            match tree.get(path) {
                Err(_) => missed.push(Change::Deleted(path.clone())),
                Ok(node) if node.stat.pzxid > seen => missed.push(Change::Children(path.clone())),
                Ok(_) => {}
            }
        }
        let watches = self.watches()?;
        watches.data.extend(data);
        watches.exist.extend(exist);
        watches.child.extend(child);
        if kind == 105 {
            watches.persistent.extend(input.strings()?);
            watches.recursive.extend(input.strings()?);
        }
        tell(self.state.connections.get_mut(&self.number)?, &missed);
        Some(Ok(()))
    }
}

/// Executes a create, delete, set or check operation on the tree.
fn write(
    tree: &mut Tree,
    kind: i32,
    session: i64,
    input: &mut Reader<'_>,
    out: &mut Writer,
    changes: &mut Vec<Change>,
) -> Option<Result<(), i32>> {
    let path = input.string()?;
    Some(match kind {
        1 | 15 => {
            let data = input.buffer()?;
            input.acls()?;
            let made = tree.create(&path, data, input.int()?, session, changes);
            made.and_then(|path| {
                out.buffer(path.as_bytes());
                if kind == 15 {
                    tree.put_stat(&path, out)
                } else {
                    Ok(())
                }
            })
        }
        2 => tree.delete(&path, input.int()?, changes),
        5 => {
            let (data, version) = (input.buffer()?, input.int()?);
            tree.set(&path, data, version, changes).and_then(|()| tree.put_stat(&path, out))
        }
        13 => {
            let version = input.int()?;
            match tree.get(&path) {
                Ok(node) if version == -1 || node.stat.version == version => Ok(()),
                Ok(_) => Err(super::tree::BAD_VERSION),
                Err(e) => Err(e),
            }
        }
        _ => Err(BAD_ARGUMENTS),
    })
}
