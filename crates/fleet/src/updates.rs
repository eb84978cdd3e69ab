//! Queue of member records to disseminate.

use std::collections::BTreeMap;

use ident::Instance;

use crate::Member;
use crate::member::State;

/// A record and the number of times it has been sent.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    member: Member,
    transmissions: u32,
}

impl QueuedUpdate {
    /// Whether the record only announces a new run.
    fn is_new_run(&self) -> bool {
        self.member.state == State::Alive && self.member.version == 0
    }
}

/// The records to disseminate, at most one for each instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<Instance, QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues `member`, replacing any queued record of the same instance.
    pub(crate) fn push(&mut self, member: Member) {
        self.updates.insert(
            member.instance,
            QueuedUpdate {
                member,
                transmissions: 0,
            },
        );
    }

    /// Takes up to `max_count` records and drops those sent `retransmit_limit` times.
    ///
    /// The least sent records come first, but those that only announce a new run come last: when
    /// many daemons start together, these would delay death records, and a new member also
    /// announces itself through its own messages.
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

    /// The number of queued records.
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
