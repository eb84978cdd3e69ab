//! Permits to send a request to a replica.
//!
//! The number of sends of all daemons together is limited. Each send uses up a [`Permit`]. A
//! request has one permit for its first run and one for the first prefill of its prompt; all others
//! come out of the [`crate::budget::RetryBudget`].

/// Permission for one send, which uses it up.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    _private: (),
}

/// Kind of work that is sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// The request is run.
    Run,
    /// Only its prompt is prefilled.
    Read,
}

/// Permits that one request holds.
#[derive(Debug)]
pub struct RequestPermits {
    run: Option<Permit>,
    read: Option<Permit>,
}

impl Permit {
    pub(crate) const fn new() -> Self {
        Self { _private: () }
    }
}

impl RequestPermits {
    /// Permits of a request that has not been sent.
    pub const fn new() -> Self {
        Self {
            run: Some(Permit::new()),
            read: Some(Permit::new()),
        }
    }

    /// Whether a permit for `work` is held.
    pub const fn has(&self, work: Work) -> bool {
        match work {
            Work::Run => self.run.is_some(),
            Work::Read => self.read.is_some(),
        }
    }

    /// Takes the permit for `work`, if one is held.
    pub const fn take(&mut self, work: Work) -> Option<Permit> {
        self.slot(work).take()
    }

    /// Stores a permit: one out of the budget, or that of a send of which no byte left.
    pub fn put(&mut self, work: Work, permit: Permit) {
        *self.slot(work) = Some(permit);
    }

    const fn slot(&mut self, work: Work) -> &mut Option<Permit> {
        match work {
            Work::Run => &mut self.run,
            Work::Read => &mut self.read,
        }
    }
}

impl Default for RequestPermits {
    fn default() -> Self {
        Self::new()
    }
}
