//! Receives request bodies: buffers small ones and forwards larger ones while they arrive. Progress is limited rather
//! than the total time: a client may be slow, but must keep sending.

use super::FrontLimits;
use crate::body::{self, BodyError, BodyPrefix, BodySender, Upload, MAX_BODY_BYTES};
use crate::classify::Rejection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time allowed for any body, on top of the time at [`MIN_BODY_RATE`].
const BODY_GRACE: Duration = Duration::from_millis(3000);
/// Lowest average rate of a body, bytes per second: a quarter of the rate of slow clients.
const MIN_BODY_RATE: f64 = 16.0 * 1024.0;
/// A body that the server does not read for this long is abandoned.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the rest of a body is read and discarded after its answer, so that a client that writes the whole body
/// before it reads gets its answer and keeps its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) const TOO_SLOW: Rejection =
    Rejection { status: StatusCode::REQUEST_TIMEOUT, why: "the body takes too long\n" };

/// Bytes received of a body and the time since its start.
struct BodyPace {
    begun: Instant,
    bytes: u64,
    limits: FrontLimits,
}

impl BodyPace {
    fn new(limits: FrontLimits) -> Self {
        BodyPace { begun: Instant::now(), bytes: 0, limits }
    }

    /// How long to wait for the next chunk.
    fn read_timeout(&self) -> Duration {
        let due = BODY_GRACE + Duration::from_secs_f64(self.bytes as f64 / MIN_BODY_RATE);
        self.limits.body_read_timeout.min(due.saturating_sub(self.begun.elapsed()))
    }

    /// Reads the next chunk of a body; `None` at its end.
    async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Ok(frame) = timeout(self.read_timeout(), body.frame()).await else {
                return Err(BodyError::Stalled);
            };
            let Some(frame) = frame else { return Ok(None) };
            // Trailers are not forwarded.
            let Ok(chunk) = frame.map_err(|_| BodyError::Left)?.into_data() else { continue };
            self.bytes += chunk.len() as u64;
            if self.bytes > self.limits.max_body_bytes {
                return Err(BodyError::TooLong);
            }
            return Ok(Some(chunk));
        }
    }
}

pub(super) fn too_long(limits: &FrontLimits) -> Rejection {
    let why =
        if limits.max_body_bytes == MAX_BODY_BYTES { "over 64 MiB\n" } else { "the body is too long\n" };
    Rejection { status: StatusCode::PAYLOAD_TOO_LARGE, why }
}

fn rejection(why: BodyError, limits: &FrontLimits) -> Rejection {
    match why {
        BodyError::Left | BodyError::Spent => Rejection::bad("the body is not whole\n"),
        BodyError::Stalled => TOO_SLOW,
        BodyError::TooLong => too_long(limits),
    }
}

/// Buffers a short body completely, or buffers the start of a long one and forwards the rest. `on_end` is called once
/// the last byte has arrived or the body has broken off.
///
/// # Errors
/// If the body is too long, stalls, or breaks off before it exceeds the buffer.
pub(super) async fn receive(
    mut body: Incoming,
    limits: FrontLimits,
    on_end: impl FnOnce() + 'static,
) -> Result<Upload, Rejection> {
    if body.is_end_stream() {
        on_end();
        return Ok(Upload::Whole(Bytes::new()));
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|l| l > limits.max_body_bytes) {
        return Err(too_long(&limits));
    }
    let mut pace = BodyPace::new(limits);
    let mut start = BodyPrefix::default();
    while !start.is_longer_than(limits.max_buffered_bytes) {
        let Some(chunk) = pace.next(&mut body).await.map_err(|why| rejection(why, &limits))? else {
            on_end();
            return Ok(Upload::Whole(start.finish()));
        };
        start.push(chunk);
    }
    let (sender, rest) = body::body_channel();
    tokio::task::spawn_local(async move {
        forward_body(body, pace, sender).await;
        on_end();
    });
    Ok(Upload::stream(start.finish(), length, rest))
}

/// Forwards a body while it arrives, no faster than it is read.
async fn forward_body(mut body: Incoming, mut pace: BodyPace, sender: BodySender) {
    loop {
        let chunk = tokio::select! {
            chunk = pace.next(&mut body) => chunk,
            () = sender.closed() => return discard_rest(body, pace).await,
        };
        let chunk = match chunk {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return sender.finish(),
            // The receiver gets the error, unless it has been dropped.
            Err(why) => {
                let _ = sender.send(Err(why)).await;
                return;
            }
        };
        let wait_start = Instant::now();
        match timeout(STALL_TIMEOUT, sender.send(Ok(chunk))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return discard_rest(body, pace).await,
            // Dropping the sender ends the server's body with an error.
            Err(_) => return,
        }
        // The wait for the server does not count as the client's delay.
        pace.begun += wait_start.elapsed();
    }
}

/// Reads and discards the rest of a body whose request has been answered.
async fn discard_rest(mut body: Incoming, mut pace: BodyPace) {
    let end = Instant::now() + DISCARD_TIMEOUT;
    while let Ok(Ok(Some(_))) = tokio::time::timeout_at(end, pace.next(&mut body)).await {}
}
