//! Tests of the parent module.

use super::pool::WriteTracker;
use super::*;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

#[test]
fn nothing_is_written_if_the_socket_holds_unread_bytes_or_a_close() {
    use std::io::Write as _;
    use std::task::Waker;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let acts: [fn(std::net::TcpStream) -> Option<std::net::TcpStream>; 3] = [
        Some,
        |mut server| server.write_all(b"HTTP/1.1 200 OK\r\n").map(|()| server).ok(),
        |server| {
            drop(server);
            None
        },
    ];
    for (clean, act) in [true, false, false].into_iter().zip(acts) {
        runtime.block_on(async {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (server, _) = listener.accept().expect("a connection");
            stream.writable().await.expect("a connection that is up");
            let _open = act(server);
            // No await from here on, so the runtime does not poll the socket and learns of neither bytes nor close.
            let mut tracker = WriteTracker { stream, wrote: Rc::default() };
            let mut cx = Context::from_waker(Waker::noop());
            let wrote = Pin::new(&mut tracker).poll_write(&mut cx, b"GET");
            assert_eq!(matches!(wrote, Poll::Ready(Ok(3))), clean, "{wrote:?}");
            assert_eq!(tracker.wrote.get(), clean);
        });
    }
}

#[test]
fn load_reports_follow_the_settings_order_and_invalid_ones_are_dropped() {
    let columns = ["queue".to_owned(), "util".to_owned()];
    let report = |text: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(LOAD, HeaderValue::from_static(text));
        load_report(&headers, &columns)
    };
    assert_eq!(report("util=0.5, queue=3,inflight=1"), [3.0, 0.5]);
    assert!(report("queue=3").is_empty());
    for bad in ["NaN", "-1", "1e99", "inf", "20000"] {
        let mut headers = HeaderMap::new();
        headers.insert(LOAD, HeaderValue::try_from(format!("queue={bad},util=1")).expect("a header"));
        assert!(load_report(&headers, &columns).is_empty(), "{bad}");
    }
    assert!(report("=,,=x").is_empty());
}
