//! Remote calls between processes of the system. Many calls share one connection, and responses may arrive in any order.
//! Everything runs in a `LocalSet` on one thread.
//!
//! | module | holds |
//! | --- | --- |
//! | `frame` | the wire format of calls and responses |
//! | `server` | handles calls on incoming connections |
//! | `client` | sends calls to one other process |
//! | `pending` | the calls of a client that are waiting for their responses |
//! | `connection` | maintains a client's connection and transfers its frames |

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

/// The longest payload of a frame, bytes.
pub const MAX_PAYLOAD: usize = 8 << 20;
/// Limit of calls of one client that are waiting for their responses.
pub const MAX_OUTSTANDING: usize = 256;
/// A connection is closed if nothing arrives for this long while a response is due. A call with a longer timeout is a long
/// poll, for which no response is ever due.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Bytes collected for one write.
const WRITE_BATCH: usize = 64 << 10;
/// Interval of keep-alive probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// The reason for which a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// The call was not sent.
    Unreachable,
    /// The call may or may not have been received.
    Lost,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RpcError::Unreachable => "not sent: no connection",
            RpcError::Lost => "no response was received",
        })
    }
}

impl std::error::Error for RpcError {}

/// Disables Nagle's algorithm and sets the timeouts by which TCP detects a dead peer.
fn set_socket_options(socket: &SockRef<'_>) -> std::io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(RESPONSE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE))
}
