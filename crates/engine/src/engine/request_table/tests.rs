//! Tests of the request table.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn a_request_is_answered_once_and_removed_with_its_last_attempt() {
    let mut requests: RequestTable<(), ()> = RequestTable::new();
    let answers = Arc::new(AtomicUsize::new(0));
    let counted = answers.clone();
    let id = requests.open(
        (),
        10.0,
        0,
        RequestAttempts::default(),
        Box::new(move |_| _ = counted.fetch_add(1, Ordering::SeqCst)),
    );
    let entry = requests.get_mut(id).expect("an entry");
    assert_eq!((entry.start_attempt(ServerId(1), 1.0), entry.start_attempt(ServerId(2), 2.0)), (0, 1));
    requests.reply(id).expect("the answer callback")(Answer::Failed);
    assert!(requests.reply(id).is_none());
    requests.forget(id);
    assert!(
        requests.is_live(id, 0) && requests.is_live(id, 1),
        "attempts in flight still have to be reported"
    );
    let ended = requests.end(id, 1, 5.0).expect("an end");
    assert_eq!((ended.server, ended.took, ended.was_answered), (ServerId(2), 3.0, true));
    assert!(requests.end(id, 1, 6.0).is_none(), "an attempt ends once");
    assert!(requests.end(id, 0, 6.0).is_some() && requests.is_empty());
    assert_eq!(answers.load(Ordering::SeqCst), 1);
}

#[test]
fn request_ids_in_use_are_skipped_on_wraparound() {
    let mut requests: RequestTable<(), ()> = RequestTable::new();
    let first = requests.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ()));
    requests.next = u32::MAX;
    assert_eq!(requests.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ())), RequestId(u32::MAX));
    assert_ne!(requests.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ())), first);
}
