//! Selects the network for outgoing connections: the machine's own, or a simulated one set for the current thread.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// The reading half of a connection.
pub type Reader = Box<dyn AsyncRead + Unpin>;
/// The writing half of a connection.
pub type Writer = Box<dyn AsyncWrite + Unpin>;
/// A connection that is being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<(Reader, Writer)>>>>;

/// A network, as one machine sees it.
pub trait Network {
    /// Opens a connection to this address.
    fn connect(&self, to: SocketAddr) -> Connecting;
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<dyn Network>>> = const { RefCell::new(None) };
}

/// Runs `work` with `network` as the current thread's network, and restores the previous one afterwards.
pub fn within<T>(network: &Rc<dyn Network>, work: impl FnOnce() -> T) -> T {
    let before = CURRENT.replace(Some(network.clone()));
    let done = work();
    CURRENT.set(before);
    done
}

/// The current thread's network; `None` for the machine's own.
pub(crate) fn current() -> Option<Rc<dyn Network>> {
    CURRENT.with_borrow(Clone::clone)
}
