//! Transfer of a revision's text in chunks.

use crate::document::{Head, Revision, MAX_REVISION_BYTES};
use crate::message::{Message, CHUNK_BYTES};
use crate::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of chunks sent for one request.
const CHUNK_WINDOW: usize = 16;

/// State of an incomplete transfer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fetch {
    pub(crate) head: Head,
    /// Received chunks by offset; they may arrive in any order.
    chunks: BTreeMap<u32, Vec<u8>>,
    asked_at: Millis,
}

/// Result of receiving a chunk.
pub(crate) enum FetchProgress {
    /// The next window of chunks has to be requested.
    RequestMore,
    /// More chunks are on their way, or this one was not needed.
    Waiting,
    /// The text is complete and matches its hash.
    Complete(Arc<Revision>),
    /// The text is complete but does not match its hash.
    HashMismatch,
}

impl Fetch {
    /// Starts a transfer. Returns `None` if the text would exceed [`MAX_REVISION_BYTES`].
    pub(crate) fn new(head: Head, now: Millis) -> Option<Fetch> {
        ((head.len as usize) <= MAX_REVISION_BYTES).then(|| Fetch {
            head,
            chunks: BTreeMap::new(),
            asked_at: now,
        })
    }

    /// Builds a request for the chunks from the first missing byte on.
    pub(crate) fn request(&mut self, now: Millis) -> Message {
        self.asked_at = now;
        Message::ChunkRequest { digest: self.head.digest, from: self.missing_from() }
    }

    /// Whether no request was sent for `timeout` ms, so that the answer must have been lost.
    pub(crate) fn overdue(&self, now: Millis, timeout: Millis) -> bool {
        now >= self.asked_at.saturating_add(timeout)
    }

    /// Returns the offset of the first missing byte.
    fn missing_from(&self) -> u32 {
        self.chunks
            .iter()
            .fold(0, |end, (from, chunk)| if *from == end { end + chunk.len() as u32 } else { end })
    }

    /// Stores a received chunk, and assembles the text once it is complete.
    pub(crate) fn receive(&mut self, message: &Message) -> FetchProgress {
        let Message::Chunk { digest, from, bytes } = message else { return FetchProgress::Waiting };
        // Chunks start at multiples of the chunk size, so that they never overlap.
        let aligned =
            *from as usize % CHUNK_BYTES == 0 && (*from as usize + bytes.len()) <= self.head.len as usize;
        if *digest != self.head.digest || !aligned || bytes.is_empty() && self.head.len > 0 {
            return FetchProgress::Waiting;
        }
        let missing_before = self.missing_from();
        self.chunks.insert(*from, bytes.clone());
        let end = self.missing_from();
        if end < self.head.len {
            let window_bytes = (CHUNK_WINDOW * CHUNK_BYTES) as u32;
            return if end / window_bytes > missing_before / window_bytes {
                FetchProgress::RequestMore
            } else {
                FetchProgress::Waiting
            };
        }
        let bytes_received: Vec<u8> = self.chunks.values().flatten().copied().collect();
        let text = std::str::from_utf8(&bytes_received).ok();
        let revision = text.and_then(|text| Revision::of(self.head.clone(), text));
        revision.map_or(FetchProgress::HashMismatch, FetchProgress::Complete)
    }
}

/// Returns the window of chunks to send from offset `from` on. An empty text is sent as one empty chunk.
pub(crate) fn chunks_from(revision: &Revision, from: u32) -> impl Iterator<Item = Message> + '_ {
    let digest = revision.head.digest;
    let remaining = revision.text.as_bytes().get(from as usize..).unwrap_or_default();
    let empty = remaining.is_empty().then_some(&[][..]);
    remaining.chunks(CHUNK_BYTES).chain(empty).take(CHUNK_WINDOW).enumerate().map(move |(i, chunk)| {
        let from = from + (i * CHUNK_BYTES) as u32;
        Message::Chunk { digest, from, bytes: chunk.to_vec() }
    })
}
