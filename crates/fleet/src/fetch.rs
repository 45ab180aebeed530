//! A text on its way, part by part.

use crate::document::{Head, Revision, MAX_REVISION_BYTES};
use crate::message::{Message, CHUNK_BYTES};
use crate::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts that are asked for at once.
const CHUNK_WINDOW: usize = 16;

/// What has come so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fetch {
    pub(crate) head: Head,
    /// By where each begins: they come in any order.
    parts: BTreeMap<u32, Vec<u8>>,
    asked_at: Millis,
}

/// What a part has brought.
pub(crate) enum FetchProgress {
    /// More is to be asked for now.
    RequestMore,
    /// More is on its way, or the part was none that is missing.
    Waiting,
    /// The text is here, and is the one that was named.
    Complete(Arc<Revision>),
    /// It is here and is another one.
    HashMismatch,
}

impl Fetch {
    /// Nothing where the text would be too long.
    pub(crate) fn new(head: Head, now: Millis) -> Option<Fetch> {
        ((head.len as usize) <= MAX_REVISION_BYTES).then(|| Fetch {
            head,
            parts: BTreeMap::new(),
            asked_at: now,
        })
    }

    /// Asks for what is missing.
    pub(crate) fn want(&mut self, now: Millis) -> Message {
        self.asked_at = now;
        Message::ChunkRequest { digest: self.head.digest, from: self.missing_from() }
    }

    /// Whether what was asked for must have been lost.
    pub(crate) fn overdue(&self, now: Millis, timeout: Millis) -> bool {
        now >= self.asked_at.saturating_add(timeout)
    }

    /// The first byte that is missing.
    fn missing_from(&self) -> u32 {
        self.parts
            .iter()
            .fold(0, |end, (from, part)| if *from == end { end + part.len() as u32 } else { end })
    }

    /// Takes in a part.
    pub(crate) fn take(&mut self, message: &Message) -> FetchProgress {
        let Message::Chunk { digest, from, bytes } = message else { return FetchProgress::Waiting };
        // Parts begin where whole ones end, so that none covers another.
        let fits =
            *from as usize % CHUNK_BYTES == 0 && (*from as usize + bytes.len()) <= self.head.len as usize;
        if *digest != self.head.digest || !fits || bytes.is_empty() && self.head.len > 0 {
            return FetchProgress::Waiting;
        }
        let before = self.missing_from();
        self.parts.insert(*from, bytes.clone());
        let end = self.missing_from();
        if end < self.head.len {
            let row = (CHUNK_WINDOW * CHUNK_BYTES) as u32;
            return if end / row > before / row {
                FetchProgress::RequestMore
            } else {
                FetchProgress::Waiting
            };
        }
        let whole: Vec<u8> = self.parts.values().flatten().copied().collect();
        let text = std::str::from_utf8(&whole).ok();
        let whole = text.and_then(|text| Revision::of(self.head.clone(), text));
        whole.map_or(FetchProgress::HashMismatch, FetchProgress::Complete)
    }
}

/// The parts that are sent at once when a text is wanted from a byte on. An empty text is one empty part.
pub(crate) fn parts(revision: &Revision, from: u32) -> impl Iterator<Item = Message> + '_ {
    let digest = revision.head.digest;
    let rest = revision.text.as_bytes().get(from as usize..).unwrap_or_default();
    let empty = rest.is_empty().then_some(&[][..]);
    rest.chunks(CHUNK_BYTES).chain(empty).take(CHUNK_WINDOW).enumerate().map(move |(i, part)| {
        let from = from + (i * CHUNK_BYTES) as u32;
        Message::Chunk { digest, from, bytes: part.to_vec() }
    })
}
