//! Which claims of the demo held.

use crate::demo::output;

/// Claims checked.
#[derive(Debug, Default)]
pub(super) struct Report {
    held: usize,
    broken: Vec<String>,
}

impl Report {
    /// Without checks so far.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Prints whether `claim` holds, and remembers it.
    pub(super) fn check(&mut self, claim: &str, holds: bool) {
        if holds {
            self.held += 1;
            output::print_line(&format!("[ok] {claim}"));
        } else {
            self.broken.push(claim.to_owned());
            output::print_line(&format!("[NOT SO] {claim}"));
        }
    }

    /// Prints the result; whether all checks held.
    pub(super) fn finish(self) -> bool {
        println!(
            "\n== Result: {} checks held, {} did not",
            self.held,
            self.broken.len()
        );
        for claim in &self.broken {
            output::print_line(&format!("not so: {claim}"));
        }
        self.broken.is_empty()
    }
}
