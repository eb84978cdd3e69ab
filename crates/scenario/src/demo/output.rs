//! Prints the output of the demo.

use std::io;
use std::io::Write;

/// Prints the title of a section.
pub(super) fn title(text: &str) {
    print(&format!("\n== {text}\n"));
}

/// Prints a line.
pub(super) fn line(text: &str) {
    print(&format!("   {text}\n"));
}

/// Prints several lines.
pub(super) fn lines(text: &str) {
    text.lines().for_each(line);
}

/// Prints text without a line break and flushes it.
pub(super) fn print(text: &str) {
    let mut stdout = io::stdout();
    // Errors are ignored: standard output may be closed.
    drop(
        stdout
            .write_all(text.as_bytes())
            .and_then(|()| stdout.flush()),
    );
}
