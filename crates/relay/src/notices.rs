//! What replicas have said of their own availability to this daemon.

use ident::Time;

/// What one replica has said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Notices {
    /// When it first said that it is draining.
    pub(crate) draining_at: Option<Time>,
    /// Until when it gets no requests because it asked for none. Ends by time alone.
    pub(crate) backoff_until: Time,
    /// Its limit in requests per second across all daemons; `None` if it has none.
    pub(crate) limit: Option<f64>,
}

impl Notices {
    pub(crate) const fn new() -> Self {
        Self {
            draining_at: None,
            backoff_until: Time::ZERO,
            limit: None,
        }
    }

    /// Whether they have an effect at `now`.
    pub(crate) fn is_in_force(&self, now: Time) -> bool {
        self.draining_at.is_some() || now < self.backoff_until || self.limit.is_some()
    }
}
