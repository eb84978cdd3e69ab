//! Handles replicas that restart under the same id.

use std::cmp::Ordering;
use std::net::SocketAddr;

use ident::Time;

use crate::pool::Pool;
use crate::replica::Birth;
use crate::replica::Replica;
use crate::replica_state::ReplicaState;
use crate::replica_state::StateChange;
use crate::server::Key;

impl Pool {
    /// Replaces the incarnation with `key` by a new one. The new one has its own key, so that
    /// neither the state nor the runs of the earlier one are attributed to it.
    pub(super) fn restart(
        &mut self,
        now: Time,
        key: Key,
        replica: &Replica,
        changes: &mut Vec<StateChange>,
    ) {
        if let Some(server) = self.remove(now, key) {
            self.restarted.insert(key, server.hash);
        }
        self.insert(now, replica);
        changes.push(StateChange {
            id: replica.id.clone(),
            now: ReplicaState::Restarted,
        });
    }

    /// Records that the replica with `key` reported the start time `birth` in an answer. Returns
    /// the changes if it is a later incarnation than the listed one.
    pub fn update_birth(&mut self, now: Time, key: Key, birth: Option<Birth>) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let Some(server) = self.servers.get(key) else {
            return changes;
        };
        // It may run another version than the listed incarnation.
        let replica = Replica {
            birth,
            software: None,
            writes: 0,
            ..server.replica.clone()
        };
        if replica.compare_incarnation(server.replica.birth) == Ordering::Greater {
            self.restart(now, key, &replica, &mut changes);
        }
        changes
    }

    /// Address of the replica `id`.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        let key = self.index.by_id(id)?;
        Some(self.servers[key].replica.address)
    }

    /// Hash of the incarnation with `key` if its end would be unplanned; `None` if it is draining
    /// or has left the list as planned.
    pub fn unplanned_loss(&self, key: Key) -> Option<u64> {
        match self.servers.get(key) {
            Some(server) => (!server.is_draining()).then_some(server.hash),
            None => self.restarted.get(key).copied(),
        }
    }

    /// Whether the incarnation with `key` ended and its replica has restarted.
    pub fn has_restarted(&self, key: Key) -> bool {
        self.restarted.contains_key(key)
    }
}
