//! The record of a run: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the lines of the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Begins a record in `folder`.
    pub fn begin(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record's lock is sound");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
