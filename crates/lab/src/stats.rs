//! Statistics of one run.

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Request counts of one caller class.
#[derive(Debug, Clone, Default)]
pub struct ClassCounts {
    /// Requests of callers, without cancelled ones.
    pub offered: u64,
    /// Complete answers within both targets.
    pub good: u64,
    /// Complete answers whose first token exceeded its target.
    pub late: u64,
    /// Complete answers whose mean time between tokens exceeded its target.
    pub slow: u64,
    /// Complete answers.
    pub complete: u64,
    /// Requests refused at the first attempt.
    pub refused: u64,
    /// Requests that failed: attempts used up, refused at a later attempt, or unfinished.
    pub failed: u64,
    /// Most concurrent requests in decode.
    pub peak: u64,
}

/// Statistics of one run, within its measured window.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Length of the measured window, in seconds.
    pub seconds: f64,
    /// Counts per caller class.
    pub classes: Vec<ClassCounts>,
    /// Prompt tokens computed by prefills.
    pub computed: u64,
    /// Prompt tokens found in prefix caches.
    pub cached: u64,
    /// Computed prompt tokens from which no token was generated.
    pub wasted: u64,
    /// Completed prefills.
    pub prefills: u64,
    /// Completed prefills from which no token was generated.
    pub lost: u64,
    /// Time to the first token, in microseconds.
    pub ttft: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub tbt: Histogram<u64>,
    /// Response time of plain calls, in microseconds.
    pub plain: Histogram<u64>,
    /// Refusals whose retry-after time was checked.
    pub checked: u64,
    /// Checked refusals after whose retry-after time the next request of the row was placed.
    pub truthful: u64,
}

impl Stats {
    /// Empty statistics for `classes` classes over `seconds`.
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

/// `part` of `whole` in percent; 0 if `whole` is 0.
pub fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 * 100.0 / whole as f64
    }
}
