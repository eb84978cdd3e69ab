//! Records that are being spread.

use std::collections::BTreeMap;

use ident::Instance;

use crate::Member;
use crate::member::State;

/// A record and how often it has been sent.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    member: Member,
    transmissions: u32,
}

impl QueuedUpdate {
    /// Whether the record tells no more than that a run began.
    fn is_new_run(&self) -> bool {
        self.member.state == State::Alive && self.member.version == 0
    }
}

/// The records to spread, at most one for each instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<Instance, QueuedUpdate>,
}

impl UpdateQueue {
    /// Spreads `member`, in place of what was spread of its instance before.
    pub(crate) fn push(&mut self, member: Member) {
        self.updates.insert(
            member.instance,
            QueuedUpdate {
                member,
                transmissions: 0,
            },
        );
    }

    /// Takes up to `room` records and drops those sent `repeats` times.
    ///
    /// Least sent first, but beginnings of runs last: when many daemons start together these would
    /// hold up the news of a death, and a newcomer makes itself known by its own messages as well.
    pub(crate) fn take(&mut self, max_count: usize, retransmit_limit: u32) -> Vec<Member> {
        let updates = self.updates.iter();
        let mut order: Vec<(bool, u32, Instance)> = updates
            .map(|(instance, update)| (update.is_new_run(), update.transmissions, *instance))
            .collect();
        order.sort_unstable();
        order.truncate(max_count);
        let picked = order
            .into_iter()
            .filter_map(|(_, _, instance)| self.transmit(instance, retransmit_limit));
        picked.collect()
    }

    /// The number of records still to spread.
    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    fn transmit(&mut self, instance: Instance, retransmit_limit: u32) -> Option<Member> {
        let update = self.updates.get_mut(&instance)?;
        update.transmissions += 1;
        let member = update.member;
        if update.transmissions >= retransmit_limit {
            self.updates.remove(&instance);
        }
        Some(member)
    }
}
