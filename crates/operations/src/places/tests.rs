//! Tests of the parent module.

use super::*;

#[test]
fn a_name_keeps_its_position_while_others_are_added_and_removed() {
    let mut places = Places::default();
    assert_eq!(places.settle(["a", "b"]), [0, 1]);
    assert_eq!(places.settle(["new", "b", "a"]), [2, 1, 0]);
    assert_eq!(places.settle(["b", "new"]), [1, 2]);
    assert_eq!(places.names(), [EMPTY, "b", "new"]);
}

#[test]
fn an_emptied_position_is_not_reused_by_the_same_list() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    assert_eq!(places.settle(["b", "c"]), [1, 2], "open requests of a must not be counted as c");
    assert_eq!(places.settle(["b", "c", "d"]), [1, 2, 0], "a later list may reuse it");
    assert_eq!(places.len(), 3);
}

#[test]
fn a_relisted_name_gets_its_unused_position_back() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    places.settle(["b"]);
    assert_eq!(places.settle(["x", "a", "b"]), [2, 0, 1]);
}

#[test]
fn items_are_arranged_at_the_positions_of_their_names() {
    let mut places = Places::default();
    places.settle(["a", "b"]);
    let settled = places.settle(["c", "b"]);
    assert_eq!(places.arrange(&settled, vec![30, 20], |_| 0), [0, 20, 30]);
}
