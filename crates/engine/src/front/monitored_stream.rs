//! The stream of a client connection that is served by the HTTP library.

use super::peer::Peer;
use super::HttpHandler;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's stream that records reads and writes in its [`Peer`].
pub(super) struct MonitoredStream<D> {
    /// Shared, to check for unread bytes from outside.
    pub(super) stream: Rc<TcpStream>,
    pub(super) peer: Rc<Peer>,
    pub(super) handler: Rc<D>,
}

impl<D: HttpHandler> AsyncRead for MonitoredStream<D> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.peer.on_read(self.handler.now(), &buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl<D: HttpHandler> AsyncWrite for MonitoredStream<D> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no user-space buffer to flush.
        self.peer.on_flush(self.handler.now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl<D: HttpHandler> MonitoredStream<D> {
    fn write(
        &self,
        cx: &mut Context<'_>,
        how: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match how(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.peer.on_write(self.handler.now());
                    return Poll::Ready(done);
                }
            }
        }
    }
}
