//! What came of a run.

use hdrhistogram::Histogram;

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// Counts and times of one run.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Requests of callers, comebacks not counted.
    pub asked: u64,
    /// First token within the objective, counted from the first attempt.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused twice.
    pub refused: u64,
    /// Time to the first token of those that were not refused, in milliseconds.
    pub first: Histogram<u64>,
    /// Time to read a prompt, in milliseconds.
    pub read: Histogram<u64>,
}

impl Figures {
    /// Nothing counted.
    pub fn new() -> Self {
        Self {
            asked: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            first: times(),
            read: times(),
        }
    }

    /// Adds another run's.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.first += &other.first;
        self.read += &other.read;
    }

    /// Part of the requests that got their first token in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.asked.max(1) as f64;
        let at = |times: &Histogram<u64>, part| times.value_at_quantile(part);
        format!(
            "{:.1} | {:.1} | {:.1} | {} / {} / {} | {} / {}",
            share(self.in_time),
            share(self.late),
            share(self.refused),
            at(&self.read, 0.5),
            at(&self.read, 0.9),
            at(&self.read, 0.99),
            at(&self.first, 0.5),
            at(&self.first, 0.95),
        )
    }
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

fn times() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are valid")
}
