//! Simulates several gateways with one shared counter in virtual time, from fixed seeds, and measures how much of one
//! customer's traffic is sent on, as a multiple of its quota rate.

mod events;

use events::{asks, ended};
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const RATE: f64 = 50.0;
const BURST: f64 = 100.0;

/// State of the counter service in a span of the simulation.
#[derive(Clone, Copy, PartialEq)]
enum Counter {
    /// Answers every call.
    Available,
    /// Calls time out and add nothing.
    Unavailable,
}

/// Parameters of a simulation: requests per second at each gateway, and the state of the counter in each span, given
/// with its end in seconds.
struct Simulation<'a> {
    asked: &'a [f64],
    spans: &'a [(f64, Counter)],
    /// Whether requests arrive at fixed intervals instead of as a Poisson process.
    even: bool,
    seed: u64,
}

/// Requests received and sent on in a span.
#[derive(Clone, Copy, Debug, Default)]
struct SpanCounts {
    seconds: f64,
    asked: f64,
    sent: f64,
}

impl SpanCounts {
    /// Returns the requests sent on as a multiple of what the quota rate allows.
    fn rate_multiple(&self) -> f64 {
        self.sent / (self.seconds * RATE)
    }
}

fn settings(gateways: usize) -> Settings {
    Settings {
        gateways: gateways as f64,
        classes: vec![Class { target: 1500.0, deadline: 2000.0, worth: 1.0, ..Class::default() }],
        plans: vec![Plan { rate: RATE, burst: BURST, price: 1.0, over_cost: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 1,
        counter: true,
        counter_timeout: 50.0,
        ..Settings::default()
    }
}

enum Input {
    Arrival,
    Deliver(Event),
}

fn simulate(simulation: &Simulation) -> Vec<SpanCounts> {
    let count = simulation.asked.len();
    let mut rng = Pcg64Mcg::seed_from_u64(simulation.seed);
    let mut chance = move || (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
    let mut gateways: Vec<Gateway> =
        (0..count).map(|n| Gateway::new(settings(count), simulation.seed << 16 | n as u64)).collect();
    let (mut due, mut serial) = (BTreeMap::new(), 0u64);
    let mut post = |due: &mut BTreeMap<(u64, u64), (usize, Input)>, at: f64, n: usize, input: Input| {
        serial += 1;
        due.insert(((at * 1000.0) as u64, serial), (n, input));
    };
    // Counter keys expire at multiples of 30 s, so a random start in between covers an expiry.
    let begin = 40_000.0 + chance() * 15_000.0;
    for n in 0..count {
        let entries =
            (1..=4).map(|s| ServerEntry { server: ServerId(s), ..ServerEntry::default() }).collect();
        post(&mut due, begin, n, Input::Deliver(Event::Servers { update: ListUpdate::Full, entries }));
        if simulation.asked[n] > 0.0 {
            post(&mut due, begin + 1.0 + chance() * 1000.0 / simulation.asked[n], n, Input::Arrival);
        }
    }
    let mut counts = vec![SpanCounts::default(); simulation.spans.len()];
    let mut from = 0.0;
    for (part, (until, _)) in counts.iter_mut().zip(simulation.spans) {
        part.seconds = until - std::mem::replace(&mut from, *until);
    }
    let (mut totals, mut actions, mut number) = (BTreeMap::<u64, f64>::new(), Vec::new(), 0u32);
    while let Some(((at, _), (n, input))) = due.pop_first() {
        let now = at as f64 / 1000.0;
        let Some(span) = simulation.spans.iter().position(|(until, _)| now - begin < 1000.0 * until) else {
            break;
        };
        let event = match input {
            Input::Deliver(event) => event,
            Input::Arrival => {
                let gap = 1000.0 / simulation.asked[n];
                let next = now + gap * if simulation.even { 1.0 } else { -chance().ln() };
                post(&mut due, next, n, Input::Arrival);
                number += 1;
                counts[span].asked += 1.0;
                asks(RequestId(number), CustomerId(1), count as f64, 2000.0)
            }
        };
        actions.clear();
        gateways[n].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, server, .. } => {
                    counts[span].sent += 1.0;
                    let took = 5.0;
                    post(&mut due, now + took, n, Input::Deliver(ended(id, 0, server, Outcome::Ok, took)));
                }
                Action::Count { name, add, .. } => {
                    let available = simulation.spans[span].1 == Counter::Available;
                    let (outcome, took) =
                        if available { (Outcome::Ok, 1.0) } else { (Outcome::TimedOut, 200.0) };
                    let total = totals.entry(name.0).or_default();
                    *total += if available { add } else { 0.0 };
                    let counted = Event::Counted { name, outcome, took, total: *total };
                    post(&mut due, now + took, n, Input::Deliver(counted));
                }
                Action::Timer { after, name } => {
                    post(&mut due, now + after, n, Input::Deliver(Event::Timer(name)));
                }
                _ => {}
            }
        }
    }
    counts
}

/// Spans of a simulation: first burst, counter available, unavailable and available again.
const SPANS: [(f64, Counter); 4] = [
    (2.0, Counter::Available),
    (12.0, Counter::Available),
    (32.0, Counter::Unavailable),
    (42.0, Counter::Available),
];

/// Returns the rate sent on in each span as a multiple of the quota rate, averaged over five seeds, with 240 requests
/// per second distributed evenly over the gateways.
fn rate_multiples(gateways: usize, even: bool) -> [f64; 4] {
    let asked = vec![240.0 / gateways as f64; gateways];
    let mut mean = [0.0; 4];
    for seed in 1..=5 {
        let counts = simulate(&Simulation { asked: &asked, spans: &SPANS, even, seed });
        mean.iter_mut().zip(&counts).for_each(|(m, part)| *m += part.rate_multiple() / 5.0);
    }
    mean
}

#[test]
fn a_quota_holds_across_gateways_before_during_and_after_a_counter_outage() {
    // Regression: with 6 and 12 gateways the multiples were 1.64 and 1.58 with the counter available, 1.99 and 2.82
    // without it, and 1.48 and 1.48 after its return.
    let mut wrong = Vec::new();
    for gateways in [1, 2, 3, 6, 12] {
        for even in [true, false] {
            let [_, available, unavailable, back] = rate_multiples(gateways, even);
            println!(
                "{gateways:>3} gateways, even {even:<5}: available {available:.2}, unavailable {unavailable:.2}, back {back:.2}"
            );
            let most_back = if gateways > 6 { 1.35 } else { 1.1 };
            let least = [available, unavailable, back].into_iter().fold(f64::INFINITY, f64::min);
            if available > 1.05 || unavailable > 1.08 || back > most_back || least < 0.95 {
                wrong.push((gateways, even, available, unavailable, back));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:.3?}");
}

#[test]
fn traffic_of_one_gateway_within_quota_is_served_during_a_counter_outage() {
    // Regression: 0.80 was served during an outage of the counter and 0.95 after it, because the estimated use of
    // other gateways reduced this gateway's share to one sixth.
    let asked = [45.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    for seed in 1..=5 {
        for part in simulate(&Simulation { asked: &asked, spans: &SPANS, even: false, seed }) {
            let served = part.sent / part.asked;
            assert!(
                served >= 0.98,
                "seed {seed}: {served:.3} of the requests within the quota were served: {part:?}"
            );
        }
    }
}

#[test]
#[ignore = "a measurement: cargo test --profile tested -p oatbank-limiter-core --test quota -- --ignored --nocapture"]
fn table() {
    for gateways in [1, 2, 3, 6, 12, 30, 100] {
        for even in [true, false] {
            let [first, available, unavailable, back] = rate_multiples(gateways, even);
            println!(
                "{gateways:>3} gateways, even {even:<5}: first 2 s {first:.2}, available {available:.2}, unavailable {unavailable:.2}, \
                 back {back:.2}"
            );
        }
    }
}
