//! Replicas that start again under the id that they had.

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
    /// Puts a new incarnation in the place of the one behind `key`. It gets a key of its own, so that
    /// nothing that was learnt of the earlier one, and no run there, is counted for it.
    pub(super) fn restart(
        &mut self,
        now: Time,
        key: Key,
        replica: &Replica,
        changes: &mut Vec<StateChange>,
    ) {
        if let Some(server) = self.servers.remove(key) {
            self.restarted.insert(key, server.hash);
        }
        self.insert(now, replica);
        changes.push(StateChange {
            id: replica.id.clone(),
            now: ReplicaState::Restarted,
        });
    }

    /// Notes that the replica behind `key` told `birth` in an answer; the changes if that is a later
    /// incarnation than the one that is listed.
    pub fn update_birth(&mut self, now: Time, key: Key, birth: Option<Birth>) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let Some(server) = self.servers.get(key) else {
            return changes;
        };
        let replica = Replica {
            birth,
            ..server.replica.clone()
        };
        if replica.compare_incarnation(server.replica.birth) == Ordering::Greater {
            self.digest.set(None);
            self.restart(now, key, &replica, &mut changes);
        }
        changes
    }

    /// Where the replica `id` is.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        let key = self.by_id.get(id)?;
        Some(self.servers[*key].replica.address)
    }

    /// Hash of the incarnation behind `key` if it would be missed: `None` if it is leaving, or left the list, by
    /// plan.
    pub fn unplanned_loss(&self, key: Key) -> Option<u64> {
        match self.servers.get(key) {
            Some(server) => (!server.replica.draining).then_some(server.hash),
            None => self.restarted.get(key).copied(),
        }
    }

    /// Whether the incarnation behind `key` ended, and its replica has started again.
    pub fn has_restarted(&self, key: Key) -> bool {
        self.restarted.contains_key(key)
    }
}
