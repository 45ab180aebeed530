//! Shared helpers of the engine's tests.

#![allow(dead_code, unreachable_pub)]

pub mod front;

use oatbank_engine::engine::Setup;
use oatbank_limiter_core::interface::{Class, Plan, Settings};

/// A setup with one class, one plan without effective limits and `max_attempts` attempts.
pub fn setup(class: Class, max_attempts: u32) -> Setup {
    let plan = Plan { rate: 1000.0, burst: 1000.0, price: 1.0, over_cost: 1.0, ..Plan::default() };
    let settings = Settings {
        gateways: 1.0,
        classes: vec![class],
        plans: vec![plan],
        max_units: 1.0,
        max_attempts,
        ..Settings::default()
    };
    Setup { settings, ..Setup::default() }
}

/// A class with a target of 0.5 s and a deadline of 3 s.
pub fn class() -> Class {
    Class { target: 500.0, deadline: 3000.0, worth: 1.0, ..Class::default() }
}
