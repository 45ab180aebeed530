//! Remote calls between processes of the system: many calls at once on one connection, each answered when its response
//! is ready. All of it runs in a `LocalSet` on one thread.
//!
//! | module | holds |
//! | --- | --- |
//! | `frame` | how a call and its response look on the wire |
//! | `server` | answers calls on incoming connections |
//! | `client` | sends calls to one other process |
//! | `pending` | the calls of a client that wait for their responses |
//! | `connection` | keeps a client's connection, and carries its frames |

mod client;
mod connection;
mod frame;
mod pending;
mod server;
#[cfg(test)]
mod tests;

pub use client::RpcClient;
pub use server::{serve, serve_connection, Handler, ResponseFuture};

use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::time::Duration;

/// The longest payload of a frame, in bytes.
pub const MAX_PAYLOAD: usize = 8 << 20;
/// How many calls of one client may wait for their responses.
pub const MAX_OUTSTANDING: usize = 256;
/// A connection on which nothing arrives for this long while a response is due is given up. A call that may take longer is
/// a long poll: its waiting alone makes no response due.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Bytes gathered for one write.
const WRITE_BATCH: usize = 64 << 10;
/// Interval of keep-alive probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// The call was certainly not sent.
    Unreachable,
    /// The call may or may not have been received.
    Lost,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RpcError::Unreachable => "not sent: no connection",
            RpcError::Lost => "no answer came",
        })
    }
}

impl std::error::Error for RpcError {}

/// Sets the options that a dead peer is noticed by.
fn set_socket_options(socket: &SockRef<'_>) -> std::io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(RESPONSE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE))
}
