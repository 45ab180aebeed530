//! Conformance suite for clocks.

use oatbank_engine::ports::clock::Clock;

/// Checks that a clock is monotonic and never wakes a waiter early.
pub async fn suite(clock: &dyn Clock) {
    let first = clock.now();
    let mut last = first;
    for _ in 0..1000 {
        let now = clock.now();
        assert!(now >= last, "the clock ran backwards: {last} then {now}");
        last = now;
    }
    for after in [0.0, 0.4, 3.0, 20.0] {
        let at = clock.now() + after;
        clock.until(at).await;
        // Tolerates f64 rounding. The runtime rounds delays up to whole milliseconds, and the resolution of an
        // f64 at Unix times is far below 0.001 ms.
        assert!(clock.now() >= at - 0.001, "woken {} ms early", at - clock.now());
    }
    clock.until(first).await;
}
