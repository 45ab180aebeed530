//! Tests of the parent module.

use super::*;
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn a_task_that_panics_is_restarted() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let starts = Rc::new(Cell::new(0));
    let (counted, ends) = (starts.clone(), Rc::new(tokio::sync::Notify::new()));
    let notifier = ends.clone();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        keep_running("test", move || {
            let (counted, notifier) = (counted.clone(), notifier.clone());
            async move {
                counted.set(counted.get() + 1);
                assert!(counted.get() > 2, "panics twice on purpose");
                notifier.notify_one();
            }
        });
        ends.notified().await;
    });
    assert_eq!(starts.get(), 3);
}
