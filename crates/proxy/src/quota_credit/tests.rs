//! Tests of the parent module.

use super::*;

const BOUNDS: QuotaBounds =
    QuotaBounds { rate: 100.0, burst: 60.0, credit: 2.0, limiters: 10.0, reported: 700.0, window: 5000.0 };
/// Start of a limiter that has run for longer than a window, ms.
const SINCE: Millis = -10_000.0;

fn report(admitted: u32) -> Report {
    Report { admitted, ..Report::default() }
}

/// Admits requests until one is not granted and returns their number.
fn admitted_at(credit: &mut TenantCredit, now: Millis, bounds: &QuotaBounds) -> u32 {
    let mut admitted = 0;
    while admitted < 1000 && credit.check(now, bounds) == CreditVerdict::Granted {
        credit.spend();
        admitted += 1;
    }
    admitted
}

/// Credit of a tenant whose owner has just answered that all but a few requests of the burst are given out.
fn nearly_exhausted_credit(now: Millis) -> TenantCredit {
    let mut credit = TenantCredit::new(now, SINCE, 0.0);
    credit.on_answer(now, 0.0, report(0), Some(550.0), 0);
    credit
}

#[test]
fn without_an_answer_credit_recovers_at_the_limiters_share_of_the_rate() {
    let mut credit = nearly_exhausted_credit(0.0);
    assert_eq!(admitted_at(&mut credit, 0.0, &BOUNDS), 2);
    assert_eq!(credit.check(0.0, &BOUNDS), CreditVerdict::AskOwner);
    // The backlog leaks meanwhile: each limiter may use its share of the recovered burst once.
    assert_eq!(admitted_at(&mut credit, 799.0, &BOUNDS), 6);
    assert_eq!(credit.check(799.0, &BOUNDS), CreditVerdict::AskOwner, "the owner may still answer");
    let mut admitted = 0;
    for step in 0..500 {
        admitted += admitted_at(&mut credit, 800.0 + f64::from(step) * 20.0, &BOUNDS);
    }
    // Ten requests per second for ten seconds.
    assert!((98..=101).contains(&admitted), "{admitted}");
}

#[test]
fn an_answer_restores_credit_and_a_full_backlog_rejects() {
    let mut credit = nearly_exhausted_credit(0.0);
    assert_eq!(admitted_at(&mut credit, 0.0, &BOUNDS), 2);
    let first = credit.take_report(0.0);
    assert_eq!((first.admitted, first.wanted), (2, 0));
    credit.on_answer(50.0, 50.0, first, Some(560.0), 0);
    assert_eq!(credit.outstanding(), 0.0);
    assert_eq!(admitted_at(&mut credit, 50.0, &BOUNDS), 2);
    let second = credit.take_report(50.0);
    credit.on_answer(100.0, 50.0, second, Some(700.0), 0);
    assert_eq!(credit.check(100.0, &BOUNDS), CreditVerdict::UsedUp(110.0));
    assert_eq!(credit.check(250.0, &BOUNDS), CreditVerdict::Granted);
}

#[test]
fn a_lost_report_stays_outstanding_and_is_resent_after_the_next_answer() {
    let mut credit = nearly_exhausted_credit(0.0);
    admitted_at(&mut credit, 0.0, &BOUNDS);
    let lost = credit.take_report(0.0);
    credit.on_answer_lost(lost);
    assert_eq!((credit.outstanding(), credit.take_report(400.0).admitted), (2.0, 0));
    credit.on_answer(500.0, 50.0, report(0), Some(100.0), 0);
    assert_eq!((credit.outstanding(), credit.take_report(500.0).admitted), (2.0, 2));
    // Admissions of a report that certainly was not received are reported again at once.
    credit.on_report_not_received(report(2));
    assert_eq!(credit.take_report(500.0).admitted, 2);
}

#[test]
fn fractional_credit_is_rounded_so_that_limiters_sum_to_the_total() {
    let bounds = QuotaBounds { credit: 0.25, burst: 0.0, ..BOUNDS };
    let admitted: u32 = (0..100)
        .map(|limiter| {
            let mut credit = TenantCredit::new(0.0, 0.0, (f64::from(limiter) + 0.5) / 100.0);
            admitted_at(&mut credit, 0.0, &bounds)
        })
        .sum();
    assert_eq!(admitted, 25);
}

#[test]
fn a_grant_is_used_once_and_expires() {
    let bounds = QuotaBounds { credit: 0.0, ..BOUNDS };
    let mut credit = TenantCredit::new(0.0, 0.0, 0.0);
    assert_eq!(credit.check(0.0, &bounds), CreditVerdict::AskOwner);
    credit.request_grant();
    credit.request_grant();
    let asked = credit.take_report(0.0);
    assert_eq!((asked.admitted, asked.wanted), (0, 2));
    credit.on_answer(50.0, 50.0, asked, Some(590.0), 2);
    assert_eq!(admitted_at(&mut credit, 50.0, &bounds), 2);
    assert_eq!(credit.take_report(50.0).admitted, 0, "the owner has counted granted requests already");
    credit.on_answer(100.0, 50.0, report(0), Some(700.0), 1);
    assert_eq!(credit.check(1200.0, &BOUNDS), CreditVerdict::Granted, "admitted on credit, not on the grant");
    credit.spend();
    assert_eq!(credit.take_report(1200.0).admitted, 1, "the grant has expired, so the admission is reported");
}

#[test]
fn a_reported_backlog_leaks_while_in_transit() {
    let mut credit = TenantCredit::new(0.0, 0.0, 0.0);
    credit.on_answer(300.0, 300.0, report(0), Some(1000.0), 0);
    assert_eq!(credit.take_report(400.0).backlog, 600);
    assert_eq!(credit.take_report(2000.0).backlog, 0);
}

#[test]
fn idle_tenants_are_removed() {
    let tenant = CustomerId(7);
    let mut credits = TenantCredits::new(0.0);
    assert_eq!(
        credits.check(0.0, tenant, || 0.0),
        CreditVerdict::Granted,
        "a tenant without bounds has no quota"
    );
    credits.set_bounds(HashMap::from([(tenant, BOUNDS)]));
    credits.check(0.0, tenant, || 0.0);
    assert!(credits.of(tenant).is_some());
    credits.check(70_000.0, CustomerId(8), || 0.0);
    assert!(credits.of(tenant).is_none());
}
