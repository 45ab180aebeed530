//! A voter's file: one durable commit for each batch of requests.
//!
//! A new file is written under a temporary name and renamed once it is complete. So a file that exists and cannot be
//! read is damaged, and a voter with a damaged file counts as one that has lost its disk.

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

// Names of files, table and keys are fixed: a voter reads the file written by the previous version.
const FILE_NAME: &str = "promptbook.redb";
const TEMPORARY_FILE: &str = "promptbook.redb.new";
const DAMAGED_FILE: &str = "promptbook.redb.damaged";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("voter");
const STATE_KEY: &str = "kept";
const RECORD_KEY: &str = "record";
/// Size of the page cache, in bytes.
const CACHE_BYTES: usize = 4 << 20;
/// After a failed write, no further one is attempted for this long.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

quick_error! {
    /// An error of a voter's file.
    #[derive(Debug)]
    pub enum DiskError {
        /// The operation failed now and may succeed later.
        Refused(error: io::Error) {
            from()
            source(error)
            display("disk I/O failed: {}", error)
        }
        /// The file is damaged.
        Damaged(reason: String) {
            display("the file is damaged: {}", reason)
        }
        /// An earlier write failed a moment ago, so this one was not attempted.
        RecentlyFailed {
            display("the last write to disk failed a moment ago")
        }
    }
}

/// Converts a database error: a failed I/O operation and a file in use are temporary; invalid data and all other errors
/// mean damage.
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
        redb::Error::PreviousIo => DiskError::Refused(io::Error::other("an earlier operation failed")),
        redb::Error::LockPoisoned(_) => DiskError::Refused(io::Error::other("an earlier operation failed")),
        error => DiskError::Damaged(error.to_string()),
    }
}

/// A file whose new length is made durable before any data is written beyond the old length.
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

/// Returns the result of `work`; `None` if it panics.
fn catch_panic<T>(work: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(work)).ok()
}

fn build(backend: impl StorageBackend) -> Result<Database, DiskError> {
    // The library checks the file format partly with assertions, so a damaged file may cause a panic. Only version 3 of
    // the format stayed readable in some thousand simulated power losses; with version 2, commits panicked after some.
    let opened = catch_panic(|| {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES).create_with_file_format_v3(true);
        builder.create_with_backend(backend)
    });
    opened.map_or_else(
        || Err(DiskError::Damaged("its format is invalid".into())),
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

/// The content of a voter's file.
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
        get(STATE_KEY).map_err(refused)?.ok_or_else(|| DiskError::Damaged("it contains no state".into()))?;
    let state = PersistentState::decode(&state[..]).map_err(damaged)?;
    let record = get(RECORD_KEY).map_err(refused)?;
    let record = record.map(|record| Record::decode(&record[..])).transpose().map_err(damaged)?;
    Ok(Loaded { state, record })
}

/// An opened voter's file and its content.
pub struct OpenedState {
    /// Writer of the file.
    pub writer: Box<dyn StateWriter>,
    /// The acceptor's state.
    pub state: PersistentState,
    /// The accepted record.
    pub record: Option<Record>,
}

/// The location of a voter's file: a folder, or its replacement in a simulation.
pub trait StorageLocation {
    /// Opens the file. Returns `None` if there is none.
    ///
    /// # Errors
    /// [`DiskError::Damaged`] if its content is invalid, [`DiskError::Refused`] if the disk fails now.
    fn open(&self) -> Result<Option<OpenedState>, DiskError>;
    /// Creates the file with this content, which is durable on return.
    ///
    /// # Errors
    /// When the disk fails.
    fn create(
        &self,
        state: &PersistentState,
        record: Option<&Record>,
    ) -> Result<Box<dyn StateWriter>, DiskError>;
    /// Returns whether a damaged file was set aside here, which shows that this machine has been a voter before.
    ///
    /// # Errors
    /// When the disk fails.
    fn was_set_aside(&self) -> Result<bool, DiskError>;
    /// Renames a damaged file, so that a new one can be created.
    ///
    /// # Errors
    /// When the disk fails.
    fn set_aside(&self) -> Result<(), DiskError>;
    /// Returns the content of a file that an operator has put beside the voter's file; `None` if there is none.
    ///
    /// # Errors
    /// When the disk fails.
    fn operator_file(&self, name: &str) -> Result<Option<String>, DiskError>;
    /// Removes an operator's file durably. Returns whether it existed.
    ///
    /// # Errors
    /// When the disk fails.
    fn remove_operator_file(&self, name: &str) -> Result<bool, DiskError>;
}

/// Writes to a voter's file.
pub trait StateWriter {
    /// Makes the state durable, and the record if `record_changed`. After an error each of them may be durable or
    /// not; the next write creates the file again from both.
    ///
    /// # Errors
    /// When the disk fails, or failed less than [`WRITE_RETRY_DELAY`] ago.
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

/// A voter's file in a folder.
#[derive(Debug)]
pub struct StateFile {
    folder: PathBuf,
    /// `None` after a failed write, so that the next one creates the file again.
    database: Option<Database>,
    /// The earliest time of the next write after a failed one.
    retry_at: Option<Instant>,
}

impl StateFile {
    /// Opens the file in `folder`. Returns `None` if there is none.
    ///
    /// # Errors
    /// [`DiskError::Damaged`] if its content is invalid, [`DiskError::Refused`] if the disk fails now.
    pub fn open(folder: &Path) -> Result<Option<OpenedState>, DiskError> {
        let path = folder.join(FILE_NAME);
        if !path.try_exists()? {
            return Ok(None);
        }
        let database = open(&path, false)?;
        let Loaded { state, record } = catch_panic(|| load(&database))
            .unwrap_or_else(|| Err(DiskError::Damaged("its content is invalid".into())))?;
        let file = StateFile { folder: folder.to_owned(), database: Some(database), retry_at: None };
        Ok(Some(OpenedState { writer: Box::new(file), state, record }))
    }

    /// Creates the file in `folder` with this content, which is durable on return.
    ///
    /// # Errors
    /// When the disk fails.
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
                .unwrap_or_else(|| Err(DiskError::Damaged("the database panicked during a write".into()))),
            None => StateFile::create(&self.folder, state, record).map(|file| *self = file),
        };
        if written.is_err() {
            // Closing the database also writes, and may panic.
            let failed_database = self.database.take();
            catch_panic(|| drop(failed_database));
            self.retry_at = Some(Instant::now() + WRITE_RETRY_DELAY);
        }
        written
    }
}

#[cfg(test)]
mod tests;
