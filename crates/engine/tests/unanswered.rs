//! Connections that the front ends: what it has begun is answered first, and what it has read is in hand.

mod common;

use common::pipelined::{path, request, to, Rig};
use oatbank_engine::front::connection_ends::ConnectionEnd;
use oatbank_testkit::{eventually, read_message, Act, Server};
use std::io::{Read, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Mutex;

/// Answers what is sent to `/wait` when the test says so, and all else at once.
fn server() -> (Server, Sender<()>) {
    let (release, released) = mpsc::channel();
    let released: Mutex<Receiver<()>> = Mutex::new(released);
    let server = Server::start(move |m| {
        if path(m) == "/wait" {
            let _ = released.lock().expect("a lock").recv();
        }
        Act::Write(to(m, path(m).len(), path(m)))
    });
    (server, release)
}

fn unanswered(rig: &Rig) -> u64 {
    rig.with(|front| ConnectionEnd::ALL.map(|end| front.ends().count(end).unanswered).iter().sum())
}

#[test]
fn what_was_begun_is_answered_before_its_connection_ends() {
    let (server, release) = server();
    let rig = Rig::start(&server);
    let (mut stream, mut reader) = rig.connect();
    let all = request("GET", "/wait", "1") + &request("GET", "/b", "2") + &request("GET", "/c", "3");
    stream.write_all(all.as_bytes()).expect("written");
    eventually("all three are out", || server.count() == 3);
    rig.with(|front| front.stop());
    release.send(()).expect("the server");
    let mut closes = Vec::new();
    for id in ["1", "2", "3"] {
        let answer = read_message(&mut reader).unwrap_or_else(|| panic!("{id} has no answer"));
        assert_eq!(answer.header("Try-Id"), Some(id));
        closes.push(answer.header("Connection").is_some_and(|said| said == "close"));
    }
    assert_eq!(closes, [false, false, true], "the last one says that the connection ends");
    assert_eq!(reader.read(&mut [0]).expect("an end"), 0);
    assert_eq!(unanswered(&rig), 0);
}

#[test]
fn a_request_that_waits_its_turn_is_in_hand() {
    let (server, _release) = server();
    let rig = Rig::start(&server);
    // As in a shutdown: connections are asked to end as soon as they owe nothing, here just when an answer comes.
    rig.with(|front| {
        let asking = front.clone();
        let ask_all = Box::new(move || asking.close_idle());
        *front.desk().on_answer.borrow_mut() = Some(ask_all);
    });
    for round in 0..20 {
        let (mut stream, mut reader) = rig.connect();
        let all = request("GET", "/a", "1") + &request("GET", "/once", "2");
        stream.write_all(all.as_bytes()).expect("written");
        for id in ["1", "2"] {
            let answer = read_message(&mut reader);
            let answer = answer.unwrap_or_else(|| panic!("round {round}: {id} was read, and has no answer"));
            assert_eq!(answer.header("Try-Id"), Some(id));
        }
    }
}
