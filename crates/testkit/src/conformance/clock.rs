//! What every clock must keep.

use oatbank_engine::ports::clock::Clock;

/// Holds a clock to its guarantees.
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
        // The runtime counts in whole ms, rounded up; the least step of a f64 at Unix times is far below.
        assert!(clock.now() >= at - 0.001, "woken {} ms early", at - clock.now());
    }
    clock.until(first).await;
}
