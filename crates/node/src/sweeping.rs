//! Releases memory on replicas without an owner, and placements whose end was not reported.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Replica;
use route::phase::Phase;
use wire::Body;

use crate::action::Action;
use crate::action::Count;
use crate::decision::Step;
use crate::event::HeldAttempt;
use crate::node::Node;

/// Interval between two audits of placed attempts.
const AUDIT_EVERY: Duration = Duration::from_secs(2);
/// Minimum age of an audited attempt.
const AUDIT_AGE: Duration = Duration::from_secs(4);
/// Placeholder in claims of an audit, which concern no particular replica.
const NO_REPLICA: Replica = Replica(0);

impl Node {
    /// Compares the attempts that a replica holds with the requests of live owners.
    pub(crate) fn sweep(
        &mut self,
        pool: Pool,
        replica: Replica,
        works: &[HeldAttempt],
        out: &mut Vec<Action>,
    ) {
        let mut questions: BTreeMap<Instance, Vec<Handle>> = BTreeMap::new();
        let mut orphans = Vec::new();
        for held in works.iter().filter(|held| !held.done) {
            match self.live_owner(held.owner) {
                None => orphans.push(*held),
                Some(_) if self.is_placed(pool, held.handle) => (),
                Some(owner) => questions.entry(owner).or_default().push(held.handle),
            }
        }
        self.update_orphans(pool, replica, &orphans, out);
        for (owner, handles) in questions {
            self.send(owner, Body::Claimed { replica, handles }, out);
        }
    }

    fn is_placed(&self, pool: Pool, handle: Handle) -> bool {
        self.pools
            .kept
            .get(&pool)
            .is_some_and(|kept| kept.placed.contains_key(&handle))
    }

    fn live_owner(&self, owner: Incarnation) -> Option<Instance> {
        let member = self.members.fleet.by_incarnation(owner)?;
        let alive = member.state != fleet::member::State::Dead;
        alive.then_some(member.instance)
    }

    /// Returns whether this daemon may decide that owners are gone: without contact to the
    /// majority, it would consider the rest of the fleet dead.
    fn may_sweep(&self) -> bool {
        let majority = self.members.fleet.reachable_count() * 2 > self.members.fleet.listed_count();
        majority && !self.members.fleet.paused(self.now)
    }

    fn update_orphans(
        &mut self,
        pool: Pool,
        replica: Replica,
        found: &[HeldAttempt],
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let grace = self.settings.orphan_grace;
        let may_sweep = self.may_sweep();
        let Some(kept) = self.pools.kept.get_mut(&pool) else {
            return;
        };
        kept.orphans.retain(|(at, handle), _| {
            *at != replica || found.iter().any(|held| held.handle == *handle)
        });
        if !may_sweep {
            kept.orphans.clear();
            return;
        }
        let mut due = Vec::new();
        for held in found {
            let since = *kept.orphans.entry((replica, held.handle)).or_insert(now);
            if now >= since + grace {
                kept.orphans.remove(&(replica, held.handle));
                due.push(*held);
            }
        }
        for held in due {
            self.cancel_orphan(replica, held, out);
        }
    }

    fn cancel_orphan(&mut self, replica: Replica, held: HeldAttempt, out: &mut Vec<Action>) {
        let handle = held.handle;
        if !self.requests.holds.contains(replica, handle) {
            self.requests
                .holds
                .insert_orphan(self.now, replica, handle, held.owner, held.fence);
        }
        let name = self.replica_name(replica);
        self.log(
            &handle.to_string(),
            Step::Sweep,
            &name,
            "its owner is gone",
            out,
        );
        out.push(Action::Count(Count::Swept));
        self.handle_progress(handle, Phase::Gone);
    }

    /// Answers a keeper that found attempts of this daemon: those not open are disowned.
    pub(crate) fn handle_claims(
        &mut self,
        from: Instance,
        replica: Replica,
        handles: &[Handle],
        out: &mut Vec<Action>,
    ) {
        let mut disowned = Vec::new();
        for handle in handles {
            match self.requests.by_handle.get(handle).copied() {
                Some(open_id) if self.requests.open[open_id].placement.is_some() => {
                    self.notify_keeper(open_id, out);
                }
                Some(_) => (),
                None => disowned.push(*handle),
            }
        }
        if !disowned.is_empty() {
            self.send(
                from,
                Body::Disowned {
                    replica,
                    handles: disowned,
                },
                out,
            );
        }
    }

    /// Releases attempts that their owner disowned.
    pub(crate) fn handle_disowned(
        &mut self,
        replica: Replica,
        handles: &[Handle],
        out: &mut Vec<Action>,
    ) {
        for handle in handles {
            self.handle_progress(*handle, Phase::Gone);
            if self.replicas.listed.contains_key(&replica)
                && !self.requests.holds.contains(replica, *handle)
            {
                let fence = self.unix_ms();
                let owner = handle.owner;
                self.requests
                    .holds
                    .insert_orphan(self.now, replica, *handle, owner, fence);
                let name = self.replica_name(replica);
                self.log(
                    &handle.to_string(),
                    Step::Sweep,
                    &name,
                    "disowned by its owner",
                    out,
                );
                out.push(Action::Count(Count::Swept));
            }
        }
    }

    /// Asks owners about old placements, and drops those of dead owners.
    pub(crate) fn audit(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.audit = now + AUDIT_EVERY;
        if !self.may_sweep() {
            return;
        }
        let mut gone = Vec::new();
        let mut questions: BTreeMap<Instance, Vec<Handle>> = BTreeMap::new();
        for kept in self.pools.kept.values() {
            for (handle, placed) in &kept.placed {
                let dead = self.live_owner(placed.incarnation).is_none();
                let grace = self.settings.orphan_grace + AUDIT_AGE;
                match () {
                    () if dead && now >= placed.since + grace => gone.push(*handle),
                    () if dead || now < placed.since + AUDIT_AGE => (),
                    () => questions.entry(placed.owner).or_default().push(*handle),
                }
            }
        }
        for handle in gone {
            self.handle_progress(handle, Phase::Gone);
        }
        for (owner, handles) in questions {
            let replica = NO_REPLICA;
            self.send(owner, Body::Claimed { replica, handles }, out);
        }
    }
}
