//! Leave to send a request to a replica.
//!
//! All daemons together may send only so many requests a second time. A send takes a [`Permit`], and
//! there are two sources of them: each request has one for its first run and one for the first read of its
//! prompt, and all others come out of the [`crate::budget::RetryBudget`].

/// Leave for one send; spent by it.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    _private: (),
}

/// What is sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// The request is run.
    Run,
    /// Its prompt is read and nothing else.
    Read,
}

/// The permits that one request holds.
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
    /// The permits of a request that was not sent yet.
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

    /// Puts in a permit: one out of the budget, or that of a send of which no byte left.
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
