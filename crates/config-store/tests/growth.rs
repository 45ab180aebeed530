//! The size of the voter's file does not grow with the number of changes.

use oatbank_config_store::messages::{PersistentState, ProposalNumber, Record};
use oatbank_config_store::storage::{StateFile, StateWriter};
use std::path::PathBuf;

#[test]
fn hundreds_of_changes_keep_the_file_below_twelve_times_the_record() {
    const LENGTH: usize = 100_000;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("growth-{}", std::process::id()));
    let state_and_record = |number: u64| {
        let proposal = ProposalNumber { round: number, proposer_id: 1 };
        let value = vec![number as u8; LENGTH - number as usize % 100].into();
        let state = PersistentState {
            disk_id: 1,
            promised: proposal,
            accepted: proposal,
            ..PersistentState::default()
        };
        (state, Record { edition: number, lineage: vec![proposal], value, configuration: None })
    };
    let (state, record) = state_and_record(1);
    let mut disk = StateFile::create(&folder, &state, Some(&record)).unwrap();
    for number in 2..400 {
        let (state, record) = state_and_record(number);
        disk.write(&state, Some(&record), true).unwrap();
        let promised =
            PersistentState { promised: ProposalNumber { round: number, proposer_id: 2 }, ..state };
        disk.write(&promised, Some(&record), false).unwrap();
    }
    let length = std::fs::metadata(folder.join("promptbook.redb")).unwrap().len() as usize;
    drop(disk);
    let held = StateFile::open(&folder).unwrap().unwrap().record;
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(held, Some(state_and_record(399).1));
    assert!(length < 12 * LENGTH, "the file has {length} bytes");
}
