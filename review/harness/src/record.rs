//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begin: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self {
            begin: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Writes a line with the milliseconds since the start of the run.
    pub fn line(&self, text: impl std::fmt::Display) {
        let at = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:>7} {text}").expect("write the record");
    }

    /// Like [`Record::line`], and prints the text.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
        self.file.lock().unwrap().flush().expect("write the record");
    }
}
