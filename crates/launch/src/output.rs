//! What a daemon prints for people.

use std::io;
use std::io::Write;

use crate::Program;
use crate::error::Error;

/// Prints `text` on standard output.
pub fn print(text: &str) {
    // A closed standard output leaves nobody to tell.
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints `error` on standard error: the program, what was wrong, and what to try.
pub fn print_error(program: &Program, error: &Error) {
    let hint = error.hint(program);
    let _ = writeln!(io::stderr(), "{}: {error}\n  try: {hint}", program.name);
}
