//! Tests of the parent module.

use super::*;
use http_body_util::BodyExt;
use std::cell::RefCell;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().build().expect("a runtime")
}

type Told = Rc<RefCell<Vec<Progress>>>;

fn sending(upload: &Arc<Upload>) -> (UploadBody<Upload>, Told, Rc<SendState>) {
    let (told, gone) = (Told::default(), Rc::new(SendState::default()));
    let hears = told.clone();
    let tell = Rc::new(move |p| hears.borrow_mut().push(p));
    (UploadBody::new(upload.clone(), |u| u, tell, gone.clone()), told, gone)
}

#[test]
fn a_held_body_is_sent_as_often_as_it_is_asked_for() {
    let upload = Arc::new(Upload::from(Bytes::from_static(b"abc")));
    runtime().block_on(async {
        for _ in 0..2 {
            let (body, told, gone) = sending(&upload);
            assert_eq!(body.size_hint().exact(), Some(3));
            assert_eq!(body.collect().await.expect("a body").to_bytes(), "abc");
            assert!(told.borrow().is_empty() && gone.sent.get());
        }
    });
}

#[test]
fn a_stream_is_spent_once_more_than_its_start_is_asked_for() {
    for length in [None, Some(6)] {
        let (feed, rest) = body_channel();
        let upload = Arc::new(Upload::stream(Bytes::from_static(b"abc"), length, rest));
        runtime().block_on(async {
            // Only the start: another attempt may still send it all.
            let (mut body, told, gone) = sending(&upload);
            assert!(body.frame().await.expect("a piece").is_ok());
            assert!(told.borrow().is_empty() && !gone.sent.get());
            let (body, told, gone) = sending(&upload);
            feed.send(Ok(Bytes::from_static(b"def"))).await.expect("room");
            feed.finish();
            assert_eq!(body.collect().await.expect("a body").to_bytes(), "abcdef");
            assert_eq!(*told.borrow(), [Progress::Spent, Progress::Sent]);
            assert!(gone.sent.get());
            let (body, _, gone) = sending(&upload);
            assert!(matches!(body.collect().await, Err(BodyError::Spent)));
            assert!(gone.failed.get() && !gone.sent.get(), "its last byte never went out");
        });
    }
}

#[test]
fn a_body_that_ends_early_is_never_taken_for_whole() {
    let def = || Ok(Bytes::from_static(b"def"));
    // The last: its connection has ended, and nobody says anything more of it.
    for (length, piece) in [(Some(7), def()), (None, Err(BodyError::Left)), (None, def())] {
        let (feed, rest) = body_channel();
        let upload = Arc::new(Upload::stream(Bytes::from_static(b"abc"), length, rest));
        runtime().block_on(async {
            let (body, _, gone) = sending(&upload);
            feed.send(piece).await.expect("room");
            drop(feed);
            assert!(body.collect().await.is_err() && gone.failed.get() && !gone.sent.get());
        });
    }
}

#[test]
fn an_answer_that_breaks_off_is_told_as_broken() {
    let (feed, rest) = body_channel();
    let body = Body::Stream { held: Bytes::from_static(b"abc"), length: None, rest, room: None };
    runtime().block_on(async {
        feed.send(Err(BodyError::Stalled)).await.expect("room");
        assert!(matches!(BodyExt::collect(body).await, Err(BodyError::Stalled)));
    });
}
