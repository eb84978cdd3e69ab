//! What came of a run.

/// Counts of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Stats {
    /// Generations of callers, comebacks not counted.
    pub offered: u64,
    /// On time, from the first event to the last.
    pub in_time: u64,
    /// Complete, and late at the first event or by a pause.
    pub late: u64,
    /// Refused twice.
    pub refused: u64,
    /// Set aside by their replica.
    pub preempted: u64,
    /// Moved to another replica.
    pub moved: u64,
    /// Tokens that were read again.
    pub recomputed: f64,
    /// Refused, by size: the smaller nine tenths of prompts, and the largest tenth.
    pub refused_by_size: [u64; 2],
    /// Asked, by size.
    pub offered_by_size: [u64; 2],
}

impl Stats {
    /// Adds another run's.
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

    /// Part of the generations that were on time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Part of the generations that were set aside.
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
