//! The calling side.

use super::connection::{run, Shared};
use super::{RpcError, MAX_PAYLOAD, RESPONSE_TIMEOUT};
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Calls one other process, over a connection made on demand and made again after a back-off.
pub struct RpcClient {
    shared: Rc<Shared>,
}

impl fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RpcClient({})", self.shared.address)
    }
}

/// Removes a call from the waiting ones if its caller stops waiting.
struct CallGuard<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().pending.abandon(self.id);
    }
}

impl RpcClient {
    /// A client of the process at `address`; nothing is sent before the first call.
    pub fn new(address: SocketAddr) -> Rc<RpcClient> {
        Rc::new(RpcClient { shared: Rc::new(Shared::new(address)) })
    }

    /// The address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a call and waits for its response, at most `within`. Without a connection it waits for one to be made. A call
    /// with more than [`RESPONSE_TIMEOUT`] is a long poll: its waiting alone does not make the connection count as dead.
    ///
    /// # Errors
    /// [`RpcError::Unreachable`] if nothing of the call was sent, [`RpcError::Lost`] if it may have been received.
    pub async fn call(&self, kind: u8, body: Vec<u8>, within: Duration) -> Result<Bytes, RpcError> {
        let until = Instant::now() + within;
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.shared.state.borrow_mut();
            if body.len() > MAX_PAYLOAD || state.pending.is_full() {
                return Err(RpcError::Unreachable);
            }
            let id = state.pending.add(kind, body, within > RESPONSE_TIMEOUT, sender);
            if !state.is_running {
                state.is_running = true;
                tokio::task::spawn_local(run(self.shared.clone()));
            }
            id
        };
        self.shared.wake.notify_one();
        let _guard = CallGuard { shared: &self.shared, id };
        match timeout_at(until, receiver).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => Err(RpcError::Lost),
            Err(_) if self.shared.state.borrow().pending.was_sent(id) => Err(RpcError::Lost),
            Err(_) => Err(RpcError::Unreachable),
        }
    }
}

impl Drop for RpcClient {
    fn drop(&mut self) {
        self.shared.is_closed.set(true);
        self.shared.wake.notify_one();
    }
}
