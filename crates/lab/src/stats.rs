//! Figures of one run.

use hdrhistogram::Histogram;

/// The longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Counts of one class.
#[derive(Debug, Clone, Default)]
pub struct ClassCounts {
    /// Requests that callers made and did not give up.
    pub offered: u64,
    /// Answers within both targets.
    pub good: u64,
    /// Answers whose first token came after its target.
    pub late: u64,
    /// Answers whose tokens came further apart than their target.
    pub slow: u64,
    /// Answers in full.
    pub complete: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests that failed after their attempts were used up.
    pub failed: u64,
    /// Most requests at once in decode.
    pub peak: u64,
}

/// Counts of one run, inside its measured window.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds measured.
    pub seconds: f64,
    /// Counts by class.
    pub classes: Vec<ClassCounts>,
    /// Prompt tokens computed by prefills.
    pub computed: u64,
    /// Prompt tokens found in prefix caches.
    pub cached: u64,
    /// Computed tokens whose request never got a token from them.
    pub wasted: u64,
    /// Prefills that ended.
    pub prefills: u64,
    /// Prefills whose result was lost.
    pub lost: u64,
    /// Time to the first token, in microseconds.
    pub ttft: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub tbt: Histogram<u64>,
    /// Time to the answer of plain calls, in microseconds.
    pub plain: Histogram<u64>,
    /// Refusals whose time to come back was checked.
    pub checked: u64,
    /// Those after which the next request of the row was taken.
    pub truthful: u64,
}

impl Stats {
    /// Nothing counted, for `classes` classes over `seconds`.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constant.
    pub fn new(classes: usize, seconds: f64) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("valid bounds");
        Self {
            seconds,
            classes: vec![ClassCounts::default(); classes],
            computed: 0,
            cached: 0,
            wasted: 0,
            prefills: 0,
            lost: 0,
            ttft: histogram(),
            tbt: histogram(),
            plain: histogram(),
            checked: 0,
            truthful: 0,
        }
    }
}

/// `part` of `whole` in percent; zero of nothing.
pub fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 * 100.0 / whole as f64
    }
}
