//! Records which checks of the demo passed.

use crate::demo::output;

/// Results of the checks.
#[derive(Debug, Default)]
pub(super) struct Report {
    held: usize,
    broken: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Prints and records whether `claim` holds.
    pub(super) fn check(&mut self, claim: &str, holds: bool) {
        if holds {
            self.held += 1;
            output::line(&format!("[ok] {claim}"));
        } else {
            self.broken.push(claim.to_owned());
            output::line(&format!("[FAILED] {claim}"));
        }
    }

    /// Prints the result and returns whether all checks passed.
    pub(super) fn finish(self) -> bool {
        println!(
            "\n== Result: {} checks held, {} did not",
            self.held,
            self.broken.len()
        );
        for claim in &self.broken {
            output::line(&format!("failed: {claim}"));
        }
        self.broken.is_empty()
    }
}
