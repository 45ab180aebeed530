//! Remote calls against a scripted peer: each response reaches its own call or none, and a call that the peer may have
//! received is never sent again.

use bytes::Bytes;
use oatbank_node_runtime::rpc::{serve, ResponseFuture, RpcClient, RpcError, MAX_PAYLOAD};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(20);
/// Length, kind and id of a frame.
const HEAD: usize = 4 + 1 + 8;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[derive(Clone, Debug, PartialEq)]
struct Frame {
    kind: u8,
    id: u64,
    body: Vec<u8>,
}

impl Frame {
    fn bytes(&self) -> Vec<u8> {
        let length = (HEAD - 4 + self.body.len()) as u32;
        [&length.to_be_bytes()[..], &[self.kind], &self.id.to_be_bytes(), &self.body].concat()
    }

    /// The response to this call with the given body.
    fn response(&self, body: &[u8]) -> Frame {
        Frame { body: body.to_vec(), ..self.clone() }
    }
}

struct Peer {
    listener: TcpListener,
    client: Rc<RpcClient>,
}

impl Peer {
    async fn new() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = RpcClient::new(listener.local_addr().unwrap());
        Peer { listener, client }
    }

    fn call(&self, kind: u8, body: &[u8], within: Duration) -> JoinHandle<Result<Bytes, RpcError>> {
        let (client, body) = (self.client.clone(), body.to_vec());
        spawn_local(async move { client.call(kind, body, within).await })
    }

    async fn connection(&self) -> TcpStream {
        self.listener.accept().await.unwrap().0
    }
}

/// The result of a call, which must arrive before the call's own timeout.
async fn result(call: JoinHandle<Result<Bytes, RpcError>>) -> Result<Bytes, RpcError> {
    timeout(LONG / 2, call).await.expect("the call should have ended").unwrap()
}

async fn read_call(stream: &mut TcpStream) -> Frame {
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await.expect("a call");
    let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
    let mut body = vec![0; length + 4 - HEAD];
    stream.read_exact(&mut body).await.expect("a whole call");
    Frame { kind: head[4], id: u64::from_be_bytes(head[5..].try_into().unwrap()), body }
}

/// Waits until the other side has closed the connection, and checks that it sent nothing more.
async fn has_ended(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "{rest:?}");
}

async fn send(stream: &mut TcpStream, frames: &[Frame]) {
    let all: Vec<u8> = frames.iter().flat_map(Frame::bytes).collect();
    stream.write_all(&all).await.unwrap();
}

type Corrupt = fn(Vec<u8>) -> Vec<u8>;

fn ok(body: &'static [u8]) -> Result<Bytes, RpcError> {
    Ok(Bytes::from_static(body))
}

#[test]
fn responses_in_any_order_reach_their_own_calls() {
    run(async {
        let peer = Peer::new().await;
        let calls: Vec<_> = (0..100u8).map(|n| peer.call(1 + n % 3, &[n], LONG)).collect();
        let mut stream = peer.connection().await;
        let mut received = Vec::new();
        for _ in 0..100 {
            received.push(read_call(&mut stream).await);
        }
        received.reverse();
        received.rotate_left(37);
        let responses: Vec<Frame> = received.iter().map(|f| f.response(&[f.body[0], 7])).collect();
        send(&mut stream, &responses).await;
        for (n, call) in (0..100u8).zip(calls) {
            assert_eq!(result(call).await.unwrap(), [n, 7][..]);
        }
    });
}

#[test]
fn repeated_late_and_unsolicited_responses_are_ignored() {
    run(async {
        let peer = Peer::new().await;
        let abandoned = peer.call(1, b"a", SHORT);
        let mut stream = peer.connection().await;
        let first = read_call(&mut stream).await;
        assert_eq!(abandoned.await.unwrap(), Err(RpcError::Lost));
        let second = peer.call(1, b"b", LONG);
        let received = read_call(&mut stream).await;
        // The slab index of the abandoned call is reused, but its id is not.
        assert_ne!(received.id, first.id);
        let never = Frame { id: received.id + (1 << 40), ..received.clone() };
        send(&mut stream, &[first.response(b"late"), never.response(b"never"), received.response(b"right")])
            .await;
        assert_eq!(result(second).await, ok(b"right"));
        let third = peer.call(1, b"c", LONG);
        let next = read_call(&mut stream).await;
        send(
            &mut stream,
            &[received.response(b"again"), first.response(b"later"), next.response(b"its own")],
        )
        .await;
        assert_eq!(result(third).await, ok(b"its own"));
    });
}

#[test]
fn response_of_another_kind_is_ignored_and_ends_the_connection() {
    run(async {
        let peer = Peer::new().await;
        let call = peer.call(1, b"a", LONG);
        let other = peer.call(2, b"b", LONG);
        let mut stream = peer.connection().await;
        let (first, second) = (read_call(&mut stream).await, read_call(&mut stream).await);
        send(&mut stream, &[Frame { kind: 2, ..first.response(b"no") }, second.response(b"too late")]).await;
        // Other responses of such a peer are not trusted either.
        assert_eq!(result(call).await, Err(RpcError::Lost));
        assert_eq!(result(other).await, Err(RpcError::Lost));
        has_ended(&mut stream).await;
        let again = peer.call(1, b"c", LONG);
        let mut stream = peer.connection().await;
        let received = read_call(&mut stream).await;
        assert_eq!(received.body, b"c", "calls that were sent before are not sent again");
        send(&mut stream, &[received.response(b"well")]).await;
        assert_eq!(result(again).await, ok(b"well"));
    });
}

#[test]
fn response_to_a_call_of_an_earlier_connection_is_ignored() {
    run(async {
        let peer = Peer::new().await;
        let lost = peer.call(1, b"a", LONG);
        let mut stream = peer.connection().await;
        let first = read_call(&mut stream).await;
        drop(stream);
        assert_eq!(result(lost).await, Err(RpcError::Lost));
        let call = peer.call(1, b"b", LONG);
        let mut stream = peer.connection().await;
        let received = read_call(&mut stream).await;
        assert_eq!(received.body, b"b");
        send(&mut stream, &[first.response(b"of the one before"), received.response(b"right")]).await;
        assert_eq!(result(call).await, ok(b"right"));
    });
}

#[test]
fn partly_sent_call_is_lost_and_only_unsent_calls_go_out_on_the_next_connection() {
    run(async {
        let peer = Peer::new().await;
        // More than the socket buffers hold, so part of it is unsent when the connection ends.
        let half = peer.call(1, &vec![1; MAX_PAYLOAD], LONG);
        let mut stream = peer.connection().await;
        stream.read_exact(&mut [0; 100_000]).await.unwrap();
        // Queued behind the partly sent call.
        let behind = peer.call(2, b"behind", LONG);
        tokio::task::yield_now().await;
        drop(stream);
        assert_eq!(result(half).await, Err(RpcError::Lost));
        let mut stream = peer.connection().await;
        let received = read_call(&mut stream).await;
        assert_eq!(
            (received.kind, &received.body[..]),
            (2, &b"behind"[..]),
            "the new connection begins with a whole frame"
        );
        send(&mut stream, &[received.response(b"well")]).await;
        assert_eq!(result(behind).await, ok(b"well"));
    });
}

#[test]
fn call_abandoned_before_it_was_sent_is_never_sent() {
    run(async {
        let peer = Peer::new().await;
        let half = peer.call(1, &vec![1; MAX_PAYLOAD], LONG);
        let mut stream = peer.connection().await;
        stream.read_exact(&mut [0; 1000]).await.unwrap();
        let abandoned = peer.call(2, b"given up", SHORT);
        assert_eq!(abandoned.await.unwrap(), Err(RpcError::Unreachable), "no part of the call was sent");
        let dropped = peer.call(3, b"dropped", LONG);
        tokio::task::yield_now().await;
        dropped.abort();
        assert!(dropped.await.is_err());
        let kept = peer.call(4, b"kept", LONG);
        let mut rest = vec![0; HEAD + MAX_PAYLOAD - 1000];
        stream.read_exact(&mut rest).await.unwrap();
        assert_eq!(read_call(&mut stream).await.kind, 4);
        drop(stream);
        assert_eq!(result(half).await, Err(RpcError::Lost));
        assert_eq!(result(kept).await, Err(RpcError::Lost));
    });
}

#[test]
fn truncated_frame_or_invalid_length_is_no_response() {
    run(async {
        let peer = Peer::new().await;
        let whole = |received: &Frame| received.response(b"answer").bytes();
        let corruptions: [(bool, Corrupt); 4] = [
            (true, |frame| frame[..frame.len() - 1].to_vec()),
            (true, |frame| frame[..HEAD - 1].to_vec()),
            (false, |frame| [&[0, 0, 0, 8], &frame[4..]].concat()),
            (false, |frame| [&[0xff, 0, 0, 0], &frame[4..]].concat()),
        ];
        for (is_truncated, corrupt) in corruptions {
            let call = peer.call(1, b"a", LONG);
            let mut stream = peer.connection().await;
            let received = read_call(&mut stream).await;
            stream.write_all(&corrupt(whole(&received))).await.unwrap();
            // A truncated frame needs the peer to close the connection; an invalid length makes the client close it.
            if is_truncated {
                stream.shutdown().await.unwrap();
            }
            assert_eq!(result(call).await, Err(RpcError::Lost));
            has_ended(&mut stream).await;
        }
    });
}

#[test]
fn truncated_call_is_not_handled_and_a_whole_one_is_handled_once() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let handled = Rc::new(RefCell::new(Vec::new()));
        let (released, release) = oneshot::channel::<()>();
        let (taken, release) = (handled.clone(), Rc::new(RefCell::new(Some(release))));
        let handler = Rc::new(move |kind, body: Bytes| -> ResponseFuture {
            taken.borrow_mut().push(body.to_vec());
            let release = if kind == 9 { release.take() } else { None };
            Box::pin(async move {
                if let Some(release) = release {
                    let _ = release.await;
                }
                body.to_vec()
            })
        });
        spawn_local(serve(listener, handler));
        let frame = |kind, id, body: &[u8]| Frame { kind, id, body: body.to_vec() };
        let mut cut = TcpStream::connect(to).await.unwrap();
        let held = frame(9, 1, b"held");
        let bytes = [held.bytes(), frame(1, 2, b"cut").bytes()].concat();
        cut.write_all(&bytes[..bytes.len() - 1]).await.unwrap();
        cut.shutdown().await.unwrap();
        has_ended(&mut cut).await;
        // The same id on another connection is another call, which does not get the response to the first one.
        let mut next = TcpStream::connect(to).await.unwrap();
        send(&mut next, &[frame(1, 1, b"next")]).await;
        let _ = released.send(());
        assert_eq!(read_call(&mut next).await, frame(1, 1, b"next"));
        assert_eq!(*handled.borrow(), [b"held".to_vec(), b"next".to_vec()]);
    });
}
