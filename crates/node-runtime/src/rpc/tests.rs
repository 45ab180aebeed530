//! Tests of remote calls against a scripted peer.

use super::frame::{read_frame, write_frame, Frame};
use super::*;
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(10);

fn run_here(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn listener() -> (TcpListener, Rc<RpcClient>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = RpcClient::new(listener.local_addr().unwrap());
    (listener, client)
}

/// Reads one call at the scripted peer; `None` if the connection has ended.
async fn receive(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Frame> {
    loop {
        if let Some(frame) = read_frame(buffer).unwrap() {
            return Some(frame);
        }
        if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

async fn send(stream: &mut TcpStream, frame: &Frame, body: &[u8]) {
    let mut out = BytesMut::new();
    write_frame(&mut out, frame.kind, frame.id, body);
    stream.write_all(&out).await.unwrap();
}

#[test]
fn calls_share_a_connection_and_a_slow_one_does_not_block_the_others() {
    run_here(async {
        let (listener, client) = listener().await;
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let handler = Rc::new(move |kind, body: Bytes| -> ResponseFuture {
            let released = released.clone();
            Box::pin(async move {
                if kind == 9 {
                    released.notified().await;
                }
                [&[kind], &body[..]].concat()
            })
        });
        tokio::task::spawn_local(serve(listener, handler));
        let holding = client.clone();
        let held = tokio::task::spawn_local(async move { holding.call(9, b"held".to_vec(), LONG).await });
        let large = vec![7; 3 << 20];
        let answer = client.call(1, large.clone(), LONG).await.unwrap();
        assert!(answer[0] == 1 && answer[1..] == large[..]);
        for n in 0..100u8 {
            assert_eq!(client.call(2, vec![n], LONG).await.unwrap(), vec![2, n]);
        }
        assert!(!held.is_finished());
        release.notify_one();
        assert_eq!(&held.await.unwrap().unwrap()[1..], b"held");
        assert_eq!(client.call(3, vec![0; MAX_PAYLOAD + 1], LONG).await, Err(RpcError::Unreachable));
    });
}

#[test]
fn unsent_calls_are_unreachable_and_sent_ones_are_lost() {
    run_here(async {
        let (peer, client) = listener().await;
        let calling = client.clone();
        let call = tokio::task::spawn_local(async move { calling.call(1, vec![1], LONG).await });
        let (mut stream, _) = peer.accept().await.unwrap();
        assert!(receive(&mut stream, &mut BytesMut::new()).await.is_some());
        drop((stream, peer));
        assert_eq!(call.await.unwrap(), Err(RpcError::Lost));
        assert_eq!(client.call(1, vec![1], LONG).await, Err(RpcError::Unreachable));
    });
}

#[test]
fn late_response_is_not_given_to_a_newer_call() {
    run_here(async {
        let (peer, client) = listener().await;
        let short = Duration::from_millis(20);
        let calling = client.clone();
        let call = tokio::task::spawn_local(async move { calling.call(1, vec![1], short).await });
        let (mut stream, _) = peer.accept().await.unwrap();
        let mut buffer = BytesMut::new();
        let first = receive(&mut stream, &mut buffer).await.unwrap();
        assert_eq!(call.await.unwrap(), Err(RpcError::Lost));
        let calling = client.clone();
        let call = tokio::task::spawn_local(async move { calling.call(1, vec![2], LONG).await });
        let second = receive(&mut stream, &mut buffer).await.unwrap();
        send(&mut stream, &first, b"late").await;
        send(&mut stream, &second, b"right").await;
        assert_eq!(&call.await.unwrap().unwrap()[..], b"right");
    });
}

#[test]
fn silent_connection_is_replaced() {
    run_here(async {
        let (peer, client) = listener().await;
        // Abandoned calls still count for detecting that the connection is silent.
        let short = Duration::from_millis(20);
        let calling = client.clone();
        let mut calls = tokio::task::spawn_local(async move {
            while calling.call(1, vec![1], short).await != Ok(Bytes::from_static(b"heard")) {}
        });
        let (mut silent, _) = peer.accept().await.unwrap();
        let mut buffer = BytesMut::new();
        while receive(&mut silent, &mut buffer).await.is_some() {}
        let (mut stream, _) = peer.accept().await.unwrap();
        let mut buffer = BytesMut::new();
        loop {
            tokio::select! {
                ended = &mut calls => break ended.unwrap(),
                call = receive(&mut stream, &mut buffer) => send(&mut stream, &call.unwrap(), b"heard").await,
            }
        }
    });
}
