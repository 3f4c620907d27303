//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self { file, started: Instant::now() }
    }

    pub fn line(&mut self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        writeln!(self.file, "{at:8.3} s  {text}").expect("a record that can be written");
    }
}
