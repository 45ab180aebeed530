//! The list of servers and its sources.

use oatbank_limiter_core::interface::{Millis, ServerState, Standing};
use std::net::SocketAddr;
use std::rc::Rc;

/// A server as reported by a membership source.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Id, the same at every limiter.
    pub id: String,
    /// Address to connect to; not needed for a server that is gone.
    pub address: Option<SocketAddr>,
    /// Name of its zone; all unknown names count as one further zone.
    pub zone: String,
    /// Number of its cell.
    pub cell: u16,
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// Last start, Unix ms; 0: long ago.
    pub started: Millis,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Health as shared between limiters.
    pub standing: Standing,
}

impl Member {
    /// A ready, warm server with weight 1 and no zone.
    pub fn ready(id: impl Into<String>, address: SocketAddr) -> Self {
        Member {
            id: id.into(),
            address: Some(address),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            started: 0.0,
            state: ServerState::Ready,
            standing: Standing::Well,
        }
    }
}

/// An update of the server list.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The complete list; servers that are not in it are gone.
    Complete(Vec<Member>),
    /// The servers that changed.
    Changes(Vec<Member>),
    /// The complete list as of this limiter's last run. It may be outdated and does not make the limiter ready.
    Remembered(Vec<Member>),
}

/// Callback through which a source reports its updates.
///
/// Once it returns, no new attempt sends its first byte to a server that is not ready, not even on attempts whose
/// connection is being established. The drain rule's 250 ms run from the moment at which the source's origin considers
/// the limiter informed, so a source reports each update as soon as it has read it, in order, and never delays one.
pub type MembershipSink = Rc<dyn Fn(News)>;
