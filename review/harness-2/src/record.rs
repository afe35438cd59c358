//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock, PoisonError};

static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Begins the record in the folder of the case.
pub fn begin() {
    crate::elapsed();
    let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
    let path = PathBuf::from(folder).join("record.txt");
    let file = File::create(path).expect("no record");
    let _ = FILE.set(Mutex::new(file));
}

/// Adds a line with the time since the start.
pub fn line(text: &str) {
    let at = crate::elapsed().as_secs_f64();
    if let Some(file) = FILE.get() {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Adds a line, and prints it.
pub fn say(text: &str) {
    println!("{:8.3} {text}", crate::elapsed().as_secs_f64());
    line(text);
}
