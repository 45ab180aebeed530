//! Immutable revisions of the settings: each is applied atomically, and a request keeps the rules of the revision that
//! it arrived under.

use super::{Names, Setup};
use oatbank_limiter_core::interface::{Class, ClassId, Rules, Settings};
use oatbank_operations::places::Places;
use std::sync::Arc;

/// Settings for requests that arrive while this is the latest revision. Immutable.
#[derive(Clone, Debug)]
pub struct Revision {
    number: u64,
    names: Names,
    settings: Settings,
    rules: Vec<Arc<Rules>>,
    classes: Places,
    plans: Places,
}

impl Revision {
    /// Revision 1, from the setup that a limiter starts with.
    pub(super) fn first(setup: &Setup) -> Self {
        let (mut classes, mut plans) = (Places::default(), Places::default());
        classes.settle(setup.names.classes.iter().map(String::as_str));
        plans.settle(setup.names.plans.iter().map(String::as_str));
        let (names, settings) = (setup.names.clone(), setup.settings.clone());
        Revision { number: 1, rules: rules(&settings), names, settings, classes, plans }
    }

    /// The revision after this one. Classes and plans keep their index by name, so that their learned state and counts
    /// continue whatever was added to or removed from the list.
    pub(super) fn next(&self, names: &Names, settings: &Settings) -> Self {
        let (mut classes, mut plans) = (self.classes.clone(), self.plans.clone());
        let class_places = classes.settle(names.classes.iter().map(String::as_str));
        let plan_places = plans.settle(names.plans.iter().map(String::as_str));
        let mut settings = settings.clone();
        settings.classes = classes.arrange(&class_places, settings.classes, |_| Class::default());
        // Customers of a removed plan keep its limits until they are forgotten.
        let before = |place: usize| self.settings.plans.get(place).cloned().unwrap_or_default();
        settings.plans = plans.arrange(&plan_places, settings.plans, before);
        let names = Names { classes: classes.names(), plans: plans.names(), ..names.clone() };
        Revision { number: self.number + 1, rules: rules(&settings), names, settings, classes, plans }
    }

    /// Revision number: 1 at the start, incremented with each applied change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Names of classes, plans, zones and reports; a removed one leaves an empty entry at its index.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Settings of the decision module.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Rules that a request of this class keeps until its end.
    pub fn rules(&self, class: ClassId) -> Option<Arc<Rules>> {
        self.rules.get(class.0).cloned()
    }
}

fn rules(settings: &Settings) -> Vec<Arc<Rules>> {
    let max_attempts = settings.max_attempts;
    settings.classes.iter().map(|class| Arc::new(Rules { class: class.clone(), max_attempts })).collect()
}

#[cfg(test)]
mod tests;
