//! Messages between limiters, one datagram each, and the frames that carry them.
//!
//! A frame consists of a version, a message authentication code, the sender, the receiver and a message. It can
//! neither be forged nor altered without the fleet's key. Duplicate and delayed frames are harmless: pings are
//! numbered and each is answered only once, and a limiter's report counts only with the token that it was last given.

use crate::document::{Digest, Head, Id};
use crate::{Millis, Peer};
use serde::{Deserialize, Serialize};

/// Version of the frame format. Frames of another version are dropped and counted.
pub const VERSION: u8 = 1;
/// Most bytes of a text in one message, so that a datagram is not fragmented on common networks.
pub const CHUNK_BYTES: usize = 1024;
/// Maximum length of a frame, bytes. The reason of a veto is truncated to fit.
pub const MAX_FRAME_BYTES: usize = 1400;
/// Maximum length of a veto's reason, bytes.
pub const MAX_REASON_BYTES: usize = 300;
/// Maximum length of an author's name, bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;
const MAC_BYTES: usize = 16;

/// Result of a limiter's check of a proposed revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It holds the text and can apply it.
    Confirmed,
    /// It cannot apply the revision; the reason names the offending key.
    Vetoed(String),
}

/// Heartbeat of a limiter to the decider, with its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ping {
    /// Random number that distinguishes this process from earlier ones of the same limiter.
    pub process_id: u64,
    /// Sequence number of the ping.
    pub seq: u64,
    /// Token last assigned by the decider; 0 if none.
    pub token: u64,
    /// Sequence number of the last ping whose answer was accepted; older answers are ignored.
    pub answered: u64,
    /// Id of the held revision, also while the lease has expired.
    pub holds: Id,
    /// Staged revision and the result of its check.
    pub staged: Option<(Id, Verdict)>,
}

/// Answer of the decider to a ping.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pong {
    /// Sequence number of the answered ping.
    pub seq: u64,
    /// Token to send with the next ping.
    pub token: u64,
    /// Current revision, on which this answer renews the lease. `None` renews no lease.
    pub current: Option<Head>,
    /// Proposed next revision.
    pub proposal: Option<Head>,
    /// Time until the decided proposal takes effect, ms; `None` while it is undecided.
    pub effective_in: Option<Millis>,
}

/// Message between two limiters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    #[allow(missing_docs)]
    Ping(Ping),
    #[allow(missing_docs)]
    Pong(Pong),
    /// Requests the text with this hash.
    ChunkRequest {
        /// Hash of the text.
        digest: Digest,
        /// Offset of the first requested byte.
        from: u32,
    },
    /// Requests the head of this revision.
    HeadRequest(Id),
    /// Answers a [`Message::HeadRequest`].
    HeadResponse(Head),
    /// Carries a part of a text.
    Chunk {
        /// Hash of the text.
        digest: Digest,
        /// Offset of the part, bytes.
        from: u32,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// Application data sent to the decider along with the agreement protocol, which does not interpret it.
    Attachment(Vec<u8>),
    /// Announces the latest term that the sender knows of, in a fleet whose decider is elected through a coordinator.
    TermAnnouncement {
        /// Number of the term.
        term: u64,
        /// Holder of the term, if known.
        peer: Option<Peer>,
    },
}

/// Reason for dropping a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    /// Unsupported version of the frame format.
    Version,
    /// Authentication failed: made with another key, or altered.
    Key,
    /// Cannot be decoded, is too long, or is addressed to another limiter.
    Malformed,
}

impl FrameError {
    /// Returns the name under which the status page counts it.
    pub fn name(self) -> &'static str {
        match self {
            FrameError::Version => "version",
            FrameError::Key => "key",
            FrameError::Malformed => "form",
        }
    }
}

/// Encodes and authenticates the frames of a fleet.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// Derives the key from a secret that all limiters of the fleet share.
    pub fn new(secret: &str) -> FrameCodec {
        FrameCodec { key: blake3::derive_key("oatbank fleet frames 1", secret.as_bytes()) }
    }

    /// Encodes a frame with this message from `from` to `to`.
    pub fn frame(&self, from: Peer, to: Peer, message: &Message) -> Vec<u8> {
        let mut frame = vec![VERSION];
        frame.extend_from_slice(&[0; MAC_BYTES]);
        let body = postcard::to_extend(&(from, to, message), frame);
        // Encoding cannot fail: the data holds no maps or floats.
        let mut frame = body.unwrap_or_default();
        if frame.len() > MAC_BYTES {
            let code = self.authentication_code(&frame[1 + MAC_BYTES..]);
            frame[1..=MAC_BYTES].copy_from_slice(&code);
        }
        frame
    }

    /// Decodes a frame received by `to`.
    ///
    /// # Errors
    /// Returns the reason for which the frame must be dropped.
    pub fn read(&self, to: Peer, frame: &[u8]) -> Result<(Peer, Message), FrameError> {
        let (version, rest) = frame.split_first().ok_or(FrameError::Malformed)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        if frame.len() > MAX_FRAME_BYTES || rest.len() <= MAC_BYTES {
            return Err(FrameError::Malformed);
        }
        let (code, body) = rest.split_at(MAC_BYTES);
        // `blake3::Hash` compares in constant time.
        if blake3::Hash::from_bytes(padded_to_hash(code))
            != blake3::Hash::from_bytes(padded_to_hash(&self.authentication_code(body)))
        {
            return Err(FrameError::Key);
        }
        let (from, receiver, message) =
            postcard::from_bytes::<(Peer, Peer, Message)>(body).map_err(|_| FrameError::Malformed)?;
        if receiver != to {
            return Err(FrameError::Malformed);
        }
        Ok((from, message))
    }

    fn authentication_code(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..MAC_BYTES]);
        code
    }
}

fn padded_to_hash(code: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..code.len()].copy_from_slice(code);
    padded
}

/// Returns the longest prefix of `text` of at most `most` bytes that ends on a character boundary.
pub fn truncate_utf8(text: &str, max_bytes: usize) -> &str {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[cfg(test)]
mod tests;
