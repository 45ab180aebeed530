//! Tests of the parent module.

use super::*;
use std::collections::BTreeSet;

#[test]
fn tenant_numbers_are_stable_and_unique() {
    // A limiter that started after a tenant had come and gone counted the rest one place further on.
    let numbers: BTreeSet<u64> = (0..5000).map(|i| tenant_number(&format!("t{i}")).0).collect();
    assert_eq!(numbers.len(), 5000);
    assert_eq!(tenant_number("yefi830"), tenant_number("yefi830"));
}
