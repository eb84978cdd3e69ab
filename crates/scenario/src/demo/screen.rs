//! What the demo prints.

use std::io;
use std::io::Write;

/// Prints the title of a part.
pub(super) fn title(text: &str) {
    part(&format!("\n== {text}\n"));
}

/// Prints a line.
pub(super) fn line(text: &str) {
    part(&format!("   {text}\n"));
}

/// Prints text of several lines.
pub(super) fn block(text: &str) {
    text.lines().for_each(line);
}

/// Prints a part of a line at once.
pub(super) fn part(text: &str) {
    let mut output = io::stdout();
    // A closed standard output leaves nobody to tell.
    drop(
        output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush()),
    );
}
