//! The record of a case: one line for each thing that was sent, answered or run, with its time.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the seconds since the case began. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Seconds since the case began.
    pub fn elapsed_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&mut self, line: &str) {
        let text = format!("{:8.3} {line}\n", self.elapsed_s());
        print!("{text}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(text.as_bytes());
    }
}
