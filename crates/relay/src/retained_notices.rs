//! Notices of removed replicas, which may be listed again.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;
use slotmap::SecondaryMap;

use crate::notices::Notices;
use crate::replica::Birth;
use crate::replica::Replica;
use crate::server::Key;

/// How long the notices of a removed replica are kept. Covers entries that return after an outage of
/// the store.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of removed replicas whose notices are kept.
const MAX_RETAINED: usize = 2_000;

/// Notices of replicas that were removed, by id.
#[derive(Debug, Default)]
pub(crate) struct RetainedNotices {
    by_id: HashMap<String, Retained>,
    /// Ids in the order of their removal; those that `by_id` does not have at that time are void.
    order: VecDeque<(Time, String)>,
    /// Removed replicas, whose last answers may still arrive; at most one per slot of the list.
    removed: SecondaryMap<Key, Removed>,
}

/// A replica that was removed.
#[derive(Debug, Clone)]
pub(crate) struct Removed {
    pub(crate) id: String,
    pub(crate) birth: Option<Birth>,
    at: Time,
}

#[derive(Debug)]
struct Retained {
    removed_at: Time,
    birth: Option<Birth>,
    notices: Notices,
}

impl RetainedNotices {
    /// Records that `replica` with `key` is removed at `now`, and keeps its `notices` if they are in
    /// force.
    pub(crate) fn keep(&mut self, now: Time, key: Key, replica: &Replica, notices: Notices) {
        let removed = Removed {
            id: replica.id.clone(),
            birth: replica.birth,
            at: now,
        };
        if notices.is_in_force(now) {
            self.insert(&removed, notices);
        }
        self.removed.insert(key, removed);
        self.remove_expired(now);
    }

    /// The removed replica that had `key`; `None` if its slot was used again.
    pub(crate) fn removed(&self, key: Key) -> Option<&Removed> {
        self.removed.get(key)
    }

    /// Changes the notices of the removed replica that had `key`, which has said something new.
    pub(crate) fn update(&mut self, key: Key, change: impl FnOnce(&mut Notices)) {
        let Some(removed) = self.removed.get(key).cloned() else {
            return;
        };
        if !self.by_id.contains_key(&removed.id) {
            self.insert(&removed, Notices::new());
        }
        let retained = self.by_id.get_mut(&removed.id);
        if let Some(retained) = retained.filter(|r| r.birth == removed.birth) {
            change(&mut retained.notices);
        }
    }

    fn insert(&mut self, removed: &Removed, notices: Notices) {
        let retained = Retained {
            removed_at: removed.at,
            birth: removed.birth,
            notices,
        };
        self.by_id.insert(removed.id.clone(), retained);
        self.order.push_back((removed.at, removed.id.clone()));
    }

    /// Takes the notices of `replica`, which is listed again. Those of an earlier incarnation are
    /// dropped.
    pub(crate) fn take(&mut self, replica: &Replica) -> Notices {
        let retained = self.by_id.remove(&replica.id);
        let retained = retained.filter(|r| replica.compare_incarnation(r.birth) == Ordering::Equal);
        retained.map_or_else(Notices::new, |r| r.notices)
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((removed_at, id)) = self.order.front() {
            if self.order.len() <= MAX_RETAINED && now.since(*removed_at) < RETENTION {
                return;
            }
            let is_current = |r: &Retained| r.removed_at == *removed_at;
            if self.by_id.get(id).is_some_and(is_current) {
                self.by_id.remove(id);
            }
            self.order.pop_front();
        }
    }
}
