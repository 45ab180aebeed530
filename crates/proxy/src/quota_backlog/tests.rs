//! Tests of the parent module.

use super::*;

const BOUNDS: QuotaBounds =
    QuotaBounds { rate: 100.0, burst: 60.0, credit: 2.0, limiters: 10.0, reported: 700.0, window: 5000.0 };
const TENANT: CustomerId = CustomerId(7);

fn backlogs(since: Millis) -> OwnedBacklogs {
    OwnedBacklogs::new(since, "me".into())
}

/// Two sorted lists of limiter names, both with this limiter, and a name that is only in the first: the limiter of that name
/// owns the tenant's counters if it is present; otherwise this one does.
fn names(tenant: CustomerId) -> (Vec<String>, Vec<String>, String) {
    let precedes = |name: &String| owner_of(tenant.0, [name.as_str(), "me"].into_iter()) == Some(name);
    let all: Vec<String> = (0..20).map(|nth| format!("edge-{nth}")).collect();
    let first = all.iter().find(|name| precedes(name)).expect("one").clone();
    let second = all.iter().find(|name| !precedes(name)).expect("one").clone();
    let third = all.iter().rfind(|name| !precedes(name)).expect("one").clone();
    let sorted = |mut names: Vec<String>| {
        names.sort_unstable();
        names
    };
    let with_first = sorted(vec!["me".into(), first.clone(), second.clone(), third.clone()]);
    (with_first, sorted(vec!["me".into(), second, third]), first)
}

fn admitted(admitted: u32) -> Report {
    Report { admitted, ..Report::default() }
}

fn wanted(wanted: u32) -> Report {
    Report { wanted, ..Report::default() }
}

#[test]
fn a_new_owner_grants_the_rate_without_a_burst() {
    let mut owned = backlogs(1000.0);
    assert_eq!(owned.report(1000.0, TENANT, wanted(50), &BOUNDS), (600.0, 0));
    assert_eq!(owned.report(1100.0, TENANT, wanted(50), &BOUNDS), (600.0, 10));
    // A bucket that is created later has leaked since the limiter became its owner.
    assert_eq!(owned.report(1400.0, CustomerId(8), wanted(50), &BOUNDS).1, 40);
}

#[test]
fn owner_restarts_do_not_exceed_rate_and_burst_per_window() {
    let mut owned = backlogs(-1000.0);
    let mut granted = 0;
    for ms in 0..5000 {
        if ms % 700 == 0 {
            owned = backlogs(f64::from(ms) - if ms == 0 { 1000.0 } else { 0.0 });
        }
        granted += owned.report(f64::from(ms), TENANT, wanted(5), &BOUNDS).1;
    }
    assert!((490..=561).contains(&granted), "{granted}");
}

#[test]
fn a_new_owner_adopts_the_backlog_in_reports_up_to_a_limit() {
    let mut owned = backlogs(0.0);
    let report = Report { admitted: 1, wanted: 10, backlog: 1500 };
    assert_eq!(owned.report(0.0, TENANT, report, &BOUNDS), (1510.0, 0));
    // The reported backlog is capped, as a limiter may be faulty or have other bounds.
    let report = Report { backlog: u32::MAX, ..Report::default() };
    assert_eq!(owned.report(0.0, TENANT, report, &BOUNDS).0, 3000.0);
}

#[test]
fn a_reacquired_tenant_starts_full_and_an_early_report_is_kept() {
    let (with_first, without, first) = names(TENANT);
    let mut owned = backlogs(-10_000.0);
    owned.set_owners(-10_000.0, without.clone());
    owned.report(0.0, TENANT, admitted(0), &BOUNDS);
    owned.set_owners(1000.0, with_first.clone());
    assert!(owned.is_empty(), "{first} owns it");
    owned.set_owners(2000.0, without.clone());
    assert_eq!(
        owned.report(2000.0, TENANT, wanted(1), &BOUNDS),
        (600.0, 0),
        "another owner has counted meanwhile"
    );
    owned.set_owners(3000.0, with_first.clone());
    owned.report(3500.0, TENANT, admitted(3), &BOUNDS);
    owned.set_owners(4000.0, without.clone());
    assert_eq!(owned.len(), 1, "a report shortly before the change of owners keeps the bucket");
}

#[test]
fn unrelated_membership_changes_do_not_fill_an_idle_tenants_bucket() {
    let (with_first, without, _) = names(TENANT);
    let mut owned = backlogs(-10_000.0);
    // The removed limiter did not own the tenant.
    owned.set_owners(-10_000.0, without.clone());
    owned.set_owners(0.0, without[1..].to_vec());
    assert_eq!(owned.report(100.0, TENANT, wanted(10), &BOUNDS), (100.0, 10));
    // The removed limiter owned the tenant.
    let mut owned = backlogs(-10_000.0);
    owned.set_owners(-10_000.0, with_first);
    owned.set_owners(0.0, without.clone());
    assert_eq!(owned.report(100.0, TENANT, wanted(10), &BOUNDS), (600.0, 10));
}

#[test]
fn a_limiter_reported_to_before_it_owns_a_tenant_grants_no_burst() {
    let (with_first, _, _) = names(TENANT);
    let mut owned = backlogs(-10_000.0);
    owned.set_owners(-10_000.0, with_first);
    assert!(!owned.contains(TENANT));
    assert_eq!(owned.report(0.0, TENANT, wanted(10), &BOUNDS), (600.0, 0));
    assert!(owned.contains(TENANT));
}

#[test]
fn buckets_counted_alone_are_dropped_on_rejoining() {
    let (_, without, _) = names(TENANT);
    let mut owned = backlogs(-10_000.0);
    owned.set_owners(-10_000.0, without.clone());
    owned.set_owners(0.0, vec!["me".to_owned()]);
    owned.report(1000.0, TENANT, admitted(1), &BOUNDS);
    owned.set_owners(2000.0, without);
    assert_eq!(owned.report(2000.0, TENANT, wanted(1), &BOUNDS), (600.0, 0));
}

#[test]
fn reports_above_the_window_bound_count_as_overrun() {
    let mut owned = backlogs(0.0);
    for second in 0..5 {
        owned.report(f64::from(second) * 1000.0, TENANT, admitted(140), &BOUNDS);
    }
    assert_eq!(owned.overrun(), 0.0);
    owned.report(4900.0, TENANT, admitted(5), &BOUNDS);
    assert_eq!(owned.overrun(), 5.0);
}

#[test]
fn a_lower_bound_applies_one_window_after_it_was_set() {
    // An owner that loses the core gives out only its own share. Admissions that it counted before are no overrun.
    let lower = QuotaBounds { rate: 10.0, reported: 70.0, ..BOUNDS };
    let mut owned = backlogs(0.0);
    owned.report(0.0, TENANT, admitted(300), &BOUNDS);
    owned.report(4000.0, TENANT, admitted(30), &lower);
    assert_eq!(owned.overrun(), 0.0);
    owned.report(6000.0, TENANT, admitted(41), &lower);
    assert_eq!(owned.overrun(), 1.0);
}

#[test]
fn empty_idle_buckets_are_removed() {
    let mut owned = backlogs(0.0);
    owned.report(0.0, TENANT, admitted(1), &BOUNDS);
    owned.report(25_000.0, CustomerId(8), admitted(1), &BOUNDS);
    assert_eq!(owned.len(), 1);
}
