//! Tests of the parent module.

use super::*;
use std::collections::HashMap;

#[test]
fn counters_are_balanced_and_only_those_of_a_removed_owner_move() {
    let names: Vec<String> = (0..9).map(|i| format!("edge-{i}")).collect();
    let of = |names: &[String], number| owner_of(number, names.iter().map(String::as_str)).map(str::to_owned);
    let mut owned: HashMap<String, u32> = HashMap::new();
    for number in 0..9000u64 {
        let number = number.wrapping_mul(0x1234_5678_9abc_def1);
        let (before, after) = (of(&names, number), of(&names[1..], number));
        assert!(before == after || before.as_deref() == Some("edge-0"));
        *owned.entry(before.expect("one of nine")).or_default() += 1;
    }
    assert!(owned.len() == 9 && owned.values().all(|n| (700..1300).contains(n)), "{owned:?}");
    assert_eq!(owner_of(1, std::iter::empty()), None);
}
