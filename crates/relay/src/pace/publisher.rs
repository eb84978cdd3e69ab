//! Decides which paces are announced to other daemons, and when.

use std::time::Duration;

use ident::Time;
use indexmap::IndexSet;

use crate::pace::PACE_TTL;
use crate::pace::report::MAX_REPORTS;
use crate::pace::report::PaceReport;
use crate::pool::Pool;
use crate::server::Key;

/// Interval between comparisons of all known paces.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of announcements per second; each has up to [`MAX_REPORTS`] paces.
const MAX_PER_SECOND: u32 = 20;

/// Announces paces: the own measurements first, then all known ones by turns, so that daemons that
/// missed an announcement, or start later, get them, too.
#[derive(Debug, Default)]
pub struct Publisher {
    /// Replicas that this daemon measured since it last announced their paces.
    measured: IndexSet<Key>,
    /// Position among the known paces of the next one to announce.
    next: usize,
    compared_at: Option<Time>,
    /// When the replicas of a stage last differed.
    uneven_at: Option<Time>,
    /// The second of the last announcement, and the number of announcements in it.
    sent: (u64, u32),
}

impl Publisher {
    /// Creates a publisher without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this daemon measured the pace of `key`.
    pub fn note_measured(&mut self, key: Key) {
        self.measured.insert(key);
    }

    /// Paces to announce with a datagram that is sent at `now`, up to [`MAX_REPORTS`]; empty while
    /// the replicas of each stage are alike and all announced differences have expired.
    pub fn due(&mut self, now: Time, pool: &mut Pool) -> Vec<PaceReport> {
        self.compare(now, pool);
        if !self.announces(now) || !self.take_turn(now) {
            return Vec::new();
        }
        let mut reports = Vec::new();
        while reports.len() < MAX_REPORTS
            && let Some(key) = self.measured.shift_remove_index(0)
        {
            reports.extend(pool.pace_report(now, key));
        }
        self.add_known(now, pool, &mut reports);
        reports
    }

    /// Number of replicas whose measurements wait to be announced.
    pub fn waiting(&self) -> usize {
        self.measured.len()
    }

    /// Whether replicas of a stage differed within the time after which a pace is forgotten.
    fn announces(&self, now: Time) -> bool {
        self.uneven_at.is_some_and(|at| now.since(at) < PACE_TTL)
    }

    /// Fills `reports` with known paces by turns.
    fn add_known(&mut self, now: Time, pool: &Pool, reports: &mut Vec<PaceReport>) {
        let count = pool.pace_count();
        let first = self.next;
        for step in 0..count {
            if reports.len() >= MAX_REPORTS {
                return;
            }
            let position = (first + step) % count;
            self.next = position + 1;
            let key = pool.paced_replica(position);
            let Some(report) = key.and_then(|key| pool.pace_report(now, key)) else {
                continue;
            };
            if reports.iter().all(|other| other.replica != report.replica) {
                reports.push(report);
            }
        }
    }

    /// Finds out from time to time whether the replicas of a stage differ.
    fn compare(&mut self, now: Time, pool: &mut Pool) {
        let is_due = self
            .compared_at
            .is_none_or(|at| now.since(at) >= COMPARE_INTERVAL);
        if !is_due {
            return;
        }
        self.compared_at = Some(now);
        pool.remove_expired_paces(now);
        if pool.has_uneven_paces(now) {
            self.uneven_at = Some(now);
        } else if !self.announces(now) {
            // What is announced first are the differences, not what was measured before them.
            self.measured
                .retain(|key| pool.token_pace(now, *key).is_some());
        }
    }

    /// Whether another announcement may be sent in this second.
    fn take_turn(&mut self, now: Time) -> bool {
        let second = now.as_millis() / 1_000;
        let count = if self.sent.0 == second {
            self.sent.1
        } else {
            0
        };
        if count >= MAX_PER_SECOND {
            return false;
        }
        self.sent = (second, count + 1);
        true
    }
}
