//! Revisions of the rules: immutable texts, identified by epoch, number and hash.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum length of a revision's text, bytes.
pub const MAX_REVISION_BYTES: usize = 256 * 1024;

/// Identifies a revision; later ones compare as greater. The number keeps increasing within an epoch, and a decider
/// that restarts begins a greater epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Epoch of the decider that proposed it.
    pub epoch: u64,
    /// Sequence number of the proposal.
    pub number: u64,
}

impl Id {
    /// No revision; smaller than every other id.
    pub const NONE: Id = Id { epoch: 0, number: 0 };
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// BLAKE3 hash of a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Hashes this text.
    pub fn of(text: &str) -> Digest {
        Digest(*blake3::hash(text.as_bytes()).as_bytes())
    }
}

impl std::fmt::Display for Digest {
    /// Writes the first eight hex digits, enough to tell the texts of one fleet apart.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Metadata of a revision, without its text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Id of the revision.
    pub id: Id,
    /// Id of the revision that it was proposed to follow.
    pub parent: Id,
    /// Author of the proposal.
    pub author: String,
    /// Hash of the text.
    pub digest: Digest,
    /// Length of the text, bytes.
    pub len: u32,
}

/// A complete revision, immutable once created.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revision {
    /// Metadata, including the hash of the text.
    pub head: Head,
    /// Text of the rules.
    pub text: Arc<str>,
}

impl Revision {
    /// Creates a revision of this text.
    pub fn new(id: Id, parent: Id, author: &str, text: Arc<str>) -> Arc<Revision> {
        let (digest, len) = (Digest::of(&text), text.len() as u32);
        Arc::new(Revision { head: Head { id, parent, author: author.to_owned(), digest, len }, text })
    }

    /// Returns its id.
    pub fn id(&self) -> Id {
        self.head.id
    }

    /// Combines a head with its text. Returns `None` if the text does not match the hash.
    pub fn of(head: Head, text: &str) -> Option<Arc<Revision>> {
        (Digest::of(text) == head.digest).then(|| Arc::new(Revision { head, text: text.into() }))
    }
}
