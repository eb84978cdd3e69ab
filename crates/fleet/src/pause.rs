//! Gaps in the driver's steps.
//!
//! A daemon may be stopped for longer than its peers wait for it. When it runs again, the time
//! that passed says nothing about the peers: their answers may lie unread in its sockets. The gap
//! shows in a step that comes later than planned by more than a period. From then on the daemon
//! counts as paused until a peer has answered a ping sent after the gap; messages that were
//! waiting in the sockets do not answer such a ping.

use std::time::Duration;

use ident::Time;

/// When the next step was planned, and what is not known since a gap.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PauseDetector {
    planned_step: Option<Time>,
    tolerance: Duration,
    /// The first sequence number sent after the last gap, until it or a later one that was sent is answered.
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

    /// Notes a gap; `seq` is the next sequence number.
    pub(crate) fn record_pause(&mut self, now: Time, seq: u32) {
        self.planned_step = Some(now);
        self.first_unanswered = Some(seq);
    }

    pub(crate) fn plan_step(&mut self, next: Time) {
        self.planned_step = Some(next);
    }

    /// Notes an answer to the message `seq`; `next` is the next sequence number. Other numbers than those
    /// from the gap up to there tell nothing of the time after the gap.
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
