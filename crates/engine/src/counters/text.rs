//! Client of the platform's text counter protocol: requests are pipelined as lines on a few persistent connections,
//! and each connection returns its replies in order.

use crate::ports::clock::Clock;
use crate::ports::counter::{Call, CallEnd, CallEndSink, CallId, Counter};
use crate::supervise::keep_running;
use oatbank_limiter_core::interface::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of persistent connections. The counter replies in order on each, so a slow call delays those behind it;
/// several connections limit that. A name keeps to one connection while it is up, so that its calls stay in order.
const CONNECTIONS: usize = 4;
/// Most pending replies on a connection; further calls are refused. Bounds the memory kept for a counter that does
/// not reply.
const MAX_PENDING_REPLIES: usize = 512;
/// A connection whose oldest reply is pending for longer than this is closed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// A connection idle for this long is sent a ping, ms, so that the counter does not close it.
const PING_INTERVAL: Millis = 2000.0;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the first reconnect, doubled after each failure up to [`MAX_RECONNECT_DELAY`]. A connection that
/// received data and lasted longer than this is replaced at once: a counter that resets one connection is still there.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Longest line that is accepted from the counter, bytes.
const MAX_LINE_BYTES: usize = 256;

/// A reply that is still to come on a connection.
struct PendingReply {
    /// The call; `None` for a ping.
    call: Option<CallId>,
    at: Millis,
    /// Offset of the end of its line among all bytes ever queued on the connection.
    line_end: u64,
}

#[derive(Default)]
struct Queue {
    out: Vec<u8>,
    queued: u64,
    written: u64,
    pending: VecDeque<PendingReply>,
}

/// State of one established connection.
#[derive(Default)]
struct Connection {
    queue: RefCell<Queue>,
    wake: Notify,
    received: Cell<bool>,
    /// Time at which a line was last queued.
    last_queued: Cell<Millis>,
    /// Replaced by a newer connection; it closes once no reply is pending.
    retired: Cell<bool>,
    /// Its oldest reply is overdue; it takes no calls and closes.
    dead: Cell<bool>,
}

impl Connection {
    fn push(&self, call: Option<CallId>, at: Millis, line: &[u8]) {
        self.last_queued.set(at);
        let mut queue = self.queue.borrow_mut();
        queue.out.extend_from_slice(line);
        queue.queued += line.len() as u64;
        let line_end = queue.queued;
        queue.pending.push_back(PendingReply { call, at, line_end });
        self.wake.notify_one();
    }

    fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }
}

/// Counter that is reached over the text protocol.
pub struct TextCounter {
    clock: Rc<dyn Clock>,
    ends: CallEndSink,
    address: Cell<Option<SocketAddr>>,
    connections: RefCell<[Option<Rc<Connection>>; CONNECTIONS]>,
    address_changed: [Notify; CONNECTIONS],
}

impl TextCounter {
    /// Spawns the tasks that keep connections to `address` open, on the current local set. Without an address every
    /// call ends at once as [`CallEnd::Unreachable`].
    pub fn start(address: Option<SocketAddr>, clock: Rc<dyn Clock>, ends: CallEndSink) -> Rc<Self> {
        let counter = Rc::new(TextCounter {
            clock,
            ends,
            address: Cell::new(address),
            connections: RefCell::default(),
            address_changed: std::array::from_fn(|_| Notify::new()),
        });
        for index in 0..CONNECTIONS {
            let counter = counter.clone();
            keep_running("counter", move || keep_connected(counter.clone(), index));
        }
        counter
    }

    /// Moves to another address. Each connection is used until its successor is up and is read until no reply is
    /// pending, so a call is neither lost nor sent twice.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.address_changed.iter().for_each(Notify::notify_one);
        }
    }
}

impl Counter for TextCounter {
    fn begin(&self, call: Call) -> Result<(), CallEnd> {
        let connections = self.connections.borrow();
        let first = (call.name.0 % CONNECTIONS as u64) as usize;
        // While the name's own connection is down its calls use another: otherwise one reset connection would look
        // like an unreachable counter.
        let standing = (0..CONNECTIONS).filter_map(|i| connections[(first + i) % CONNECTIONS].as_ref());
        let connection = standing.into_iter().find(|l| !l.dead.get()).ok_or(CallEnd::Unreachable)?;
        if connection.queue.borrow().pending.len() >= MAX_PENDING_REPLIES {
            return Err(CallEnd::Unreachable);
        }
        let line = format!("bump {:016x} {} {}\r\n", call.name.0, call.add, (call.ttl as u64).max(1));
        connection.push(Some(call.id), self.clock.now(), line.as_bytes());
        Ok(())
    }

    /// Closes connections whose oldest reply is overdue and sends a ping on idle ones.
    fn upkeep(&self, now: Millis) {
        for connection in self.connections.borrow().iter().flatten() {
            let oldest = connection.queue.borrow().pending.front().map(|o| now - o.at);
            match oldest {
                Some(age) if age > REPLY_TIMEOUT.as_secs_f64() * 1000.0 => {
                    connection.dead.set(true);
                    connection.wake.notify_one();
                }
                None if now - connection.last_queued.get() >= PING_INTERVAL => {
                    connection.push(None, now, b"ping\r\n");
                }
                _ => {}
            }
        }
    }
}

/// Keeps the connection at `index` open; does not return.
async fn keep_connected(counter: Rc<TextCounter>, index: usize) {
    let mut pause = MIN_RECONNECT_DELAY;
    loop {
        let Some(address) = counter.address.get() else {
            counter.address_changed[index].notified().await;
            continue;
        };
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            // With Nagle's algorithm a call would wait for the acknowledgement of the one before.
            let _ = stream.set_nodelay(true);
            let (up, connection) = (Instant::now(), Rc::new(Connection::default()));
            if let Some(before) = counter.connections.borrow_mut()[index].replace(connection.clone()) {
                before.retire();
            }
            let serving = tokio::task::spawn_local(serve(counter.clone(), stream, index, connection.clone()));
            tokio::select! {
                _ = serving => {}
                () = counter.address_changed[index].notified() => pause = MIN_RECONNECT_DELAY,
            }
            if connection.received.get() && up.elapsed() > MIN_RECONNECT_DELAY {
                pause = MIN_RECONNECT_DELAY;
                continue;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Removes a connection on drop, however it ends, and ends its pending calls: a call whose line was written whole may
/// have been added ([`CallEnd::Unknown`]), any other was not ([`CallEnd::Unreachable`]).
struct ConnectionGuard {
    counter: Rc<TextCounter>,
    index: usize,
    connection: Rc<Connection>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        {
            let mut connections = self.counter.connections.borrow_mut();
            if connections[self.index].as_ref().is_some_and(|l| Rc::ptr_eq(l, &self.connection)) {
                connections[self.index] = None;
            }
        }
        let queue = self.connection.queue.take();
        for o in queue.pending {
            let end = if o.line_end <= queue.written { CallEnd::Unknown } else { CallEnd::Unreachable };
            if let Some(call) = o.call {
                (self.counter.ends)(call, end);
            }
        }
    }
}

async fn serve(counter: Rc<TextCounter>, stream: TcpStream, index: usize, connection: Rc<Connection>) {
    let guard = ConnectionGuard { counter, index, connection };
    if let Err(e) = exchange(&guard.counter, stream, &guard.connection).await {
        tracing::warn!("counter: connection {index} lost: {e}");
    }
}

/// Writes calls and reads replies until the connection is retired and no reply is pending.
///
/// # Errors
/// The reason why the connection cannot be used any longer.
async fn exchange(
    counter: &TextCounter,
    mut stream: TcpStream,
    connection: &Connection,
) -> Result<(), String> {
    let (mut reader, mut writer) = stream.split();
    let mut line = Vec::new();
    let mut buffer = [0u8; 2048];
    let mut out = Vec::new();
    loop {
        {
            let mut queue = connection.queue.borrow_mut();
            if out.is_empty() {
                std::mem::swap(&mut out, &mut queue.out);
            }
            if connection.retired.get() && out.is_empty() && queue.pending.is_empty() {
                return Ok(());
            }
        }
        if connection.dead.get() {
            return Err("no answer".into());
        }
        tokio::select! {
            sent = writer.write(&out), if !out.is_empty() => {
                let n = sent.map_err(|e| e.to_string())?;
                out.drain(..n);
                connection.queue.borrow_mut().written += n as u64;
            }
            got = reader.read(&mut buffer) => {
                let n = got.map_err(|e| e.to_string())?;
                if n == 0 {
                    return Err("closed".into());
                }
                connection.received.set(true);
                for byte in &buffer[..n] {
                    if *byte == b'\n' {
                        handle_line(counter, connection, &line)?;
                        line.clear();
                    } else {
                        line.push(*byte);
                    }
                    if line.len() > MAX_LINE_BYTES {
                        return Err("line too long".into());
                    }
                }
            }
            () = connection.wake.notified() => {}
            () = tokio::time::sleep(REPLY_TIMEOUT), if connection.retired.get() => return Err("no answer".into()),
        }
    }
}

/// Handles one line from the counter.
///
/// # Errors
/// The line is not the reply that is due. The connection is then closed, and the result of the call whose reply was due
/// is as unknown as that of the calls behind it.
fn handle_line(counter: &TextCounter, connection: &Connection, line: &[u8]) -> Result<(), String> {
    let text = std::str::from_utf8(line).unwrap_or("?").trim();
    let end = match text.split_once(' ').map_or((text, None), |(a, b)| (a, Some(b))) {
        ("ok", Some(total)) => match total.trim().parse::<f64>() {
            Ok(total) if total.is_finite() => Some(CallEnd::Added(total)),
            _ => return Err(format!("answered {text:?}")),
        },
        ("busy", None) | ("error", _) => Some(CallEnd::Busy),
        ("pong", None) => None,
        _ => return Err(format!("answered {text:?}")),
    };
    let call = match connection.queue.borrow().pending.front() {
        Some(pending) if pending.call.is_none() == end.is_none() => pending.call,
        Some(_) => return Err(format!("answered {text:?} out of turn")),
        None => return Err(format!("answered {text:?} to no call")),
    };
    connection.queue.borrow_mut().pending.pop_front();
    if let (Some(call), Some(end)) = (call, end) {
        (counter.ends)(call, end);
    }
    Ok(())
}
