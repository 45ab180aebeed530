//! Bytes that must not change: what a voter keeps on its disk and what is said between voters. The fixtures were
//! written by the version of 2 December 2026 (commit df0c55a); the store's file has several revisions and a voter
//! change that has begun.

use oatbank_config_store::messages::*;
use oatbank_config_store::storage::{OpenedState, StateFile, StateWriter};
use prost::Message;
use std::path::{Path, PathBuf};

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const FILE: &str = "promptbook.redb";

fn proposal(round: u64) -> ProposalNumber {
    ProposalNumber { round, proposer_id: 0xfeed }
}

fn voter(address: &str, disk_id: u64) -> VoterId {
    VoterId { address: address.into(), disk_id }
}

fn configuration() -> VoterConfiguration {
    VoterConfiguration {
        voters: vec![voter("10.0.0.1:7740", 0), voter("10.0.0.4:7740", 77)],
        outgoing: vec![voter("10.0.0.1:7740", 0), voter("10.0.0.2:7740", 0), voter("10.0.0.3:7740", 0)],
        proposed_in: proposal(9),
    }
}

fn record(edition: u64) -> Record {
    let value = format!("value {edition}").into_bytes().into();
    Record { edition, lineage: vec![proposal(9), proposal(4)], value, configuration: Some(configuration()) }
}

fn state() -> PersistentState {
    PersistentState {
        founders: vec!["10.0.0.1:7740".into(), "10.0.0.2:7740".into()],
        promised: proposal(12),
        accepted: proposal(11),
        adopted: true,
        disk_id: 77,
    }
}

fn response() -> VoterResponse {
    VoterResponse {
        status: ResponseStatus::Rejected as i32,
        disk_id: 77,
        promised: proposal(12),
        accepted: proposal(11),
        adopted: true,
        edition: 3,
        record: Some(record(3)),
        configuration_proposed_in: proposal(9),
    }
}

fn local_state() -> LocalState {
    LocalState {
        founders: vec!["10.0.0.1:7740".into()],
        seeds: vec!["10.0.0.9:7740".into()],
        disk_id: 77,
        accepted: proposal(11),
        record: Some(record(3)),
        unable: true,
    }
}

fn messages() -> Vec<(u8, &'static str, Vec<u8>)> {
    vec![
        (kind::PREPARE, "prepare", Prepare { proposal: proposal(12), known: proposal(4) }.encode_to_vec()),
        (kind::ACCEPT, "accept", Accept { proposal: proposal(12), record: record(3) }.encode_to_vec()),
        (kind::PEEK, "peek", Peek {}.encode_to_vec()),
        (kind::FETCH, "fetch", Fetch { known: proposal(4) }.encode_to_vec()),
        (kind::LOCAL_STATE, "who", LocalStateRequest { known: proposal(4) }.encode_to_vec()),
        (0, "answer", response().encode_to_vec()),
        (0, "here", local_state().encode_to_vec()),
        (0, "state on disk", state().encode_to_vec()),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn folder(name: &str) -> PathBuf {
    let name = format!("compatibility-{name}-{}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn messages_have_the_bytes_of_the_version_before() {
    let line = |(kind, name, bytes): &(u8, &str, Vec<u8>)| format!("{kind} {name}: {}\n", hex(bytes));
    let written: String = messages().iter().map(line).collect();
    assert_eq!(written, MESSAGES);
}

#[test]
fn a_file_of_the_version_before_is_read_and_written_on() {
    let folder = folder("read");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(FILE);
    std::fs::copy(fixture, folder.join(FILE)).unwrap();
    let mut opened = StateFile::open(&folder).unwrap().unwrap();
    assert_eq!((&opened.state, &opened.record), (&state(), &Some(record(3))));
    let next = PersistentState { promised: proposal(20), accepted: proposal(20), ..state() };
    opened.writer.write(&next, Some(&record(4)), true).unwrap();
    drop(opened);
    let OpenedState { state, record: held, .. } = StateFile::open(&folder).unwrap().unwrap();
    assert_eq!((state, held), (next, Some(record(4))));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_file_that_is_written_as_the_fixture_was_holds_the_same() {
    let folder = folder("write");
    let mut disk = StateFile::create(&folder, &state(), Some(&record(1))).unwrap();
    disk.write(&state(), Some(&record(2)), true).unwrap();
    disk.write(&state(), Some(&record(3)), true).unwrap();
    drop(disk);
    let opened = StateFile::open(&folder).unwrap().unwrap();
    assert_eq!((&opened.state, &opened.record), (&state(), &Some(record(3))));
    drop(opened);
    std::fs::remove_dir_all(folder).unwrap();
}
