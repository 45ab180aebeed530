//! What a voter keeps: one file, one durable commit for each batch of messages.
//!
//! A file under its name was whole once: a new one is made beside it and renamed. So a file that is there and cannot
//! be read is damaged, and a voter that finds it so has lost its disk.

use crate::messages::{Kept, Record};
use prost::Message;
use quick_error::quick_error;
use redb::{Builder, Database, StorageBackend, StorageError, TableDefinition};
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const NAME: &str = "promptbook.redb";
const MAKING: &str = "promptbook.redb.new";
const ASIDE: &str = "promptbook.redb.damaged";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("voter");
const KEPT: &str = "kept";
const RECORD: &str = "record";
const CACHE: usize = 4 << 20;
/// After a refused write the disk is left alone for so long.
const LEFT_ALONE: Duration = Duration::from_millis(100);

quick_error! {
    /// What a disk did not do.
    #[derive(Debug)]
    pub enum DiskError {
        /// It refused, now.
        Refused(error: io::Error) {
            from()
            source(error)
            display("the disk refuses: {}", error)
        }
        /// The file is damaged.
        Damaged(what: String) {
            display("the file is damaged: {}", what)
        }
        /// It refused a moment ago.
        LeftAlone {
            display("the disk refused a moment ago")
        }
    }
}

fn refused(error: impl Into<redb::Error>) -> DiskError {
    match error.into() {
        redb::Error::Io(error)
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            DiskError::Refused(error)
        }
        redb::Error::DatabaseAlreadyOpen => {
            DiskError::Refused(io::Error::new(ErrorKind::WouldBlock, "another process has it open"))
        }
        redb::Error::PreviousIo => DiskError::Refused(io::Error::other("it failed before")),
        redb::Error::LockPoisoned(_) => DiskError::Refused(io::Error::other("it failed before")),
        error => DiskError::Damaged(error.to_string()),
    }
}

/// A file whose new length lasts before anything is written that counts on it.
#[derive(Debug)]
struct Backend(File);

impl StorageBackend for Backend {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.metadata()?.len())
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, io::Error> {
        let mut buffer = vec![0; len];
        self.0.read_exact_at(&mut buffer, offset)?;
        Ok(buffer)
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.0.set_len(len)?;
        self.0.sync_data()
    }

    fn sync_data(&self, _eventual: bool) -> Result<(), io::Error> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.0.write_all_at(data, offset)
    }
}

fn open(path: &Path, new: bool) -> Result<Database, DiskError> {
    let file = OpenOptions::new().read(true).write(true).create(new).truncate(new).open(path)?;
    if !new && file.metadata()?.len() == 0 {
        return Err(DiskError::Damaged("it is empty".into()));
    }
    build(Backend(file))
}

/// `None` if it panics.
fn unharmed<T>(work: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(work)).ok()
}

fn build(backend: impl StorageBackend) -> Result<Database, DiskError> {
    // Its checks of the file's form are assertions here and there. Of its two formats only the third version was
    // whole after each of some thousand losses of power in the tests; the second one's commits panic after some.
    let opened = unharmed(|| {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).create_with_file_format_v3(true);
        builder.create_with_backend(backend)
    });
    opened.map_or_else(
        || Err(DiskError::Damaged("its form is broken".into())),
        |opened| opened.map_err(refused),
    )
}

fn commit(database: &Database, kept: &Kept, record: Option<&Record>) -> Result<(), DiskError> {
    let transaction = database.begin_write().map_err(refused)?;
    {
        let mut table = transaction.open_table(TABLE).map_err(refused)?;
        table.insert(KEPT, &kept.encode_to_vec()[..]).map_err(refused)?;
        if let Some(record) = record {
            table.insert(RECORD, &record.encode_to_vec()[..]).map_err(refused)?;
        }
    }
    transaction.commit().map_err(refused)
}

fn load(database: &Database) -> Result<(Kept, Option<Record>), DiskError> {
    let transaction = database.begin_read().map_err(refused)?;
    let table = transaction.open_table(TABLE).map_err(refused)?;
    let get = |key: &str| -> Result<Option<Vec<u8>>, StorageError> {
        Ok(table.get(key)?.map(|found| found.value().to_vec()))
    };
    let damaged = |error: prost::DecodeError| DiskError::Damaged(error.to_string());
    let kept = get(KEPT).map_err(refused)?.ok_or_else(|| DiskError::Damaged("it holds no state".into()))?;
    let kept = Kept::decode(&kept[..]).map_err(damaged)?;
    let record = get(RECORD).map_err(refused)?;
    let record = record.map(|record| Record::decode(&record[..])).transpose().map_err(damaged)?;
    Ok((kept, record))
}

/// What a disk holds of a voter: a way to write more, and what was written last.
pub type Found = (Box<dyn Writes>, Kept, Option<Record>);

/// Where a voter's file lies: a folder, or what stands for one in a rehearsal.
pub trait Place {
    /// Opens the file; `None` if there is none.
    fn open(&self) -> Result<Option<Found>, DiskError>;
    /// Makes the file with this in it. Once this returns it is there for good.
    fn create(&self, kept: &Kept, record: Option<&Record>) -> Result<Box<dyn Writes>, DiskError>;
    /// Whether a damaged file was moved out of the way here: then there was a voter before.
    fn was_set_aside(&self) -> Result<bool, DiskError>;
    /// Moves a damaged file out of the way.
    fn set_aside(&self) -> Result<(), DiskError>;
    /// What an operator left for the program beside the file, by its name.
    fn note(&self, name: &str) -> Result<Option<String>, DiskError>;
    /// Takes that away for good; whether it was there.
    fn forget_note(&self, name: &str) -> Result<bool, DiskError>;
}

/// A voter's file that is open.
pub trait Writes {
    /// Makes the state durable, with the record where it is `fresh`. After an error it may be there or not; the next
    /// write makes the file anew from all of it.
    fn write(&mut self, kept: &Kept, record: Option<&Record>, fresh: bool) -> Result<(), DiskError>;
}

impl Place for PathBuf {
    fn open(&self) -> Result<Option<Found>, DiskError> {
        let boxed = |(disk, kept, record)| -> Found { (Box::new(disk), kept, record) };
        Ok(Disk::open(self)?.map(boxed))
    }

    fn create(&self, kept: &Kept, record: Option<&Record>) -> Result<Box<dyn Writes>, DiskError> {
        Ok(Box::new(Disk::create(self, kept, record)?))
    }

    fn was_set_aside(&self) -> Result<bool, DiskError> {
        Disk::was_set_aside(self)
    }

    fn set_aside(&self) -> Result<(), DiskError> {
        Disk::set_aside(self)
    }

    fn note(&self, name: &str) -> Result<Option<String>, DiskError> {
        let path = self.join(name);
        Ok(if path.try_exists()? { Some(fs::read_to_string(&path)?) } else { None })
    }

    fn forget_note(&self, name: &str) -> Result<bool, DiskError> {
        match fs::remove_file(self.join(name)) {
            Ok(()) => File::open(self)?.sync_all().map(|()| true).map_err(DiskError::from),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

/// A voter's file.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    database: Option<Database>,
    left_alone_until: Option<Instant>,
}

impl Disk {
    /// Opens the file in `folder`; `None` if there is none.
    pub fn open(folder: &Path) -> Result<Option<(Disk, Kept, Option<Record>)>, DiskError> {
        let path = folder.join(NAME);
        if !path.try_exists()? {
            return Ok(None);
        }
        let database = open(&path, false)?;
        let (kept, record) = unharmed(|| load(&database))
            .unwrap_or_else(|| Err(DiskError::Damaged("what it holds is broken".into())))?;
        let disk = Disk { folder: folder.to_owned(), database: Some(database), left_alone_until: None };
        Ok(Some((disk, kept, record)))
    }

    /// Makes the file in `folder`, with this in it. Once this returns it is there for good.
    pub fn create(folder: &Path, kept: &Kept, record: Option<&Record>) -> Result<Disk, DiskError> {
        fs::create_dir_all(folder)?;
        let making = folder.join(MAKING);
        let database = open(&making, true)?;
        commit(&database, kept, record)?;
        fs::rename(&making, folder.join(NAME))?;
        File::open(folder)?.sync_all()?;
        Ok(Disk { folder: folder.to_owned(), database: Some(database), left_alone_until: None })
    }

    /// Whether a damaged file was moved out of the way here: then there was a voter before.
    pub fn was_set_aside(folder: &Path) -> Result<bool, DiskError> {
        Ok(folder.join(ASIDE).try_exists()?)
    }

    /// Moves a damaged file out of the way.
    pub fn set_aside(folder: &Path) -> Result<(), DiskError> {
        fs::rename(folder.join(NAME), folder.join(ASIDE))?;
        Ok(File::open(folder)?.sync_all()?)
    }

    /// Makes the state durable, as [`Writes::write`].
    pub fn write(&mut self, kept: &Kept, record: Option<&Record>, fresh: bool) -> Result<(), DiskError> {
        if self.left_alone_until.is_some_and(|until| Instant::now() < until) {
            return Err(DiskError::LeftAlone);
        }
        let written = match &self.database {
            Some(database) => unharmed(|| commit(database, kept, record.filter(|_| fresh)))
                .unwrap_or_else(|| Err(DiskError::Damaged("it cannot be written any more".into()))),
            None => Disk::create(&self.folder, kept, record).map(|made| *self = made),
        };
        if written.is_err() {
            // Closing writes as well.
            let broken = self.database.take();
            unharmed(|| drop(broken));
            self.left_alone_until = Some(Instant::now() + LEFT_ALONE);
        }
        written
    }
}

impl Writes for Disk {
    fn write(&mut self, kept: &Kept, record: Option<&Record>, fresh: bool) -> Result<(), DiskError> {
        Disk::write(self, kept, record, fresh)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::Ballot;
    use rand_core::{RngCore, SeedableRng};
    use rand_pcg::Pcg64Mcg;
    use std::sync::{Arc, Mutex};

    enum Change {
        Write(u64, Vec<u8>),
        Length(u64),
    }

    /// A file of which a loss of power leaves what was synced, and of later changes each whole, torn or not at all.
    #[derive(Default)]
    struct Medium {
        synced: Vec<u8>,
        seen: Vec<u8>,
        unsynced: Vec<Change>,
        /// Calls until the power is lost.
        left: u32,
    }

    impl Medium {
        fn call(&mut self) -> io::Result<()> {
            self.left = self.left.checked_sub(1).ok_or_else(|| io::Error::other("no power"))?;
            Ok(())
        }

        fn lose_power(&mut self, chance: &mut Pcg64Mcg) {
            let all_gone = chance.next_u32() % 4 == 0;
            for change in self.unsynced.drain(..) {
                match change {
                    _ if all_gone || chance.next_u32() % 3 == 0 => {}
                    Change::Length(length) => self.synced.resize(length as usize, 0),
                    Change::Write(at, data) => {
                        let whole = chance.next_u32() % 2 == 0;
                        let length =
                            if whole { data.len() } else { chance.next_u32() as usize % (data.len() + 1) };
                        let end = (at as usize + length).min(self.synced.len());
                        if let Some(place) = self.synced.get_mut(at as usize..end) {
                            place.copy_from_slice(&data[..place.len()]);
                        }
                    }
                }
            }
            self.seen.clone_from(&self.synced);
        }
    }

    #[derive(Clone, Default)]
    struct Faulty(Arc<Mutex<Medium>>);

    impl std::fmt::Debug for Faulty {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Faulty")
        }
    }

    impl StorageBackend for Faulty {
        fn len(&self) -> io::Result<u64> {
            Ok(self.0.lock().unwrap().seen.len() as u64)
        }

        fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
            let medium = self.0.lock().unwrap();
            let part = medium.seen.get(offset as usize..offset as usize + len);
            part.map(<[u8]>::to_vec).ok_or_else(|| ErrorKind::UnexpectedEof.into())
        }

        fn set_len(&self, len: u64) -> io::Result<()> {
            let mut medium = self.0.lock().unwrap();
            medium.call()?;
            medium.seen.resize(len as usize, 0);
            medium.unsynced.push(Change::Length(len));
            drop(medium);
            // As the real one does.
            self.sync_data(false)
        }

        fn sync_data(&self, _: bool) -> io::Result<()> {
            let mut medium = self.0.lock().unwrap();
            medium.call()?;
            medium.synced = medium.seen.clone();
            medium.unsynced.clear();
            Ok(())
        }

        fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
            let mut medium = self.0.lock().unwrap();
            medium.call()?;
            medium.seen[offset as usize..offset as usize + data.len()].copy_from_slice(data);
            medium.unsynced.push(Change::Write(offset, data.to_vec()));
            Ok(())
        }
    }

    fn state(number: u64, length: usize) -> (Kept, Record) {
        let ballot = Ballot { round: number, by: 1 };
        let kept = Kept { promised: ballot, accepted: ballot, ..Kept::default() };
        (
            kept,
            Record {
                edition: number,
                lineage: vec![ballot],
                value: vec![number as u8; length].into(),
                cast: None,
            },
        )
    }

    #[test]
    fn what_was_committed_is_there_after_every_loss_of_power() {
        let seeds = std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok());
        for seed in 0..seeds.unwrap_or(12) {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let medium = Faulty::default();
            medium.0.lock().unwrap().left = u32::MAX;
            // Its making is not at stake: it has its name only once it is whole.
            let mut number = 1;
            {
                let database = build(medium.clone()).unwrap();
                let (kept, record) = state(number, 10);
                commit(&database, &kept, Some(&record)).unwrap();
                medium.0.lock().unwrap().left = 0;
            }
            for _ in 0..12 {
                {
                    let mut medium = medium.0.lock().unwrap();
                    medium.lose_power(&mut chance);
                    medium.left = chance.next_u32() % 60;
                }
                // The power may go while it is opened, too.
                let database = match build(medium.clone()) {
                    Ok(database) => database,
                    Err(error) => {
                        assert!(matches!(error, DiskError::Refused(_)), "seed {seed}: {error}");
                        continue;
                    }
                };
                let (kept, record) = load(&database).unwrap();
                assert!((number..=number + 1).contains(&kept.promised.round), "seed {seed}");
                let record = record.unwrap();
                assert!(record.value.iter().all(|byte| *byte == record.edition as u8), "seed {seed}");
                assert_eq!(record.edition, kept.accepted.round);
                number = kept.promised.round;
                loop {
                    let (kept, record) = state(number + 1, chance.next_u32() as usize % 40_000);
                    match commit(&database, &kept, Some(&record)) {
                        Ok(()) => number += 1,
                        Err(error) => {
                            assert!(matches!(error, DiskError::Refused(_)), "seed {seed}: {error}");
                            break;
                        }
                    }
                }
            }
            let mut last = medium.0.lock().unwrap();
            last.lose_power(&mut chance);
            last.left = u32::MAX;
            drop(last);
            let (kept, _) = load(&build(medium.clone()).unwrap()).unwrap();
            assert!((number..=number + 1).contains(&kept.promised.round), "seed {seed}");
        }
    }

    #[test]
    fn a_damaged_file_is_told_from_one_that_is_not_there() {
        let folder = std::env::temp_dir().join(format!(
            "oatbank-config-store-{}-{:x}",
            std::process::id(),
            oatbank_node_runtime::random::chance()
        ));
        assert!(Disk::open(&folder).unwrap().is_none());
        let (kept, record) = state(3, 1000);
        let mut disk = Disk::create(&folder, &kept, None).unwrap();
        disk.write(&kept, Some(&record), true).unwrap();
        // A write that failed leaves nothing open; the next one makes the file anew, with the record.
        disk.database = None;
        let (later, _) = state(4, 0);
        disk.write(&later, Some(&record), false).unwrap();
        drop(disk);
        let (_, kept, found) = Disk::open(&folder).unwrap().unwrap();
        assert_eq!((kept, found), (later, Some(record)));
        for damage in [&b""[..], b"no such file", &[0; 9000]] {
            fs::write(folder.join(NAME), damage).unwrap();
            assert!(matches!(Disk::open(&folder), Err(DiskError::Damaged(_))));
        }
        Disk::set_aside(&folder).unwrap();
        assert!(Disk::open(&folder).unwrap().is_none());
        fs::remove_dir_all(&folder).unwrap();
    }
}
