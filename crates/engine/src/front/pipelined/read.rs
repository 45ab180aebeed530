//! Reading: takes requests off a connection and begins them.

use super::super::heads::{self, BodyEnd, Head};
use super::super::{
    closing, receive, HeadDecision, HttpHandler, Phase, BODY_PERMIT_TIMEOUT, CONNECT_UNSUPPORTED,
    NO_BODY_MEMORY,
};
use super::{AnswerSource, AnswerTask, Connection, PendingAnswer};
use crate::body::{self, BodyPermit, BodyPrefix, BodySender, Upload};
use crate::classify::Rejection;
use crate::respond;
use bytes::{Bytes, BytesMut};
use http::{Method, Version};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Why nothing more is read.
pub(super) enum ReadEnd {
    /// The client has closed, or makes no progress.
    ClientClosed,
    /// The connection ends with the answers to what was begun.
    NothingMore,
}

/// A request that was begun.
struct StartedRequest {
    turn: PendingAnswer,
    /// Where the rest of its body goes.
    rest: Option<(BodySender, BodyEnd)>,
}

/// A body as far as it has come.
struct Received {
    upload: Upload,
    room: Option<BodyPermit>,
    rest: Option<(BodySender, BodyEnd)>,
}

/// Why a request is not begun.
enum StartError {
    /// The client has closed.
    ClientClosed,
    /// It is answered with this, and nothing follows it.
    Rejected(Rejection),
}

impl From<Rejection> for StartError {
    fn from(rejection: Rejection) -> StartError {
        StartError::Rejected(rejection)
    }
}

impl<D: HttpHandler> Connection<D> {
    /// Reads and begins requests to the end of the connection.
    pub(super) async fn read(&self, turns: mpsc::Sender<PendingAnswer>) -> ReadEnd {
        let mut buffer = BytesMut::new();
        loop {
            let Some(place) = self.while_open(&mut buffer, turns.reserve()).await else {
                return ReadEnd::ClientClosed;
            };
            let Ok(place) = place else { return ReadEnd::NothingMore };
            let head = match self.next_head(&mut buffer).await {
                Ok(head) => head,
                Err(StartError::ClientClosed) => return ReadEnd::ClientClosed,
                Err(StartError::Rejected(rejection)) => {
                    self.unanswered.set(self.unanswered.get() + 1);
                    place.send(rejected(rejection));
                    return ReadEnd::NothingMore;
                }
            };
            let waits = head.ends != BodyEnd::Reached || !self.front.desk.may_pipeline(&head.parts);
            if waits && self.while_open(&mut buffer, self.all_answered()).await.is_none() {
                return ReadEnd::ClientClosed;
            }
            if self.closing.get() {
                // Its client takes it for not read.
                return ReadEnd::NothingMore;
            }
            self.on_begin(&buffer);
            let StartedRequest { turn, rest } = match self.begin(head, &mut buffer).await {
                Ok(begun) => begun,
                Err(StartError::ClientClosed) => return ReadEnd::ClientClosed,
                Err(StartError::Rejected(rejection)) => {
                    StartedRequest { turn: rejected(rejection), rest: None }
                }
            };
            let (is_last, is_old) = (turn.last, turn.old);
            place.send(turn);
            if let Some((feed, ends)) = rest {
                if !self.forward_body(&mut buffer, ends, feed).await {
                    return ReadEnd::ClientClosed;
                }
            }
            if is_last {
                return ReadEnd::NothingMore;
            }
            // An answer to HTTP/1.0 may end with its connection.
            if is_old && self.while_open(&mut buffer, self.all_answered()).await.is_none() {
                return ReadEnd::ClientClosed;
            }
        }
    }

    /// The next request's head, once it has come whole.
    async fn next_head(&self, buffer: &mut BytesMut) -> Result<Head, StartError> {
        loop {
            if let Some(head) = heads::parse_head(buffer, self.front.limits.head_bytes)? {
                self.next_request_started.set(true);
                return Ok(head);
            }
            self.next_request_started.set(!buffer.is_empty());
            if !self.read_more(buffer).await {
                return Err(StartError::ClientClosed);
            }
        }
    }

    /// Waits until all that was begun has its answer.
    async fn all_answered(&self) {
        while self.unanswered.get() > 0 {
            self.answered.notified().await;
        }
    }

    /// A request is in hand from now on.
    fn on_begin(&self, buffer: &BytesMut) {
        self.peer.recent_bytes.borrow_mut().forget();
        self.unanswered.set(self.unanswered.get() + 1);
        self.next_request_started.set(!buffer.is_empty());
        if self.peer.phase.get() != Phase::Writing {
            self.peer.enter(Phase::Busy, self.now());
        }
    }

    /// Begins a request.
    async fn begin(&self, mut head: Head, buffer: &mut BytesMut) -> Result<StartedRequest, StartError> {
        let (bare, old) = (head.parts.method == Method::HEAD, head.parts.version == Version::HTTP_10);
        let turn = |answer, last| PendingAnswer { answer, bare, old, last };
        let ticket = match self.front.decide_head(&mut head.parts)? {
            HeadDecision::Respond(answer) => {
                // A body that nobody wants is not read, and what stands in it is no request.
                let has_body = head.ends != BodyEnd::Reached;
                let answer = if has_body { closing(answer) } else { answer };
                let turn = turn(AnswerSource::Ready(Box::new(answer)), head.last || has_body);
                return Ok(StartedRequest { turn, rest: None });
            }
            HeadDecision::Accept(ticket) => ticket,
        };
        if head.parts.method == Method::CONNECT {
            return Err(CONNECT_UNSUPPORTED.into());
        }
        let Received { upload, room, rest } = self.receive(&head, buffer).await?;
        let desk = self.front.desk.clone();
        let task = tokio::task::spawn_local(async move {
            match desk.serve(ticket, head.parts, upload, room).await {
                Ok(answer) => answer,
                Err(rejection) => closing(respond::rejected(rejection)),
            }
        });
        Ok(StartedRequest { turn: turn(AnswerSource::Pending(AnswerTask(task)), head.last), rest })
    }

    /// Reads a body whole if it is short; of a longer one the start.
    async fn receive(&self, head: &Head, buffer: &mut BytesMut) -> Result<Received, StartError> {
        let mut ends = head.ends;
        if ends == BodyEnd::Reached {
            return Ok(Received { upload: Upload::Whole(Bytes::new()), room: None, rest: None });
        }
        let limits = &self.front.limits;
        let length = match ends {
            BodyEnd::AfterBytes(length) => Some(length),
            _ => None,
        };
        if length.is_some_and(|l| l > limits.body_bytes) {
            return Err(receive::too_long(limits).into());
        }
        let room = timeout(BODY_PERMIT_TIMEOUT, self.front.body_budget.acquire_buffered(length, limits.held));
        let room = self.while_open(buffer, room).await.ok_or(StartError::ClientClosed)?;
        let room = room.map_err(|_| NO_BODY_MEMORY)?;
        if head.expects_continue
            && buffer.is_empty()
            && !self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", b"").await
        {
            return Err(StartError::ClientClosed);
        }
        let mut start = BodyPrefix::default();
        while !start.is_longer_than(limits.held) {
            match heads::piece(buffer, &mut ends)? {
                Some(piece) => start.push(piece),
                None if ends == BodyEnd::Reached => {
                    return Ok(Received { upload: Upload::Whole(start.finish()), room, rest: None })
                }
                None => match timeout(limits.silence, self.read_more(buffer)).await {
                    Ok(true) => {}
                    Ok(false) => return Err(StartError::ClientClosed),
                    Err(_) => return Err(receive::TOO_SLOW.into()),
                },
            }
        }
        let (feed, rest) = body::body_channel();
        let upload = Upload::stream(start.finish(), length, rest);
        Ok(Received { upload, room, rest: Some((feed, ends)) })
    }

    /// Passes the rest of a body on as it comes; what nobody takes any more is read all the same. False: the client has
    /// closed, or makes no progress; the body then breaks off with its feed.
    async fn forward_body(&self, buffer: &mut BytesMut, mut ends: BodyEnd, feed: BodySender) -> bool {
        let limits = &self.front.limits;
        let mut taken = 0u64;
        let mut feed = Some(feed);
        loop {
            match heads::piece(buffer, &mut ends) {
                Ok(Some(piece)) => {
                    taken += piece.len() as u64;
                    let is_too_long = taken > limits.body_bytes;
                    let Some(to) = &feed else {
                        if is_too_long {
                            return false;
                        }
                        continue;
                    };
                    let piece = if is_too_long { Err(body::BodyError::TooLong) } else { Ok(piece) };
                    match self.while_open(buffer, timeout(receive::STALL_TIMEOUT, to.send(piece))).await {
                        Some(Ok(Ok(()))) if !is_too_long => {}
                        Some(Ok(Err(_))) if !is_too_long => feed = None,
                        _ => return false,
                    }
                }
                Ok(None) if ends == BodyEnd::Reached => {
                    if let Some(feed) = feed {
                        feed.finish();
                    }
                    return true;
                }
                Ok(None) if matches!(timeout(limits.silence, self.read_more(buffer)).await, Ok(true)) => {}
                Ok(None) | Err(_) => return false,
            }
        }
    }
}

/// The turn of a request that is rejected: the connection ends with it.
fn rejected(rejection: Rejection) -> PendingAnswer {
    tracing::debug!(status = rejection.status.as_u16(), "rejected: {}", rejection.why.trim_end());
    let answer = AnswerSource::Ready(Box::new(closing(respond::rejected(rejection))));
    PendingAnswer { answer, bare: false, old: false, last: true }
}
