//! Tests `Quotas` alone, for callers that make all other decisions themselves.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Quotas;

fn quotas() -> Quotas {
    let plans = vec![
        Plan { rate: 5.0, burst: 10.0, ..Plan::default() },
        Plan::default(),
        Plan { max_open: 2.0, ..Plan::default() },
    ];
    Quotas::new(
        QuotaSettings {
            plans,
            max_units: 1.0,
            counter: true,
            counter_timeout: 50.0,
            ..QuotaSettings::default()
        },
        11,
    )
}

fn request(customer: u64, plan: usize) -> QuotaRequest {
    QuotaRequest {
        customer: CustomerId(customer),
        plan: PlanId(plan),
        units: 1.0,
        spread: 1.0,
        ..QuotaRequest::default()
    }
}

/// Sends `n` requests, records each decision, and returns how many were admitted.
fn ask(quotas: &mut Quotas, now: Millis, customer: u64, plan: usize, n: usize) -> usize {
    let mut reported = Vec::new();
    let mut one = || {
        let within = quotas.admit(now, request(customer, plan), &mut reported) == Verdict::Within;
        quotas.record(now, CustomerId(customer), 1.0, within);
        within
    };
    (0..n).filter(|_| one()).count()
}

fn tick(quotas: &mut Quotas, now: Millis) -> Vec<(CountName, f64)> {
    let mut actions = Vec::new();
    quotas.tick(now, &mut actions);
    let count = |action| match action {
        Action::Count { name, add, .. } => (name, add),
        other => panic!("{other:?} is not a counter call"),
    };
    actions.into_iter().map(count).collect()
}

#[test]
fn a_burst_passes_and_further_requests_get_a_retry_after() {
    let mut quotas = quotas();
    assert_eq!(ask(&mut quotas, 1000.0, 1, 0, 10), 10);
    ask(&mut quotas, 1000.0, 1, 0, 10);
    match quotas.admit(1000.0, request(1, 0), &mut Vec::new()) {
        Verdict::Refuse { retry_after } => assert!((20.0..=2000.0).contains(&retry_after), "{retry_after}"),
        other => panic!("{other:?}"),
    }
    assert_eq!(ask(&mut quotas, 1000.0, 2, 0, 10), 10, "another customer has its own quota");
    assert_eq!(ask(&mut quotas, 1000.0, 3, 1, 100), 100, "without a quota all requests pass");
    assert_eq!(quotas.customer_count(), 3);
}

#[test]
fn over_a_minute_a_customer_gets_its_rate() {
    let mut quotas = quotas();
    let within: usize = (0..3000).map(|i| ask(&mut quotas, f64::from(i) * 20.0, 1, 0, 1)).sum();
    assert!((270..=340).contains(&within), "{within} admitted, of 300 by rate and a burst of 10");
}

#[test]
fn use_is_reported_once_and_use_of_other_gateways_counts() {
    let mut quotas = quotas();
    ask(&mut quotas, 1000.0, 1, 0, 4);
    let reported = tick(&mut quotas, 1020.0);
    assert_eq!(reported.iter().map(|(_, add)| add).sum::<f64>(), 4.0);
    assert!(tick(&mut quotas, 1040.0).is_empty(), "use is reported once");
    // Other gateways have used the whole burst.
    quotas.handle_reply(1050.0, reported[0].0, Outcome::Ok, 5.0, 24.0);
    assert_eq!(ask(&mut quotas, 1060.0, 1, 0, 5), 0);
}

#[test]
fn a_refused_request_is_reported_as_declined() {
    let mut quotas = quotas();
    quotas.admit(1000.0, request(1, 0), &mut Vec::new());
    quotas.record(1000.0, CustomerId(1), 1.0, false);
    let reported: Vec<f64> =
        [1020.0, 3000.0].iter().flat_map(|at| tick(&mut quotas, *at)).map(|(_, add)| add).collect();
    assert!(reported.contains(&1.0), "{reported:?}");
    // The declined request took no tokens.
    assert_eq!(ask(&mut quotas, 10_000.0, 1, 0, 10), 10);
}

#[test]
fn attempts_in_progress_count_against_max_open() {
    let mut quotas = quotas();
    quotas.admit(0.0, request(1, 2), &mut Vec::new());
    quotas.adjust_open_attempts(CustomerId(1), 2.0);
    assert_eq!(quotas.admit(1.0, request(1, 2), &mut Vec::new()), Verdict::Wait);
    quotas.adjust_open_attempts(CustomerId(1), -1.0);
    assert_eq!(quotas.admit(2.0, request(1, 2), &mut Vec::new()), Verdict::Within);
}

#[test]
fn new_plans_apply_to_known_customers() {
    let mut quotas = quotas();
    ask(&mut quotas, 1000.0, 1, 0, 10);
    let plans = vec![Plan { rate: 50.0, burst: 100.0, ..Plan::default() }];
    quotas.apply_settings(QuotaSettings { plans, max_units: 1.0, ..QuotaSettings::default() });
    assert_eq!(ask(&mut quotas, 1000.0, 1, 0, 90), 90);
}

/// Simulates one of two gateways with equal traffic of 100 requests per second that learn of each other's use 200 ms
/// late, and returns the requests that both admit in 10 s, with two seconds of traffic in every five.
fn admitted_by_two_gateways(debt: f64) -> usize {
    let plan = Plan { rate: 20.0, burst: 10.0, debt, ..Plan::default() };
    let set = QuotaSettings {
        plans: vec![plan],
        max_units: 1.0,
        counter: true,
        counter_timeout: 400.0,
        sync_every: 100.0,
        ..QuotaSettings::default()
    };
    let mut quotas = Quotas::new(set, 3);
    let (mut admitted, mut calls, mut totals) = (0, Vec::new(), std::collections::BTreeMap::new());
    for tick in 0..1000 {
        let now = 60_000.0 + f64::from(tick) * 10.0;
        let mut actions = Vec::new();
        if tick % 500 < 200 {
            let sent = quotas.admit(now, QuotaRequest { spread: 2.0, ..request(1, 0) }, &mut actions)
                == Verdict::Within;
            quotas.record(now, CustomerId(1), 1.0, sent);
            admitted += 2 * usize::from(sent);
        }
        quotas.tick(now, &mut actions);
        for action in actions {
            let Action::Count { name, add, .. } = action else { continue };
            // The other gateway has reported the same amount.
            let total = totals.entry(name).or_insert(0.0);
            *total += 2.0 * add;
            calls.push((now + 200.0, name, *total));
        }
        calls.retain(|(at, name, total)| {
            let comes = *at <= now;
            if comes {
                quotas.handle_reply(now, *name, Outcome::Ok, 200.0, *total);
            }
            !comes
        });
    }
    admitted
}

#[test]
fn overuse_from_delayed_counts_is_paid_back_where_the_plan_has_debt() {
    let (paid, forgotten) = (admitted_by_two_gateways(4.0), admitted_by_two_gateways(0.0));
    // Two bursts of 10, two seconds at 20 per second each, and what passes in 0.3 s before both are informed.
    assert!(paid <= 120, "{paid}");
    assert!(forgotten > paid + 10, "{paid} with debt, {forgotten} without: debt has to make a difference");
}
