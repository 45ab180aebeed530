//! Tests of the parent module.

use super::*;

fn loads(a: f64, b: f64, c: f64) -> BTreeMap<String, Load> {
    let load = |rate| Load { rate, servers: 3, share: 1.0, well: true };
    [("a".to_owned(), load(a)), ("b".to_owned(), load(b)), ("c".to_owned(), load(c))].into()
}

fn seen(loads: &BTreeMap<String, Load>) -> Bears {
    let mut bears = Bears::default();
    loads.iter().for_each(|(zone, load)| bears.saw(0, zone, *load));
    bears
}

#[test]
fn idle_zones_bear_what_the_busy_one_did_and_even_ones_half_as_much_again() {
    let idle = loads(240.0, 0.0, 0.0);
    assert_eq!(seen(&idle).stays("a", &idle), 0.0);
    let even = loads(80.0, 80.0, 80.0);
    assert_eq!(seen(&even).stays("a", &even), 0.0);
}

#[test]
fn what_the_others_do_not_bear_stays() {
    let usual = loads(100.0, 100.0, 100.0);
    let bears = seen(&usual);
    // They have taken 120 each meanwhile: room for 60 of 100.
    let full = loads(100.0, 120.0, 120.0);
    assert!((bears.stays("a", &full) - 0.4).abs() < 1e-9);
    // A second zone fails while the first is left: only what is used and serves well counts.
    let mut two = loads(0.0, 100.0, 150.0);
    two.get_mut("a").expect("a").share = 0.0;
    assert_eq!(bears.stays("b", &two), 1.0);
    assert_eq!(Bears::default().stays("a", &loads(1.0, 0.0, 0.0)), 0.0, "nothing is known: try");
    let alone = loads(5.0, 0.0, 0.0).into_iter().take(1).collect();
    assert_eq!(bears.stays("a", &alone), 1.0, "there is nowhere to go");
}
