//! Bodies of clients' requests: read whole while they are small, else passed on as they come. Progress is judged, and
//! not the time in all: a client may be slow, but must get on.

use super::FrontLimits;
use crate::body::{self, BodyError, BodyPrefix, BodySender, Upload, MAX_BODY_BYTES};
use crate::classify::Rejection;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// What a body may take in all: this long, and a second for so many bytes. A quarter of what slow clients reach.
const BODY_GRACE: Duration = Duration::from_millis(3000);
const MIN_BODY_RATE: f64 = 16.0 * 1024.0;
/// A server that takes nothing of a body for this long is given up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// What comes of a body after its answer is read and thrown away while it gets on, for this long at most, so that a client
/// which writes to the end before it reads gets its answer and keeps its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) const TOO_SLOW: Rejection =
    Rejection { status: StatusCode::REQUEST_TIMEOUT, why: "the body takes too long\n" };

/// What has come so far, against the time it took.
struct BodyPace {
    begun: Instant,
    bytes: u64,
    limits: FrontLimits,
}

impl BodyPace {
    fn new(limits: FrontLimits) -> Self {
        BodyPace { begun: Instant::now(), bytes: 0, limits }
    }

    /// How long the next piece is waited for.
    fn read_timeout(&self) -> Duration {
        let due = BODY_GRACE + Duration::from_secs_f64(self.bytes as f64 / MIN_BODY_RATE);
        self.limits.silence.min(due.saturating_sub(self.begun.elapsed()))
    }

    /// The next piece of a body; none at its end.
    async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Ok(frame) = timeout(self.read_timeout(), body.frame()).await else {
                return Err(BodyError::Stalled);
            };
            let Some(frame) = frame else { return Ok(None) };
            // Trailers say nothing that is passed on.
            let Ok(piece) = frame.map_err(|_| BodyError::Left)?.into_data() else { continue };
            self.bytes += piece.len() as u64;
            if self.bytes > self.limits.body_bytes {
                return Err(BodyError::TooLong);
            }
            return Ok(Some(piece));
        }
    }
}

pub(super) fn too_long(limits: &FrontLimits) -> Rejection {
    let why = if limits.body_bytes == MAX_BODY_BYTES { "over 64 MiB\n" } else { "the body is too long\n" };
    Rejection { status: StatusCode::PAYLOAD_TOO_LARGE, why }
}

fn rejection(why: BodyError, limits: &FrontLimits) -> Rejection {
    match why {
        BodyError::Left | BodyError::Spent => Rejection::bad("the body is not whole\n"),
        BodyError::Stalled => TOO_SLOW,
        BodyError::TooLong => too_long(limits),
    }
}

/// Reads a body whole if it is short, and begins to pass it on if it is not. `whole` is called once its last byte has
/// come, or it will not.
///
/// # Errors
/// When it is too long, does not get on, or breaks off before it is known to be long.
pub(super) async fn receive(
    mut body: Incoming,
    limits: FrontLimits,
    whole: impl FnOnce() + 'static,
) -> Result<Upload, Rejection> {
    if body.is_end_stream() {
        whole();
        return Ok(Upload::Whole(Bytes::new()));
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|l| l > limits.body_bytes) {
        return Err(too_long(&limits));
    }
    let mut pace = BodyPace::new(limits);
    let mut start = BodyPrefix::default();
    while !start.is_longer_than(limits.held) {
        let Some(piece) = pace.next(&mut body).await.map_err(|why| rejection(why, &limits))? else {
            whole();
            return Ok(Upload::Whole(start.finish()));
        };
        start.push(piece);
    }
    let (feed, rest) = body::body_channel();
    tokio::task::spawn_local(async move {
        forward_body(body, pace, feed).await;
        whole();
    });
    Ok(Upload::stream(start.finish(), length, rest))
}

/// Passes a body on as it comes, no faster than it is taken.
async fn forward_body(mut body: Incoming, mut pace: BodyPace, feed: BodySender) {
    loop {
        let piece = tokio::select! {
            piece = pace.next(&mut body) => piece,
            () = feed.closed() => return discard_rest(body, pace).await,
        };
        let piece = match piece {
            Ok(Some(piece)) => piece,
            Ok(None) => return feed.finish(),
            // Who takes it hears why, unless it has given up.
            Err(why) => {
                let _ = feed.send(Err(why)).await;
                return;
            }
        };
        let waits = Instant::now();
        match timeout(STALL_TIMEOUT, feed.send(Ok(piece))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return discard_rest(body, pace).await,
            // The server's end of it breaks off with the feed.
            Err(_) => return,
        }
        // Not the client's delay.
        pace.begun += waits.elapsed();
    }
}

/// Takes the rest of a body whose request has been answered.
async fn discard_rest(mut body: Incoming, mut pace: BodyPace) {
    let end = Instant::now() + DISCARD_TIMEOUT;
    while let Ok(Ok(Some(_))) = tokio::time::timeout_at(end, pace.next(&mut body)).await {}
}
