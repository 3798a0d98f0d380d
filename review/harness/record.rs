//! The record of a case: what was sent, answered and run, with the time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("record");
        // A case whose record cannot be written goes on; its exit code still counts.
        let _ = writeln!(file, "{:4}.{:03} {line}", now / 1_000, now % 1_000);
    }
}
