//! What the demo prints.

use std::io;
use std::io::Write;

/// Prints the title of a part.
pub(super) fn print_title(text: &str) {
    print(&format!("\n== {text}\n"));
}

/// Prints a line.
pub(super) fn print_line(text: &str) {
    print(&format!("   {text}\n"));
}

/// Prints text of several lines.
pub(super) fn print_lines(text: &str) {
    text.lines().for_each(print_line);
}

/// Prints a part of a line at once.
pub(super) fn print(text: &str) {
    let mut stdout = io::stdout();
    // A closed standard output leaves nobody to tell.
    drop(
        stdout
            .write_all(text.as_bytes())
            .and_then(|()| stdout.flush()),
    );
}
