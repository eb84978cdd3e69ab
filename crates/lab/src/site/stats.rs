//! Statistics of a run.

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in milliseconds.
const MAX_TIME_MS: u64 = 60_000;

/// Counts and times of one run, or of several added up.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Requests of callers, retries not counted.
    pub offered: u64,
    /// Requests whose first token met the objective, measured from the first attempt.
    pub in_time: u64,
    /// Requests whose first token came later.
    pub late: u64,
    /// Requests refused, also after the retry.
    pub refused: u64,
    /// Time to the first token of requests that were not refused, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    /// Time of a prefill, queue included, in milliseconds.
    pub prefill_ms: Histogram<u64>,
}

impl Stats {
    /// Empty statistics.
    pub fn new() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            first_token_ms: histogram(),
            prefill_ms: histogram(),
        }
    }

    /// Adds the statistics of another run.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.first_token_ms += &other.first_token_ms;
        self.prefill_ms += &other.prefill_ms;
    }

    /// Fraction of the requests that got their first token in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.offered.max(1) as f64;
        let at = |histogram: &Histogram<u64>, part| histogram.value_at_quantile(part);
        format!(
            "{:.1} | {:.1} | {:.1} | {} / {} / {} | {} / {}",
            share(self.in_time),
            share(self.late),
            share(self.refused),
            at(&self.prefill_ms, 0.5),
            at(&self.prefill_ms, 0.9),
            at(&self.prefill_ms, 0.99),
            at(&self.first_token_ms, 0.5),
            at(&self.first_token_ms, 0.95),
        )
    }
}

impl Default for Stats {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_MS, 3).expect("the bounds are valid")
}
