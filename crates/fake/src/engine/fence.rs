//! Fencing numbers and cancellations by handle.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ident::Handle;

use super::message::Claim;
use super::message::Refusal;

/// Time for which a cancelled handle is refused.
const CANCELLATION_TTL: Duration = Duration::from_mins(1);
/// Time for which a handle is remembered after its last use.
const HANDLE_TTL: Duration = Duration::from_mins(10);
/// Number of handles above which expired ones are removed.
const MIN_SWEEP_COUNT: usize = 1_024;

#[derive(Debug)]
struct HandleRecord {
    fence: u64,
    cancelled: Option<Instant>,
    seen: Instant,
}

/// Handles used so far.
#[derive(Debug)]
pub(super) struct Fences {
    enforced: bool,
    handles: HashMap<Handle, HandleRecord>,
    sweep_above: usize,
}

impl Fences {
    /// Creates an empty set that refuses lower fencing numbers if `enforced`.
    pub(super) fn new(enforced: bool) -> Self {
        Self {
            enforced,
            handles: HashMap::new(),
            sweep_above: MIN_SWEEP_COUNT,
        }
    }

    /// Records a call, or refuses it if its fencing number is too low.
    pub(super) fn admit(&mut self, claim: &Claim) -> Result<(), Refusal> {
        self.remove_expired();
        let enforced = self.enforced;
        let record = self.record(claim);
        if enforced && claim.fence < record.fence {
            return Err(Refusal::Fenced(record.fence));
        }
        record.fence = record.fence.max(claim.fence);
        Ok(())
    }

    /// Records a call that starts or attaches to work. A cancelled handle is refused whatever its
    /// fencing number, because its attempt has no other reader.
    pub(super) fn admit_work(&mut self, claim: &Claim) -> Result<(), Refusal> {
        match self.record(claim).cancelled {
            Some(at) if at.elapsed() < CANCELLATION_TTL => Err(Refusal::Cancelled),
            _ => self.admit(claim),
        }
    }

    /// Records a cancellation.
    pub(super) fn cancel(&mut self, claim: &Claim) -> Result<(), Refusal> {
        self.admit(claim)?;
        self.record(claim).cancelled = Some(Instant::now());
        Ok(())
    }

    fn record(&mut self, claim: &Claim) -> &mut HandleRecord {
        let now = Instant::now();
        let record = self.handles.entry(claim.handle).or_insert(HandleRecord {
            fence: claim.fence,
            cancelled: None,
            seen: now,
        });
        record.seen = now;
        record
    }

    fn remove_expired(&mut self) {
        if self.handles.len() > self.sweep_above {
            self.handles
                .retain(|_, record| record.seen.elapsed() < HANDLE_TTL);
            self.sweep_above = MIN_SWEEP_COUNT.max(self.handles.len() * 2);
        }
    }
}
