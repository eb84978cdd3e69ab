//! What the engine remembers of handles: fencing numbers and cancellations.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ident::Handle;

use super::message::Claim;
use super::message::Refusal;

/// How long a cancelled handle is refused.
const CANCELLED: Duration = Duration::from_mins(1);
/// How long a handle is remembered after it was last presented.
const MEMORY: Duration = Duration::from_mins(10);
/// Handles remembered before old ones are looked for.
const CROWD: usize = 1_024;

#[derive(Debug)]
struct Past {
    fence: u64,
    cancelled: Option<Instant>,
    seen: Instant,
}

/// The handles that were presented.
#[derive(Debug)]
pub(super) struct Fences {
    enforced: bool,
    pasts: HashMap<Handle, Past>,
    crowd: usize,
}

impl Fences {
    /// Remembers handles; refuses lower fencing numbers if `enforced`.
    pub(super) fn new(enforced: bool) -> Self {
        Self {
            enforced,
            pasts: HashMap::new(),
            crowd: CROWD,
        }
    }

    /// Notes a call and refuses it if its fencing number is too low.
    pub(super) fn admit(&mut self, claim: &Claim) -> Result<(), Refusal> {
        self.forget();
        let enforced = self.enforced;
        let past = self.past(claim);
        if enforced && claim.fence < past.fence {
            return Err(Refusal::Fenced(past.fence));
        }
        past.fence = past.fence.max(claim.fence);
        Ok(())
    }

    /// Notes a call that brings work. A cancelled handle is refused first, whatever its number: no
    /// other reader is in place.
    pub(super) fn admit_work(&mut self, claim: &Claim) -> Result<(), Refusal> {
        match self.past(claim).cancelled {
            Some(at) if at.elapsed() < CANCELLED => Err(Refusal::Cancelled),
            _ => self.admit(claim),
        }
    }

    /// Notes a cancellation.
    pub(super) fn cancel(&mut self, claim: &Claim) -> Result<(), Refusal> {
        self.admit(claim)?;
        self.past(claim).cancelled = Some(Instant::now());
        Ok(())
    }

    fn past(&mut self, claim: &Claim) -> &mut Past {
        let now = Instant::now();
        let past = self.pasts.entry(claim.handle).or_insert(Past {
            fence: claim.fence,
            cancelled: None,
            seen: now,
        });
        past.seen = now;
        past
    }

    fn forget(&mut self) {
        if self.pasts.len() > self.crowd {
            self.pasts.retain(|_, past| past.seen.elapsed() < MEMORY);
            self.crowd = CROWD.max(self.pasts.len() * 2);
        }
    }
}
