//! The file does not grow with the number of changes.

use oatbank_config_store::messages::{Ballot, Kept, Record};
use oatbank_config_store::storage::Disk;
use std::path::PathBuf;

#[test]
fn hundreds_of_changes_leave_a_file_of_a_few_times_the_record() {
    const LENGTH: usize = 100_000;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("growth-{}", std::process::id()));
    let state = |number: u64| {
        let ballot = Ballot { round: number, by: 1 };
        let value = vec![number as u8; LENGTH - number as usize % 100].into();
        let kept = Kept { id: 1, promised: ballot, accepted: ballot, ..Kept::default() };
        (kept, Record { edition: number, lineage: vec![ballot], value, cast: None })
    };
    let (kept, record) = state(1);
    let mut disk = Disk::create(&folder, &kept, Some(&record)).unwrap();
    for number in 2..400 {
        let (kept, record) = state(number);
        disk.write(&kept, Some(&record), true).unwrap();
        let promised = Kept { promised: Ballot { round: number, by: 2 }, ..kept };
        disk.write(&promised, Some(&record), false).unwrap();
    }
    let length = std::fs::metadata(folder.join("promptbook.redb")).unwrap().len() as usize;
    drop(disk);
    let (_, _, held) = Disk::open(&folder).unwrap().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(held, Some(state(399).1));
    assert!(length < 12 * LENGTH, "{length} bytes");
}
