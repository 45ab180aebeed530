//! From several sources to what the engine is told: ranks, then hold-down.

use crate::damping::{self, Damping};
use crate::sources::{Row, Sources};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::Millis;

/// What each member's way from its source to the engine is.
#[derive(Debug)]
pub struct Intake {
    sources: Sources,
    damping: Option<Damping>,
}

/// Where a member that a source names has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// The engine has it.
    Announced,
    /// Another source owns its id or its address.
    Shadowed,
    /// It came and went too often; it is let in at this time at the latest.
    HeldUntil(Millis),
}

impl Intake {
    /// Sources of these names, the highest rank first; with hold-down of flapping servers if wanted.
    pub fn new(names: &[&str], hold_down: Option<damping::Settings>) -> Self {
        Intake { sources: Sources::new(names), damping: hold_down.map(Damping::new) }
    }

    /// Takes in news from the source of this rank, and gives what the engine is told, at once.
    pub fn update(&mut self, now: Millis, rank: usize, news: News) -> Option<News> {
        let news = self.sources.update(rank, news)?;
        match &mut self.damping {
            Some(damping) => damping.update(now, news),
            None => Some(news),
        }
    }

    /// [`Intake::next_due`] has come.
    pub fn release_due(&mut self, now: Millis) -> Option<News> {
        self.damping.as_mut().and_then(|d| d.release_due(now))
    }

    /// When [`Intake::release_due`] is to be called, if nothing comes before.
    pub fn next_due(&self) -> Option<Millis> {
        self.damping.as_ref().and_then(Damping::next_due)
    }

    /// All that the sources name, and where it has come to.
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
