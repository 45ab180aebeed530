//! Application of a revision's rules: merges them with this limiter's own file and passes the result to the engine.

use oatbank_engine::config::{Base, Config};
use oatbank_engine::engine::{Engine, Shares};
use oatbank_engine::ports::membership::{MembershipSink, News};
use oatbank_engine::upstreams::http1::Http1;
use oatbank_fleet::document::{Id, Revision};
use oatbank_fleet::member::ActiveRules;
use oatbank_fleet::strict::{stricter, Rules};
use oatbank_limiter_core::interface::ServerState;
use oatbank_zones::zones::ColdStart;
use oatbank_zones::{ReducedZone, ReductionCause};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of checked revisions that are kept: the held one, the staged one, and some that may be used again.
const MAX_CHECKED: usize = 8;

/// Rules that the engine applies.
pub(super) struct Applied {
    base: Base,
    engine: Rc<Engine<Http1>>,
    servers: MembershipSink,
    /// Relative position of this limiter among all, from 0 to below 1.
    place: f64,
    active_rules: ActiveRules,
    /// Revisions that this limiter has checked and can apply.
    checked: BTreeMap<Id, Config>,
}

impl Applied {
    pub(super) fn new(base: Base, engine: Rc<Engine<Http1>>, servers: MembershipSink, place: f64) -> Self {
        Applied { base, engine, servers, place, active_rules: ActiveRules::Reject, checked: BTreeMap::new() }
    }

    /// Returns the zones that a revision reduces.
    pub(super) fn left(&mut self, revision: &Revision) -> Vec<ReducedZone> {
        self.config(revision).map(|config| config.left.clone()).unwrap_or_default()
    }

    /// Returns a revision's cold-start settings.
    pub(super) fn cold(&mut self, revision: &Revision) -> ColdStart {
        let settings = self.config(revision).map(|config| &config.setup.settings);
        settings.map_or(ColdStart { share: 1.0, warm_after: 0 }, |s| ColdStart {
            share: s.cold_start,
            warm_after: s.warm_after as u64,
        })
    }

    /// Returns the zone of this limiter.
    pub(super) fn own_zone(&self) -> Option<String> {
        self.base.zone()
    }

    /// Returns whether the engine already applies these rules.
    pub(super) fn is(&self, active_rules: ActiveRules) -> bool {
        self.active_rules == active_rules
    }

    /// Returns whether the rules in use were applied as current ones.
    pub(super) fn is_current(&self) -> bool {
        matches!(self.active_rules, ActiveRules::Current(_))
    }

    /// Checks a whole revision and keeps the result.
    ///
    /// # Errors
    /// If this limiter cannot apply the revision.
    pub(super) fn check(&mut self, revision: &Revision) -> Result<(), String> {
        let config = self.base.with(&revision.text).map_err(|e| e.lines("revision").join("; "))?;
        self.checked.insert(revision.id(), config);
        while self.checked.len() > MAX_CHECKED {
            self.checked.pop_first();
        }
        Ok(())
    }

    /// Applies the rules to the engine.
    pub(super) fn apply_rules(
        &mut self,
        active_rules: ActiveRules,
        held: Option<&Revision>,
        other: Option<&Revision>,
    ) {
        self.active_rules = active_rules;
        let Some(held) = held else { return };
        let Some(config) = self.config(held).cloned() else { return };
        match active_rules {
            ActiveRules::Current(_) | ActiveRules::Strict(_, None) => self.apply_config(config),
            ActiveRules::Strict(_, Some(_)) => {
                if let Some(other) = other.and_then(|r| self.config(r)) {
                    let both = strict(config, other);
                    self.apply_config(both);
                }
            }
            ActiveRules::Reject => {}
        }
    }

    fn config(&mut self, revision: &Revision) -> Option<&Config> {
        if !self.checked.contains_key(&revision.id()) {
            // The decider's first revision comes from its own file, which was checked when it was read.
            if let Err(e) = self.check(revision) {
                tracing::error!("fleet: {}: {e}", revision.id());
            }
        }
        self.checked.get(&revision.id())
    }

    fn apply_config(&self, config: Config) {
        self.engine.exclude_servers(&config.suspended);
        // Zone indexes refer to the new names.
        self.engine.apply_settings(&config.setup.names, &config.setup.settings);
        let place = |zone: &str| config.setup.names.zones.iter().position(|z| z == zone);
        let parts = config.left.iter().filter_map(|l| Some((place(&l.zone)? as u16, l.share)));
        self.engine.set_zone_shares(Shares { parts: parts.collect(), place: self.place });
        if config.zookeeper.is_none() {
            (self.servers)(News::Complete(config.members));
        }
    }
}

/// Returns a configuration that satisfies both revisions, by the stricter rule of each.
fn strict(mut config: Config, other: &Config) -> Config {
    let both = stricter(&rules(&config), &rules(other));
    let setup = &mut config.setup;
    (setup.names.classes, setup.settings.classes) = both.classes.into_iter().unzip();
    (setup.names.plans, setup.settings.plans) = both.plans.into_iter().unzip();
    setup.settings.max_attempts = both.max_attempts;
    config.members.retain(|m| both.servers.contains(&m.id));
    config.suspended = both.suspended;
    let left = both.left.into_iter();
    config.left =
        left.map(|(zone, share)| ReducedZone { zone, share, by: ReductionCause::Evidence }).collect();
    config
}

fn rules(config: &Config) -> Rules {
    let (names, settings) = (&config.setup.names, &config.setup.settings);
    let ready = config.members.iter().filter(|m| m.state == ServerState::Ready);
    Rules {
        classes: names.classes.iter().cloned().zip(settings.classes.iter().cloned()).collect(),
        plans: names.plans.iter().cloned().zip(settings.plans.iter().cloned()).collect(),
        servers: ready.map(|m| m.id.clone()).collect(),
        suspended: config.suspended.clone(),
        left: config.left.iter().map(|l| (l.zone.clone(), l.share)).collect(),
        max_attempts: settings.max_attempts,
    }
}
