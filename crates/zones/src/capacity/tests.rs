//! Tests of the parent module.

use super::*;

fn loads(a: f64, b: f64, c: f64) -> BTreeMap<String, Load> {
    let load = |rate| Load { rate, servers: 3, share: 1.0, healthy: true };
    [("a".to_owned(), load(a)), ("b".to_owned(), load(b)), ("c".to_owned(), load(c))].into()
}

fn estimator_for(loads: &BTreeMap<String, Load>) -> CapacityEstimator {
    let mut capacity = CapacityEstimator::default();
    loads.iter().for_each(|(zone, load)| capacity.observe(0, zone, *load));
    capacity
}

#[test]
fn idle_zones_take_the_full_load_and_evenly_loaded_zones_half_as_much_again() {
    let idle = loads(240.0, 0.0, 0.0);
    assert_eq!(estimator_for(&idle).required_share("a", &idle), 0.0);
    let even = loads(80.0, 80.0, 80.0);
    assert_eq!(estimator_for(&even).required_share("a", &even), 0.0);
}

#[test]
fn load_beyond_the_capacity_of_the_other_zones_stays() {
    let usual = loads(100.0, 100.0, 100.0);
    let capacity = estimator_for(&usual);
    // The other zones serve 120 each by now, of an estimated 150: there is room for 60 of the 100.
    let full = loads(100.0, 120.0, 120.0);
    assert!((capacity.required_share("a", &full) - 0.4).abs() < 1e-9);
    // A second zone fails while the first is out of use: only zones that are healthy and fully used have room.
    let mut two = loads(0.0, 100.0, 150.0);
    two.get_mut("a").expect("a").share = 0.0;
    assert_eq!(capacity.required_share("b", &two), 1.0);
    assert_eq!(
        CapacityEstimator::default().required_share("a", &loads(1.0, 0.0, 0.0)),
        0.0,
        "without a capacity estimate everything may move"
    );
    let alone = loads(5.0, 0.0, 0.0).into_iter().take(1).collect();
    assert_eq!(capacity.required_share("a", &alone), 1.0, "there is no other zone");
}
