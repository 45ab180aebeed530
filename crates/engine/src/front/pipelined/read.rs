//! The reading side of a pipelined connection: parses requests and starts them.

use super::super::heads::{self, BodyEnd, Head};
use super::super::request_progress::{RequestProgress, RequestStage};
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

/// Why reading ended.
pub(super) enum ReadEnd {
    /// The client has closed.
    ClientClosed,
    /// The connection ends with the pending answers.
    NothingMore,
}

/// A started request.
struct StartedRequest {
    turn: PendingAnswer,
    /// Sender for the rest of its body, and how that ends.
    rest: Option<(BodySender, BodyEnd)>,
}

/// A body, complete or with a buffered start.
struct Received {
    upload: Upload,
    permit: Option<BodyPermit>,
    rest: Option<(BodySender, BodyEnd)>,
}

/// How the forwarding of a body ended.
enum ForwardedBody {
    /// It has arrived completely.
    Whole,
    /// The client has closed.
    ClientClosed,
    /// It is malformed or too long, or it makes no progress. Its receiver gets an error.
    Abandoned,
}

/// Why a request was not started.
enum StartError {
    /// The client has closed.
    ClientClosed,
    /// The request is rejected, and the connection ends with the answer.
    Rejected(Rejection),
}

impl From<Rejection> for StartError {
    fn from(rejection: Rejection) -> StartError {
        StartError::Rejected(rejection)
    }
}

impl<D: HttpHandler> Connection<D> {
    /// Reads and starts requests until the end of the connection.
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
                    self.open_requests.on_head(String::new(), self.now());
                    self.open_requests.on_start();
                    self.on_rest_discarded();
                    place.send(rejected(rejection));
                    return ReadEnd::NothingMore;
                }
            };
            self.open_requests.on_head(self.request_id(&head), self.now());
            let must_wait = head.ends != BodyEnd::Reached || !self.front.handler.may_pipeline(&head.parts);
            if must_wait && self.while_open(&mut buffer, self.all_answered()).await.is_none() {
                return ReadEnd::ClientClosed;
            }
            if self.closing.get() {
                // The client treats the request as unread.
                return ReadEnd::NothingMore;
            }
            let progress = self.on_begin(&buffer);
            let StartedRequest { turn, rest } = match self.begin(head, &mut buffer, progress).await {
                Ok(begun) => begun,
                Err(StartError::ClientClosed) => return ReadEnd::ClientClosed,
                Err(StartError::Rejected(rejection)) => {
                    self.on_rest_discarded();
                    StartedRequest { turn: rejected(rejection), rest: None }
                }
            };
            let (is_last, is_http10) = (turn.last, turn.is_http10);
            place.send(turn);
            if let Some((sender, ends)) = rest {
                self.peer.uploading.set(true);
                match self.forward_body(&mut buffer, ends, sender).await {
                    ForwardedBody::Whole => self.on_body_end(&buffer),
                    ForwardedBody::ClientClosed => return ReadEnd::ClientClosed,
                    ForwardedBody::Abandoned => {
                        // The request is started, so it is answered before the connection ends.
                        self.closing.set(true);
                        return ReadEnd::NothingMore;
                    }
                }
            }
            if is_last {
                return ReadEnd::NothingMore;
            }
            // The end of the connection may mark the end of an HTTP/1.0 answer.
            if is_http10 && self.while_open(&mut buffer, self.all_answered()).await.is_none() {
                return ReadEnd::ClientClosed;
            }
        }
    }

    /// Reads the next request's head.
    async fn next_head(&self, buffer: &mut BytesMut) -> Result<Head, StartError> {
        loop {
            if let Some(head) = heads::parse_head(buffer, self.front.limits.max_head_bytes)? {
                self.next_request_started.set(true);
                return Ok(head);
            }
            self.next_request_started.set(!buffer.is_empty());
            if !self.read_more(buffer).await {
                return Err(StartError::ClientClosed);
            }
        }
    }

    /// Waits until all started requests are answered.
    async fn all_answered(&self) {
        while self.open_requests.started() > 0 {
            self.answered.notified().await;
        }
    }

    /// Value of a request's id header; empty if it has none.
    fn request_id(&self, head: &Head) -> String {
        let value = head.parts.headers.get(self.front.handler.request_id_header());
        value.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned()
    }

    /// Records the start of the request read last.
    fn on_begin(&self, buffer: &BytesMut) -> RequestProgress {
        self.peer.recent_bytes.borrow_mut().forget();
        self.next_request_started.set(!buffer.is_empty());
        if self.peer.phase.get() != Phase::Writing {
            self.peer.enter(Phase::Busy, self.now());
        }
        self.open_requests.on_start()
    }

    /// Records that the rest of a rejected request is discarded. What has been read of it is no further request.
    fn on_rest_discarded(&self) {
        self.next_request_started.set(false);
    }

    /// Records the end of a body that was forwarded. If its request was answered before, the connection is idle now.
    fn on_body_end(&self, buffer: &BytesMut) {
        self.peer.on_upload_end(self.now());
        if self.peer.phase.get() == Phase::Idle && !buffer.is_empty() {
            self.peer.enter(Phase::Reading, self.now());
        }
    }

    /// Starts a request: answers it from its head, or receives its body and spawns its handler.
    async fn begin(
        &self,
        mut head: Head,
        buffer: &mut BytesMut,
        progress: RequestProgress,
    ) -> Result<StartedRequest, StartError> {
        let (head_only, is_http10) =
            (head.parts.method == Method::HEAD, head.parts.version == Version::HTTP_10);
        let turn = |answer, last| PendingAnswer { answer, head_only, is_http10, last };
        let ticket = match self.front.decide_head(&mut head.parts)? {
            HeadDecision::Respond(answer) => {
                // The body of such a request is not read and must not be parsed as a request.
                let has_body = head.ends != BodyEnd::Reached;
                if has_body {
                    self.on_rest_discarded();
                }
                let answer = if has_body { closing(answer) } else { answer };
                let turn = turn(AnswerSource::Ready(Box::new(answer)), head.last || has_body);
                return Ok(StartedRequest { turn, rest: None });
            }
            HeadDecision::Accept(ticket) => ticket,
        };
        if head.parts.method == Method::CONNECT {
            return Err(CONNECT_UNSUPPORTED.into());
        }
        let Received { upload, permit, rest } = self.receive(&head, buffer).await?;
        let handler = self.front.handler.clone();
        let task = tokio::task::spawn_local(async move {
            let answer = handler.serve(ticket, head.parts, upload, permit, progress.clone()).await;
            progress.enter(RequestStage::AnswerReady);
            answer.unwrap_or_else(|rejection| closing(respond::rejected(rejection)))
        });
        Ok(StartedRequest { turn: turn(AnswerSource::Pending(AnswerTask(task)), head.last), rest })
    }

    /// Buffers a short body completely, and the start of a longer one.
    async fn receive(&self, head: &Head, buffer: &mut BytesMut) -> Result<Received, StartError> {
        let mut ends = head.ends;
        if ends == BodyEnd::Reached {
            return Ok(Received { upload: Upload::Whole(Bytes::new()), permit: None, rest: None });
        }
        let limits = &self.front.limits;
        let length = match ends {
            BodyEnd::AfterBytes(length) => Some(length),
            _ => None,
        };
        if length.is_some_and(|l| l > limits.max_body_bytes) {
            return Err(receive::too_long(limits).into());
        }
        let permit = timeout(
            BODY_PERMIT_TIMEOUT,
            self.front.body_budget.acquire_buffered(length, limits.max_buffered_bytes),
        );
        let permit = self.while_open(buffer, permit).await.ok_or(StartError::ClientClosed)?;
        let permit = permit.map_err(|_| NO_BODY_MEMORY)?;
        if head.expects_continue
            && buffer.is_empty()
            && !self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", b"").await
        {
            return Err(StartError::ClientClosed);
        }
        let mut start = BodyPrefix::default();
        while !start.is_longer_than(limits.max_buffered_bytes) {
            match heads::next_bytes(buffer, &mut ends)? {
                Some(chunk) => start.push(chunk),
                None if ends == BodyEnd::Reached => {
                    return Ok(Received { upload: Upload::Whole(start.finish()), permit, rest: None })
                }
                None => match timeout(limits.body_read_timeout, self.read_more(buffer)).await {
                    Ok(true) => {}
                    Ok(false) => return Err(StartError::ClientClosed),
                    Err(_) => return Err(receive::TOO_SLOW.into()),
                },
            }
        }
        let (sender, rest) = body::body_channel();
        let upload = Upload::stream(start.finish(), length, rest);
        Ok(Received { upload, permit, rest: Some((sender, ends)) })
    }

    /// Forwards the rest of a body while it arrives, and discards it if the receiver is dropped. Dropping the sender before
    /// the end of the body ends it with an error.
    async fn forward_body(
        &self,
        buffer: &mut BytesMut,
        mut ends: BodyEnd,
        sender: BodySender,
    ) -> ForwardedBody {
        let limits = &self.front.limits;
        let mut taken = 0u64;
        let mut sender = Some(sender);
        loop {
            match heads::next_bytes(buffer, &mut ends) {
                Ok(Some(chunk)) => {
                    taken += chunk.len() as u64;
                    let is_too_long = taken > limits.max_body_bytes;
                    let Some(to) = &sender else {
                        if is_too_long {
                            return ForwardedBody::Abandoned;
                        }
                        continue;
                    };
                    let chunk = if is_too_long { Err(body::BodyError::TooLong) } else { Ok(chunk) };
                    match self.while_open(buffer, timeout(receive::STALL_TIMEOUT, to.send(chunk))).await {
                        None => return ForwardedBody::ClientClosed,
                        Some(Ok(Ok(()))) if !is_too_long => {}
                        Some(Ok(Err(_))) if !is_too_long => sender = None,
                        Some(_) => return ForwardedBody::Abandoned,
                    }
                }
                Ok(None) if ends == BodyEnd::Reached => {
                    if let Some(sender) = sender {
                        sender.finish();
                    }
                    return ForwardedBody::Whole;
                }
                Ok(None) => match timeout(limits.body_read_timeout, self.read_more(buffer)).await {
                    Ok(true) => {}
                    Ok(false) => return ForwardedBody::ClientClosed,
                    Err(_) => return ForwardedBody::Abandoned,
                },
                Err(_) => return ForwardedBody::Abandoned,
            }
        }
    }
}

/// The answer to a rejected request, with which the connection ends.
fn rejected(rejection: Rejection) -> PendingAnswer {
    tracing::debug!(status = rejection.status.as_u16(), "rejected: {}", rejection.why.trim_end());
    let answer = AnswerSource::Ready(Box::new(closing(respond::rejected(rejection))));
    PendingAnswer { answer, head_only: false, is_http10: false, last: true }
}
