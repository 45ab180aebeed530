//! The file that says what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The record of one run.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), begun: Instant::now() })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:9.3}  {text}");
    }
}
