//! Output of a daemon to the terminal.

use std::io;
use std::io::Write;

use crate::Program;
use crate::error::Error;

/// Prints `text` on standard output.
pub fn print(text: &str) {
    // If standard output is closed, there is no one to report the error to.
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints `error` on standard error, with the program's name and a hint.
pub fn print_error(program: &Program, error: &Error) {
    let hint = error.hint(program);
    let _ = writeln!(io::stderr(), "{}: {error}\n  try: {hint}", program.name);
}
