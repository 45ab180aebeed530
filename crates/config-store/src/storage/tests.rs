//! Tests of the voter's file: power loss at any call to the disk, and damaged files.

use super::*;
use crate::messages::ProposalNumber;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};

enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

/// An in-memory file with simulated power loss: synced data stays, and each later change is kept, torn or dropped.
#[derive(Default)]
struct SimulatedDisk {
    synced: Vec<u8>,
    visible: Vec<u8>,
    unsynced: Vec<Change>,
    /// The number of calls until the power is lost.
    calls_left: u32,
}

impl SimulatedDisk {
    fn call(&mut self) -> io::Result<()> {
        self.calls_left = self.calls_left.checked_sub(1).ok_or_else(|| io::Error::other("power lost"))?;
        Ok(())
    }

    fn lose_power(&mut self, random: &mut Pcg64Mcg) {
        let all_lost = random.next_u32() % 4 == 0;
        for change in self.unsynced.drain(..) {
            match change {
                _ if all_lost || random.next_u32() % 3 == 0 => {}
                Change::Length(length) => self.synced.resize(length as usize, 0),
                Change::Write(at, data) => {
                    let whole = random.next_u32() % 2 == 0;
                    let length =
                        if whole { data.len() } else { random.next_u32() as usize % (data.len() + 1) };
                    let end = (at as usize + length).min(self.synced.len());
                    if let Some(location) = self.synced.get_mut(at as usize..end) {
                        location.copy_from_slice(&data[..location.len()]);
                    }
                }
            }
        }
        self.visible.clone_from(&self.synced);
    }
}

#[derive(Clone, Default)]
struct FaultyBackend(Arc<Mutex<SimulatedDisk>>);

impl std::fmt::Debug for FaultyBackend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FaultyBackend")
    }
}

impl StorageBackend for FaultyBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let medium = self.0.lock().unwrap();
        let part = medium.visible.get(offset as usize..offset as usize + len);
        part.map(<[u8]>::to_vec).ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut medium = self.0.lock().unwrap();
        medium.call()?;
        medium.visible.resize(len as usize, 0);
        medium.unsynced.push(Change::Length(len));
        drop(medium);
        // Like `Backend::set_len`, which syncs the new length.
        self.sync_data(false)
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut medium = self.0.lock().unwrap();
        medium.call()?;
        medium.synced = medium.visible.clone();
        medium.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut medium = self.0.lock().unwrap();
        medium.call()?;
        medium.visible[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        medium.unsynced.push(Change::Write(offset, data.to_vec()));
        Ok(())
    }
}

fn state_and_record(number: u64, length: usize) -> (PersistentState, Record) {
    let proposal = ProposalNumber { round: number, proposer_id: 1 };
    let state = PersistentState { promised: proposal, accepted: proposal, ..PersistentState::default() };
    (
        state,
        Record {
            edition: number,
            lineage: vec![proposal],
            value: vec![number as u8; length].into(),
            configuration: None,
        },
    )
}

#[test]
fn committed_state_survives_every_power_loss() {
    let seeds = std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(12) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let medium = FaultyBackend::default();
        medium.0.lock().unwrap().calls_left = u32::MAX;
        // Creation is not tested: the file gets its name only once it is complete.
        let mut number = 1;
        {
            let database = build(medium.clone()).unwrap();
            let (state, record) = state_and_record(number, 10);
            commit(&database, &state, Some(&record)).unwrap();
            medium.0.lock().unwrap().calls_left = 0;
        }
        for _ in 0..12 {
            {
                let mut medium = medium.0.lock().unwrap();
                medium.lose_power(&mut random);
                medium.calls_left = random.next_u32() % 60;
            }
            // The power may also be lost while the file is opened.
            let database = match build(medium.clone()) {
                Ok(database) => database,
                Err(error) => {
                    assert!(matches!(error, DiskError::Refused(_)), "seed {seed}: {error}");
                    continue;
                }
            };
            let Loaded { state, record } = load(&database).unwrap();
            assert!(
                (number..=number + 1).contains(&state.promised.round),
                "seed {seed}: a committed state is lost"
            );
            let record = record.unwrap();
            assert!(
                record.value.iter().all(|byte| *byte == record.edition as u8),
                "seed {seed}: the value is from another commit"
            );
            assert_eq!(record.edition, state.accepted.round);
            number = state.promised.round;
            loop {
                let (state, record) = state_and_record(number + 1, random.next_u32() as usize % 40_000);
                match commit(&database, &state, Some(&record)) {
                    Ok(()) => number += 1,
                    Err(error) => {
                        assert!(matches!(error, DiskError::Refused(_)), "seed {seed}: {error}");
                        break;
                    }
                }
            }
        }
        let mut last = medium.0.lock().unwrap();
        last.lose_power(&mut random);
        last.calls_left = u32::MAX;
        drop(last);
        let Loaded { state, .. } = load(&build(medium.clone()).unwrap()).unwrap();
        assert!(
            (number..=number + 1).contains(&state.promised.round),
            "seed {seed}: a committed state is lost"
        );
    }
}

#[test]
fn a_damaged_file_is_distinguished_from_a_missing_one() {
    let folder = std::env::temp_dir().join(format!(
        "oatbank-config-store-{}-{:x}",
        std::process::id(),
        oatbank_node_runtime::random::random_u64()
    ));
    assert!(StateFile::open(&folder).unwrap().is_none());
    let (state, record) = state_and_record(3, 1000);
    let mut disk = StateFile::create(&folder, &state, None).unwrap();
    disk.write(&state, Some(&record), true).unwrap();
    // After a failed write no database is open; the next write creates the file again, with the record.
    disk.database = None;
    let (later, _) = state_and_record(4, 0);
    disk.write(&later, Some(&record), false).unwrap();
    drop(disk);
    let OpenedState { state, record: found, .. } = StateFile::open(&folder).unwrap().unwrap();
    assert_eq!((state, found), (later, Some(record)));
    for damage in [&b""[..], b"no such file", &[0; 9000]] {
        fs::write(folder.join(FILE_NAME), damage).unwrap();
        assert!(matches!(StateFile::open(&folder), Err(DiskError::Damaged(_))));
    }
    folder.set_aside().unwrap();
    assert!(StateFile::open(&folder).unwrap().is_none());
    fs::remove_dir_all(&folder).unwrap();
}
