//! Settings as immutable revisions: each is taken whole, and a request keeps to its end the one it came with.

use super::{Names, Setup};
use oatbank_limiter_core::interface::{Class, ClassId, Rules, Settings};
use oatbank_operations::places::Places;
use std::sync::Arc;

/// What holds for requests that came in while it was the latest. Never changed once it is made.
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
    /// The revision that a limiter starts with.
    pub(super) fn first(setup: &Setup) -> Self {
        let (mut classes, mut plans) = (Places::default(), Places::default());
        classes.settle(setup.names.classes.iter().map(String::as_str));
        plans.settle(setup.names.plans.iter().map(String::as_str));
        let (names, settings) = (setup.names.clone(), setup.settings.clone());
        Revision { number: 1, rules: rules(&settings), names, settings, classes, plans }
    }

    /// The revision after this one: classes and plans keep their places by name, so that what was learnt or counted
    /// under one goes on, whatever was added or dropped before it in the list.
    pub(super) fn next(&self, names: &Names, settings: &Settings) -> Self {
        let (mut classes, mut plans) = (self.classes.clone(), self.plans.clone());
        let class_places = classes.settle(names.classes.iter().map(String::as_str));
        let plan_places = plans.settle(names.plans.iter().map(String::as_str));
        let mut settings = settings.clone();
        settings.classes = classes.arrange(&class_places, settings.classes, |_| Class::default());
        // Customers of a plan that was dropped keep its figures until they are forgotten.
        let before = |place: usize| self.settings.plans.get(place).cloned().unwrap_or_default();
        settings.plans = plans.arrange(&plan_places, settings.plans, before);
        let names = Names { classes: classes.names(), plans: plans.names(), ..names.clone() };
        Revision { number: self.number + 1, rules: rules(&settings), names, settings, classes, plans }
    }

    /// 1 at the start, and one more with each that was taken.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Names of classes, plans, zones and reports; one that is not listed any more leaves its place empty.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// What the decision module goes by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What a request of a class keeps to its end.
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
