//! Tests of the parent module.

use super::*;

#[test]
fn lines_beyond_the_limit_per_second_are_counted_by_level() {
    let start = Instant::now();
    let limit = LineLimit(Mutex::new(Second { start, written: 0, dropped: [0; 5] }));
    let passed = (0..MAX_LINES_PER_SECOND + 5).filter(|_| limit.admit(Level::WARN, start)).count();
    assert_eq!(passed, MAX_LINES_PER_SECOND as usize);
    assert!(!limit.admit(Level::ERROR, start));
    let later = start + Duration::from_millis(1001);
    assert!(limit.admit(Level::INFO, later));
    assert_eq!(limit.take_dropped(), [1, 5, 0, 0, 0]);
    assert_eq!(limit.take_dropped(), [0; 5], "reported once");
}
