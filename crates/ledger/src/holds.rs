//! Tracks the memory that requests hold on replicas until its release is confirmed.
//!
//! A hold is recorded before the order that makes the replica allocate anything. It is erased when
//! the replica confirms the release, when the work ends normally, or when the replica is gone. A
//! release waits until the order that started the work has ended, so that a cancel cannot overtake
//! it, and is repeated with backoff until it is confirmed.

use std::collections::HashMap;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::backoff;
use crate::ids::OrderId;

new_key_type! {
    /// Key of a hold in its arena.
    pub struct HoldKey;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Wanted,
    Due(Time),
    Cancelling(OrderId),
}

/// Memory that one attempt holds on a replica.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// The replica with the memory.
    pub replica: Replica,
    /// The attempt that holds it.
    pub handle: Handle,
    /// The owner as known to the replica.
    pub owner: Incarnation,
    /// The fencing number as known to the replica.
    pub fence: u64,
    start: Option<OrderId>,
    state: State,
    tries: u32,
}

/// A cancel request to send.
#[derive(Debug, Clone, Copy)]
pub struct Cancel {
    /// The hold.
    pub hold: HoldKey,
    /// The replica to send it to.
    pub replica: Replica,
    /// The attempt.
    pub handle: Handle,
    /// The owner.
    pub owner: Incarnation,
    /// The fencing number.
    pub fence: u64,
}

/// All holds of a daemon.
#[derive(Debug, Default)]
pub struct Holds {
    arena: SlotMap<HoldKey, Hold>,
    starts: HashMap<OrderId, HoldKey>,
    cancels: HashMap<OrderId, HoldKey>,
    releasing: Vec<HoldKey>,
}

impl Holds {
    /// No holds.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of holds whose release is not confirmed.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// The hold `key`, unless it has been erased.
    pub fn get(&self, key: HoldKey) -> Option<&Hold> {
        self.arena.get(key)
    }

    /// Whether `handle` has a hold on `replica`.
    pub fn contains(&self, replica: Replica, handle: Handle) -> bool {
        self.arena
            .values()
            .any(|hold| hold.replica == replica && hold.handle == handle)
    }

    /// Records a hold for work that `start` is about to begin.
    pub fn insert(
        &mut self,
        replica: Replica,
        handle: Handle,
        owner: Incarnation,
        fence: u64,
        start: OrderId,
    ) -> HoldKey {
        let state = State::Wanted;
        let hold = Hold {
            replica,
            handle,
            owner,
            fence,
            start: Some(start),
            state,
            tries: 0,
        };
        let key = self.arena.insert(hold);
        self.starts.insert(start, key);
        key
    }

    /// Records orphaned memory found on a replica for release, with the owner that the replica
    /// names.
    pub fn insert_orphan(
        &mut self,
        now: Time,
        replica: Replica,
        handle: Handle,
        owner: Incarnation,
        fence: u64,
    ) -> HoldKey {
        let state = State::Due(now);
        let hold = Hold {
            replica,
            handle,
            owner,
            fence,
            start: None,
            state,
            tries: 0,
        };
        let key = self.arena.insert(hold);
        self.releasing.push(key);
        key
    }

    /// Records that `start` reads the work of `key` from now on, under another owner and fence.
    pub fn restart(&mut self, key: HoldKey, start: OrderId, owner: Incarnation, fence: u64) {
        if let Some(hold) = self.arena.get_mut(key) {
            if let Some(former) = hold.start.replace(start) {
                self.starts.remove(&former);
            }
            hold.owner = owner;
            hold.fence = fence;
            self.starts.insert(start, key);
        }
    }

    /// Records that a starting order has ended, in whatever way.
    pub fn start_ended(&mut self, start: OrderId) {
        let hold = self
            .starts
            .remove(&start)
            .and_then(|key| self.arena.get_mut(key));
        if let Some(hold) = hold {
            hold.start = None;
        }
    }

    /// Begins the release of `key`; returns the starting order to abort if it is still open.
    pub fn release(&mut self, now: Time, key: HoldKey) -> Option<OrderId> {
        let hold = self.arena.get_mut(key)?;
        if hold.state == State::Wanted {
            hold.state = State::Due(now);
            self.releasing.push(key);
        }
        hold.start
    }

    /// Erases `key`, whose work is known to hold nothing any more.
    pub fn erase(&mut self, key: HoldKey) {
        if let Some(hold) = self.arena.remove(key) {
            if let Some(start) = hold.start {
                self.starts.remove(&start);
            }
            if let State::Cancelling(order) = hold.state {
                self.cancels.remove(&order);
            }
            self.releasing.retain(|other| *other != key);
        }
    }

    /// Erases all holds on a replica whose memory is gone.
    pub fn erase_replica(&mut self, replica: Replica) {
        let gone: Vec<HoldKey> = self
            .arena
            .iter()
            .filter(|(_, hold)| hold.replica == replica)
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.erase(key);
        }
    }

    /// The next release that can be sent now, if any.
    pub fn due(&self, now: Time) -> Option<Cancel> {
        self.releasing.iter().find_map(|key| {
            let hold = self.arena.get(*key)?;
            match hold.state {
                State::Due(at) if at <= now && hold.start.is_none() => Some(Cancel {
                    hold: *key,
                    replica: hold.replica,
                    handle: hold.handle,
                    owner: hold.owner,
                    fence: hold.fence,
                }),
                _ => None,
            }
        })
    }

    /// When the next release can be sent, or `Time::NEVER`.
    pub fn next_due(&self) -> Time {
        self.releasing
            .iter()
            .filter_map(|key| match self.arena.get(*key)? {
                Hold {
                    state: State::Due(at),
                    start: None,
                    ..
                } => Some(*at),
                _ => None,
            })
            .min()
            .unwrap_or(Time::NEVER)
    }

    /// Records that the release of `key` was sent as `order`.
    pub fn sent(&mut self, key: HoldKey, order: OrderId) {
        if let Some(hold) = self.arena.get_mut(key) {
            hold.state = State::Cancelling(order);
            self.cancels.insert(order, key);
        }
    }

    /// Records that the replica confirmed the release `order`; returns the erased hold.
    pub fn confirmed(&mut self, order: OrderId) -> Option<Hold> {
        let key = self.cancels.remove(&order)?;
        let hold = self.arena.get(key).copied();
        self.erase(key);
        hold
    }

    /// Records that the release `order` failed; it is sent again after a pause.
    pub fn failed(&mut self, now: Time, order: OrderId) {
        let hold = self
            .cancels
            .remove(&order)
            .and_then(|key| self.arena.get_mut(key));
        if let Some(hold) = hold {
            hold.state = State::Due(now + backoff::pause(hold.tries));
            hold.tries += 1;
        }
    }

    /// Records that the replica refused the release `order` because another owner took the work
    /// over and now owns the memory.
    pub fn superseded(&mut self, order: OrderId) {
        if let Some(key) = self.cancels.remove(&order) {
            self.erase(key);
        }
    }
}
