//! What became of the attempts of a crowd.

use std::collections::BTreeMap;
use std::time::Duration;

use customer::rank::Standing;
use ident::Time;

use crate::crowd::LIMIT;
use crate::crowd::START;

/// What became of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// When it was decided.
    pub at: Time,
    /// Group of the caller.
    pub group: usize,
    /// Its standing.
    pub standing: Standing,
    /// Its units.
    pub units: f64,
    /// Whether it may run, and after what time.
    pub granted: Option<Duration>,
}

/// All attempts of a crowd.
#[derive(Debug)]
pub struct Outcome {
    /// In the order of the decisions.
    pub records: Vec<Record>,
}

impl Outcome {
    /// Fraction of the first attempts of `group` that were granted.
    pub fn first_share(&self, group: usize) -> f64 {
        self.share(|record| record.group == group && !record.standing.returned)
    }

    /// Fraction of the attempts that `which` selects that were granted.
    pub fn share(&self, which: impl Fn(&Record) -> bool) -> f64 {
        let of: Vec<&Record> = self.records.iter().filter(|record| which(record)).collect();
        let granted = of.iter().filter(|record| record.granted.is_some());
        granted.count() as f64 / of.len().max(1) as f64
    }

    /// Fraction of the attempts of `group` that were granted.
    pub fn served_share(&self, group: usize) -> f64 {
        self.share(|record| record.group == group)
    }

    /// Units granted to `standing`.
    pub fn granted_units(&self, standing: Standing) -> f64 {
        let of = self.records.iter();
        let of = of.filter(|record| record.standing == standing && record.granted.is_some());
        of.map(|record| record.units).sum()
    }

    /// Units refused to `standing`.
    pub fn refused_units(&self, standing: Standing) -> f64 {
        let of = self.records.iter();
        let of = of.filter(|record| record.standing == standing && record.granted.is_none());
        of.map(|record| record.units).sum()
    }

    /// Units granted.
    pub fn used(&self) -> f64 {
        let granted = self
            .records
            .iter()
            .filter(|record| record.granted.is_some());
        granted.map(|record| record.units).sum()
    }

    /// Greatest number of units by which what ran since the start exceeded burst and refill.
    pub fn max_excess(&self) -> f64 {
        let runs = self.records.iter().filter_map(|record| {
            let after = record.granted?;
            Some((record.at + after, record.units))
        });
        let mut runs: Vec<(Time, f64)> = runs.collect();
        runs.sort_by_key(|(at, _)| *at);
        let mut used = 0.0;
        let excesses = runs.iter().map(|(at, units)| {
            used += units;
            used - LIMIT.burst - LIMIT.rate * at.since(START).as_secs_f64()
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Standings that asked for units throughout a period of `length` and got none in it.
    pub fn starved(&self, length: Duration) -> Vec<(Standing, Time)> {
        let mut starved = Vec::new();
        let mut waiting_since = BTreeMap::new();
        for record in &self.records {
            if record.granted.is_some() {
                waiting_since.insert(record.standing, record.at);
                continue;
            }
            let since = *waiting_since.entry(record.standing).or_insert(record.at);
            if record.at.since(since) >= length {
                starved.push((record.standing, record.at));
            }
        }
        starved
    }
}
