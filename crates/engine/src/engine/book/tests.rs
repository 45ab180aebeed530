//! Tests of the parent module.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn the_right_to_answer_is_had_once_and_an_entry_goes_with_its_last_attempt() {
    let mut book: Book<(), ()> = Book::new();
    let answers = Arc::new(AtomicUsize::new(0));
    let told = answers.clone();
    let id = book.open(
        (),
        10.0,
        0,
        RequestAttempts::default(),
        Box::new(move |_| _ = told.fetch_add(1, Ordering::SeqCst)),
    );
    let entry = book.get_mut(id).expect("an entry");
    assert_eq!((entry.begin(ServerId(1), 1.0), entry.begin(ServerId(2), 2.0)), (0, 1));
    book.reply(id).expect("the right")(Answer::Failed);
    assert!(book.reply(id).is_none());
    book.forget(id);
    assert!(book.is_live(id, 0) && book.is_live(id, 1), "what is out is still to be told of");
    let ended = book.end(id, 1, 5.0).expect("an end");
    assert_eq!((ended.server, ended.took, ended.over), (ServerId(2), 3.0, true));
    assert!(book.end(id, 1, 6.0).is_none(), "an attempt ends once");
    assert!(book.end(id, 0, 6.0).is_some() && book.is_empty());
    assert_eq!(answers.load(Ordering::SeqCst), 1);
}

#[test]
fn numbers_in_use_are_passed_over_when_they_come_round() {
    let mut book: Book<(), ()> = Book::new();
    let first = book.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ()));
    book.next = u32::MAX;
    assert_eq!(book.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ())), RequestId(u32::MAX));
    assert_ne!(book.open((), 0.0, 0, RequestAttempts::default(), Box::new(|_| ())), first);
}
