//! What the command prints: text for people or JSON for programs.

use std::io;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::Error;
use crate::exit_codes::ExitCode;

/// Where answers go.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Output as JSON, or as text.
    pub const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a line of text; nothing in JSON mode.
    pub fn line(self, text: &str) {
        if !self.json {
            print(text);
        }
    }

    /// Prints a value as one line of JSON; nothing in text mode.
    pub fn value<T: Serialize>(self, value: &T) {
        if self.json {
            print(&serde_json::to_string(value).unwrap_or_default());
        }
    }

    /// Prints an error with what to try; gives its exit code.
    pub fn error(self, error: &Error) -> ExitCode {
        let code = error.code();
        let advice = error.advice();
        self.value(&json!({
            "error": error.to_string(),
            "exit": code.code(),
            "try": advice,
        }));
        // A closed standard error leaves nobody to tell.
        drop(writeln!(io::stderr(), "waxwing: {error}\n  try: {advice}"));
        code
    }
}

fn print(text: &str) {
    // A reader that has gone, such as `head`, is no fault.
    drop(writeln!(io::stdout(), "{text}"));
}
