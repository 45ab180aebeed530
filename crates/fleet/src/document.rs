//! Revisions of the rules: immutable texts, known by epoch, number and hash.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest text of a revision, bytes.
pub const MAX_REVISION_BYTES: usize = 256 * 1024;

/// Which revision: later ones compare as greater. The number counts on within an epoch, and a decider that starts
/// anew begins a greater epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The decider's term.
    pub epoch: u64,
    /// Its count of proposals.
    pub number: u64,
}

impl Id {
    /// No revision at all: before every other.
    pub const NONE: Id = Id { epoch: 0, number: 0 };
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// BLAKE3 of a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// That of this text.
    pub fn of(text: &str) -> Digest {
        Digest(*blake3::hash(text.as_bytes()).as_bytes())
    }
}

impl std::fmt::Display for Digest {
    /// The first eight figures, which tell texts of one fleet apart.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A revision without its text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Which it is.
    pub id: Id,
    /// The one it was proposed to follow.
    pub parent: Id,
    /// Who proposed it.
    pub author: String,
    /// Its text's hash.
    pub digest: Digest,
    /// Its text's length, bytes.
    pub len: u32,
}

/// A revision, whole. Never changed once it is made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revision {
    /// What is known of it without its text.
    pub head: Head,
    /// Its text.
    pub text: Arc<str>,
}

impl Revision {
    /// A new revision of this text.
    pub fn new(id: Id, parent: Id, author: &str, text: Arc<str>) -> Arc<Revision> {
        let (digest, len) = (Digest::of(&text), text.len() as u32);
        Arc::new(Revision { head: Head { id, parent, author: author.to_owned(), digest, len }, text })
    }

    /// Which it is.
    pub fn id(&self) -> Id {
        self.head.id
    }

    /// The revision of this head, if the text is the one it names.
    pub fn of(head: Head, text: &str) -> Option<Arc<Revision>> {
        (Digest::of(text) == head.digest).then(|| Arc::new(Revision { head, text: text.into() }))
    }
}
