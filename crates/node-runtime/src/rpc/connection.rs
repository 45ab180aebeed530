//! A client's connection: connects with a back-off, transfers frames, and detects a dead peer.

use super::frame::read_frame;
use super::pending::PendingCalls;
use super::{set_socket_options, RESPONSE_TIMEOUT, WRITE_BATCH};
use crate::network;
use crate::random::random_u64;
use bytes::BytesMut;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The first back-off between two attempts to connect, ms; it doubles with each failure.
const MIN_BACK_OFF_MS: u64 = 50;
/// The longest back-off, ms.
const MAX_BACK_OFF_MS: u64 = 400;

/// State shared by the client and its connection task.
pub(super) struct Shared {
    pub(super) address: SocketAddr,
    pub(super) state: RefCell<State>,
    /// Notified when a call is queued or the client is dropped.
    pub(super) wake: Notify,
    /// Set when the client is dropped.
    pub(super) is_closed: Cell<bool>,
}

impl Shared {
    pub(super) fn new(address: SocketAddr) -> Shared {
        let state = State {
            pending: PendingCalls::default(),
            is_running: false,
            back_off_ms: 0,
            retry_at: None,
            random: Pcg32::seed_from_u64(random_u64()),
        };
        Shared { address, state: RefCell::new(state), wake: Notify::new(), is_closed: Cell::new(false) }
    }
}

pub(super) struct State {
    pub(super) pending: PendingCalls,
    /// Whether the connection task, [`run`], is running.
    pub(super) is_running: bool,
    /// The current back-off, ms; 0 while connections succeed.
    back_off_ms: u64,
    retry_at: Option<Instant>,
    random: Pcg32,
}

impl State {
    fn back_off(&mut self) {
        self.back_off_ms = (self.back_off_ms * 2).clamp(MIN_BACK_OFF_MS, MAX_BACK_OFF_MS);
        let half = self.back_off_ms / 2;
        let wait = half + u64::from(self.random.next_u32()) % (half + 1);
        self.retry_at = Some(Instant::now() + Duration::from_millis(wait));
    }
}

/// The way in which a connection ended.
enum Ended {
    /// Connecting failed.
    NotConnected,
    /// Connected, but nothing was received.
    Unheard,
    /// Connected, and data was received.
    Heard,
}

/// Connects and transfers frames, reconnecting until the client is dropped or a connection ends with no calls queued.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let retry_at = shared.state.borrow().retry_at;
        if let Some(at) = retry_at {
            sleep_until(at).await;
        }
        if shared.is_closed.get() {
            return;
        }
        let ended = connect_and_carry(&shared).await;
        let mut state = shared.state.borrow_mut();
        match ended {
            Ended::Heard => {
                state.back_off_ms = 0;
                state.retry_at = None;
            }
            Ended::Unheard | Ended::NotConnected => state.back_off(),
        }
        state.pending.fail(matches!(ended, Ended::NotConnected));
        if shared.is_closed.get() || !state.pending.has_queued() {
            state.is_running = false;
            return;
        }
    }
}

async fn connect_and_carry(shared: &Shared) -> Ended {
    let received = if let Some(network) = network::current() {
        match timeout(CONNECT_TIMEOUT, network.connect(shared.address)).await {
            Ok(Ok((reader, writer))) => carry(shared, reader, writer).await,
            _ => return Ended::NotConnected,
        }
    } else {
        let Ok(mut stream) = connect(shared.address).await else { return Ended::NotConnected };
        let (reader, writer) = stream.split();
        carry(shared, reader, writer).await
    };
    if received {
        Ended::Heard
    } else {
        Ended::Unheard
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    set_socket_options(&SockRef::from(&socket))?;
    timeout(CONNECT_TIMEOUT, socket.connect(address)).await?
}

/// Transfers frames until the connection ends. Returns whether anything was received.
async fn carry(
    shared: &Shared,
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
) -> bool {
    let mut incoming = BytesMut::new();
    let mut outgoing = BytesMut::new();
    let mut received = false;
    // The time since which a response has been due with nothing received. Not reset when the calls are abandoned.
    let mut quiet_since: Option<Instant> = None;
    loop {
        if shared.is_closed.get() {
            return received;
        }
        {
            let pending = &mut shared.state.borrow_mut().pending;
            pending.fill_batch(&mut outgoing);
            if quiet_since.is_none() && pending.is_response_due() {
                quiet_since = Some(Instant::now());
            }
        }
        let dead_at = quiet_since.unwrap_or_else(Instant::now) + RESPONSE_TIMEOUT;
        tokio::select! {
            biased;
            read = reader.read_buf(&mut incoming) => {
                if !matches!(read, Ok(1..)) { return received }
                received = true;
                let pending = &mut shared.state.borrow_mut().pending;
                if !take_responses(&mut incoming, pending) { return received }
                quiet_since = pending.is_response_due().then(Instant::now);
            }
            written = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => {
                let Ok(length @ 1..) = written else { return received };
                // Sending a long body takes time; the response timeout starts after each part of it.
                if quiet_since.is_some() && length + outgoing.len() > WRITE_BATCH {
                    quiet_since = Some(Instant::now());
                }
                if outgoing.is_empty() && outgoing.capacity() > 2 * WRITE_BATCH { outgoing = BytesMut::new() }
            }
            () = shared.wake.notified(), if outgoing.is_empty() => {}
            () = sleep_until(dead_at), if quiet_since.is_some() => return received,
        }
    }
}

/// Passes all complete responses to their calls. Returns false if the connection must be closed.
fn take_responses(incoming: &mut BytesMut, pending: &mut PendingCalls) -> bool {
    loop {
        match read_frame(incoming) {
            Ok(Some(frame)) => {
                if pending.complete(frame).is_err() {
                    return false;
                }
            }
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
