//! Record of what was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start of the script, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("record lock");
        // A record that cannot be written must not end the script before its processes.
        let _ = writeln!(file, "{:8.3} s  {text}", self.now_ms() as f64 / 1_000.0);
    }
}
