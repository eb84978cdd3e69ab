//! Applies updates of the list of replicas and creates updates for peers.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;

use ident::Time;

use crate::pool::Pool;
use crate::replica::Delta;
use crate::replica::Lapsing;
use crate::replica::Replica;
use crate::replica::Snapshot;
use crate::replica::Source;
use crate::replica::Update;
use crate::replica_state::ReplicaState;
use crate::replica_state::StateChange;
use crate::revision::Revision;
use crate::server::Key;
use crate::server::Server;

/// How long after an outage a replica that is missing from the list is still used. Entries that
/// lapsed during the outage return within two seconds, and a replica that left must not receive
/// requests after that.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);

/// How long after the begin of an era an entry is ignored that may come from a copy, of a replica
/// known as gone. The store removes entries after three missing renewals, about four seconds.
const WITHHOLDING: Duration = Duration::from_secs(10);

/// Start of the id that stands for replicas which a daemon may not have seen.
const UNKNOWN_ID_PREFIX: &str = "unknown before ";

impl Pool {
    /// Update for a peer whose list has the version `since` and the hash `digest`; `None` if it is
    /// up to date. If lists of the same version differ, the peer gets a complete one; otherwise it
    /// would keep its own until the next change.
    pub fn update_for_peer(&self, now: Time, since: Revision, digest: u64) -> Option<Update> {
        match self.version {
            version if version > since => Some(self.update_since(now, since)),
            version if version == since && digest != self.digest() => {
                Some(Update::All(self.snapshot(now)))
            }
            // Without changes, in place of a confirmation.
            version if version == since && !self.confirms(now, digest) => {
                Some(self.update_since(now, since))
            }
            _ => None,
        }
    }

    /// Update for a peer whose list has the version `since`: the changes, if they are known
    /// completely, otherwise the complete list.
    pub fn update_since(&self, now: Time, since: Revision) -> Update {
        if since < self.tombstones.since {
            return Update::All(self.snapshot(now));
        }
        let servers = self.index.changed_after(since);
        let servers = servers.map(|key| &self.servers[key]);
        let changed = servers.filter(|server| server.lapses_at.is_none());
        let changed: Vec<Replica> = changed.map(|server| server.replica.clone()).collect();
        self.note_examined(changed.len());
        let gone = self.tombstones.after(since).map(str::to_owned);
        // Their grace period ended after the last read of the list, and the peer may still list
        // them.
        let lapsed = self.lapsing.iter().map(|key| &self.servers[*key]);
        let lapsed = lapsed.filter(|server| server.has_lapsed(now));
        let lapsed = lapsed.map(|server| server.replica.id.clone());
        Update::Changed(Delta {
            since,
            version: self.version,
            replicas: changed,
            gone: gone.chain(lapsed).collect(),
            unreadable: Vec::new(),
            lapsing: self.lapsing(now),
        })
    }

    /// The complete list, for a peer that has none.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        Snapshot {
            version: self.version,
            replicas: self.replicas().cloned().collect(),
            lapsing: self.lapsing(now),
            grace: self.era_grace(now),
        }
    }

    /// Time for which replicas that are missing from the lists of a new era are still used.
    fn era_grace(&self, now: Time) -> Duration {
        let until = self.era_grace_until;
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    fn lapsing(&self, now: Time) -> Vec<Lapsing> {
        let servers = self.lapsing.iter().map(|key| &self.servers[*key]);
        let lapsing = servers.filter_map(|server| {
            let until = server.lapses_at.filter(|until| now < *until)?;
            Some(Lapsing {
                replica: server.replica.clone(),
                left: until.since(now),
            })
        });
        lapsing.collect()
    }

    /// Applies an update. Returns `None` if it is older than the current version, or if its base
    /// version has not been reached.
    pub fn apply_update(
        &mut self,
        now: Time,
        source: Source,
        update: &Update,
    ) -> Option<Vec<StateChange>> {
        match update {
            Update::All(snapshot) => self.apply_snapshot_from(now, source, snapshot),
            Update::Changed(delta) => self.apply_delta_from(now, source, delta),
        }
    }

    /// Applies an update that reflects the store as of `read_at`, at a daemon that knows of the era
    /// `era`. Returns what [`Self::apply_update`] does.
    pub fn apply_read(
        &mut self,
        now: Time,
        era: u64,
        source: Source,
        read_at: Time,
        update: &Update,
    ) -> Option<Vec<StateChange>> {
        let (revision, known) = (update.version(), self.version);
        let changes = self.apply_update(now, source, update);
        let is_current = match changes {
            // In a later era a list may have changed in the meantime, whenever it was read.
            Some(_) => revision.era >= era,
            None => revision.era == known.era && revision.version <= known.version,
        };
        if is_current {
            self.note_read(read_at);
        }
        changes
    }

    /// Applies a snapshot read from the store. Returns `None` if it is older than the current
    /// version.
    pub fn apply(&mut self, now: Time, snapshot: &Snapshot) -> Option<Vec<StateChange>> {
        self.apply_snapshot_from(now, Source::Store, snapshot)
    }

    /// Applies a delta read from the store. Returns `None` if it is older than the current version,
    /// or if its base version has not been reached.
    pub fn apply_delta(&mut self, now: Time, delta: &Delta) -> Option<Vec<StateChange>> {
        self.apply_delta_from(now, Source::Store, delta)
    }

    fn apply_snapshot_from(
        &mut self,
        now: Time,
        source: Source,
        snapshot: &Snapshot,
    ) -> Option<Vec<StateChange>> {
        if snapshot.version < self.version {
            return None;
        }
        let may_lack = self.version != Revision::default() && snapshot.version > self.version;
        let is_new_era = snapshot.version.era > self.version.era;
        if is_new_era {
            let grace = match source {
                Source::Store => LAPSE_GRACE,
                Source::Peer => snapshot.grace,
            };
            self.era_grace_until = Some(now + grace);
            self.knows_earlier_era = self.version != Revision::default();
            self.withheld_until = now + WITHHOLDING;
        }
        if is_new_era || self.servers.is_empty() {
            self.tombstones.since = snapshot.version;
        }
        self.version = snapshot.version;
        if may_lack {
            self.note_complete_list(now);
        }
        self.withheld.clear();
        self.note_refresh(now);
        let (lapsing, _) = self.split_lapsing(now, &snapshot.lapsing);
        let mut changes = Vec::new();
        for replica in &snapshot.replicas {
            self.upsert(now, replica, &mut changes);
        }
        for lapsing in lapsing {
            self.mark_lapsing(now, lapsing, &mut changes);
        }
        let listed = snapshot.replicas.iter();
        let lapsing = lapsing.iter().map(|lapsing| &lapsing.replica);
        let reported: HashSet<&str> = listed.chain(lapsing).map(|r| r.id.as_str()).collect();
        let all = self.servers.keys().collect();
        let is_missing = |id: &str| !reported.contains(id);
        let returns_until = match source {
            Source::Peer if is_new_era => self.era_grace_until,
            source => self.returns_until(source),
        };
        self.drop_where(now, source, returns_until, all, is_missing, &mut changes);
        self.release_withheld(now, &mut changes);
        Some(changes)
    }

    fn apply_delta_from(
        &mut self,
        now: Time,
        source: Source,
        delta: &Delta,
    ) -> Option<Vec<StateChange>> {
        let era = self.version.era;
        let is_of_era = delta.since.era == era && delta.version.era == era;
        if !is_of_era || delta.version < self.version || delta.since > self.version {
            return None;
        }
        self.version = delta.version;
        self.note_unseen_departures(now, delta);
        self.note_refresh(now);
        let (lapsing, gone) = self.split_lapsing(now, &delta.lapsing);
        let mut changes = Vec::new();
        for replica in &delta.replicas {
            self.upsert(now, replica, &mut changes);
        }
        for lapsing in lapsing {
            self.mark_lapsing(now, lapsing, &mut changes);
        }
        let gone = gone.iter().map(|lapsing| &lapsing.replica.id);
        let gone: HashSet<&str> = delta.gone.iter().chain(gone).map(String::as_str).collect();
        let keys = gone.iter().filter_map(|id| self.index.by_id(id));
        let affected = keys.chain(self.lapsing.iter().copied()).collect();
        let is_missing = |id: &str| gone.contains(id);
        let returns_until = self.returns_until(source);
        self.drop_where(
            now,
            source,
            returns_until,
            affected,
            is_missing,
            &mut changes,
        );
        for id in &delta.unreadable {
            self.tombstones.note_unreadable(id);
        }
        self.withheld.retain(|id, _| !is_missing(id));
        self.release_withheld(now, &mut changes);
        Some(changes)
    }

    /// Notes that a complete list replaces an earlier one: it does not name the replicas that came and
    /// left in between. Peers that ask for the changes since learn it by the departure of one that none
    /// of them knows.
    fn note_complete_list(&mut self, now: Time) {
        let unknown = format!("{UNKNOWN_ID_PREFIX}{}", self.version);
        let listed = self.servers.len();
        self.tombstones.add_unseen(self.version, &unknown, listed);
        self.note_unseen(now);
    }

    /// Notes those of the replicas that are gone by `delta` that this daemon did not list at that time,
    /// also for peers that ask it.
    fn note_unseen_departures(&mut self, now: Time, delta: &Delta) {
        let unreadable: HashSet<&String> = delta.unreadable.iter().collect();
        for id in &delta.gone {
            let is_unreadable = unreadable.contains(id);
            let is_known = self.index.by_id(id).is_some()
                || self.withheld.contains_key(id)
                || self.tombstones.explains(delta.since, id, is_unreadable)
                || (id.starts_with(UNKNOWN_ID_PREFIX) && self.tombstones.contains(id));
            if !is_known {
                let listed = self.servers.len();
                self.tombstones.add_unseen(self.version, id, listed);
                self.note_unseen(now);
            }
        }
    }

    /// Splits the replicas that a peer reports as `lapsing` into those that stay in use for the
    /// time that is left and those that are gone. Unless this daemon's list was outdated, or of an
    /// earlier era, within the last `LAPSE_GRACE`, only the peer lost the store, so the replicas have
    /// left rather than lapsed.
    fn split_lapsing<'a>(
        &self,
        now: Time,
        lapsing: &'a [Lapsing],
    ) -> (&'a [Lapsing], &'a [Lapsing]) {
        match self.outdated_at {
            Some(at) if now < at + LAPSE_GRACE => (lapsing, &[]),
            _ if !self.era_grace(now).is_zero() => (lapsing, &[]),
            _ => (&[], lapsing),
        }
    }

    fn upsert(&mut self, now: Time, replica: &Replica, changes: &mut Vec<StateChange>) {
        let belief = if replica.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Ready
        };
        let known = self.index.by_id(&replica.id);
        let known = known.map(|key| {
            (
                key,
                replica.compare_incarnation(self.servers[key].replica.birth),
            )
        });
        match known {
            // A late entry of an earlier incarnation.
            Some((_, Ordering::Less)) => return,
            Some((key, Ordering::Greater)) => self.restart(now, key, replica, changes),
            Some((key, Ordering::Equal)) if !self.update_entry(now, key, replica) => return,
            Some((_, Ordering::Equal)) => {}
            None if self.tombstones.predates_removal(self.version.era, replica) => {
                self.withheld.insert(replica.id.clone(), replica.clone());
                return;
            }
            None => {
                self.insert(now, replica);
            }
        }
        changes.push(StateChange {
            id: replica.id.clone(),
            now: belief,
        });
    }

    /// Lists the replicas again whose entries seemed to come from a copy, once the store would have
    /// removed those that are not renewed.
    fn release_withheld(&mut self, now: Time, changes: &mut Vec<StateChange>) {
        if now < self.withheld_until {
            return;
        }
        for (_, replica) in std::mem::take(&mut self.withheld) {
            self.tombstones.remove(&replica.id);
            self.upsert(now, &replica, changes);
        }
    }

    /// Updates the entry of a known replica. Returns whether its state changed.
    fn update_entry(&mut self, now: Time, key: Key, replica: &Replica) -> bool {
        let entry_birth = replica.birth;
        let server = &mut self.servers[key];
        let is_listed = server.is_listed();
        // The copy from which the store came back may be older than what is known of a departure.
        let is_kept_draining = server.outdates(self.version.era, replica);
        let replica = Replica {
            birth: replica.birth.or(server.replica.birth),
            draining: replica.draining || is_kept_draining,
            writes: replica.writes.max(server.replica.writes),
            ..replica.clone()
        };
        if server.replica.has_content_of(&replica) && is_listed {
            server.replica.writes = replica.writes;
            return false;
        }
        let changed = server.replica.draining != replica.draining || !is_listed;
        self.index.remove(key, server);
        let is_known = replica.birth.is_some() && replica.birth == entry_birth;
        if is_known && server.replica.software.is_none() {
            self.versions.identify(&server.replica);
        } else {
            self.versions.remove(now, &server.replica);
        }
        self.versions.add(&replica);
        server.changed = self.version;
        // A replica whose entry changes is alive: it refused requests because its stage had
        // changed.
        server.replaced = false;
        server.evacuated = self.evacuated.contains(&replica.data_centre);
        if !server.replica.draining {
            server.draining_era = self.version.era;
        }
        server.draining_since = match server.draining_since {
            _ if !replica.draining => None,
            None => Some(now),
            since => since,
        };
        // A pace belongs to a stage.
        if server.replica.stage != replica.stage {
            server.token_pace = None;
        }
        server.set_entry(replica);
        server.lapses_at = None;
        self.index.insert(key, server);
        self.lapsing.remove(&key);
        changed
    }

    pub(super) fn insert(&mut self, now: Time, replica: &Replica) -> Key {
        self.tombstones.remove(&replica.id);
        self.withheld.remove(&replica.id);
        let mut server = Server::new(replica.clone(), self.version, now);
        server.notices = self.retained_notices.take(replica);
        server.evacuated = self.evacuated.contains(&replica.data_centre);
        server.assumed_cold_until = self.assumed_cold_until(replica);
        server.peer_prefill_tokens = self.no_peer_prefills();
        self.versions.add(replica);
        let key = self.servers.insert(server);
        self.index.insert(key, &self.servers[key]);
        key
    }

    pub(super) fn remove(&mut self, now: Time, key: Key) -> Option<Server> {
        let server = self.servers.remove(key)?;
        self.departed_listed_at = self.departed_listed_at.max(Some(server.listed_at));
        self.retained_notices
            .keep(now, key, &server.replica, server.notices);
        self.index.remove(key, &server);
        self.versions.remove(now, &server.replica);
        self.lapsing.remove(&key);
        self.with_requests.remove(&key);
        self.unresponsive.remove(&key);
        self.with_pace.swap_remove(&key);
        Some(server)
    }

    /// Marks a replica as lapsing because a peer reported it. Ignored for a replica recorded as
    /// gone, since the outage may have affected only the peer.
    fn mark_lapsing(&mut self, now: Time, lapsing: &Lapsing, changes: &mut Vec<StateChange>) {
        let id = &lapsing.replica.id;
        let key = match self.index.by_id(id) {
            Some(key) => key,
            None if self.tombstones.contains(id) => return,
            None => self.insert(now, &lapsing.replica),
        };
        let server = &self.servers[key];
        let is_same = lapsing.replica.compare_incarnation(server.replica.birth) == Ordering::Equal;
        if is_same && server.is_listed() {
            self.lapse(key, now + lapsing.left);
            changes.push(StateChange {
                id: id.clone(),
                now: ReplicaState::Lapsed,
            });
        }
    }

    /// Until when replicas stay in use that are missing from an update by `source`. If it was read
    /// from the store shortly after an outage or the begin of an era, their entries may only have
    /// lapsed, so they stay until `LAPSE_GRACE` has passed since. Updates from peers get no grace
    /// period, because the peer has already applied it.
    fn returns_until(&self, source: Source) -> Option<Time> {
        let outage = self.last_outage.map(|outage| outage + LAPSE_GRACE);
        let era = self.era_grace_until.filter(|_| self.knows_earlier_era);
        let until = outage.max(era);
        until.filter(|_| source == Source::Store)
    }

    /// Drops those of the replicas `keys` that are `missing` from the list, unless they stay in use
    /// until `returns_until`. Also drops replicas whose grace period has ended.
    fn drop_where(
        &mut self,
        now: Time,
        source: Source,
        returns_until: Option<Time>,
        keys: BTreeSet<Key>,
        missing: impl Fn(&str) -> bool,
        changes: &mut Vec<StateChange>,
    ) {
        let returns_until = returns_until.filter(|until| now < *until);
        self.note_examined(keys.len());
        for key in keys {
            let server = &self.servers[key];
            let is_missing = missing(&server.replica.id);
            match (server.lapses_at, returns_until) {
                (Some(until), _) if now < until && (!is_missing || source == Source::Store) => {}
                (None, _) if !is_missing => {}
                (None, Some(until)) if !server.is_draining() => {
                    changes.push(StateChange {
                        id: server.replica.id.clone(),
                        now: ReplicaState::Lapsed,
                    });
                    self.lapse(key, until);
                }
                _ => self.drop_replica(now, key, changes),
            }
        }
    }

    /// Keeps using `key` until `until` although it is missing from the list.
    fn lapse(&mut self, key: Key, until: Time) {
        let server = &mut self.servers[key];
        self.index.remove(key, server);
        server.lapses_at = Some(until);
        self.index.insert(key, server);
        self.lapsing.insert(key);
    }

    fn drop_replica(&mut self, now: Time, key: Key, changes: &mut Vec<StateChange>) {
        let Some(server) = self.remove(now, key) else {
            return;
        };
        let listed = self.servers.len();
        self.tombstones.add(self.version, &server.replica, listed);
        changes.push(StateChange {
            id: server.replica.id,
            now: ReplicaState::Gone,
        });
    }
}
