//! Conformance suites for the ports of `oatbank-engine`. Each checks an implementation against the guarantees documented
//! at its trait and panics with the violated guarantee.

pub mod clock;
pub mod counter;
pub mod membership;
pub mod upstream;

use std::future::Future;
use std::time::Duration;

/// Runs a future on a current-thread runtime with a local task set, as an engine thread does.
pub fn on_local_set<F: Future<Output = ()> + 'static>(work: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building the runtime failed");
    let local = tokio::task::LocalSet::new();
    let done = local.spawn_local(work);
    local.block_on(&runtime, done).expect("the suite failed");
}

/// Waits until a condition holds while other tasks run. Panics after [`PATIENCE`](crate::wait::PATIENCE).
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + crate::wait::PATIENCE;
    while !holds() {
        assert!(tokio::time::Instant::now() < end, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
