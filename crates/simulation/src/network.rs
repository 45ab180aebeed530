//! Simulated network. Connections carry whole frames, each of which is delayed and may be lost, duplicated or reordered.
//! Frames sent across a cut are held until it heals or the connection is given up, as with TCP.

use crate::process::Process;
use crate::{ms, Random};
use bytes::{Buf, Bytes, BytesMut};
use oatbank_node_runtime::network::{Connecting, Reader, Writer};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Time until a connection across a cut, or to an unreachable process, is given up, ms.
const GIVE_UP_DELAY_MS: std::ops::Range<f64> = 1500.0..2600.0;
/// Time from the healing of a cut until held frames arrive, as by a retransmission, ms.
const RETRANSMIT_DELAY_MS: std::ops::Range<f64> = 0.0..800.0;
/// Extra delay of a reordered or duplicate frame, ms.
const REORDER_DELAY_MS: std::ops::Range<f64> = 100.0..3000.0;
/// Frame kind that is never duplicated or reordered: calls without anything by which a duplicate could be recognised.
pub const PLAIN: u8 = 201;

/// Weather holds the fault probabilities and the extra delay of all links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Probability that a frame is lost while its connection stays open.
    pub lose: f64,
    /// Probability that a frame is duplicated.
    pub double: f64,
    /// Probability that a frame is delayed behind later ones.
    pub late: f64,
    /// Probability that a frame resets its connection.
    pub reset: f64,
    /// Probability that a connection attempt hangs.
    pub hang: f64,
    /// Upper bound of the extra delay of a frame, ms.
    pub slow: f64,
}

#[derive(Default)]
struct Flow {
    /// Frames in flight, in order of arrival.
    frames: VecDeque<(Instant, Bytes)>,
    /// Frames held by a cut.
    held: VecDeque<Bytes>,
    last: Option<Instant>,
    ready: BytesMut,
    ends: Option<Instant>,
    waker: Option<Waker>,
}

struct Conn {
    ips: [Ipv4Addr; 2],
    /// Incoming frames at each side.
    flows: [Flow; 2],
    /// Time from which each side sees the connection as broken.
    gone: [Option<Instant>; 2],
    /// Whether the side stays broken after a cut heals.
    for_good: [bool; 2],
}

impl Conn {
    fn wake(&mut self) {
        for flow in &mut self.flows {
            if let Some(waker) = flow.waker.take() {
                waker.wake();
            }
        }
    }

    fn end(&mut self, side: usize, at: Instant) {
        self.for_good[side] = true;
        self.give_up(side, at);
    }

    fn give_up(&mut self, side: usize, at: Instant) {
        let gone = &mut self.gone[side];
        *gone = Some(gone.map_or(at, |before| before.min(at)));
        self.wake();
    }
}

/// Queue of accepted connections and the process that listens.
type Listener = (mpsc::UnboundedSender<(Reader, Writer)>, Rc<Process>);

struct State {
    random: Random,
    weather: Weather,
    listeners: BTreeMap<SocketAddr, Listener>,
    conns: Vec<Weak<RefCell<Conn>>>,
    cuts: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    off: BTreeSet<Ipv4Addr>,
    slow: BTreeMap<Ipv4Addr, f64>,
}

/// SimulatedNetwork connects all processes of one schedule.
pub struct SimulatedNetwork {
    state: RefCell<State>,
}

impl SimulatedNetwork {
    /// Creates a network without faults; all random numbers follow from the seed.
    pub fn new(seed: u64) -> Rc<SimulatedNetwork> {
        let state = State {
            random: Random::new(seed),
            weather: Weather::default(),
            listeners: BTreeMap::new(),
            conns: Vec::new(),
            cuts: BTreeSet::new(),
            off: BTreeSet::new(),
            slow: BTreeMap::new(),
        };
        Rc::new(SimulatedNetwork { state: RefCell::new(state) })
    }

    /// Replaces the fault probabilities of all links.
    pub fn weather(&self, weather: Weather) {
        self.state.borrow_mut().weather = weather;
    }

    /// Adds up to `by` ms to the delay of each frame from or to a machine; 0 ends it.
    pub fn slow(&self, ip: Ipv4Addr, by: f64) {
        self.state.borrow_mut().slow.insert(ip, by);
    }

    /// Powers a machine's network off or on; while off, it accepts no connections.
    pub fn off(&self, ip: Ipv4Addr, off: bool) {
        let mut state = self.state.borrow_mut();
        if off {
            state.off.insert(ip);
        } else {
            state.off.remove(&ip);
        }
    }

    fn conns_between(&self, a: Ipv4Addr, b: Ipv4Addr) -> Vec<Rc<RefCell<Conn>>> {
        let mut state = self.state.borrow_mut();
        state.conns.retain(|conn| conn.strong_count() > 0);
        let all = state.conns.iter().filter_map(Weak::upgrade);
        all.filter(|conn| {
            let ips = conn.borrow().ips;
            ips == [a, b] || ips == [b, a]
        })
        .collect()
    }

    /// Cuts one direction between two machines; open connections will be given up.
    pub fn cut(&self, from: Ipv4Addr, to: Ipv4Addr) {
        if !self.state.borrow_mut().cuts.insert((from, to)) {
            return;
        }
        for conn in self.conns_between(from, to) {
            for side in 0..2 {
                let at = Instant::now() + ms(self.state.borrow_mut().random.within(GIVE_UP_DELAY_MS));
                conn.borrow_mut().give_up(side, at);
            }
        }
    }

    /// Heals one direction; held frames arrive, and connections not yet given up recover once both directions are open.
    pub fn heal(&self, from: Ipv4Addr, to: Ipv4Addr) {
        if !self.state.borrow_mut().cuts.remove(&(from, to)) {
            return;
        }
        let now = Instant::now();
        let other = self.state.borrow().cuts.contains(&(to, from));
        for conn in self.conns_between(from, to) {
            let again = ms(self.state.borrow_mut().random.within(RETRANSMIT_DELAY_MS));
            let conn = &mut *conn.borrow_mut();
            if conn.gone.iter().flatten().any(|gone| *gone <= now) {
                conn.end(0, now + ms(20.0));
                conn.end(1, now + ms(20.0));
            } else if !other {
                for side in 0..2 {
                    if !conn.for_good[side] {
                        conn.gone[side] = None;
                    }
                }
            }
            let at = usize::from(conn.ips[1] == to);
            let flow = &mut conn.flows[at];
            let due = flow.last.map_or(now + again, |last| last.max(now + again));
            while let Some(frame) = flow.held.pop_front() {
                flow.frames.push_back((due, frame));
                flow.last = Some(due);
            }
            conn.wake();
        }
    }

    /// Resets all connections of a machine.
    pub fn reset(&self, ip: Ipv4Addr) {
        let conns: Vec<_> = self.state.borrow().conns.iter().filter_map(Weak::upgrade).collect();
        for conn in conns {
            let mut conn = conn.borrow_mut();
            if conn.ips.contains(&ip) {
                let now = Instant::now();
                conn.end(0, now);
                conn.end(1, now);
            }
        }
    }

    /// Returns whether a connection attempt hangs: by a cut, a machine without power or at random.
    fn hangs(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let mut state = self.state.borrow_mut();
        let hang = state.weather.hang;
        let cut = state.cuts.contains(&(from, to)) || state.cuts.contains(&(to, from));
        cut || state.off.contains(&to) || state.random.chance(hang)
    }

    fn listener(&self, at: &SocketAddr) -> Option<Listener> {
        let state = self.state.borrow();
        state.listeners.get(at).filter(|(sender, _)| !sender.is_closed()).cloned()
    }

    fn connected(&self, from: Ipv4Addr, to: Ipv4Addr) -> Rc<RefCell<Conn>> {
        let flows = [Flow::default(), Flow::default()];
        let conn = Conn { ips: [from, to], flows, gone: [None, None], for_good: [false; 2] };
        let conn = Rc::new(RefCell::new(conn));
        let mut state = self.state.borrow_mut();
        state.conns.push(Rc::downgrade(&conn));
        if state.conns.len() % 256 == 0 {
            state.conns.retain(|conn| conn.strong_count() > 0);
        }
        conn
    }

    fn delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> std::time::Duration {
        let mut state = self.state.borrow_mut();
        // Each pair of machines has a fixed base delay of 0.3 to 15.3 ms.
        let pair = u64::from(u32::from(from) ^ u32::from(to)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
        let slow = |ip| state.slow.get(&ip).copied().unwrap_or(0.0);
        let more = slow(from) + slow(to) + state.weather.slow;
        let drawn = state.random.within(0.0..1.0);
        ms(0.3 + pair as f64 + drawn * drawn * (2.0 + more))
    }
}

/// Seat gives one process access to the network.
pub struct Seat {
    network: Rc<SimulatedNetwork>,
    process: Rc<Process>,
}

impl Seat {
    /// Creates the access of a process.
    pub fn new(network: Rc<SimulatedNetwork>, process: Rc<Process>) -> Self {
        Seat { network, process }
    }

    /// Returns the process.
    pub fn process(&self) -> &Rc<Process> {
        &self.process
    }

    /// Listens at an address; replaces an earlier listener there.
    pub fn listen(&self, at: SocketAddr) -> mpsc::UnboundedReceiver<(Reader, Writer)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.network.state.borrow_mut().listeners.insert(at, (sender, self.process.clone()));
        receiver
    }

    /// Answers calls on every connection to this address until the process ends.
    pub fn serve(
        &self,
        at: SocketAddr,
        handler: Rc<dyn Fn(u8, Bytes) -> oatbank_node_runtime::rpc::ResponseFuture>,
    ) {
        let mut incoming = self.listen(at);
        tokio::task::spawn_local(async move {
            while let Some((reader, writer)) = incoming.recv().await {
                tokio::task::spawn_local(oatbank_node_runtime::rpc::serve_connection(
                    reader,
                    writer,
                    handler.clone(),
                ));
            }
        });
    }
}

impl oatbank_node_runtime::network::Network for Seat {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let (network, process) = (self.network.clone(), self.process.clone());
        Box::pin(async move {
            let SocketAddr::V4(v4) = to else { return Err(io::ErrorKind::AddrNotAvailable.into()) };
            let (here, there) = (process.ip, *v4.ip());
            sleep(network.delay(here, there) + network.delay(there, here)).await;
            if network.hangs(here, there) {
                return std::future::pending().await;
            }
            let (sender, other) = network.listener(&to).ok_or(io::ErrorKind::ConnectionRefused)?;
            let conn = network.connected(here, there);
            let half = |side: usize, process: &Rc<Process>| -> (Reader, Writer) {
                let wakes = Box::pin(sleep_until(Instant::now()));
                let (of, process) = (network.clone(), process.clone());
                (
                    Box::new(FrameReader { conn: conn.clone(), side, wakes }),
                    Box::new(FrameWriter {
                        network: of,
                        process,
                        conn: conn.clone(),
                        side,
                        part: BytesMut::new(),
                    }),
                )
            };
            let _ = sender.send(half(1, &other));
            Ok(half(0, &process))
        })
    }
}

struct FrameReader {
    conn: Rc<RefCell<Conn>>,
    side: usize,
    wakes: Pin<Box<Sleep>>,
}

impl AsyncRead for FrameReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            let now = Instant::now();
            let mut conn = this.conn.borrow_mut();
            let conn = &mut *conn;
            let gone = conn.gone[this.side];
            let flow = &mut conn.flows[this.side];
            while flow.frames.front().is_some_and(|(due, _)| *due <= now) {
                if let Some((_, frame)) = flow.frames.pop_front() {
                    flow.ready.extend_from_slice(&frame);
                }
            }
            if !flow.ready.is_empty() {
                let length = flow.ready.len().min(into.remaining());
                into.put_slice(&flow.ready[..length]);
                flow.ready.advance(length);
                return Poll::Ready(Ok(()));
            }
            if gone.is_some_and(|gone| gone <= now) {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if flow.ends.is_some_and(|ends| ends <= now && flow.frames.is_empty()) {
                return Poll::Ready(Ok(()));
            }
            flow.waker = Some(cx.waker().clone());
            let next = [flow.frames.front().map(|(due, _)| *due), flow.ends.filter(|e| *e > now), gone];
            let Some(next) = next.into_iter().flatten().min() else { return Poll::Pending };
            this.wakes.as_mut().reset(next);
            if this.wakes.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

struct FrameWriter {
    network: Rc<SimulatedNetwork>,
    process: Rc<Process>,
    conn: Rc<RefCell<Conn>>,
    side: usize,
    /// Bytes of an incomplete frame.
    part: BytesMut,
}

impl FrameWriter {
    fn send_frame(&self, frame: Bytes) {
        let (here, there) = {
            let conn = self.conn.borrow();
            (conn.ips[self.side], conn.ips[1 - self.side])
        };
        let way = self.network.delay(here, there);
        let mut state = self.network.state.borrow_mut();
        let weather = state.weather;
        let plain = frame.get(4) == Some(&PLAIN);
        let lost = state.random.chance(weather.lose);
        let reset = state.random.chance(weather.reset);
        let late = !plain && state.random.chance(weather.late);
        let copy = (!plain && state.random.chance(weather.double))
            .then(|| ms(state.random.within(REORDER_DELAY_MS)));
        let later = ms(state.random.within(REORDER_DELAY_MS));
        let cut = state.cuts.contains(&(here, there));
        drop(state);
        let mut conn = self.conn.borrow_mut();
        let now = self.process.speaks_at();
        if reset {
            conn.end(0, now);
            conn.end(1, now);
        }
        if lost || reset {
            return;
        }
        let flow = &mut conn.flows[1 - self.side];
        if cut {
            flow.held.push_back(frame);
            return;
        }
        let due = flow.last.map_or(now + way, |last| last.max(now + way));
        let mut put = |due: Instant, frame: Bytes| {
            let at = flow.frames.partition_point(|(before, _)| *before <= due);
            flow.frames.insert(at, (due, frame));
        };
        if let Some(copy) = copy {
            put(due + copy, frame.clone());
        }
        put(if late { due + later } else { due }, frame);
        if !late {
            flow.last = Some(due);
        }
        if let Some(waker) = flow.waker.take() {
            waker.wake();
        }
    }
}

impl AsyncWrite for FrameWriter {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.process.is_unreachable() {
            return Poll::Ready(Ok(bytes.len()));
        }
        if this.conn.borrow().gone[this.side].is_some_and(|gone| gone <= Instant::now()) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        this.part.extend_from_slice(bytes);
        while let Some(head) = this.part.first_chunk::<4>() {
            let length = 4 + u32::from_be_bytes(*head) as usize;
            if this.part.len() < length {
                break;
            }
            let frame = this.part.split_to(length).freeze();
            this.send_frame(frame);
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for FrameWriter {
    fn drop(&mut self) {
        let (here, there) = {
            let conn = self.conn.borrow();
            (conn.ips[self.side], conn.ips[1 - self.side])
        };
        let now = Instant::now();
        let unreachable =
            self.process.is_unreachable() || self.network.state.borrow().cuts.contains(&(here, there));
        let at = if unreachable {
            now + ms(self.network.state.borrow_mut().random.within(GIVE_UP_DELAY_MS))
        } else {
            now + self.network.delay(here, there)
        };
        let mut conn = self.conn.borrow_mut();
        if unreachable {
            conn.end(1 - self.side, at);
            return;
        }
        let flow = &mut conn.flows[1 - self.side];
        flow.ends = Some(flow.last.map_or(at, |last| last.max(at)));
        if let Some(waker) = flow.waker.take() {
            waker.wake();
        }
    }
}
