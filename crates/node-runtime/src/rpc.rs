//! Calls between programs: frames on one connection, many calls at once, each answered when its answer is there.
//!
//! A frame is a length (`u32`, big endian, of what follows), a kind (`u8`), the call's id (`u64`) and the payload; the
//! answer carries its call's kind and id. All of it runs in a `LocalSet` on one thread.

use crate::network;
use crate::random::chance;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use slab::Slab;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// What a handler gives back: an answer, at once or later (a held call).
pub type Answering = Pin<Box<dyn Future<Output = Vec<u8>>>>;

/// The longest payload of a frame.
pub const LONGEST: usize = 8 << 20;
/// How many calls of one link may wait for their answers.
pub const OUTSTANDING: usize = 256;
/// A connection that says nothing for so long while calls wait is given up; a call that may take longer is a held one.
pub const SILENCE: Duration = Duration::from_millis(1500);

const HEAD: usize = 4 + 1 + 8;
/// An id holds the call's number, and in so many bits its place among those that wait.
const PLACE_BITS: u32 = 8;
const _: () = assert!(OUTSTANDING <= 1 << PLACE_BITS);
const CONNECT: Duration = Duration::from_millis(400);
const BACK_OFF: (u64, u64) = (50, 400);
/// How much is gathered for one write, and how much may wait to be written before no more calls are read.
const GATHER: usize = 64 << 10;
/// Calls of one connection that a server works on at once; held calls that the other side gave up count too.
const AT_WORK: usize = 4 * OUTSTANDING;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The call was certainly not sent.
    Unreachable,
    /// The call may or may not have been taken.
    Lost,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkError::Unreachable => "not sent: no connection",
            LinkError::Lost => "no answer came",
        })
    }
}

impl std::error::Error for LinkError {}

fn prepare(socket: &SockRef<'_>) -> std::io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let second = Duration::from_secs(1);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(second).with_interval(second))
}

fn put(out: &mut BytesMut, kind: u8, id: u64, body: &[u8]) {
    out.reserve(HEAD + body.len());
    out.put_u32((HEAD - 4 + body.len()) as u32);
    out.put_u8(kind);
    out.put_u64(id);
    out.put_slice(body);
}

struct Frame {
    kind: u8,
    id: u64,
    body: Bytes,
}

/// Takes one frame off the front; `None` until it is whole, an error if it can be none.
fn take(buffer: &mut BytesMut) -> Result<Option<Frame>, ()> {
    if buffer.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if !(HEAD - 4..=HEAD - 4 + LONGEST).contains(&length) {
        return Err(());
    }
    if buffer.len() < 4 + length {
        buffer.reserve(4 + length - buffer.len());
        return Ok(None);
    }
    let mut frame = buffer.split_to(4 + length).freeze();
    frame.advance(4);
    let kind = frame.get_u8();
    let id = frame.get_u64();
    Ok(Some(Frame { kind, id, body: frame }))
}

/// Answers calls on every connection that comes in, without end. A call whose connection ends is dropped where it
/// waits. Answers longer than [`LONGEST`] end the connection.
pub async fn serve(listener: TcpListener, handler: Rc<dyn Fn(u8, Bytes) -> Answering>) {
    loop {
        match listener.accept().await {
            Ok((mut stream, _)) => {
                if prepare(&SockRef::from(&stream)).is_ok() {
                    let handler = handler.clone();
                    tokio::task::spawn_local(async move {
                        let (reader, writer) = stream.split();
                        answer(reader, writer, handler).await;
                    });
                }
            }
            // Out of descriptors, mostly: those in use come back.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Answers calls on one connection until it ends.
pub async fn answer(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    handler: Rc<dyn Fn(u8, Bytes) -> Answering>,
) {
    let mut incoming = BytesMut::new();
    let mut outgoing = BytesMut::new();
    let mut at_work: JoinSet<(u8, u64, Vec<u8>)> = JoinSet::new();
    loop {
        while at_work.len() < AT_WORK && outgoing.len() < LONGEST {
            match take(&mut incoming) {
                Ok(Some(frame)) => {
                    let answering = handler(frame.kind, frame.body);
                    let (kind, id) = (frame.kind, frame.id);
                    at_work.spawn_local(async move { (kind, id, answering.await) });
                }
                Ok(None) => break,
                Err(()) => return,
            }
        }
        let room = at_work.len() < AT_WORK && outgoing.len() < LONGEST;
        tokio::select! {
            biased;
            Some(done) = at_work.join_next(), if !at_work.is_empty() => {
                // A handler that panicked has no answer; its caller learns of it by the connection's end.
                let Ok((kind, id, body)) = done else { return };
                if body.len() > LONGEST { return }
                put(&mut outgoing, kind, id, &body);
                while let Some(done) = at_work.try_join_next() {
                    let Ok((kind, id, body)) = done else { return };
                    if body.len() > LONGEST { return }
                    put(&mut outgoing, kind, id, &body);
                }
            }
            wrote = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => {
                if !matches!(wrote, Ok(1..)) { return }
                if outgoing.is_empty() && outgoing.capacity() > GATHER { outgoing = BytesMut::new() }
            }
            read = reader.read_buf(&mut incoming), if room => {
                if !matches!(read, Ok(1..)) { return }
            }
        }
    }
}

struct Waiting {
    number: u64,
    kind: u8,
    sent: bool,
    held: bool,
    answer: oneshot::Sender<Result<Bytes, LinkError>>,
}

struct State {
    waiting: Slab<Waiting>,
    /// The number of the last call: no two calls of a link share one, however late an answer comes.
    next: u64,
    /// Frames that no connection has taken yet.
    queue: VecDeque<(u64, u8, Vec<u8>)>,
    /// Calls sent, unanswered and not held.
    pressing: usize,
    running: bool,
    /// The back-off in milliseconds; 0 while connections succeed.
    back_off: u64,
    retry_at: Option<Instant>,
    chance: Pcg32,
}

impl State {
    fn end(&mut self, key: usize) -> Waiting {
        let waiting = self.waiting.remove(key);
        if waiting.sent && !waiting.held {
            self.pressing -= 1;
        }
        waiting
    }

    /// The key of a call that still waits.
    fn key(&self, id: u64) -> Option<usize> {
        let key = (id & ((1 << PLACE_BITS) - 1)) as usize;
        self.waiting.get(key).filter(|waiting| waiting.number == id >> PLACE_BITS).map(|_| key)
    }

    /// Moves queued frames of calls that still wait into `out`.
    fn gather(&mut self, out: &mut BytesMut) {
        while out.len() < GATHER {
            let Some((id, kind, body)) = self.queue.pop_front() else { break };
            let Some(key) = self.key(id) else { continue };
            self.waiting[key].sent = true;
            if !self.waiting[key].held {
                self.pressing += 1;
            }
            put(out, kind, id, &body);
        }
    }

    fn fail(&mut self, unsent_too: bool) {
        let keys: Vec<usize> =
            self.waiting.iter().filter(|(_, w)| w.sent || unsent_too).map(|(key, _)| key).collect();
        for key in keys {
            let waiting = self.end(key);
            let error = if waiting.sent { LinkError::Lost } else { LinkError::Unreachable };
            let _ = waiting.answer.send(Err(error));
        }
        if unsent_too {
            self.queue.clear();
        }
    }

    fn back_off(&mut self) {
        self.back_off = (self.back_off * 2).clamp(BACK_OFF.0, BACK_OFF.1);
        let half = self.back_off / 2;
        let wait = half + u64::from(self.chance.next_u32()) % (half + 1);
        self.retry_at = Some(Instant::now() + Duration::from_millis(wait));
    }
}

struct Shared {
    to: SocketAddr,
    state: RefCell<State>,
    wake: Notify,
    closed: Cell<bool>,
}

/// The way to one other program: a connection made on demand and made again after a back-off.
pub struct Link {
    shared: Rc<Shared>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Link({})", self.shared.to)
    }
}

/// A call that is dropped while it waits leaves its place.
struct Place<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(key) = state.key(self.id) {
            if !state.end(key).sent {
                state.queue.retain(|(queued, _, _)| *queued != self.id);
            }
        }
    }
}

impl Link {
    /// A link to `to`; nothing is sent before the first call.
    pub fn new(to: SocketAddr) -> Rc<Link> {
        let state = State {
            waiting: Slab::new(),
            next: 0,
            queue: VecDeque::new(),
            pressing: 0,
            running: false,
            back_off: 0,
            retry_at: None,
            chance: Pcg32::seed_from_u64(chance()),
        };
        let shared = Shared { to, state: RefCell::new(state), wake: Notify::new(), closed: Cell::new(false) };
        Rc::new(Link { shared: Rc::new(shared) })
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.shared.to
    }

    /// Sends a call and waits for its answer, `within` at most. Without a connection it waits for one to be made;
    /// `Unreachable` says that nothing of it was sent. A call with more than [`SILENCE`] is a held one: its waiting
    /// alone does not make the connection count as dead.
    pub async fn call(&self, kind: u8, body: Vec<u8>, within: Duration) -> Result<Bytes, LinkError> {
        let until = Instant::now() + within;
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.shared.state.borrow_mut();
            if body.len() > LONGEST || state.waiting.len() >= OUTSTANDING {
                return Err(LinkError::Unreachable);
            }
            state.next += 1;
            let number = state.next;
            let held = within > SILENCE;
            let key = state.waiting.insert(Waiting { number, kind, sent: false, held, answer: sender });
            let id = number << PLACE_BITS | key as u64;
            state.queue.push_back((id, kind, body));
            if !state.running {
                state.running = true;
                tokio::task::spawn_local(run(self.shared.clone()));
            }
            id
        };
        self.shared.wake.notify_one();
        let _place = Place { shared: &self.shared, id };
        match timeout_at(until, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(LinkError::Lost),
            Err(_) => {
                let state = self.shared.state.borrow();
                let sent = state.key(id).is_none_or(|key| state.waiting[key].sent);
                Err(if sent { LinkError::Lost } else { LinkError::Unreachable })
            }
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.set(true);
        self.shared.wake.notify_one();
    }
}

/// Connects and carries frames; `None` where there is no connection, otherwise whether anything was heard on it.
async fn connect_and_carry(shared: &Shared) -> Option<bool> {
    if let Some(net) = network::here() {
        let (reader, writer) = timeout(CONNECT, net.connect(shared.to)).await.ok()?.ok()?;
        return Some(carry(shared, reader, writer).await);
    }
    let mut stream = connect(shared.to).await.ok()?;
    let (reader, writer) = stream.split();
    Some(carry(shared, reader, writer).await)
}

async fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    prepare(&SockRef::from(&socket))?;
    timeout(CONNECT, socket.connect(to)).await?
}

/// Connects and carries frames until nothing waits to be sent and the connection has ended.
async fn run(shared: Rc<Shared>) {
    loop {
        let retry_at = shared.state.borrow().retry_at;
        if let Some(at) = retry_at {
            sleep_until(at).await;
        }
        if shared.closed.get() {
            return;
        }
        match connect_and_carry(&shared).await {
            Some(heard) => {
                let mut state = shared.state.borrow_mut();
                if heard {
                    state.back_off = 0;
                    state.retry_at = None;
                } else {
                    state.back_off();
                }
                state.fail(false);
            }
            None => {
                let mut state = shared.state.borrow_mut();
                state.back_off();
                state.fail(true);
            }
        }
        let mut state = shared.state.borrow_mut();
        if shared.closed.get() || state.queue.is_empty() {
            state.running = false;
            return;
        }
    }
}

/// Carries frames until the connection ends; says whether anything was heard on it.
async fn carry(
    shared: &Shared,
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
) -> bool {
    let mut incoming = BytesMut::new();
    let mut outgoing = BytesMut::new();
    let mut heard = false;
    // Since when nothing was heard though an answer is due; calls that were given up since then still count.
    let mut quiet_since: Option<Instant> = None;
    loop {
        if shared.closed.get() {
            return heard;
        }
        {
            let mut state = shared.state.borrow_mut();
            state.gather(&mut outgoing);
            if quiet_since.is_none() && state.pressing > 0 {
                quiet_since = Some(Instant::now());
            }
        }
        let silent_at = quiet_since.unwrap_or_else(Instant::now) + SILENCE;
        tokio::select! {
            biased;
            read = reader.read_buf(&mut incoming) => {
                if !matches!(read, Ok(1..)) { return heard }
                heard = true;
                let mut state = shared.state.borrow_mut();
                loop {
                    match take(&mut incoming) {
                        Ok(Some(frame)) => {
                            // Of a call that was given up, or has its answer: nobody's.
                            let Some(key) = state.key(frame.id) else { continue };
                            // It answers something else than it was asked: nothing it says can be believed.
                            if state.waiting[key].kind != frame.kind || !state.waiting[key].sent {
                                return heard;
                            }
                            let _ = state.end(key).answer.send(Ok(frame.body));
                        }
                        Ok(None) => break,
                        Err(()) => return heard,
                    }
                }
                quiet_since = (state.pressing > 0).then(Instant::now);
            }
            wrote = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => {
                let Ok(length @ 1..) = wrote else { return heard };
                // Long bodies take their time to be sent; the answer is due from then on.
                if quiet_since.is_some() && length + outgoing.len() > GATHER {
                    quiet_since = Some(Instant::now());
                }
                if outgoing.is_empty() && outgoing.capacity() > 2 * GATHER { outgoing = BytesMut::new() }
            }
            () = shared.wake.notified(), if outgoing.is_empty() => {}
            () = sleep_until(silent_at), if quiet_since.is_some() => return heard,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;

    const LONG: Duration = Duration::from_secs(10);

    fn run_here(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, test);
    }

    async fn listener() -> (TcpListener, Rc<Link>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(listener.local_addr().unwrap());
        (listener, link)
    }

    /// A scripted peer reads one call.
    async fn hear(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Frame> {
        loop {
            if let Some(frame) = take(buffer).unwrap() {
                return Some(frame);
            }
            if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    async fn say(stream: &mut TcpStream, frame: &Frame, body: &[u8]) {
        let mut out = BytesMut::new();
        put(&mut out, frame.kind, frame.id, body);
        stream.write_all(&out).await.unwrap();
    }

    #[test]
    fn many_calls_share_a_connection_and_a_held_one_does_not_hold_the_others() {
        run_here(async {
            let (listener, link) = listener().await;
            let release = Rc::new(Notify::new());
            let released = release.clone();
            let handler = Rc::new(move |kind, body: Bytes| -> Answering {
                let released = released.clone();
                Box::pin(async move {
                    if kind == 9 {
                        released.notified().await;
                    }
                    [&[kind], &body[..]].concat()
                })
            });
            tokio::task::spawn_local(serve(listener, handler));
            let holding = link.clone();
            let held = tokio::task::spawn_local(async move { holding.call(9, b"held".to_vec(), LONG).await });
            let large = vec![7; 3 << 20];
            let answer = link.call(1, large.clone(), LONG).await.unwrap();
            assert!(answer[0] == 1 && answer[1..] == large[..]);
            for n in 0..100u8 {
                assert_eq!(link.call(2, vec![n], LONG).await.unwrap(), vec![2, n]);
            }
            assert!(!held.is_finished());
            release.notify_one();
            assert_eq!(&held.await.unwrap().unwrap()[1..], b"held");
            assert_eq!(link.call(3, vec![0; LONGEST + 1], LONG).await, Err(LinkError::Unreachable));
        });
    }

    #[test]
    fn what_was_not_sent_is_told_from_what_may_have_been_taken() {
        run_here(async {
            let (peer, link) = listener().await;
            let calling = link.clone();
            let call = tokio::task::spawn_local(async move { calling.call(1, vec![1], LONG).await });
            let (mut stream, _) = peer.accept().await.unwrap();
            assert!(hear(&mut stream, &mut BytesMut::new()).await.is_some());
            drop((stream, peer));
            assert_eq!(call.await.unwrap(), Err(LinkError::Lost));
            assert_eq!(link.call(1, vec![1], LONG).await, Err(LinkError::Unreachable));
        });
    }

    #[test]
    fn a_late_answer_belongs_to_no_other_call() {
        run_here(async {
            let (peer, link) = listener().await;
            let short = Duration::from_millis(20);
            let calling = link.clone();
            let call = tokio::task::spawn_local(async move { calling.call(1, vec![1], short).await });
            let (mut stream, _) = peer.accept().await.unwrap();
            let mut buffer = BytesMut::new();
            let first = hear(&mut stream, &mut buffer).await.unwrap();
            assert_eq!(call.await.unwrap(), Err(LinkError::Lost));
            let calling = link.clone();
            let call = tokio::task::spawn_local(async move { calling.call(1, vec![2], LONG).await });
            let second = hear(&mut stream, &mut buffer).await.unwrap();
            say(&mut stream, &first, b"late").await;
            say(&mut stream, &second, b"right").await;
            assert_eq!(&call.await.unwrap().unwrap()[..], b"right");
        });
    }

    #[test]
    fn a_connection_that_stays_silent_is_made_anew() {
        run_here(async {
            let (peer, link) = listener().await;
            // Calls that were given up still tell that nothing is heard.
            let short = Duration::from_millis(20);
            let calling = link.clone();
            let mut calls = tokio::task::spawn_local(async move {
                while calling.call(1, vec![1], short).await != Ok(Bytes::from_static(b"heard")) {}
            });
            let (mut silent, _) = peer.accept().await.unwrap();
            let mut buffer = BytesMut::new();
            while hear(&mut silent, &mut buffer).await.is_some() {}
            let (mut stream, _) = peer.accept().await.unwrap();
            let mut buffer = BytesMut::new();
            loop {
                tokio::select! {
                    ended = &mut calls => break ended.unwrap(),
                    call = hear(&mut stream, &mut buffer) => say(&mut stream, &call.unwrap(), b"heard").await,
                }
            }
        });
    }
}
