//! A voter's disk. What a write has returned from is there after a loss of power; a write that was under way may be there
//! or not. The form of the file itself is tested with the store.

use crate::process::Process;
use crate::{ms, Random};
use oatbank_config_store::messages::{PersistentState, Record};
use oatbank_config_store::storage::{DiskError, OpenedState, StateWriter, StorageLocation};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// What is on it.
#[derive(Clone, Debug, Default)]
enum File {
    #[default]
    None,
    Damaged,
    Whole(Box<(PersistentState, Option<Record>)>),
}

/// A disk.
pub struct StateFile {
    file: RefCell<File>,
    aside: Cell<bool>,
    /// It refuses every write.
    pub full: Cell<bool>,
    /// A write takes up to this, ms.
    pub slow: Cell<f64>,
    /// At the next write the power goes.
    pub dooms: Cell<bool>,
    process: RefCell<Weak<Process>>,
    random: RefCell<Random>,
}

impl StateFile {
    /// An empty one.
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

    /// This process uses it.
    pub fn used_by(&self, process: &Rc<Process>) {
        *self.process.borrow_mut() = Rc::downgrade(process);
    }

    /// All on it is lost.
    pub fn wipe(&self) {
        *self.file.borrow_mut() = File::None;
        self.aside.set(false);
    }

    /// What is on it cannot be read any more.
    pub fn damage(&self) {
        let mut file = self.file.borrow_mut();
        if matches!(*file, File::Whole(_)) {
            *file = File::Damaged;
        }
    }

    /// A write; `Err` where it is refused, and then it may be there or not.
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

/// A disk as a voter has it.
#[derive(Clone)]
pub struct Mounted(pub Rc<StateFile>);

struct Open {
    disk: Rc<StateFile>,
    /// The record that lies beside what is written without one.
    record: Option<Record>,
    /// A write was refused: the next one makes the file anew.
    anew: bool,
}

impl StorageLocation for Mounted {
    fn open(&self) -> Result<Option<OpenedState>, DiskError> {
        match &*self.0.file.borrow() {
            File::None => Ok(None),
            File::Damaged => Err(DiskError::Damaged("it was torn".into())),
            File::Whole(held) => {
                let (state, record) = &**held;
                let open = Open { disk: self.0.clone(), record: record.clone(), anew: false };
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
        Ok(Box::new(Open { disk: self.0.clone(), record: record.cloned(), anew: false }))
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

impl StateWriter for Open {
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
