//! Answers between own processes, against a peer that says what it is told to: each answer goes to its own call or to
//! nobody, and what may have been taken is never sent again.

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

    /// Its answer.
    fn with(&self, body: &[u8]) -> Frame {
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

/// How a call has ended: sooner than by its own time.
async fn end(call: JoinHandle<Result<Bytes, RpcError>>) -> Result<Bytes, RpcError> {
    timeout(LONG / 2, call).await.expect("it waits on").unwrap()
}

async fn hear(stream: &mut TcpStream) -> Frame {
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await.expect("a call");
    let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
    let mut body = vec![0; length + 4 - HEAD];
    stream.read_exact(&mut body).await.expect("a whole call");
    Frame { kind: head[4], id: u64::from_be_bytes(head[5..].try_into().unwrap()), body }
}

/// The connection has been given up from the other side, and nothing more came on it.
async fn has_ended(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "{rest:?}");
}

async fn say(stream: &mut TcpStream, frames: &[Frame]) {
    let all: Vec<u8> = frames.iter().flat_map(Frame::bytes).collect();
    stream.write_all(&all).await.unwrap();
}

type Spoil = fn(Vec<u8>) -> Vec<u8>;

fn ok(body: &'static [u8]) -> Result<Bytes, RpcError> {
    Ok(Bytes::from_static(body))
}

#[test]
fn answers_in_any_order_go_each_to_its_own_call() {
    run(async {
        let peer = Peer::new().await;
        let calls: Vec<_> = (0..100u8).map(|n| peer.call(1 + n % 3, &[n], LONG)).collect();
        let mut stream = peer.connection().await;
        let mut received = Vec::new();
        for _ in 0..100 {
            received.push(hear(&mut stream).await);
        }
        received.reverse();
        received.rotate_left(37);
        let answers: Vec<Frame> = received.iter().map(|f| f.with(&[f.body[0], 7])).collect();
        say(&mut stream, &answers).await;
        for (n, call) in (0..100u8).zip(calls) {
            assert_eq!(end(call).await.unwrap(), [n, 7][..]);
        }
    });
}

#[test]
fn a_second_answer_and_one_to_a_call_that_was_given_up_or_never_made_go_to_nobody() {
    run(async {
        let peer = Peer::new().await;
        let given_up = peer.call(1, b"a", SHORT);
        let mut stream = peer.connection().await;
        let first = hear(&mut stream).await;
        assert_eq!(given_up.await.unwrap(), Err(RpcError::Lost));
        let second = peer.call(1, b"b", LONG);
        let received = hear(&mut stream).await;
        // The place of the call that was given up is used again; its id is not.
        assert_ne!(received.id, first.id);
        let never = Frame { id: received.id + (1 << 40), ..received.clone() };
        say(&mut stream, &[first.with(b"late"), never.with(b"never"), received.with(b"right")]).await;
        assert_eq!(end(second).await, ok(b"right"));
        let third = peer.call(1, b"c", LONG);
        let next = hear(&mut stream).await;
        say(&mut stream, &[received.with(b"again"), first.with(b"later"), next.with(b"its own")]).await;
        assert_eq!(end(third).await, ok(b"its own"));
    });
}

#[test]
fn an_answer_of_another_kind_than_its_call_is_given_to_nobody_and_ends_the_connection() {
    run(async {
        let peer = Peer::new().await;
        let call = peer.call(1, b"a", LONG);
        let other = peer.call(2, b"b", LONG);
        let mut stream = peer.connection().await;
        let (first, second) = (hear(&mut stream).await, hear(&mut stream).await);
        say(&mut stream, &[Frame { kind: 2, ..first.with(b"no") }, second.with(b"too late")]).await;
        // What such a peer says besides is not trusted either.
        assert_eq!(end(call).await, Err(RpcError::Lost));
        assert_eq!(end(other).await, Err(RpcError::Lost));
        has_ended(&mut stream).await;
        let again = peer.call(1, b"c", LONG);
        let mut stream = peer.connection().await;
        let received = hear(&mut stream).await;
        assert_eq!(received.body, b"c", "what was sent before is not sent again");
        say(&mut stream, &[received.with(b"well")]).await;
        assert_eq!(end(again).await, ok(b"well"));
    });
}

#[test]
fn an_answer_on_a_new_connection_to_a_call_of_the_one_before_goes_to_nobody() {
    run(async {
        let peer = Peer::new().await;
        let lost = peer.call(1, b"a", LONG);
        let mut stream = peer.connection().await;
        let first = hear(&mut stream).await;
        drop(stream);
        assert_eq!(end(lost).await, Err(RpcError::Lost));
        let call = peer.call(1, b"b", LONG);
        let mut stream = peer.connection().await;
        let received = hear(&mut stream).await;
        assert_eq!(received.body, b"b");
        say(&mut stream, &[first.with(b"of the one before"), received.with(b"right")]).await;
        assert_eq!(end(call).await, ok(b"right"));
    });
}

#[test]
fn what_may_have_been_taken_is_lost_and_only_what_no_connection_took_goes_out_on_the_next() {
    run(async {
        let peer = Peer::new().await;
        // More than a socket takes: part of it stays behind on this side when the connection ends.
        let half = peer.call(1, &vec![1; MAX_PAYLOAD], LONG);
        let mut stream = peer.connection().await;
        stream.read_exact(&mut [0; 100_000]).await.unwrap();
        // Waits behind it.
        let behind = peer.call(2, b"behind", LONG);
        tokio::task::yield_now().await;
        drop(stream);
        assert_eq!(end(half).await, Err(RpcError::Lost));
        let mut stream = peer.connection().await;
        let received = hear(&mut stream).await;
        assert_eq!(
            (received.kind, &received.body[..]),
            (2, &b"behind"[..]),
            "a frame begins with its own first byte"
        );
        say(&mut stream, &[received.with(b"well")]).await;
        assert_eq!(end(behind).await, ok(b"well"));
    });
}

#[test]
fn a_call_that_was_given_up_before_it_was_sent_is_never_sent() {
    run(async {
        let peer = Peer::new().await;
        let half = peer.call(1, &vec![1; MAX_PAYLOAD], LONG);
        let mut stream = peer.connection().await;
        stream.read_exact(&mut [0; 1000]).await.unwrap();
        let given_up = peer.call(2, b"given up", SHORT);
        assert_eq!(given_up.await.unwrap(), Err(RpcError::Unreachable), "nothing of it was sent");
        let dropped = peer.call(3, b"dropped", LONG);
        tokio::task::yield_now().await;
        dropped.abort();
        assert!(dropped.await.is_err());
        let kept = peer.call(4, b"kept", LONG);
        let mut rest = vec![0; HEAD + MAX_PAYLOAD - 1000];
        stream.read_exact(&mut rest).await.unwrap();
        assert_eq!(hear(&mut stream).await.kind, 4);
        drop(stream);
        assert_eq!(end(half).await, Err(RpcError::Lost));
        assert_eq!(end(kept).await, Err(RpcError::Lost));
    });
}

#[test]
fn a_frame_that_is_cut_short_or_has_an_impossible_length_is_no_answer() {
    run(async {
        let peer = Peer::new().await;
        let whole = |received: &Frame| received.with(b"answer").bytes();
        let spoil: [(bool, Spoil); 4] = [
            (true, |frame| frame[..frame.len() - 1].to_vec()),
            (true, |frame| frame[..HEAD - 1].to_vec()),
            (false, |frame| [&[0, 0, 0, 8], &frame[4..]].concat()),
            (false, |frame| [&[0xff, 0, 0, 0], &frame[4..]].concat()),
        ];
        for (cut, spoil) in spoil {
            let call = peer.call(1, b"a", LONG);
            let mut stream = peer.connection().await;
            let received = hear(&mut stream).await;
            stream.write_all(&spoil(whole(&received))).await.unwrap();
            // What is cut short ends with its connection; what is impossible ends it.
            if cut {
                stream.shutdown().await.unwrap();
            }
            assert_eq!(end(call).await, Err(RpcError::Lost));
            has_ended(&mut stream).await;
        }
    });
}

#[test]
fn a_call_that_is_cut_short_is_not_handled_and_a_whole_one_is_handled_once() {
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
        // The same id on another connection is another call; the answer to the one before does not come here.
        let mut next = TcpStream::connect(to).await.unwrap();
        say(&mut next, &[frame(1, 1, b"next")]).await;
        let _ = released.send(());
        assert_eq!(hear(&mut next).await, frame(1, 1, b"next"));
        assert_eq!(*handled.borrow(), [b"held".to_vec(), b"next".to_vec()]);
    });
}
