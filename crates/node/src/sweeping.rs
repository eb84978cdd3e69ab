//! Memory on replicas without an owner, and claims in a pool whose end was not told.

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
use crate::event::Held;
use crate::node::Node;

/// Time between two audits of what owners still want.
const AUDIT_EVERY: Duration = Duration::from_secs(2);
/// Age from which a placed attempt is audited.
const AUDIT_AGE: Duration = Duration::from_secs(4);
/// Stands for no replica in the questions of an audit.
const AUDITED: Replica = Replica(0);

impl Node {
    /// Compares what a replica holds with what live owners want.
    pub(crate) fn sweep(
        &mut self,
        pool: Pool,
        replica: Replica,
        works: &[Held],
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
        self.note_orphans(pool, replica, &orphans, out);
        for (owner, handles) in questions {
            self.send(owner, Body::Claimed { replica, handles }, out);
        }
    }

    fn is_placed(&self, pool: Pool, handle: Handle) -> bool {
        self.pools
            .cells
            .get(&pool)
            .is_some_and(|kept| kept.placed.contains_key(&handle))
    }

    fn live_owner(&self, owner: Incarnation) -> Option<Instance> {
        let member = self.members.fleet.by_incarnation(owner)?;
        let alive = member.state != fleet::member::State::Dead;
        alive.then_some(member.instance)
    }

    /// Whether this daemon may judge that owners are gone: cut off from the majority, it would take
    /// the whole fleet for dead.
    fn may_sweep(&self) -> bool {
        let majority = self.members.fleet.reachable_count() * 2 > self.members.fleet.listed_count();
        majority && !self.members.fleet.paused(self.now)
    }

    fn note_orphans(
        &mut self,
        pool: Pool,
        replica: Replica,
        found: &[Held],
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let grace = self.settings.orphan_grace;
        let may_sweep = self.may_sweep();
        let Some(kept) = self.pools.cells.get_mut(&pool) else {
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
            self.sweep_one(replica, held, out);
        }
    }

    fn sweep_one(&mut self, replica: Replica, held: Held, out: &mut Vec<Action>) {
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
        self.advanced(handle, Phase::Gone);
    }

    /// A keeper found attempts that name this daemon as owner: those not open are disowned.
    pub(crate) fn claimed(
        &mut self,
        from: Instance,
        replica: Replica,
        handles: &[Handle],
        out: &mut Vec<Action>,
    ) {
        let mut disowned = Vec::new();
        for handle in handles {
            match self.requests.by_handle.get(handle).copied() {
                Some(opened) if self.requests.open[opened].place.is_some() => {
                    self.tell_keeper_adopted(opened, out);
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

    /// An owner disowns attempts that this keeper found.
    pub(crate) fn disowned(&mut self, replica: Replica, handles: &[Handle], out: &mut Vec<Action>) {
        for handle in handles {
            self.advanced(*handle, Phase::Gone);
            if self.replicas.backends.contains_key(&replica)
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

    /// Asks owners about attempts placed long ago, and drops those of dead owners.
    pub(crate) fn audit(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.audit = now + AUDIT_EVERY;
        if !self.may_sweep() {
            return;
        }
        let mut gone = Vec::new();
        let mut questions: BTreeMap<Instance, Vec<Handle>> = BTreeMap::new();
        for kept in self.pools.cells.values() {
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
            self.advanced(handle, Phase::Gone);
        }
        for (owner, handles) in questions {
            let replica = AUDITED;
            self.send(owner, Body::Claimed { replica, handles }, out);
        }
    }
}
