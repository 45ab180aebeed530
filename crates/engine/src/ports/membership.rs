//! Which servers there are.

use oatbank_limiter_core::interface::{Millis, ServerState, Standing};
use std::net::SocketAddr;
use std::rc::Rc;

/// One server as a source tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its id, the same at every limiter.
    pub id: String,
    /// Where it listens, as seen from here. One that is gone needs none.
    pub address: Option<SocketAddr>,
    /// Its zone's name; unknown names count as another zone.
    pub zone: String,
    /// Its cell.
    pub cell: u16,
    /// Its size beside the others'.
    pub weight: f64,
    /// When it last started, Unix ms; 0: long ago.
    pub started: Millis,
    /// Whether it takes requests.
    pub state: ServerState,
    /// How it fares, where limiters tell each other.
    pub standing: Standing,
}

impl Member {
    /// A server that has been there for long and takes requests.
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

/// News of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// All servers there are; what is not named is gone.
    Complete(Vec<Member>),
    /// The servers that changed.
    Changes(Vec<Member>),
    /// All servers as they were when this limiter last ran; may be old, and does not make it ready.
    Remembered(Vec<Member>),
}

/// Where a source tells its news.
///
/// The engine counts as told once this call is made: when it returns, no first byte of a new attempt goes to a
/// server that is not ready, also on attempts whose connection is just coming up. The drain rule's 250 ms run
/// from the moment at which the source's own origin counts the limiter as told, so a source makes this call
/// as soon as it has read the news, in the order in which it read them, and never holds one back.
pub type MembershipSink = Rc<dyn Fn(News)>;
