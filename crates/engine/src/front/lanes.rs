//! A client's connection on which several requests are in hand at once, where its desk allows that: what a client sends
//! behind a request that runs is read and begun, and answers go out in the order in which they were asked for.
//!
//! Only what may run twice is begun before all that stands before it has its answer: an answer that ends the connection
//! makes all behind it count as not read.

use super::connection_ends::ConnectionEnd;
use super::heads::{self, Ends, Head, Told};
use super::{closing, unread, Desk, Front, Judged, Peer, Phase, NO_ROOM, NO_TUNNEL, ROOM_WITHIN};
use crate::body::{self, Body, Feed, Room, Start, Upload};
use crate::classify::Rejection;
use crate::respond::{self, plain};
use bytes::{Bytes, BytesMut};
use http::{Method, Response, StatusCode, Version};
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Requests in hand at once on one connection.
const MOST: usize = 8;
/// What is read at a time.
const READ: usize = 16 * 1024;
/// A server that takes nothing of a body for this long is given up.
const STALL: Duration = Duration::from_secs(10);
/// After the last answer the client's end is waited for so long: a close with unread bytes would take the answer back.
const PARTING: Duration = Duration::from_millis(1000);

/// A request's turn to be answered.
struct Turn {
    answer: Answering,
    /// Only the head of the answer is wanted.
    bare: bool,
    old: bool,
    last: bool,
}

enum Answering {
    Now(Box<Response<Body>>),
    Coming(Running),
}

/// What works on an answer; ends with its connection.
struct Running(JoinHandle<Response<Body>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What the two sides of a connection share.
struct Lanes<D> {
    front: Rc<Front<D>>,
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    in_hand: Cell<usize>,
    answered: Notify,
    /// Bytes have come that belong to no request yet.
    begun: Cell<bool>,
}

/// Why nothing more is read.
enum Over {
    /// The client has left.
    Left,
    /// What was read last is answered, and then the connection ends.
    Last,
}

/// Why nothing more is written.
#[derive(Clone, Copy)]
enum Parted {
    /// After an answer that says so.
    InOrder,
    /// Asked to end between two requests.
    Idle,
    /// An answer broke off: its end must not look like one.
    Cut,
    /// The client takes nothing more.
    Lost,
}

impl From<Parted> for ConnectionEnd {
    fn from(parted: Parted) -> ConnectionEnd {
        match parted {
            Parted::InOrder => ConnectionEnd::LastAnswer,
            Parted::Idle => ConnectionEnd::Idle,
            Parted::Cut => ConnectionEnd::AnswerCut,
            Parted::Lost => ConnectionEnd::WriteFailed,
        }
    }
}

/// Serves a connection to its end.
pub(super) async fn serve<D: Desk>(front: Rc<Front<D>>, stream: Rc<TcpStream>, peer: Rc<Peer>) {
    let lanes = Lanes {
        front,
        stream,
        peer,
        in_hand: Cell::new(0),
        answered: Notify::new(),
        begun: Cell::new(false),
    };
    let (turns, next) = mpsc::channel(MOST);
    let parted = {
        let mut reading = std::pin::pin!(lanes.read(turns));
        let mut writing = std::pin::pin!(lanes.write(next));
        let mut reads = true;
        loop {
            tokio::select! {
                over = &mut reading, if reads => match over {
                    Over::Left => return lanes.record_end(ConnectionEnd::ClientClosed),
                    Over::Last => reads = false,
                },
                parted = &mut writing => break parted,
                () = lanes.peer.leave.notified() => {
                    if lanes.peer.over.get() {
                        return lanes.record_end(ConnectionEnd::Dropped);
                    }
                    // A request that has arrived, or has begun to, is read and answered first.
                    if lanes.in_hand.get() == 0 && !lanes.begun.get() && !unread(&lanes.stream) {
                        break Parted::Idle;
                    }
                }
            }
        }
    };
    lanes.record_end(parted.into());
    match parted {
        Parted::InOrder | Parted::Idle => lanes.part().await,
        Parted::Cut => _ = SockRef::from(&*lanes.stream).set_linger(Some(Duration::ZERO)),
        Parted::Lost => {}
    }
}

impl<D: Desk> Lanes<D> {
    fn now(&self) -> f64 {
        self.front.desk.now()
    }

    fn record_end(&self, end: ConnectionEnd) {
        self.front.ends.record(end, self.in_hand.get());
    }

    // ---- Reading ------------------------------------------------------------------------------

    async fn read(&self, turns: mpsc::Sender<Turn>) -> Over {
        let mut buffer = BytesMut::new();
        loop {
            let Ok(place) = turns.reserve().await else { return Over::Last };
            let head = loop {
                match heads::head(&mut buffer, self.front.limits.head_bytes) {
                    Ok(Some(head)) => break head,
                    Ok(None) => {
                        self.begun.set(!buffer.is_empty());
                        if !self.more(&mut buffer).await {
                            return Over::Left;
                        }
                    }
                    Err(bad) => {
                        self.in_hand.set(self.in_hand.get() + 1);
                        place.send(turned_away(bad));
                        return Over::Last;
                    }
                }
            };
            self.peer.said.borrow_mut().forget();
            self.begun.set(!buffer.is_empty());
            self.peer.ahead.set(!buffer.is_empty());
            if head.ends != Ends::Over || !self.front.desk.may_overtake(&head.parts) {
                self.all_answered().await;
            }
            self.in_hand.set(self.in_hand.get() + 1);
            if self.peer.phase.get() != Phase::Writing {
                self.peer.enter(Phase::Busy, self.now());
            }
            let last = head.last;
            match self.begin(head, &mut buffer).await {
                Ok((turn, rest)) => {
                    place.send(turn);
                    if let Some((feed, ends)) = rest {
                        if !self.pass_on(&mut buffer, ends, feed).await {
                            return Over::Left;
                        }
                    }
                    if last {
                        return Over::Last;
                    }
                }
                Err(None) => return Over::Left,
                Err(Some(bad)) => {
                    place.send(turned_away(bad));
                    return Over::Last;
                }
            }
        }
    }

    /// Waits until all that was read has its answer.
    async fn all_answered(&self) {
        while self.in_hand.get() > 0 {
            self.answered.notified().await;
        }
    }

    /// Reads more; false at the end.
    async fn more(&self, buffer: &mut BytesMut) -> bool {
        buffer.reserve(READ);
        let before = buffer.len();
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            match self.stream.try_read_buf(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) | Ok(0) => return false,
                Ok(_) => {
                    self.peer.heard(self.now(), &buffer[before..]);
                    return true;
                }
            }
        }
    }

    /// Begins a request: its turn, and where the rest of its body goes. The error is an answer; none: the client has left.
    async fn begin(
        &self,
        mut head: Head,
        buffer: &mut BytesMut,
    ) -> Result<(Turn, Option<(Feed, Ends)>), Option<Rejection>> {
        let (bare, old) = (head.parts.method == Method::HEAD, head.parts.version == Version::HTTP_10);
        let turn = |answer, last| Turn { answer, bare, old, last };
        let ticket = match self.front.look(&mut head.parts)? {
            Judged::Answer(answer) => {
                // A body that nobody wants is not read either.
                let last = head.last || head.ends != Ends::Over;
                if last && !head.last {
                    return Ok((turn(Answering::Now(Box::new(closing(answer))), true), None));
                }
                return Ok((turn(Answering::Now(Box::new(answer)), last), None));
            }
            Judged::Taken(ticket) => ticket,
        };
        if head.parts.method == Method::CONNECT {
            return Err(Some(NO_TUNNEL));
        }
        let (upload, room, rest) = self.receive(&head, buffer).await?;
        let desk = self.front.desk.clone();
        let task = tokio::task::spawn_local(async move {
            match desk.serve(ticket, head.parts, upload, room).await {
                Ok(answer) => answer,
                Err(bad) => closing(respond::rejected(bad)),
            }
        });
        Ok((turn(Answering::Coming(Running(task)), head.last), rest))
    }

    /// Reads a body whole if it is short; of a longer one the start.
    async fn receive(&self, head: &Head, buffer: &mut BytesMut) -> Result<Received, Option<Rejection>> {
        let mut ends = head.ends;
        if ends == Ends::Over {
            return Ok((Upload::Whole(Bytes::new()), None, None));
        }
        let limits = &self.front.limits;
        let length = match ends {
            Ends::After(length) => Some(length),
            _ => None,
        };
        if length.is_some_and(|l| l > limits.body_bytes) {
            return Err(Some(super::receive::too_long(limits)));
        }
        let room = timeout(ROOM_WITHIN, self.front.rooms.take_held(length, limits.held)).await;
        let room = room.map_err(|_| Some(NO_ROOM))?;
        if head.waits && buffer.is_empty() && !self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", b"").await {
            return Err(None);
        }
        let mut start = Start::default();
        while !start.is_longer_than(limits.held) {
            match heads::piece(buffer, &mut ends).map_err(Some)? {
                Some(piece) => start.push(piece),
                None if ends == Ends::Over => return Ok((Upload::Whole(start.finish()), room, None)),
                None => match timeout(limits.silence, self.more(buffer)).await {
                    Ok(true) => {}
                    Ok(false) => return Err(None),
                    Err(_) => return Err(Some(super::receive::TOO_SLOW)),
                },
            }
        }
        let (feed, rest) = body::pieces();
        Ok((Upload::stream(start.finish(), length, rest), room, Some((feed, ends))))
    }

    /// Passes the rest of a body on as it comes; what nobody takes any more is read all the same. False: the client has
    /// left, or does not get on.
    async fn pass_on(&self, buffer: &mut BytesMut, mut ends: Ends, feed: Feed) -> bool {
        let limits = &self.front.limits;
        let mut taken = 0u64;
        let mut feed = Some(feed);
        loop {
            match heads::piece(buffer, &mut ends) {
                Ok(Some(piece)) => {
                    taken += piece.len() as u64;
                    let why = (taken > limits.body_bytes).then_some(body::Broken::TooLong);
                    let Some(to) = &feed else {
                        if why.is_some() {
                            return false;
                        }
                        continue;
                    };
                    match timeout(STALL, to.send(why.map_or(Ok(piece), Err))).await {
                        Ok(Ok(())) if why.is_none() => {}
                        Ok(Err(_)) if why.is_none() => feed = None,
                        _ => return false,
                    }
                }
                Ok(None) if ends == Ends::Over => return true,
                Ok(None) => {
                    if !matches!(timeout(limits.silence, self.more(buffer)).await, Ok(true)) {
                        if let Some(to) = &feed {
                            let _ = timeout(STALL, to.send(Err(body::Broken::Left))).await;
                        }
                        return false;
                    }
                }
                Err(_) => {
                    if let Some(to) = &feed {
                        let _ = timeout(STALL, to.send(Err(body::Broken::Left))).await;
                    }
                    return false;
                }
            }
        }
    }

    // ---- Writing ------------------------------------------------------------------------------

    async fn write(&self, mut turns: mpsc::Receiver<Turn>) -> Parted {
        while let Some(mut turn) = turns.recv().await {
            let answer = match &mut turn.answer {
                Answering::Now(answer) => std::mem::replace(&mut **answer, Response::new(Body::default())),
                // A task that died may have sent its request.
                Answering::Coming(task) => (&mut task.0)
                    .await
                    .unwrap_or_else(|_| closing(plain(StatusCode::BAD_GATEWAY, "no answer can be given\n"))),
            };
            self.peer.enter(Phase::Writing, self.now());
            let close = turn.last
                || heads::says(answer.headers(), "close")
                || self.front.stopping.get()
                || self.front.crowded.get();
            let parted = self.give(answer, &turn, close).await;
            if parted.is_none_or(|parted| !matches!(parted, Parted::Cut | Parted::Lost)) {
                self.in_hand.set(self.in_hand.get().saturating_sub(1));
            }
            if let Some(parted) = parted {
                return parted;
            }
            self.answered.notify_one();
            if close {
                return Parted::InOrder;
            }
            if self.in_hand.get() > 0 {
                self.peer.enter(Phase::Busy, self.now());
            } else {
                self.peer.flushed(self.now());
            }
        }
        // All turns that were read last have been taken.
        Parted::InOrder
    }

    /// Writes one answer; why nothing can follow it, if so.
    async fn give(&self, answer: Response<Body>, turn: &Turn, close: bool) -> Option<Parted> {
        let (head, body) = answer.into_parts();
        let bodiless = turn.bare || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let mut out = BytesMut::with_capacity(512);
        let lost = |done: bool| (!done).then_some(Parted::Lost);
        match body {
            _ if bodiless => {
                heads::answer(head.status, &head.headers, Told::None, close, &mut out);
                lost(self.write_all(&out, b"").await)
            }
            Body::Whole(bytes) => {
                heads::answer(head.status, &head.headers, Told::Length(bytes.len() as u64), close, &mut out);
                lost(self.write_all(&out, &bytes).await)
            }
            Body::Stream { held, length, mut rest, room } => {
                let told = match length {
                    Some(length) => Told::Length(length),
                    None if turn.old => Told::Close,
                    None => Told::Chunked,
                };
                heads::answer(head.status, &head.headers, told, close, &mut out);
                self.peer.streaming.set(length != Some(held.len() as u64));
                let parted = self.stream(&out, held, told, &mut rest).await;
                self.peer.streaming.set(false);
                drop(room);
                parted.or_else(|| (told == Told::Close).then_some(Parted::InOrder))
            }
        }
    }

    async fn stream(&self, head: &[u8], held: Bytes, told: Told, rest: &mut body::Pieces) -> Option<Parted> {
        let mut left = match told {
            Told::Length(length) => Some(length),
            _ => None,
        };
        let (mut before, mut piece) = (BytesMut::from(head), held);
        loop {
            match left.map(|left| left.checked_sub(piece.len() as u64)) {
                // More than was told is not the answer that was told.
                Some(None) => return Some(Parted::Cut),
                rest => left = rest.flatten(),
            }
            if told == Told::Chunked && !piece.is_empty() {
                before.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            }
            if !self.write_all(&before, &piece).await {
                return Some(Parted::Lost);
            }
            before.clear();
            if told == Told::Chunked && !piece.is_empty() {
                before.extend_from_slice(b"\r\n");
            }
            if left == Some(0) {
                return None;
            }
            match rest.recv().await {
                Some(Ok(next)) => piece = next,
                None if left.is_none() => break,
                Some(Err(_)) | None => return Some(Parted::Cut),
            }
        }
        if told == Told::Chunked {
            before.extend_from_slice(b"0\r\n\r\n");
        }
        (!self.write_all(&before, b"").await).then_some(Parted::Lost)
    }

    /// Writes all of both; false if it cannot be.
    async fn write_all(&self, mut first: &[u8], mut second: &[u8]) -> bool {
        while !(first.is_empty() && second.is_empty()) {
            let wrote = match second.is_empty() {
                true => self.stream.try_write(first),
                false => self.stream.try_write_vectored(&[IoSlice::new(first), IoSlice::new(second)]),
            };
            match wrote {
                Ok(0) => return false,
                Ok(wrote) => {
                    let of_first = wrote.min(first.len());
                    (first, second) = (&first[of_first..], &second[wrote - of_first..]);
                    self.peer.wrote(self.now());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if self.stream.writable().await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
        true
    }

    /// Says that nothing more comes, and waits for the client's end: what it has sent besides is thrown away.
    async fn part(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let mut buffer = BytesMut::new();
        let rest = async {
            while self.more(&mut buffer).await {
                buffer.clear();
            }
        };
        let _ = timeout(PARTING, rest).await;
    }
}

type Received = (Upload, Option<Room>, Option<(Feed, Ends)>);

fn turned_away(bad: Rejection) -> Turn {
    tracing::debug!(status = bad.status.as_u16(), "turned away: {}", bad.why.trim_end());
    let answer = Answering::Now(Box::new(closing(respond::rejected(bad))));
    Turn { answer, bare: false, old: false, last: true }
}
