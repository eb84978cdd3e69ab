//! Applies what replicas say of their own availability in answers. An answer may arrive when its
//! replica has been removed from the list, or listed again under another key.

use std::cmp::Ordering;
use std::time::Duration;

use ident::Time;

use crate::pool::Pool;
use crate::replica_state::ReplicaState;
use crate::replica_state::StateChange;
use crate::server::Key;

impl Pool {
    /// Records that `key` said that it is draining. Returns the change if it was not known to be.
    pub fn note_draining(&mut self, now: Time, key: Key) -> Option<StateChange> {
        let Some(current) = self.current_key(key) else {
            self.retained_notices.update(key, |notices| {
                notices.draining_at.get_or_insert(now);
            });
            return None;
        };
        let server = self.servers.get_mut(current)?;
        let was_draining = server.is_draining();
        server.notices.draining_at.get_or_insert(now);
        (!was_draining).then(|| StateChange {
            id: server.replica.id.clone(),
            now: ReplicaState::Draining,
        })
    }

    /// Records that `key` asked for no requests for `retry_after`. A shorter time does not end an
    /// earlier one. Returns whether the time of a listed replica ends later than known before.
    pub fn back_off(&mut self, now: Time, key: Key, retry_after: Duration) -> bool {
        let until = now + retry_after;
        let Some(current) = self.current_key(key) else {
            self.retained_notices.update(key, |notices| {
                notices.backoff_until = notices.backoff_until.max(until);
            });
            return false;
        };
        let Some(server) = self.servers.get_mut(current) else {
            return false;
        };
        let before = server.notices.backoff_until;
        server.notices.backoff_until = before.max(until);
        until > before
    }

    /// Sets the request limit of `key`, or clears it and ends throttling if `limit` is `None`.
    /// Returns whether the limit of a listed replica changed.
    pub fn set_limit(&mut self, key: Key, limit: Option<f64>) -> bool {
        let Some(current) = self.current_key(key) else {
            self.retained_notices
                .update(key, |notices| notices.limit = limit);
            return false;
        };
        let Some(server) = self.servers.get_mut(current) else {
            return false;
        };
        let before = std::mem::replace(&mut server.notices.limit, limit);
        if before.is_some() && limit.is_none() {
            server.throttled_until = Time::ZERO;
        }
        before != limit
    }

    /// The key of the incarnation that has or had `key`; `None` if it is not listed.
    pub fn current_key(&self, key: Key) -> Option<Key> {
        if self.servers.contains_key(key) {
            return Some(key);
        }
        let removed = self.retained_notices.removed(key)?;
        let current = self.index.by_id(&removed.id)?;
        let replica = &self.servers.get(current)?.replica;
        (replica.compare_incarnation(removed.birth) == Ordering::Equal).then_some(current)
    }
}
