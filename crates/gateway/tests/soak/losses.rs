//! Checks that requests end without a complete answer only for a reason.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::DISTURBANCE_MARGIN;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::floods;
use crate::notices::Notices;

/// A request of a caller and how it ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Daemon that its caller sent it to.
    pub daemon: usize,
    /// Time for which its connection was idle before, if it was a kept one.
    pub idle: Option<Duration>,
    /// When the caller sent it.
    pub start: Instant,
    /// When its answer ended.
    pub end: Instant,
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Whether the answer ended properly.
    pub is_complete: bool,
    /// Whether the daemon was disturbed or stopped since the connection was used before.
    pub is_disturbed: bool,
    /// Whether its head came within four fifths of the limit.
    pub is_prompt: bool,
}

/// A replica that got a request, and the daemon that sent it there.
#[derive(Debug, Clone)]
struct Visit {
    replica: String,
    daemon: usize,
}

/// Observations of one run.
#[derive(Debug, Default)]
pub struct Losses {
    attempts: Mutex<Vec<Attempt>>,
    visits: Mutex<HashMap<String, Vec<Visit>>>,
    /// Requests that a replica broke off.
    broken: Mutex<HashSet<String>>,
    /// Replicas that crashed, and when.
    crashes: Mutex<Vec<(String, Instant)>>,
}

impl Losses {
    /// Records how a request ended.
    pub fn record(&self, attempt: Attempt) {
        self.attempts.lock().unwrap().push(attempt);
    }

    /// Records that `daemon` sent `request` to `replica`.
    pub fn record_visit(&self, replica: &str, daemon: usize, request: &Message) {
        let visit = Visit {
            replica: replica.to_owned(),
            daemon,
        };
        let id = request.header("request-id").unwrap_or_default();
        let mut visits = self.visits.lock().unwrap();
        visits.entry(id.to_owned()).or_default().push(visit);
    }

    /// Records how a replica answers `request`.
    pub fn record_action(&self, request: &Message, action: &Action) {
        if matches!(action, Action::SendAndClose(_)) || floods::breaks_off(action) {
            let id = request.header("request-id").unwrap_or_default();
            self.broken.lock().unwrap().insert(id.to_owned());
        }
    }

    /// Records that `replica` crashes.
    pub fn record_crash(&self, replica: &str) {
        let crash = (replica.to_owned(), Instant::now());
        self.crashes.lock().unwrap().push(crash);
    }

    /// Numbers of requests, for the summary.
    pub fn summary(&self) -> String {
        let attempts = self.attempts.lock().unwrap();
        let kept = attempts.iter().filter(|attempt| attempt.idle.is_some());
        let longest = attempts.iter().filter_map(|attempt| attempt.idle).max();
        let cut = attempts.iter().filter(|attempt| !attempt.is_complete);
        format!(
            "{} requests on kept connections, idle for {:?} at most, {} requests without a complete answer",
            kept.count(),
            longest.unwrap_or_default(),
            cut.count()
        )
    }

    /// Messages about requests that ended without a complete answer, and without a reason. `disturbances` holds the
    /// disturbance times of each daemon.
    pub fn violations(&self, notices: &Notices, disturbances: &[Vec<Instant>]) -> Vec<String> {
        let attempts = self.attempts.lock().unwrap();
        let lost = attempts.iter().filter(|attempt| {
            let is_late = attempt.status == 408 && attempt.is_prompt;
            let is_cut = attempt.status == 0 || !attempt.is_complete;
            let has_begun = attempt.status != 0;
            let excused = attempt.is_disturbed
                || is_cut && !attempt.is_prompt
                || has_begun && self.is_excused(attempt, notices, disturbances);
            (is_late || is_cut) && !excused
        });
        let messages = lost.map(|attempt| {
            let Attempt { id, daemon, idle, start, end, status, .. } = attempt;
            let kept = idle.map_or_else(|| "a new connection".to_owned(), |idle| format!("a connection idle for {idle:?}"));
            let elapsed = *end - *start;
            let visits = self.visits(id);
            format!("LOST: {id} got status {status} without an end from daemon {daemon} after {elapsed:?}, on {kept}; sent to {visits:?}")
        });
        messages.collect()
    }

    /// Whether the answer to `attempt` was cut off by a replica, on the way to one, or by another daemon that ran it.
    fn is_excused(
        &self,
        attempt: &Attempt,
        notices: &Notices,
        disturbances: &[Vec<Instant>],
    ) -> bool {
        let (start, end) = (attempt.start, attempt.end);
        let crashes = self.crashes.lock().unwrap();
        let visits = self.visits(&attempt.id);
        let is_lost = visits.iter().any(|visit| {
            let has_ended = crashes
                .iter()
                .any(|(replica, at)| *replica == visit.replica && (start..end).contains(at));
            let disturbed = disturbances[visit.daemon]
                .iter()
                .any(|at| (start..end + DISTURBANCE_MARGIN).contains(&(*at + DISTURBANCE_MARGIN)));
            has_ended
                || visit.daemon != attempt.daemon && disturbed
                || notices.was_harmed(&visit.replica, visit.daemon, start, end)
        });
        is_lost || self.broken.lock().unwrap().contains(&attempt.id)
    }

    fn visits(&self, id: &str) -> Vec<Visit> {
        let visits = self.visits.lock().unwrap();
        visits.get(id).cloned().unwrap_or_default()
    }
}
