//! Tests of the parent module.

use super::*;

#[test]
fn a_second_has_so_many_lines_and_the_rest_is_counted_by_level() {
    let start = Instant::now();
    let bound = Bound(Mutex::new(Second { began: start, written: 0, left_out: [0; 5] }));
    let passed = (0..LINES_A_SECOND + 5).filter(|_| bound.admit(Level::WARN, start)).count();
    assert_eq!(passed, LINES_A_SECOND as usize);
    assert!(!bound.admit(Level::ERROR, start));
    let later = start + Duration::from_millis(1001);
    assert!(bound.admit(Level::INFO, later));
    assert_eq!(bound.take_left_out(), [1, 5, 0, 0, 0]);
    assert_eq!(bound.take_left_out(), [0; 5], "told once");
}
