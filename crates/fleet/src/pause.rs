//! Detects pauses of the process.
//!
//! A daemon may be stopped for longer than its peers wait for it. When it resumes, the elapsed time
//! says nothing about the peers: their answers may be unread in its sockets. A pause is detected
//! when a step runs more than a period late. The daemon then counts as paused until a peer answers
//! a ping sent after the pause; messages that were buffered in the sockets cannot be such answers.

use std::time::Duration;

use ident::Time;

/// Compares each step with its planned time and tracks whether a peer has answered since a pause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PauseDetector {
    planned_step: Option<Time>,
    tolerance: Duration,
    /// The first sequence number sent after the last pause, until it or a later one is answered.
    first_unanswered: Option<u32>,
}

impl PauseDetector {
    pub(crate) const fn new(tolerance: Duration) -> Self {
        Self {
            planned_step: None,
            tolerance,
            first_unanswered: None,
        }
    }

    /// Whether the planned step is overdue.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        self.planned_step
            .is_some_and(|planned_step| now > planned_step + self.tolerance)
    }

    /// Records a pause that ends now; `seq` is the next sequence number.
    pub(crate) fn record_pause(&mut self, now: Time, seq: u32) {
        self.planned_step = Some(now);
        self.first_unanswered = Some(seq);
    }

    pub(crate) fn plan_step(&mut self, next: Time) {
        self.planned_step = Some(next);
    }

    /// Handles an answer to the message `seq`; `next` is the next sequence number. Sequence numbers
    /// that were not sent between the pause and now are ignored: such answers may predate the
    /// pause.
    pub(crate) fn handle_ack(&mut self, seq: u32, next: u32) {
        let sent_since = |first| seq.wrapping_sub(first) < next.wrapping_sub(first);
        if self.first_unanswered.is_some_and(sent_since) {
            self.first_unanswered = None;
        }
    }

    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.first_unanswered.is_some() || self.is_overdue(now)
    }
}
