//! The record of a case: what was sent, answered and run.

use std::env;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines of the record, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// A record in the file that `RECORD` names.
    pub fn new() -> Self {
        let path = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path);
        let file = file.unwrap_or_else(|error| fail(&format!("{path}: {error}")));
        Self {
            start: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}

/// Whether the disruption happens.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The case could not run.
pub fn fail(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    crate::daemons::end_all();
    std::process::exit(2);
}
