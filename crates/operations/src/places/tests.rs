//! Tests of the parent module.

use super::*;

#[test]
fn a_name_keeps_its_place_whatever_comes_and_goes_before_it() {
    let mut places = Places::default();
    assert_eq!(places.settle(["a", "b"]), [0, 1]);
    assert_eq!(places.settle(["new", "b", "a"]), [2, 1, 0]);
    assert_eq!(places.settle(["b", "new"]), [1, 2]);
    assert_eq!(places.names(), [EMPTY, "b", "new"]);
}

#[test]
fn an_emptied_place_is_not_given_away_by_the_list_that_empties_it() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    assert_eq!(places.settle(["b", "c"]), [1, 2], "what is open of a does not meet c");
    assert_eq!(places.settle(["b", "c", "d"]), [1, 2, 0], "later it may");
    assert_eq!(places.len(), 3);
}

#[test]
fn one_that_is_back_before_another_took_its_place_has_it_again() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    places.settle(["b"]);
    assert_eq!(places.settle(["x", "a", "b"]), [2, 0, 1]);
}

#[test]
fn items_stand_where_their_names_do() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    let settled = places.settle(["c", "b"]);
    assert_eq!(places.arrange(&settled, vec![30, 20], |_| 0), [0, 20, 30]);
}
