//! The rules of a revision, laid over this limiter's own file and given to the engine.

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

/// Checked revisions that are kept: what is held, what is staged, and some that may come back.
const MOST_CHECKED: usize = 8;

/// What the engine acts by.
pub(super) struct Applied {
    base: Base,
    engine: Rc<Engine<Http1>>,
    servers: MembershipSink,
    /// This limiter's place among all, from 0 to below 1.
    place: f64,
    active_rules: ActiveRules,
    /// Revisions that this limiter can act by.
    checked: BTreeMap<Id, Config>,
}

impl Applied {
    pub(super) fn new(base: Base, engine: Rc<Engine<Http1>>, servers: MembershipSink, place: f64) -> Self {
        Applied { base, engine, servers, place, active_rules: ActiveRules::Reject, checked: BTreeMap::new() }
    }

    /// The zones of which a revision uses less than all.
    pub(super) fn left(&mut self, revision: &Revision) -> Vec<ReducedZone> {
        self.config(revision).map(|config| config.left.clone()).unwrap_or_default()
    }

    /// What a revision spares cold servers.
    pub(super) fn cold(&mut self, revision: &Revision) -> ColdStart {
        let settings = self.config(revision).map(|config| &config.setup.settings);
        settings.map_or(ColdStart { share: 1.0, warm_after: 0 }, |s| ColdStart {
            share: s.cold_start,
            warm_after: s.warm_after as u64,
        })
    }

    /// The zone that this limiter stands in.
    pub(super) fn own_zone(&self) -> Option<String> {
        self.base.zone()
    }

    /// The engine acts by this already.
    pub(super) fn is(&self, active_rules: ActiveRules) -> bool {
        self.active_rules == active_rules
    }

    /// It acts by rules that were known to be current.
    pub(super) fn is_current(&self) -> bool {
        matches!(self.active_rules, ActiveRules::Current(_))
    }

    /// Whether this limiter could act by a revision, whole.
    pub(super) fn check(&mut self, revision: &Revision) -> Result<(), String> {
        let config = self.base.with(&revision.text).map_err(|e| e.lines("revision").join("; "))?;
        self.checked.insert(revision.id(), config);
        while self.checked.len() > MOST_CHECKED {
            self.checked.pop_first();
        }
        Ok(())
    }

    /// Gives the engine what it is to act by from now on.
    pub(super) fn act(
        &mut self,
        active_rules: ActiveRules,
        held: Option<&Revision>,
        other: Option<&Revision>,
    ) {
        self.active_rules = active_rules;
        let Some(held) = held else { return };
        let Some(config) = self.config(held).cloned() else { return };
        match active_rules {
            ActiveRules::Current(_) | ActiveRules::Strict(_, None) => self.give(config),
            ActiveRules::Strict(_, Some(_)) => {
                if let Some(other) = other.and_then(|r| self.config(r)) {
                    let both = strict(config, other);
                    self.give(both);
                }
            }
            ActiveRules::Reject => {}
        }
    }

    fn config(&mut self, revision: &Revision) -> Option<&Config> {
        if !self.checked.contains_key(&revision.id()) {
            // The decider's first revision is its own file's, which was checked when it was read.
            if let Err(e) = self.check(revision) {
                tracing::error!("fleet: {}: {e}", revision.id());
            }
        }
        self.checked.get(&revision.id())
    }

    fn give(&self, config: Config) {
        self.engine.exclude_servers(&config.suspended);
        // The zones' places among the names, as they are from now on.
        self.engine.apply_settings(&config.setup.names, &config.setup.settings);
        let place = |zone: &str| config.setup.names.zones.iter().position(|z| z == zone);
        let parts = config.left.iter().filter_map(|l| Some((place(&l.zone)? as u16, l.share)));
        self.engine.set_zone_shares(Shares { parts: parts.collect(), place: self.place });
        if config.zookeeper.is_none() {
            (self.servers)(News::Complete(config.members));
        }
    }
}

/// What contradicts neither of two.
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
