//! Merges several sources into the member list of the engine: by rank, then with hold-down.

use crate::damping::{self, Damping};
use crate::sources::{Row, Sources};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::Millis;

/// Merges member lists of several sources and applies the optional hold-down.
#[derive(Debug)]
pub struct Intake {
    sources: Sources,
    damping: Option<Damping>,
}

/// The status of a member that a source lists.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// Announced to the engine.
    Announced,
    /// Ignored, because another source owns its id or its address.
    Shadowed,
    /// Held back because it flaps; released at this time at the latest.
    HeldUntil(Millis),
}

impl Intake {
    /// Creates an intake of sources with these names, highest rank first; `hold_down` enables hold-down of flapping servers.
    pub fn new(names: &[&str], hold_down: Option<damping::Settings>) -> Self {
        Intake { sources: Sources::new(names), damping: hold_down.map(Damping::new) }
    }

    /// Records changes from the source of this rank (0 is the highest) and returns the changes to announce to the engine.
    pub fn update(&mut self, now: Millis, rank: usize, news: News) -> Option<News> {
        let news = self.sources.update(rank, news)?;
        match &mut self.damping {
            Some(damping) => damping.update(now, news),
            None => Some(news),
        }
    }

    /// Releases held members that are due; to be called at [`Intake::next_due`].
    pub fn release_due(&mut self, now: Millis) -> Option<News> {
        self.damping.as_mut().and_then(|d| d.release_due(now))
    }

    /// Time of the next call of [`Intake::release_due`]; `None` if no member is held.
    pub fn next_due(&self) -> Option<Millis> {
        self.damping.as_ref().and_then(Damping::next_due)
    }

    /// All members that the sources list, each with its status.
    pub fn rows(&self) -> Vec<(Row, Standing)> {
        let held = self.damping.as_ref().map(Damping::held).unwrap_or_default();
        let held_until = |m: &Member| held.iter().find(|(h, _)| h.id == m.id).map(|(_, until)| *until);
        let standing = |row: &Row| match (row.covered, held_until(&row.member)) {
            (true, _) => Standing::Shadowed,
            (false, Some(until)) => Standing::HeldUntil(until),
            (false, None) => Standing::Announced,
        };
        self.sources.rows().into_iter().map(|row| (row.clone(), standing(&row))).collect()
    }
}
