//! Where a link's connections come from: the machine's own network, unless this thread's work is done within another
//! one, as in a rehearsal in virtual time.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// The side of a connection that is read.
pub type Reader = Box<dyn AsyncRead + Unpin>;
/// The side that is written.
pub type Writer = Box<dyn AsyncWrite + Unpin>;
/// A connection on its way.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<(Reader, Writer)>>>>;

/// A network as one machine has it.
pub trait Net {
    /// Connects to this address.
    fn connect(&self, to: SocketAddr) -> Connecting;
}

thread_local! {
    static WITHIN: RefCell<Option<Rc<dyn Net>>> = const { RefCell::new(None) };
}

/// Does this work within another network than the machine's own.
pub fn within<T>(net: &Rc<dyn Net>, work: impl FnOnce() -> T) -> T {
    let before = WITHIN.replace(Some(net.clone()));
    let done = work();
    WITHIN.set(before);
    done
}

/// The network that this work is done within; `None` for the machine's own.
pub(crate) fn here() -> Option<Rc<dyn Net>> {
    WITHIN.with_borrow(Clone::clone)
}
