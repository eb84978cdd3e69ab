//! Records that are being spread.

use std::collections::BTreeMap;

use ident::Instance;

use crate::Member;
use crate::member::State;

/// A record and how often it has been sent.
#[derive(Debug, Clone)]
struct Item {
    member: Member,
    sent: u32,
}

impl Item {
    /// Whether the record tells no more than that a run began.
    fn begins(&self) -> bool {
        self.member.state == State::Alive && self.member.version == 0
    }
}

/// The records to spread, at most one for each instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    items: BTreeMap<Instance, Item>,
}

impl Queue {
    /// Spreads `member`, in place of what was spread of its instance before.
    pub(crate) fn push(&mut self, member: Member) {
        self.items.insert(member.instance, Item { member, sent: 0 });
    }

    /// Takes up to `room` records and drops those sent `repeats` times.
    ///
    /// Least sent first, but beginnings of runs last: when many daemons start together these would
    /// hold up the news of a death, and a newcomer makes itself known by its own messages as well.
    pub(crate) fn take(&mut self, room: usize, repeats: u32) -> Vec<Member> {
        let items = self.items.iter();
        let mut order: Vec<(bool, u32, Instance)> = items
            .map(|(instance, item)| (item.begins(), item.sent, *instance))
            .collect();
        order.sort_unstable();
        order.truncate(room);
        let picked = order
            .into_iter()
            .filter_map(|(_, _, instance)| self.send(instance, repeats));
        picked.collect()
    }

    /// The number of records still to spread.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    fn send(&mut self, instance: Instance, repeats: u32) -> Option<Member> {
        let item = self.items.get_mut(&instance)?;
        item.sent += 1;
        let member = item.member;
        if item.sent >= repeats {
            self.items.remove(&instance);
        }
        Some(member)
    }
}
