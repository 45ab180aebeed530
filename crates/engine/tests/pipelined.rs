//! Pipelined requests: answers keep the order of the requests, and no at-most-once request starts behind an answer that
//! may end the connection.

mod common;

use common::front::{paths, request, waiting_server, Rig};
use oatbank_testkit::{eventually, read_message};
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
