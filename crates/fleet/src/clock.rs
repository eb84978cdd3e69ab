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
pub(crate) struct Clock {
    planned: Option<Time>,
    slack: Duration,
    /// The first sequence number sent after the last gap, until it or a later one that was sent is answered.
    unanswered: Option<u32>,
}

impl Clock {
    pub(crate) const fn new(slack: Duration) -> Self {
        Self {
            planned: None,
            slack,
            unanswered: None,
        }
    }

    /// Whether the planned step is overdue.
    pub(crate) fn overdue(&self, now: Time) -> bool {
        self.planned
            .is_some_and(|planned| now > planned + self.slack)
    }

    /// Notes a gap; `seq` is the next sequence number.
    pub(crate) fn resume(&mut self, now: Time, seq: u32) {
        self.planned = Some(now);
        self.unanswered = Some(seq);
    }

    pub(crate) fn plan(&mut self, next: Time) {
        self.planned = Some(next);
    }

    /// Notes an answer to the message `seq`; `next` is the next sequence number. Other numbers than those
    /// from the gap up to there tell nothing of the time after the gap.
    pub(crate) fn answered(&mut self, seq: u32, next: u32) {
        let sent_since = |first| seq.wrapping_sub(first) < next.wrapping_sub(first);
        if self.unanswered.is_some_and(sent_since) {
            self.unanswered = None;
        }
    }

    pub(crate) fn paused(&self, now: Time) -> bool {
        self.unanswered.is_some() || self.overdue(now)
    }
}
