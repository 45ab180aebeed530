//! What a voter keeps: one file, one durable commit for each batch of messages.
//!
//! A file under its name was whole once: a new one is made beside it and renamed. So a file that is there and cannot
//! be read is damaged, and a voter that finds it so has lost its disk.

use crate::wire::{Kept, Record};
use prost::Message;
use quick_error::quick_error;
use redb::{Builder, Database, DatabaseError, StorageBackend, StorageError, TableDefinition};
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
    // Its checks of the file's form are assertions here and there.
    let opened = catch_unwind(AssertUnwindSafe(|| -> Result<Database, DatabaseError> {
        Builder::new().set_cache_size(CACHE).create_with_backend(Backend(file))
    }));
    match opened {
        Ok(opened) => opened.map_err(refused),
        Err(_) => Err(DiskError::Damaged("its form is broken".into())),
    }
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
        let read = catch_unwind(AssertUnwindSafe(|| load(&database)));
        let (kept, record) =
            read.unwrap_or_else(|_| Err(DiskError::Damaged("what it holds is broken".into())))?;
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

    /// Moves a damaged file out of the way.
    pub fn set_aside(folder: &Path) -> Result<(), DiskError> {
        fs::rename(folder.join(NAME), folder.join(ASIDE))?;
        Ok(File::open(folder)?.sync_all()?)
    }

    /// Makes the state durable, with the record where it is `fresh`. After an error it may be there or not; the next
    /// write makes the file anew from all of it.
    pub fn write(&mut self, kept: &Kept, record: Option<&Record>, fresh: bool) -> Result<(), DiskError> {
        if self.left_alone_until.is_some_and(|until| Instant::now() < until) {
            return Err(DiskError::LeftAlone);
        }
        let written = match &self.database {
            Some(database) => commit(database, kept, record.filter(|_| fresh)),
            None => Disk::create(&self.folder, kept, record).map(|made| *self = made),
        };
        if written.is_err() {
            self.database = None;
            self.left_alone_until = Some(Instant::now() + LEFT_ALONE);
        }
        written
    }
}
