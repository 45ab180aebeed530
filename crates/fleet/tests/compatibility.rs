//! Pins what leaves the process: the bytes of each frame between limiters and of the two registers that a coordinator
//! stores. The fixture was written by the version before the renaming; limiters of both versions form one fleet.

use oatbank_fleet::document::{Digest, Head, Id};
use oatbank_fleet::election::{Register, RegisterRequest, RegisterResponse, VersionedValue};
use oatbank_fleet::message::{FrameCodec, FrameError, Message, Ping, Pong, Verdict};
use oatbank_fleet::node::{Event, Node, NodeOptions, Output};
use oatbank_fleet::timing::LeaseTiming;
use oatbank_fleet::Peer;
use std::collections::BTreeMap;
use std::fmt::Write;

const FIXTURE: &str = include_str!("fixtures/wire.txt");
const SENDER: Peer = Peer(1);
const RECEIVER: Peer = Peer(2);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn messages() -> Vec<(&'static str, Message)> {
    let id = Id { epoch: 7, number: 300 };
    let digest = Digest([9; 32]);
    let head = Head { id, author: "operator".into(), digest, len: 70_000, ..Head::default() };
    let confirmed = Some((id, Verdict::Confirmed));
    let vetoed = Some((id, Verdict::Vetoed("servers: none".into())));
    let ping =
        |staged| Message::Ping(Ping { process_id: 11, seq: 12, token: 13, answered: 14, holds: id, staged });
    let pong = Pong {
        seq: 21,
        token: 22,
        current: Some(head.clone()),
        proposal: Some(head.clone()),
        effective_in: Some(400),
    };
    vec![
        ("ping", ping(None)),
        ("ping-confirmed", ping(confirmed)),
        ("ping-vetoed", ping(vetoed)),
        ("pong", Message::Pong(pong)),
        ("want", Message::ChunkRequest { digest, from: 1024 }),
        ("show", Message::HeadRequest(id)),
        ("shown", Message::HeadResponse(head)),
        ("piece", Message::Chunk { digest, from: 1024, bytes: b"text".to_vec() }),
        ("beside", Message::Attachment(b"load".to_vec())),
        ("decides", Message::TermAnnouncement { term: 5, peer: Some(SENDER) }),
        ("decides-unknown", Message::TermAnnouncement { term: 5, peer: None }),
    ]
}

/// Plays a fleet of one limiter until it has been elected and has stored its first rules.
fn stored_registers() -> BTreeMap<Register, (i32, Vec<u8>)> {
    let options = NodeOptions {
        timing: LeaseTiming::default(),
        me: Peer(0),
        peers: 1,
        decider: None,
        incarnation: 1_700_000_000_000,
        seed: 1,
        first: "first rules".into(),
    };
    let mut node = Node::new(&options, 0);
    let mut registers: BTreeMap<Register, (i32, Vec<u8>)> = BTreeMap::new();
    for now in (0..10_000).step_by(10) {
        node.handle(now, Event::Tick);
        while let Some(output) = node.output() {
            if let Some(event) = carry_out(&mut registers, output) {
                node.handle(now, event);
            }
        }
    }
    registers
}

fn carry_out(registers: &mut BTreeMap<Register, (i32, Vec<u8>)>, output: Output) -> Option<Event> {
    match output {
        Output::Check(revision) => Some(Event::Checked(revision.id(), Verdict::Confirmed)),
        Output::Register(register, serial, ask) => {
            let present: VersionedValue = registers.get(&register).cloned();
            let outcome = match ask {
                RegisterRequest::Read => RegisterResponse::Value(present),
                RegisterRequest::CompareAndSwap(version, bytes)
                    if version == present.as_ref().map(|(version, _)| *version) =>
                {
                    let next = version.map_or(0, |version| version + 1);
                    registers.insert(register, (next, bytes));
                    RegisterResponse::Swapped(next)
                }
                RegisterRequest::CompareAndSwap(..) => RegisterResponse::VersionMismatch,
            };
            Some(Event::Register(register, serial, outcome))
        }
        _ => None,
    }
}

fn written() -> String {
    let codec = FrameCodec::new("compatibility");
    let mut text = String::new();
    for (name, message) in messages() {
        let _ = writeln!(text, "{name} {}", hex(&codec.frame(SENDER, RECEIVER, &message)));
    }
    for (register, (_, bytes)) in stored_registers() {
        let _ = writeln!(text, "register-{register:?} {}", hex(&bytes));
    }
    text
}

#[test]
fn frames_and_registers_are_written_as_before() {
    for (line, expected) in written().lines().zip(FIXTURE.lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(written().lines().count(), FIXTURE.lines().count());
}

#[test]
fn frames_of_the_earlier_version_are_read() {
    let codec = FrameCodec::new("compatibility");
    let frames: BTreeMap<&str, &str> = FIXTURE.lines().filter_map(|line| line.split_once(' ')).collect();
    for (name, message) in messages() {
        let text = frames[name];
        let bytes = (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16));
        let bytes: Vec<u8> = bytes.map(|byte| byte.expect("hex digits")).collect();
        assert_eq!(codec.read(RECEIVER, &bytes), Ok((SENDER, message)), "{name}");
    }
}

#[test]
fn dropped_frames_are_counted_under_the_names_of_before() {
    let names = [FrameError::Version, FrameError::Key, FrameError::Malformed].map(FrameError::name);
    assert_eq!(names, ["version", "key", "form"]);
}
