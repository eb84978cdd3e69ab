//! Probes in progress, pings on behalf of other members, and the order of targets.

use std::collections::VecDeque;

use ident::Incarnation;
use ident::Instance;
use ident::Time;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// The probe of this period.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) seq: u32,
    pub(crate) target: Instance,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: Time,
    /// Set once helpers have been asked.
    pub(crate) indirect: Option<IndirectProbe>,
}

/// The indirect part of a probe, sent through helpers.
#[derive(Debug, Clone)]
pub(crate) struct IndirectProbe {
    /// Differs from [`Probe::seq`]: another instance that took over the target's address answers
    /// the direct ping under its own name. If it is also a helper, its answer would otherwise count
    /// as the target's.
    pub(crate) seq: u32,
    pub(crate) helpers: Vec<Instance>,
}

impl Probe {
    /// Whether an answer from `from` to the message `seq` is the target's, direct or through a
    /// helper.
    pub(crate) fn is_answered(&self, from: Instance, seq: u32) -> bool {
        let direct = from == self.target && seq == self.seq;
        let indirect = self.indirect.as_ref();
        direct || indirect.is_some_and(|asked| asked.seq == seq && asked.helpers.contains(&from))
    }
}

/// This period's ping to a suspected member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspectPing {
    pub(crate) target: Instance,
    pub(crate) sent: Time,
}

/// A ping on behalf of another member.
#[derive(Debug, Clone, Copy)]
struct Relay {
    seq: u32,
    target: Instance,
    requester: Instance,
    requester_seq: u32,
}

/// The member that requested a ping, and the sequence number of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Requester {
    pub(crate) instance: Instance,
    pub(crate) seq: u32,
}

/// Unanswered pings on behalf of others; the oldest is dropped first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Relays {
    relays: VecDeque<Relay>,
}

impl Relays {
    const CAPACITY: usize = 64;

    pub(crate) fn push(&mut self, seq: u32, target: Instance, requester: Requester) {
        if self.relays.len() == Self::CAPACITY {
            self.relays.pop_front();
        }
        let relay = Relay {
            seq,
            target,
            requester: requester.instance,
            requester_seq: requester.seq,
        };
        self.relays.push_back(relay);
    }

    /// Removes the relayed ping that `target` answered and returns its requester.
    pub(crate) fn take(&mut self, seq: u32, target: Instance) -> Option<Requester> {
        let matches = |relay: &Relay| relay.seq == seq && relay.target == target;
        let index = self.relays.iter().position(matches)?;
        let relay = self.relays.remove(index)?;
        Some(Requester {
            instance: relay.requester,
            seq: relay.requester_seq,
        })
    }
}

/// The outcomes of the last probes.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeOutcomes {
    answered: VecDeque<bool>,
}

impl ProbeOutcomes {
    /// Number of probes remembered; each went to another random member.
    const CAPACITY: usize = 6;

    pub(crate) fn push(&mut self, answered: bool) {
        if self.answered.len() == Self::CAPACITY {
            self.answered.pop_front();
        }
        self.answered.push_back(answered);
    }

    pub(crate) fn clear(&mut self) {
        self.answered.clear();
    }

    /// Estimates from the last probes how many of `others` answer, rounded up.
    pub(crate) fn estimate_answering(&self, others: usize) -> usize {
        let answered = self.answered.iter().filter(|answered| **answered).count();
        (others * answered).div_ceil(self.answered.len().max(1))
    }
}

/// Targets in random order; each is returned once before any is repeated.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoundRobin {
    remaining: Vec<Instance>,
}

impl RoundRobin {
    /// The next target for which `is_valid` holds; `refill` lists the targets of a new round.
    pub(crate) fn next(
        &mut self,
        rng: &mut Pcg64Mcg,
        is_valid: impl Fn(Instance) -> bool,
        refill: impl FnOnce() -> Vec<Instance>,
    ) -> Option<Instance> {
        while let Some(target) = self.remaining.pop() {
            if is_valid(target) {
                return Some(target);
            }
        }
        self.remaining = refill();
        self.remaining.shuffle(rng);
        self.remaining.pop()
    }
}
