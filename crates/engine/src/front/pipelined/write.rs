//! The writing side of a pipelined connection: writes the answers in the order of the requests.

use super::super::heads::{self, Framing, Persistence};
use super::super::{closing, HttpHandler, Phase};
use super::{AnswerSource, Connection, PendingAnswer};
use crate::body::{self, Body};
use crate::respond::plain;
use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use std::io::{self, IoSlice};
use tokio::sync::mpsc;

/// Why writing ended.
pub(super) enum WriteEnd {
    /// The last answer, which announces the close, was written.
    LastAnswer,
    /// An answer with this framing broke off. The end of the connection must not look like its end.
    Cut(Framing),
    /// The client does not accept any more bytes.
    Failed,
}

impl<D: HttpHandler> Connection<D> {
    /// Writes answers until the end of the connection.
    pub(super) async fn write(&self, mut turns: mpsc::Receiver<PendingAnswer>) -> WriteEnd {
        while let Some(mut turn) = turns.recv().await {
            let answer = match &mut turn.answer {
                AnswerSource::Ready(answer) => {
                    std::mem::replace(&mut **answer, Response::new(Body::default()))
                }
                // The request of a task that panicked may have been sent.
                AnswerSource::Pending(task) => (&mut task.0)
                    .await
                    .unwrap_or_else(|_| closing(plain(StatusCode::BAD_GATEWAY, "no answer can be given\n"))),
            };
            self.peer.enter(Phase::Writing, self.now());
            self.open_requests.on_writing();
            let is_last = self.is_last(&turn, &answer);
            if let Some(end) = self.write_answer(answer, &turn, is_last).await {
                return end;
            }
            self.on_answered();
            if is_last {
                return WriteEnd::LastAnswer;
            }
        }
        // All started requests are answered, and reading has ended.
        WriteEnd::LastAnswer
    }

    /// Whether the connection ends with this answer. With a reason to end it, no further request is started, and it ends
    /// once all started requests are answered.
    fn is_last(&self, turn: &PendingAnswer, answer: &Response<Body>) -> bool {
        let ends = turn.last
            || heads::connection_has(answer.headers(), "close")
            || self.front.stopping.get()
            || self.front.saturated.get();
        if ends {
            self.closing.set(true);
        }
        self.closing.get() && self.open_requests.started() == 1
    }

    /// Records that a request has been answered.
    fn on_answered(&self) {
        self.open_requests.on_answered();
        self.answered.notify_one();
        if self.open_requests.started() > 0 {
            self.peer.enter(Phase::Busy, self.now());
        } else {
            // Only bytes of the next request count, not those of this request's body.
            self.peer.next_request_started.set(self.next_request_started.get());
            self.peer.on_flush(self.now());
        }
    }

    /// Writes one answer. Returns the reason if no further answer can follow it.
    async fn write_answer(
        &self,
        answer: Response<Body>,
        turn: &PendingAnswer,
        close: bool,
    ) -> Option<WriteEnd> {
        let persistence = match close {
            true => Persistence::Close,
            false => Persistence::KeepAlive { timeout_s: self.front.limits.stated_idle_s() },
        };
        let (head, body) = answer.into_parts();
        let bodiless =
            turn.head_only || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let mut out = BytesMut::with_capacity(512);
        let failure = |done: bool| (!done).then_some(WriteEnd::Failed);
        match body {
            _ if bodiless => {
                heads::write_head(head.status, &head.headers, Framing::None, persistence, &mut out);
                failure(self.write_all(&out, b"").await)
            }
            Body::Whole(bytes) => {
                heads::write_head(
                    head.status,
                    &head.headers,
                    Framing::Length(bytes.len() as u64),
                    persistence,
                    &mut out,
                );
                failure(self.write_all(&out, &bytes).await)
            }
            Body::Stream { held, length, mut rest, permit } => {
                let framing = match length {
                    Some(length) => Framing::Length(length),
                    None if turn.is_http10 => Framing::Close,
                    None => Framing::Chunked,
                };
                heads::write_head(head.status, &head.headers, framing, persistence, &mut out);
                self.peer.streaming.set(length != Some(held.len() as u64));
                let end = self.stream(&out, held, framing, &mut rest).await;
                self.peer.streaming.set(false);
                drop(permit);
                end.or_else(|| (framing == Framing::Close).then_some(WriteEnd::LastAnswer))
            }
        }
    }

    async fn stream(
        &self,
        head: &[u8],
        held: Bytes,
        framing: Framing,
        rest: &mut body::BodyReceiver,
    ) -> Option<WriteEnd> {
        let mut left = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let (mut before, mut chunk) = (BytesMut::from(head), held);
        loop {
            match left.map(|left| left.checked_sub(chunk.len() as u64)) {
                // The body is longer than announced.
                Some(None) => return Some(WriteEnd::Cut(framing)),
                rest => left = rest.flatten(),
            }
            if framing == Framing::Chunked && !chunk.is_empty() {
                before.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            }
            if !self.write_all(&before, &chunk).await {
                return Some(WriteEnd::Failed);
            }
            before.clear();
            if framing == Framing::Chunked && !chunk.is_empty() {
                before.extend_from_slice(b"\r\n");
            }
            if left == Some(0) {
                return None;
            }
            match rest.recv().await {
                Some(Ok(next)) => chunk = next,
                None if left.is_none() => break,
                Some(Err(_)) | None => return Some(WriteEnd::Cut(framing)),
            }
        }
        if framing == Framing::Chunked {
            before.extend_from_slice(b"0\r\n\r\n");
        }
        (!self.write_all(&before, b"").await).then_some(WriteEnd::Failed)
    }

    /// Writes both slices completely; false if writing fails.
    pub(super) async fn write_all(&self, mut first: &[u8], mut second: &[u8]) -> bool {
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
                    self.peer.on_write(self.now());
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
}
