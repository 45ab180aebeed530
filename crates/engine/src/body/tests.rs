//! Tests of sending and receiving bodies.

use super::*;
use http_body_util::BodyExt;
use std::cell::RefCell;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().build().expect("a runtime")
}

type Reported = Rc<RefCell<Vec<Progress>>>;

fn sending(upload: &Arc<Upload>) -> (UploadBody<Upload>, Reported, Rc<SendState>) {
    let (reported, state) = (Reported::default(), Rc::new(SendState::default()));
    let sink = reported.clone();
    let on_progress = Rc::new(move |p| sink.borrow_mut().push(p));
    (UploadBody::new(upload.clone(), |u| u, on_progress, state.clone()), reported, state)
}

#[test]
fn a_buffered_body_can_be_sent_repeatedly() {
    let upload = Arc::new(Upload::from(Bytes::from_static(b"abc")));
    runtime().block_on(async {
        for _ in 0..2 {
            let (body, reported, state) = sending(&upload);
            assert_eq!(body.size_hint().exact(), Some(3));
            assert_eq!(body.collect().await.expect("a body").to_bytes(), "abc");
            assert!(reported.borrow().is_empty() && state.sent.get());
        }
    });
}

#[test]
fn a_stream_cannot_be_sent_again_once_its_rest_is_read() {
    for length in [None, Some(6)] {
        let (sender, rest) = body_channel();
        let upload = Arc::new(Upload::stream(Bytes::from_static(b"abc"), length, rest));
        runtime().block_on(async {
            // An attempt that reads only the start leaves the body to another one.
            let (mut body, reported, state) = sending(&upload);
            assert!(body.frame().await.expect("a piece").is_ok());
            assert!(reported.borrow().is_empty() && !state.sent.get());
            let (body, reported, state) = sending(&upload);
            sender.send(Ok(Bytes::from_static(b"def"))).await.expect("capacity");
            sender.finish();
            assert_eq!(body.collect().await.expect("a body").to_bytes(), "abcdef");
            assert_eq!(*reported.borrow(), [Progress::Spent, Progress::Sent]);
            assert!(state.sent.get());
            let (body, _, state) = sending(&upload);
            assert!(matches!(body.collect().await, Err(BodyError::Spent)));
            assert!(state.failed.get() && !state.sent.get(), "its last byte was never sent");
        });
    }
}

#[test]
fn a_body_that_ends_early_ends_with_an_error() {
    let def = || Ok(Bytes::from_static(b"def"));
    // Last case: the sender is dropped without an error or an end.
    for (length, chunk) in [(Some(7), def()), (None, Err(BodyError::Left)), (None, def())] {
        let (sender, rest) = body_channel();
        let upload = Arc::new(Upload::stream(Bytes::from_static(b"abc"), length, rest));
        runtime().block_on(async {
            let (body, _, state) = sending(&upload);
            sender.send(chunk).await.expect("capacity");
            drop(sender);
            assert!(body.collect().await.is_err() && state.failed.get() && !state.sent.get());
        });
    }
}

#[test]
fn an_answer_that_breaks_off_ends_with_an_error() {
    let (sender, rest) = body_channel();
    let body = Body::Stream { held: Bytes::from_static(b"abc"), length: None, rest, permit: None };
    runtime().block_on(async {
        sender.send(Err(BodyError::Stalled)).await.expect("capacity");
        assert!(matches!(BodyExt::collect(body).await, Err(BodyError::Stalled)));
    });
}
