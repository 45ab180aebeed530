//! Hold-down of flapping members: route flap damping as in RFC 2439, applied to servers.
//!
//! Each time a server stops being ready it gets one penalty point; the penalty halves every [`Settings::half_life`]. Above
//! [`Settings::suppress`] the server's return is held back until the penalty has fallen below [`Settings::reuse`].
//!
//! Guarantees:
//! - a server's draining or removal always passes at once: only returns are held back;
//! - one flap, or two in a row, hold nothing back;
//! - a held server is released at the latest when its penalty has decayed, with its latest state;
//! - never more servers are held than are ready: if all servers flap, the servers are not the cause, and the fleet must
//!   not become empty. The servers with the lowest penalty are released first.

use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::{Millis, ServerState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Settings of the hold-down.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time in ms in which the penalty halves.
    pub half_life: Millis,
    /// Penalty above which a return is held back.
    pub suppress: f64,
    /// Penalty below which a held server is released.
    pub reuse: f64,
    /// Upper limit of the penalty.
    pub max_penalty: f64,
}

impl Default for Settings {
    /// The third flap within a few seconds is held back for 5 to 8 s; a server that flaps for a minute, for 15 s at most.
    fn default() -> Self {
        Settings { half_life: 5000.0, suppress: 2.5, reuse: 1.0, max_penalty: 8.0 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Penalty {
    points: f64,
    at: Millis,
    suppressed: bool,
}

/// Penalties of servers, and the servers that are held back.
#[derive(Debug, Default)]
pub struct Damping {
    settings: Settings,
    penalties: HashMap<String, Penalty>,
    ready: BTreeSet<String>,
    held: BTreeMap<String, Member>,
}

impl Damping {
    /// Starts without any penalties.
    pub fn new(settings: Settings) -> Self {
        Damping { settings, ..Damping::default() }
    }

    /// Records changes of the member list and returns those that are not held back.
    pub fn update(&mut self, now: Millis, news: News) -> Option<News> {
        match news {
            News::Remembered(members) => Some(News::Remembered(members)),
            News::Complete(members) => {
                let named: BTreeSet<&String> = members.iter().map(|m| &m.id).collect();
                let known = self.ready.iter().chain(self.held.keys());
                let gone: Vec<String> = known.filter(|id| !named.contains(id)).cloned().collect();
                gone.iter().for_each(|id| self.record_removal(now, id));
                let mut passed = self.filter(now, members);
                passed.extend(self.release_excess(now));
                Some(News::Complete(passed))
            }
            News::Changes(members) => {
                let mut passed = self.filter(now, members);
                passed.extend(self.release_excess(now));
                (!passed.is_empty()).then_some(News::Changes(passed))
            }
        }
    }

    /// Releases the servers whose hold time has passed, and returns them as changes.
    pub fn release_due(&mut self, now: Millis) -> Option<News> {
        let due: Vec<String> = self.held.keys().filter(|id| now >= self.release_at(id)).cloned().collect();
        let passed: Vec<Member> = due.iter().filter_map(|id| self.release(id)).collect();
        let settings = self.settings;
        self.penalties.retain(|_, penalty| penalty.decayed(now, settings) > 0.05);
        (!passed.is_empty()).then_some(News::Changes(passed))
    }

    /// Time of the next call of [`Damping::release_due`]; `None` if no server is held.
    pub fn next_due(&self) -> Option<Millis> {
        self.held.keys().map(|id| self.release_at(id)).min_by(f64::total_cmp)
    }

    /// The servers that are held back, each with its latest release time.
    pub fn held(&self) -> Vec<(&Member, Millis)> {
        self.held.iter().map(|(id, member)| (member, self.release_at(id))).collect()
    }

    fn filter(&mut self, now: Millis, members: Vec<Member>) -> Vec<Member> {
        let mut passed = Vec::new();
        for member in members {
            if member.state != ServerState::Ready {
                let held = self.held.contains_key(&member.id);
                self.record_removal(now, &member.id);
                // The return of a held server was never announced, so its removal need not be either.
                if !held || member.state == ServerState::Draining {
                    passed.push(member);
                }
            } else if self.ready.contains(&member.id) || !self.is_suppressed(now, &member.id) {
                self.held.remove(&member.id);
                self.ready.insert(member.id.clone());
                passed.push(member);
            } else {
                self.held.insert(member.id.clone(), member);
            }
        }
        passed
    }

    fn record_removal(&mut self, now: Millis, id: &str) {
        let held = self.held.remove(id).is_some();
        if !self.ready.remove(id) && !held {
            return;
        }
        let settings = self.settings;
        let penalty = self.penalties.entry(id.to_owned()).or_default();
        penalty.points = (penalty.decayed(now, settings) + 1.0).min(settings.max_penalty);
        penalty.at = now;
        penalty.suppressed |= penalty.points > settings.suppress;
    }

    fn is_suppressed(&mut self, now: Millis, id: &str) -> bool {
        let settings = self.settings;
        let Some(penalty) = self.penalties.get_mut(id) else { return false };
        penalty.suppressed &= penalty.decayed(now, settings) > settings.reuse;
        penalty.suppressed
    }

    fn release_at(&self, id: &str) -> Millis {
        let settings = self.settings;
        let penalty = self.penalties.get(id).copied().unwrap_or_default();
        penalty.at + settings.half_life * (penalty.points / settings.reuse).max(1.0).log2()
    }

    fn release(&mut self, id: &str) -> Option<Member> {
        let member = self.held.remove(id)?;
        if let Some(penalty) = self.penalties.get_mut(id) {
            penalty.suppressed = false;
        }
        self.ready.insert(id.to_owned());
        Some(member)
    }

    /// Releases servers until no more are held than are ready.
    fn release_excess(&mut self, now: Millis) -> Vec<Member> {
        let mut passed = Vec::new();
        while self.held.len() > self.ready.len() {
            let penalty_of =
                |id: &String| self.penalties.get(id).map_or(0.0, |m| m.decayed(now, self.settings));
            let least = self.held.keys().min_by(|a, b| penalty_of(a).total_cmp(&penalty_of(b))).cloned();
            let Some(member) = least.and_then(|id| self.release(&id)) else { break };
            passed.push(member);
        }
        passed
    }
}

impl Penalty {
    fn decayed(&self, now: Millis, settings: Settings) -> f64 {
        self.points * (-(now - self.at).max(0.0) / settings.half_life).exp2()
    }
}
