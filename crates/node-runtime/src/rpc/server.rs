//! The server side of remote calls.

use super::frame::{read_frame, write_frame};
use super::{set_socket_options, MAX_OUTSTANDING, MAX_PAYLOAD, WRITE_BATCH};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Limit of concurrent calls per connection, including long polls that the client has abandoned.
const MAX_IN_PROGRESS: usize = 4 * MAX_OUTSTANDING;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A future of the response to a call.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Vec<u8>>>>;
/// Handles a call, given its kind and payload.
pub type Handler = Rc<dyn Fn(u8, Bytes) -> ResponseFuture>;

/// Accepts connections and handles their calls; never returns. When a connection ends, its unfinished calls are cancelled
/// at their next await point. A response longer than [`MAX_PAYLOAD`] ends the connection.
pub async fn serve(listener: TcpListener, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((mut stream, _)) => {
                if set_socket_options(&SockRef::from(&stream)).is_ok() {
                    let handler = handler.clone();
                    tokio::task::spawn_local(async move {
                        let (reader, writer) = stream.split();
                        serve_connection(reader, writer, handler).await;
                    });
                }
            }
            // Usually out of file descriptors, which is temporary.
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
    }
}

/// A response that is ready to be written.
struct Response {
    kind: u8,
    id: u64,
    body: Vec<u8>,
}

/// Handles the calls of one connection until it ends.
pub async fn serve_connection(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    handler: Handler,
) {
    let mut incoming = BytesMut::new();
    let mut outgoing = BytesMut::new();
    let mut in_progress: JoinSet<Response> = JoinSet::new();
    loop {
        while has_room(&in_progress, &outgoing) {
            match read_frame(&mut incoming) {
                Ok(Some(frame)) => {
                    let response = handler(frame.kind, frame.body);
                    let (kind, id) = (frame.kind, frame.id);
                    in_progress.spawn_local(async move { Response { kind, id, body: response.await } });
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
        let may_read = has_room(&in_progress, &outgoing);
        tokio::select! {
            biased;
            Some(done) = in_progress.join_next(), if !in_progress.is_empty() => {
                let mut next = Some(done);
                while let Some(done) = next {
                    // A handler that panicked has no response. Its caller is informed by the end of the connection.
                    let Ok(response) = done else { return };
                    if response.body.len() > MAX_PAYLOAD { return }
                    write_frame(&mut outgoing, response.kind, response.id, &response.body);
                    next = in_progress.try_join_next();
                }
            }
            written = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => {
                if !matches!(written, Ok(1..)) { return }
                if outgoing.is_empty() && outgoing.capacity() > WRITE_BATCH { outgoing = BytesMut::new() }
            }
            read = reader.read_buf(&mut incoming), if may_read => {
                if !matches!(read, Ok(1..)) { return }
            }
        }
    }
}

/// Whether more calls may be accepted: not while too many are in progress or too many bytes wait to be written.
fn has_room(in_progress: &JoinSet<Response>, outgoing: &BytesMut) -> bool {
    in_progress.len() < MAX_IN_PROGRESS && outgoing.len() < MAX_PAYLOAD
}
