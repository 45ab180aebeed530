//! Pipelined requests: answers keep the order of the requests, and no at-most-once request starts behind an answer that
//! may end the connection.

mod common;

use common::front::{answer_to, path, paths, request, waiting_server, Rig};
use oatbank_engine::front::connection_ends::ConnectionEnd;
use oatbank_testkit::{eventually, read_message, Act, Message, Server};
use std::io::{Read, Write};

#[test]
fn answers_are_written_in_request_order() {
    let (server, release) = waiting_server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let all = request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request("GET", "/c", "3");
    stream.write_all(all.as_bytes()).expect("written");
    eventually("all three are in flight", || server.count() == 3);
    release.send(()).expect("the server");
    for (id, body) in [("1", "/wait"), ("2", "/b"), ("3", "/c")] {
        let answer = read_message(&mut reader).expect("an answer");
        assert_eq!((answer.header("Try-Id"), &*answer.body), (Some(id), body.as_bytes()));
    }
}

#[test]
fn nothing_follows_a_truncated_answer_and_no_at_most_once_request_starts_behind_it() {
    for (method, second_path) in [("POST", "/post"), ("GET", "/once"), ("GET", "/b")] {
        let (server, release) = waiting_server();
        let rig = Rig::start(&server);
        let (mut stream, mut reader) = rig.connect();
        stream
            .write_all((request("GET", "/cut", "1") + &request(method, second_path, "2")).as_bytes())
            .expect("written");
        // A pipelined second request shows that the bytes behind the first one have been read.
        let expected = if second_path == "/b" { 2 } else { 1 };
        eventually("the expected requests are in flight", || server.count() == expected);
        release.send(()).expect("the server");
        let mut all = Vec::new();
        let _ = reader.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all);
        assert!(!text.contains("Try-Id: 2") && !text.contains("try-id: 2"), "{text}");
        assert!(!text.ends_with(second_path), "{text}");
        assert_eq!(paths(&server).len(), expected, "{second_path}: {:?}", paths(&server));
    }
}

#[test]
fn at_most_once_requests_start_after_all_earlier_answers() {
    for (method, second_path) in [("POST", "/post"), ("GET", "/once")] {
        let (server, release) = waiting_server();
        let rig = Rig::start(&server);
        let (mut stream, mut reader) = rig.connect();
        let all =
            request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request(method, second_path, "3");
        stream.write_all(all.as_bytes()).expect("written");
        eventually("two are in flight", || server.count() == 2);
        release.send(()).expect("the server");
        for id in ["1", "2", "3"] {
            assert_eq!(read_message(&mut reader).expect("an answer").header("Try-Id"), Some(id));
        }
        assert_eq!(paths(&server).last().map(String::as_str), Some(second_path));
        assert_eq!(server.count(), 3);
    }
}

/// Length of an answer that a client has not read when a later one is cut: more than it receives without reading, and less
/// than the front's socket holds for it.
const UNREAD_BYTES: usize = 400_000;

/// Guards against a whole answer that loses its end, because a later answer of its connection breaks off (LOST, review case 7).
#[test]
fn a_truncated_answer_leaves_earlier_answers_whole() {
    for coding in ["Content-Length: 900", "Transfer-Encoding: chunked"] {
        let (release, released) = std::sync::mpsc::channel::<()>();
        let released = std::sync::Mutex::new(released);
        let server = Server::start(move |m| {
            if path(m) == "/long" {
                return Act::Write(answer_to(m, UNREAD_BYTES, &"w".repeat(UNREAD_BYTES)));
            }
            let _ = released.lock().expect("a lock").recv();
            Act::Close(cut_answer(m, coding))
        });
        let rig = Rig::start(&server);
        let (mut stream, mut reader) = rig.connect();
        let all = request("GET", "/long", "1") + &request("GET", "/cut", "2");
        stream.write_all(all.as_bytes()).expect("written");
        eventually("both are in flight", || server.count() == 2);
        release.send(()).expect("the server");
        let cut = || rig.with(|front| front.ends().count(ConnectionEnd::AnswerCut).connections == 1);
        eventually("the second answer is cut", cut);
        let first = read_message(&mut reader).expect("the first answer");
        assert_eq!((first.header("Try-Id"), first.body.len()), (Some("1"), UNREAD_BYTES), "{coding}");
        let mut second = Vec::new();
        let _ = reader.read_to_end(&mut second);
        let second = String::from_utf8_lossy(&second).to_lowercase();
        assert!(second.contains(&coding.to_lowercase()), "its framing shows that it is incomplete: {second}");
        assert!(!second.ends_with("\r\n0\r\n\r\n") && second.len() < 900, "{second}");
    }
}

#[test]
fn a_truncated_answer_without_framing_ends_with_a_reset() {
    let server = Server::start(|m| Act::Close(cut_answer(m, "Transfer-Encoding: chunked")));
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let request = request("GET", "/cut", "1").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).expect("written");
    let mut all = Vec::new();
    let end = reader.read_to_end(&mut all);
    assert!(
        end.is_err(),
        "the end of the connection would end the answer: {}",
        String::from_utf8_lossy(&all)
    );
}

/// The start of an answer: the first 100 bytes of its body, coded as the header line says.
fn cut_answer(m: &Message, coding: &str) -> Vec<u8> {
    let (id, body) = (m.header("Try-Id").expect("a try id"), "x".repeat(100));
    let size = if coding.ends_with("chunked") { "64\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nServer-Seal: s\r\n{coding}\r\n\r\n{size}{body}").into_bytes()
}
