//! A voter's file: one durable commit for each batch of requests.
//!
//! A file under its name was complete once: a new one is written beside it and renamed. So a file that exists and cannot be
//! read is damaged, and a voter that finds it so has lost its disk.

use crate::messages::{PersistentState, Record};
use prost::Message;
use quick_error::quick_error;
use redb::{Builder, Database, StorageBackend, StorageError, TableDefinition};
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

// Names of files, table and keys are fixed: a voter reads the file of the version before.
const FILE_NAME: &str = "promptbook.redb";
const TEMPORARY_FILE: &str = "promptbook.redb.new";
const DAMAGED_FILE: &str = "promptbook.redb.damaged";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("voter");
const STATE_KEY: &str = "kept";
const RECORD_KEY: &str = "record";
/// Size of the page cache, in bytes.
const CACHE_BYTES: usize = 4 << 20;
/// No write is tried for this long after one that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

quick_error! {
    /// Why the disk did not do something.
    #[derive(Debug)]
    pub enum DiskError {
        /// It refuses now, and may take it later.
        Refused(error: io::Error) {
            from()
            source(error)
            display("the disk refuses: {}", error)
        }
        /// The file is damaged.
        Damaged(what: String) {
            display("the file is damaged: {}", what)
        }
        /// It refused a moment ago, and was not asked again.
        RecentlyFailed {
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

/// A file whose new length is durable before anything is written that relies on it.
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

/// The result of `work`; `None` if it panics.
fn catch_panic<T>(work: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(work)).ok()
}

fn build(backend: impl StorageBackend) -> Result<Database, DiskError> {
    // The library checks the file's format by assertions in places. Of its two formats only the third version was
    // readable after each of some thousand losses of power in the tests; commits of the second panic after some.
    let opened = catch_panic(|| {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES).create_with_file_format_v3(true);
        builder.create_with_backend(backend)
    });
    opened.map_or_else(
        || Err(DiskError::Damaged("its form is broken".into())),
        |opened| opened.map_err(refused),
    )
}

fn commit(database: &Database, state: &PersistentState, record: Option<&Record>) -> Result<(), DiskError> {
    let transaction = database.begin_write().map_err(refused)?;
    {
        let mut table = transaction.open_table(TABLE).map_err(refused)?;
        table.insert(STATE_KEY, &state.encode_to_vec()[..]).map_err(refused)?;
        if let Some(record) = record {
            table.insert(RECORD_KEY, &record.encode_to_vec()[..]).map_err(refused)?;
        }
    }
    transaction.commit().map_err(refused)
}

/// What a file holds.
struct Loaded {
    state: PersistentState,
    record: Option<Record>,
}

fn load(database: &Database) -> Result<Loaded, DiskError> {
    let transaction = database.begin_read().map_err(refused)?;
    let table = transaction.open_table(TABLE).map_err(refused)?;
    let get = |key: &str| -> Result<Option<Vec<u8>>, StorageError> {
        Ok(table.get(key)?.map(|found| found.value().to_vec()))
    };
    let damaged = |error: prost::DecodeError| DiskError::Damaged(error.to_string());
    let state =
        get(STATE_KEY).map_err(refused)?.ok_or_else(|| DiskError::Damaged("it holds no state".into()))?;
    let state = PersistentState::decode(&state[..]).map_err(damaged)?;
    let record = get(RECORD_KEY).map_err(refused)?;
    let record = record.map(|record| Record::decode(&record[..])).transpose().map_err(damaged)?;
    Ok(Loaded { state, record })
}

/// A voter's file that was opened, and what it holds.
pub struct OpenedState {
    /// Writes to it.
    pub writer: Box<dyn StateWriter>,
    /// The acceptor's state.
    pub state: PersistentState,
    /// The accepted record.
    pub record: Option<Record>,
}

/// Where a voter's file lies: a folder, or what stands for one in a simulation.
pub trait StorageLocation {
    /// Opens the file; `None` if there is none.
    ///
    /// # Errors
    /// [`DiskError::Damaged`] if it cannot be read, [`DiskError::Refused`] if the disk refuses now.
    fn open(&self) -> Result<Option<OpenedState>, DiskError>;
    /// Creates the file with this content. Once this returns it is durable.
    ///
    /// # Errors
    /// When the disk refuses.
    fn create(
        &self,
        state: &PersistentState,
        record: Option<&Record>,
    ) -> Result<Box<dyn StateWriter>, DiskError>;
    /// Whether a damaged file was set aside here: then this machine has been a voter before.
    ///
    /// # Errors
    /// When the disk refuses.
    fn was_set_aside(&self) -> Result<bool, DiskError>;
    /// Renames a damaged file, so that a new one can be created.
    ///
    /// # Errors
    /// When the disk refuses.
    fn set_aside(&self) -> Result<(), DiskError>;
    /// The content of a file that an operator has put beside the voter's.
    ///
    /// # Errors
    /// When the disk refuses.
    fn operator_file(&self, name: &str) -> Result<Option<String>, DiskError>;
    /// Removes such a file durably; whether it existed.
    ///
    /// # Errors
    /// When the disk refuses.
    fn remove_operator_file(&self, name: &str) -> Result<bool, DiskError>;
}

/// Writes to a voter's file.
pub trait StateWriter {
    /// Makes the state durable, and the record if `record_changed`. After an error either may be durable or not; the next
    /// write creates the file again from all of it.
    ///
    /// # Errors
    /// When the disk refuses, or has refused a moment ago.
    fn write(
        &mut self,
        state: &PersistentState,
        record: Option<&Record>,
        record_changed: bool,
    ) -> Result<(), DiskError>;
}

impl StorageLocation for PathBuf {
    fn open(&self) -> Result<Option<OpenedState>, DiskError> {
        StateFile::open(self)
    }

    fn create(
        &self,
        state: &PersistentState,
        record: Option<&Record>,
    ) -> Result<Box<dyn StateWriter>, DiskError> {
        Ok(Box::new(StateFile::create(self, state, record)?))
    }

    fn was_set_aside(&self) -> Result<bool, DiskError> {
        Ok(self.join(DAMAGED_FILE).try_exists()?)
    }

    fn set_aside(&self) -> Result<(), DiskError> {
        fs::rename(self.join(FILE_NAME), self.join(DAMAGED_FILE))?;
        Ok(File::open(self)?.sync_all()?)
    }

    fn operator_file(&self, name: &str) -> Result<Option<String>, DiskError> {
        let path = self.join(name);
        Ok(if path.try_exists()? { Some(fs::read_to_string(&path)?) } else { None })
    }

    fn remove_operator_file(&self, name: &str) -> Result<bool, DiskError> {
        match fs::remove_file(self.join(name)) {
            Ok(()) => File::open(self)?.sync_all().map(|()| true).map_err(DiskError::from),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

/// A voter's file.
#[derive(Debug)]
pub struct StateFile {
    folder: PathBuf,
    /// `None` after a failed write: the next one creates the file again.
    database: Option<Database>,
    /// No write is tried before this.
    retry_at: Option<Instant>,
}

impl StateFile {
    /// Opens the file in `folder`; `None` if there is none.
    ///
    /// # Errors
    /// [`DiskError::Damaged`] if it cannot be read, [`DiskError::Refused`] if the disk refuses now.
    pub fn open(folder: &Path) -> Result<Option<OpenedState>, DiskError> {
        let path = folder.join(FILE_NAME);
        if !path.try_exists()? {
            return Ok(None);
        }
        let database = open(&path, false)?;
        let Loaded { state, record } = catch_panic(|| load(&database))
            .unwrap_or_else(|| Err(DiskError::Damaged("what it holds is broken".into())))?;
        let file = StateFile { folder: folder.to_owned(), database: Some(database), retry_at: None };
        Ok(Some(OpenedState { writer: Box::new(file), state, record }))
    }

    /// Creates the file in `folder`, with this content. Once this returns it is durable.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn create(
        folder: &Path,
        state: &PersistentState,
        record: Option<&Record>,
    ) -> Result<StateFile, DiskError> {
        fs::create_dir_all(folder)?;
        let temporary = folder.join(TEMPORARY_FILE);
        let database = open(&temporary, true)?;
        commit(&database, state, record)?;
        fs::rename(&temporary, folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()?;
        Ok(StateFile { folder: folder.to_owned(), database: Some(database), retry_at: None })
    }
}

impl StateWriter for StateFile {
    fn write(
        &mut self,
        state: &PersistentState,
        record: Option<&Record>,
        record_changed: bool,
    ) -> Result<(), DiskError> {
        if self.retry_at.is_some_and(|at| Instant::now() < at) {
            return Err(DiskError::RecentlyFailed);
        }
        let written = match &self.database {
            Some(database) => catch_panic(|| commit(database, state, record.filter(|_| record_changed)))
                .unwrap_or_else(|| Err(DiskError::Damaged("it cannot be written any more".into()))),
            None => StateFile::create(&self.folder, state, record).map(|file| *self = file),
        };
        if written.is_err() {
            // Closing the database writes as well, and may panic.
            let broken = self.database.take();
            catch_panic(|| drop(broken));
            self.retry_at = Some(Instant::now() + WRITE_RETRY_DELAY);
        }
        written
    }
}

#[cfg(test)]
mod tests;
