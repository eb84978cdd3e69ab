//! Prints results and errors as text or as JSON.

use std::io;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::Error;
use crate::exit_codes::ExitCode;

/// Printer in text or JSON mode.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output in JSON mode, or else in text mode.
    pub const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a line of text in text mode.
    pub fn line(self, text: &str) {
        if !self.json {
            print(text);
        }
    }

    /// Prints a value as one line of JSON in JSON mode.
    pub fn value<T: Serialize>(self, value: &T) {
        if self.json {
            print(&serde_json::to_string(value).unwrap_or_default());
        }
    }

    /// Prints an error with its advice and returns its exit code.
    pub fn error(self, error: &Error) -> ExitCode {
        let code = error.code();
        let advice = error.advice();
        self.value(&json!({
            "error": error.to_string(),
            "exit": code.code(),
            "try": advice,
        }));
        // A write to a closed standard error is ignored: there is no other place to report it.
        drop(writeln!(io::stderr(), "waxwing: {error}\n  try: {advice}"));
        code
    }
}

fn print(text: &str) {
    // A reader that closes the pipe early, such as `head`, is not an error.
    drop(writeln!(io::stdout(), "{text}"));
}
