//! Tests of the parent module.

use super::*;
use std::collections::BTreeSet;

#[test]
fn tenant_numbers_are_stable_and_unique() {
    // Tenants used to be numbered by index: a limiter that had started after the removal of a tenant numbered the others
    // differently.
    let numbers: BTreeSet<u64> = (0..5000).map(|i| tenant_number(&format!("t{i}")).0).collect();
    assert_eq!(numbers.len(), 5000);
    assert_eq!(tenant_number("yefi830"), tenant_number("yefi830"));
}
