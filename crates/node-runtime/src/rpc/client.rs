//! The client side of remote calls.

use super::connection::{run, Shared};
use super::{RpcError, MAX_PAYLOAD, RESPONSE_TIMEOUT};
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Sends calls to one other process. The connection is opened on demand and reopened after a back-off.
pub struct RpcClient {
    shared: Rc<Shared>,
}

impl fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RpcClient({})", self.shared.address)
    }
}

/// Removes a call from the pending calls when its caller stops waiting.
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
    /// Creates a client for the process at `address`. It does not connect before the first call.
    pub fn new(address: SocketAddr) -> Rc<RpcClient> {
        Rc::new(RpcClient { shared: Rc::new(Shared::new(address)) })
    }

    /// The address of the called process.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a call and waits for its response for at most `within`, including the time to connect. A call with `within`
    /// above [`RESPONSE_TIMEOUT`] is a long poll, which does not cause the connection to be considered dead.
    ///
    /// # Errors
    /// [`RpcError::Unreachable`] if no part of the call was sent, also if the body is longer than [`MAX_PAYLOAD`] or too
    /// many calls are pending; [`RpcError::Lost`] if the call may have been received.
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
