//! Simulated disk of a voter. A completed write survives a loss of power; an interrupted one may or may not. The file
//! format itself is tested with the store.

use crate::process::Process;
use crate::{ms, Random};
use oatbank_config_store::messages::{PersistentState, Record};
use oatbank_config_store::storage::{DiskError, OpenedState, StateWriter, StorageLocation};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// Contents of the disk.
#[derive(Clone, Debug, Default)]
enum File {
    #[default]
    None,
    Damaged,
    Whole(Box<(PersistentState, Option<Record>)>),
}

/// StateFile holds the single state file of a voter and the faults of its disk.
pub struct StateFile {
    file: RefCell<File>,
    aside: Cell<bool>,
    /// Every write fails for lack of space.
    pub full: Cell<bool>,
    /// Upper bound of the time that a write takes, ms.
    pub slow: Cell<f64>,
    /// The next write is interrupted by a loss of power.
    pub dooms: Cell<bool>,
    process: RefCell<Weak<Process>>,
    random: RefCell<Random>,
}

impl StateFile {
    /// Creates an empty disk.
    pub fn new(seed: u64) -> Rc<StateFile> {
        Rc::new(StateFile {
            file: RefCell::default(),
            aside: Cell::new(false),
            full: Cell::new(false),
            slow: Cell::new(0.0),
            dooms: Cell::new(false),
            process: RefCell::default(),
            random: RefCell::new(Random::new(seed)),
        })
    }

    /// Sets the process that slow writes freeze and a loss of power ends.
    pub fn used_by(&self, process: &Rc<Process>) {
        *self.process.borrow_mut() = Rc::downgrade(process);
    }

    /// Removes the file and the mark that one was set aside.
    pub fn wipe(&self) {
        *self.file.borrow_mut() = File::None;
        self.aside.set(false);
    }

    /// Makes an existing file unreadable.
    pub fn damage(&self) {
        let mut file = self.file.borrow_mut();
        if matches!(*file, File::Whole(_)) {
            *file = File::Damaged;
        }
    }

    /// Writes the file. After an error the write may or may not have taken effect.
    fn put(&self, state: &PersistentState, record: Option<&Record>) -> Result<(), DiskError> {
        let full = self.full.get();
        let goes = self.dooms.replace(false);
        let stays = if goes { 0.5 } else { 0.2 };
        if !(full || goes) || self.random.borrow_mut().chance(stays) {
            *self.file.borrow_mut() = File::Whole(Box::new((state.clone(), record.cloned())));
        }
        let process = self.process.borrow().upgrade();
        if goes {
            if let Some(process) = &process {
                process.lose_power();
            }
        }
        if full || goes {
            return Err(DiskError::Refused(io::Error::other("no space left")));
        }
        if self.slow.get() > 0.0 {
            let takes = self.random.borrow_mut().within(0.0..self.slow.get());
            if let Some(process) = process {
                process.freeze(Instant::now() + ms(takes));
            }
        }
        Ok(())
    }
}

/// Storage location through which a voter opens the disk.
#[derive(Clone)]
pub struct Mounted(pub Rc<StateFile>);

struct OpenFile {
    disk: Rc<StateFile>,
    /// Record that stays in the file when a write brings none.
    record: Option<Record>,
    /// The last write failed: the next one replaces the whole file.
    anew: bool,
}

impl StorageLocation for Mounted {
    fn open(&self) -> Result<Option<OpenedState>, DiskError> {
        match &*self.0.file.borrow() {
            File::None => Ok(None),
            File::Damaged => Err(DiskError::Damaged("damaged by the simulation".into())),
            File::Whole(held) => {
                let (state, record) = &**held;
                let open = OpenFile { disk: self.0.clone(), record: record.clone(), anew: false };
                Ok(Some(OpenedState { writer: Box::new(open), state: state.clone(), record: record.clone() }))
            }
        }
    }

    fn create(
        &self,
        state: &PersistentState,
        record: Option<&Record>,
    ) -> Result<Box<dyn StateWriter>, DiskError> {
        self.0.put(state, record)?;
        Ok(Box::new(OpenFile { disk: self.0.clone(), record: record.cloned(), anew: false }))
    }

    fn was_set_aside(&self) -> Result<bool, DiskError> {
        Ok(self.0.aside.get())
    }

    fn set_aside(&self) -> Result<(), DiskError> {
        *self.0.file.borrow_mut() = File::None;
        self.0.aside.set(true);
        Ok(())
    }

    fn operator_file(&self, _: &str) -> Result<Option<String>, DiskError> {
        Ok(None)
    }

    fn remove_operator_file(&self, _: &str) -> Result<bool, DiskError> {
        Ok(false)
    }
}

impl StateWriter for OpenFile {
    fn write(
        &mut self,
        state: &PersistentState,
        record: Option<&Record>,
        fresh: bool,
    ) -> Result<(), DiskError> {
        let record = if fresh || self.anew { record.cloned() } else { self.record.clone() };
        let done = self.disk.put(state, record.as_ref());
        self.anew = done.is_err();
        if done.is_ok() {
            self.record = record;
        }
        done
    }
}
