//! What came of a run.

/// Counts of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Figures {
    /// Generations of callers, comebacks not counted.
    pub asked: u64,
    /// On time, from the first event to the last.
    pub in_time: u64,
    /// Complete, and late at the first event or by a pause.
    pub late: u64,
    /// Refused twice.
    pub refused: u64,
    /// Set aside by their replica.
    pub set_aside: u64,
    /// Moved to another replica.
    pub moved: u64,
    /// Tokens that were read again.
    pub read_again: f64,
    /// Refused, by size: the smaller nine tenths of prompts, and the largest tenth.
    pub refused_of: [u64; 2],
    /// Asked, by size.
    pub asked_of: [u64; 2],
}

impl Figures {
    /// Adds another run's.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.set_aside += other.set_aside;
        self.moved += other.moved;
        self.read_again += other.read_again;
        for size in 0..2 {
            self.refused_of[size] += other.refused_of[size];
            self.asked_of[size] += other.asked_of[size];
        }
    }

    /// Part of the generations that were on time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Part of the generations that were set aside.
    pub fn set_aside_share(&self) -> f64 {
        self.set_aside as f64 / self.asked.max(1) as f64
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.asked.max(1) as f64;
        format!(
            "{:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0}",
            share(self.in_time),
            share(self.late),
            share(self.refused),
            share(self.set_aside),
            share(self.moved),
            self.read_again / 1_000.0,
        )
    }
}
