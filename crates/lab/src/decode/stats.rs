//! Statistics of a run.

/// Counts of one run, or of several added up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Stats {
    /// Generations of callers, retries not counted.
    pub offered: u64,
    /// Complete, with every event on time.
    pub in_time: u64,
    /// Complete, with a late first event or too long a pause.
    pub late: u64,
    /// Refused, also after the retry.
    pub refused: u64,
    /// Preemptions by replicas for lack of memory.
    pub preempted: u64,
    /// Migrations to another replica.
    pub moved: u64,
    /// Tokens whose KV cache was lost by preemption and is computed again.
    pub recomputed: f64,
    /// Refused by prompt size: the smaller nine tenths, and the largest tenth.
    pub refused_by_size: [u64; 2],
    /// Offered by prompt size.
    pub offered_by_size: [u64; 2],
}

impl Stats {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.preempted += other.preempted;
        self.moved += other.moved;
        self.recomputed += other.recomputed;
        for size in 0..2 {
            self.refused_by_size[size] += other.refused_by_size[size];
            self.offered_by_size[size] += other.offered_by_size[size];
        }
    }

    /// Fraction of the generations that were on time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Preemptions per generation.
    pub fn preempted_share(&self) -> f64 {
        self.preempted as f64 / self.offered.max(1) as f64
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.offered.max(1) as f64;
        format!(
            "{:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0}",
            share(self.in_time),
            share(self.late),
            share(self.refused),
            share(self.preempted),
            share(self.moved),
            self.recomputed / 1_000.0,
        )
    }
}
