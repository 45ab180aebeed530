//! A text on its way, part by part.

use crate::document::{Head, Revision, MOST_BYTES};
use crate::message::{Message, PIECE};
use crate::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts that are asked for at once.
const AHEAD: usize = 16;

/// What has come so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fetch {
    pub(crate) head: Head,
    /// By where each begins: they come in any order.
    parts: BTreeMap<u32, Vec<u8>>,
    asked_at: Millis,
}

/// What a part has brought.
pub(crate) enum Step {
    /// More is to be asked for now.
    More,
    /// More is on its way, or the part was none that is missing.
    Wait,
    /// The text is here, and is the one that was named.
    Whole(Arc<Revision>),
    /// It is here and is another one.
    Wrong,
}

impl Fetch {
    /// Nothing where the text would be too long.
    pub(crate) fn new(head: Head, now: Millis) -> Option<Fetch> {
        ((head.len as usize) <= MOST_BYTES).then(|| Fetch { head, parts: BTreeMap::new(), asked_at: now })
    }

    /// Asks for what is missing.
    pub(crate) fn want(&mut self, now: Millis) -> Message {
        self.asked_at = now;
        Message::Want { digest: self.head.digest, from: self.missing_from() }
    }

    /// Whether what was asked for must have been lost.
    pub(crate) fn overdue(&self, now: Millis, patience: Millis) -> bool {
        now >= self.asked_at.saturating_add(patience)
    }

    /// The first byte that is missing.
    fn missing_from(&self) -> u32 {
        self.parts
            .iter()
            .fold(0, |end, (from, part)| if *from == end { end + part.len() as u32 } else { end })
    }

    /// Takes in a part.
    pub(crate) fn take(&mut self, message: &Message) -> Step {
        let Message::Piece { digest, from, bytes } = message else { return Step::Wait };
        // Parts begin where whole ones end, so that none covers another.
        let fits = *from as usize % PIECE == 0 && (*from as usize + bytes.len()) <= self.head.len as usize;
        if *digest != self.head.digest || !fits || bytes.is_empty() && self.head.len > 0 {
            return Step::Wait;
        }
        let before = self.missing_from();
        self.parts.insert(*from, bytes.clone());
        let end = self.missing_from();
        if end < self.head.len {
            let row = (AHEAD * PIECE) as u32;
            return if end / row > before / row { Step::More } else { Step::Wait };
        }
        let whole: Vec<u8> = self.parts.values().flatten().copied().collect();
        let text = std::str::from_utf8(&whole).ok();
        let whole = text.and_then(|text| Revision::of(self.head.clone(), text));
        whole.map_or(Step::Wrong, Step::Whole)
    }
}

/// The parts that are sent at once when a text is wanted from a byte on. An empty text is one empty part.
pub(crate) fn parts(revision: &Revision, from: u32) -> impl Iterator<Item = Message> + '_ {
    let digest = revision.head.digest;
    let rest = revision.text.as_bytes().get(from as usize..).unwrap_or_default();
    let empty = rest.is_empty().then_some(&[][..]);
    rest.chunks(PIECE).chain(empty).take(AHEAD).enumerate().map(move |(i, part)| {
        let from = from + (i * PIECE) as u32;
        Message::Piece { digest, from, bytes: part.to_vec() }
    })
}
