//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record of this process.
pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    RECORD.set((Instant::now(), Mutex::new(file))).expect("opened once");
}

/// Returns the time since the record was opened.
pub fn elapsed() -> Duration {
    RECORD.get().map_or(Duration::ZERO, |(began, _)| began.elapsed())
}

pub fn note(text: &str) {
    if let Some((began, file)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:8.3} {text}", began.elapsed().as_secs_f64());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    println!("{text}");
    note(text);
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
