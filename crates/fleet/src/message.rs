//! What limiters say to each other, one datagram each, and the frames that carry it.
//!
//! A frame is a version, a fleet's key's mark, the sender and a message. Whoever does not have the fleet's key can neither
//! make nor change one. A frame that comes twice or late is no danger: questions are numbered and each is answered
//! once to its asker, and what a limiter says of itself counts with the token it was last given only.

use crate::document::{Digest, Head, Id};
use crate::{Millis, Peer};
use serde::{Deserialize, Serialize};

/// Version of the frames. Another one is dropped, and counted.
pub const VERSION: u8 = 1;
/// Most bytes of a text in one message: a datagram stays whole on usual networks.
pub const CHUNK_BYTES: usize = 1024;
/// The longest frame, bytes: a veto's reason is cut to fit.
pub const MAX_FRAME_BYTES: usize = 1400;
/// The longest reason of a veto, bytes.
pub const MAX_REASON_BYTES: usize = 300;
/// The longest name of an author, bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;
const MAC_BYTES: usize = 16;

/// What a limiter has found of a revision that it was shown.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It holds the text and can act by it.
    Confirmed,
    /// It cannot, for this reason, which names the key.
    Vetoed(String),
}

/// A question of a limiter to the decider, and what it says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ping {
    /// Tells a limiter's process from those before it: a number by chance.
    pub process_id: u64,
    /// Counts the limiter's questions.
    pub seq: u64,
    /// The token that the decider last gave it; 0: none yet.
    pub token: u64,
    /// The last question to which it has taken an answer: older answers tell it nothing any more.
    pub answered: u64,
    /// What it acts by or would.
    pub holds: Id,
    /// What it was shown beside that, and what it found.
    pub staged: Option<(Id, Verdict)>,
}

/// The decider's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pong {
    /// The question's number.
    pub seq: u64,
    /// What is to stand in the next question.
    pub token: u64,
    /// The rules that are current. Without it the answer keeps nothing current.
    pub current: Option<Head>,
    /// What is proposed to follow them.
    pub proposal: Option<Head>,
    /// That is decided, and takes effect after this, ms.
    pub effective_in: Option<Millis>,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    #[allow(missing_docs)]
    Ping(Ping),
    #[allow(missing_docs)]
    Pong(Pong),
    /// The text of this hash is wanted, from this byte on.
    ChunkRequest {
        /// The text.
        digest: Digest,
        /// The first byte.
        from: u32,
    },
    /// The head of this revision is wanted.
    HeadRequest(Id),
    /// That head.
    HeadResponse(Head),
    /// A part of a text.
    Chunk {
        /// The text.
        digest: Digest,
        /// Where the part begins.
        from: u32,
        /// The part.
        bytes: Vec<u8>,
    },
    /// What a limiter tells the decider beside the agreement, which passes it on unread.
    Attachment(Vec<u8>),
    /// Who holds the latest term that the sender knows of, where a coordinator's tree elects the decider.
    TermAnnouncement {
        /// The term.
        term: u64,
        /// Its holder, if the sender knows that too.
        peer: Option<Peer>,
    },
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    /// Of another version of frames.
    Version,
    /// Not made with this fleet's key, or changed.
    Key,
    /// It cannot be read, or is too long.
    Malformed,
}

impl FrameError {
    /// The name that the status page gives it.
    pub fn name(self) -> &'static str {
        match self {
            FrameError::Version => "version",
            FrameError::Key => "key",
            FrameError::Malformed => "form",
        }
    }
}

/// What a fleet's frames are made and read with.
#[derive(Clone)]
pub struct FrameCodec {
    key: [u8; 32],
}

impl FrameCodec {
    /// From a secret that all limiters of the fleet share.
    pub fn new(secret: &str) -> FrameCodec {
        FrameCodec { key: blake3::derive_key("oatbank fleet frames 1", secret.as_bytes()) }
    }

    /// A frame with this message, from this limiter to that one.
    pub fn frame(&self, from: Peer, to: Peer, message: &Message) -> Vec<u8> {
        let mut frame = vec![VERSION];
        frame.extend_from_slice(&[0; MAC_BYTES]);
        let body = postcard::to_extend(&(from, to, message), frame);
        // Plain data without maps or floats has no way to fail.
        let mut frame = body.unwrap_or_default();
        if frame.len() > MAC_BYTES {
            let mark = self.mark(&frame[1 + MAC_BYTES..]);
            frame[1..=MAC_BYTES].copy_from_slice(&mark);
        }
        frame
    }

    /// Reads a frame that came to this limiter.
    ///
    /// # Errors
    /// Why it is to be dropped.
    pub fn read(&self, to: Peer, frame: &[u8]) -> Result<(Peer, Message), FrameError> {
        let (version, rest) = frame.split_first().ok_or(FrameError::Malformed)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        if frame.len() > MAX_FRAME_BYTES || rest.len() <= MAC_BYTES {
            return Err(FrameError::Malformed);
        }
        let (mark, body) = rest.split_at(MAC_BYTES);
        // In constant time: blake3's hashes compare so.
        if blake3::Hash::from_bytes(widen(mark)) != blake3::Hash::from_bytes(widen(&self.mark(body))) {
            return Err(FrameError::Key);
        }
        let (from, meant, message) =
            postcard::from_bytes::<(Peer, Peer, Message)>(body).map_err(|_| FrameError::Malformed)?;
        if meant != to {
            return Err(FrameError::Malformed);
        }
        Ok((from, message))
    }

    fn mark(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut mark = [0; MAC_BYTES];
        mark.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..MAC_BYTES]);
        mark
    }
}

fn widen(mark: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..mark.len()].copy_from_slice(mark);
    wide
}

/// At most so many bytes of a text, cut between two characters.
pub fn truncate_utf8(text: &str, most: usize) -> &str {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[cfg(test)]
mod tests;
