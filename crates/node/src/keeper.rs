//! Keeper of pools: queues and places the requests of a pool.
//!
//! The keeper of a pool is the live instance selected by rendezvous hashing. Its state is soft: a
//! new keeper gets placed requests from their owners and running work from the replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Time;
use rand::Rng;
use route::phase::Phase;
use route::replica::Member;
use route::rule::Rule;
use route::scheduler::Hold;
use route::scheduler::Scheduler;
use route::ticket::Ticket;
use table::row::Row;
use wire::Body;

use crate::action::Action;
use crate::decision::Step;
use crate::event::Inspection;
use crate::kept_pool::KeptPool;
use crate::kept_pool::Placed;
use crate::node::Node;

/// Time during which a new keeper places nothing, so that owners can report first.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Number of rounds over which the inspections of a period are spread.
const INSPECT_PARTS: u64 = 5;
/// Time without an answer to inspections after which a replica is considered lost.
const LOST_AFTER: Duration = Duration::from_millis(750);

impl Node {
    /// Returns the keeper of `pool`; this daemon if every instance is leaving.
    pub(crate) fn keeper_of(&self, pool: Pool) -> Instance {
        self.members
            .fleet
            .owner(pool.0)
            .unwrap_or(self.settings.instance)
    }

    fn is_keeper(&self, pool: Pool) -> bool {
        self.keeper_of(pool) == self.settings.instance
    }

    /// Updates the keepers after changes of membership and list, and reports this daemon's requests
    /// to new keepers.
    pub(crate) fn reassign(&mut self, out: &mut Vec<Action>) {
        let mut pools: Vec<Pool> = self
            .replicas
            .listed
            .values()
            .map(|listed| listed.pool)
            .collect();
        pools.extend(self.requests.open.values().map(|entry| entry.pool));
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let owner = self.keeper_of(pool);
            if self.pools.keepers.insert(pool, owner) != Some(owner) {
                self.keeper_changed(pool, owner, out);
            }
        }
    }

    fn keeper_changed(&mut self, pool: Pool, owner: Instance, out: &mut Vec<Action>) {
        let name = self.tables.rows.pool_name(pool);
        self.log(
            &name,
            Step::Member,
            &self.instance_name(owner),
            "keeper of the pool",
            out,
        );
        if owner == self.settings.instance {
            self.start_keeping(pool, name);
        } else {
            self.pools.kept.remove(&pool);
        }
        let mine = self.requests.open_where(|entry| entry.pool == pool);
        for open_id in mine {
            if self.requests.open[open_id].placement.is_some() {
                self.notify_keeper(open_id, out);
            } else {
                self.submit(open_id, out);
            }
        }
    }

    fn start_keeping(&mut self, pool: Pool, name: String) {
        let mut scheduler =
            Scheduler::new(route::settings::Settings::default(), self.rng.next_u64());
        let alone = self
            .members
            .fleet
            .alive()
            .all(|member| member.instance == self.settings.instance);
        let settle = if alone { Duration::ZERO } else { SETTLE_TIME };
        if !alone {
            scheduler.begin_takeover(self.now);
        }
        let kept = KeptPool {
            name,
            scheduler,
            ready: self.now + settle,
            placed: BTreeMap::new(),
            health: BTreeMap::new(),
            orphans: BTreeMap::new(),
            generation: 0,
        };
        self.pools.kept.insert(pool, kept);
        self.refresh_scheduler(pool);
        self.timers.inspect = self.now;
        self.timers.schedulers = self.now;
    }

    /// Applies the list and the table to every kept pool.
    pub(crate) fn refresh_schedulers(&mut self) {
        let pools: Vec<Pool> = self.pools.kept.keys().copied().collect();
        for pool in pools {
            self.refresh_scheduler(pool);
        }
        self.timers.schedulers = self.now;
    }

    fn refresh_scheduler(&mut self, pool: Pool) {
        let now = self.now;
        let members: Vec<Member> = self
            .replicas
            .listed
            .values()
            .filter(|listed| listed.pool == pool)
            .map(|listed| Member {
                replica: listed.replica,
                zone: listed.zone,
                role: listed.role,
                slots: listed.slots,
                leaving: listed.leaving || self.is_draining(&listed.name),
            })
            .collect();
        let rules: Vec<Rule> = self
            .tables
            .view
            .table()
            .iter()
            .flat_map(|table| &table.rows)
            .filter(|row| Pool::new(&row.pool) == pool)
            .map(rule)
            .collect();
        let name = self.tables.rows.pool_name(pool);
        let generation = self.tables.view.generation();
        if let Some(kept) = self.pools.kept.get_mut(&pool) {
            kept.name = name;
            kept.generation = generation;
            kept.scheduler.set_members(now, &members);
            kept.scheduler.set_rules(now, &rules);
        }
    }

    fn is_draining(&self, replica: &str) -> bool {
        self.tables
            .view
            .table()
            .is_some_and(|table| table.is_replica_draining(replica))
    }

    /// Queues an attempt for placement.
    pub(crate) fn handle_submission(&mut self, from: Instance, ticket: Ticket) {
        let incarnation = self.incarnation_of(from);
        let now = self.now;
        let Some(kept) = self.kept_pool_of(ticket.row) else {
            return;
        };
        let placed = Placed {
            owner: from,
            incarnation,
            since: now,
        };
        kept.placed.entry(ticket.handle).or_insert(placed);
        kept.scheduler.submit(now, ticket);
        self.timers.schedulers = now;
    }

    fn incarnation_of(&self, instance: Instance) -> Incarnation {
        let current = self.members.fleet.current(instance);
        current.map_or(Incarnation(0), |member| member.incarnation)
    }

    fn kept_pool_of(&mut self, row: ident::Row) -> Option<&mut KeptPool> {
        let pool = self.tables.rows.get(row)?.pool;
        if !self.is_keeper(pool) {
            return None;
        }
        self.pools.kept.get_mut(&pool)
    }

    /// Updates the phase of an attempt.
    pub(crate) fn handle_progress(&mut self, handle: Handle, phase: Phase) {
        let now = self.now;
        let ended = matches!(phase, Phase::Finished { .. } | Phase::Gone);
        for kept in self
            .pools
            .kept
            .values_mut()
            .filter(|kept| kept.placed.contains_key(&handle))
        {
            kept.scheduler.advance(now, handle, phase);
            if ended {
                kept.scheduler.advance(now, handle, Phase::Gone);
                kept.placed.remove(&handle);
            }
        }
        self.timers.schedulers = now;
    }

    /// Registers a placed request with its owner.
    pub(crate) fn handle_adoption(&mut self, from: Instance, hold: &Hold) {
        let incarnation = self.incarnation_of(from);
        let now = self.now;
        let Some(kept) = self.kept_pool_of(hold.ticket.row) else {
            return;
        };
        let placed = Placed {
            owner: from,
            incarnation,
            since: now,
        };
        kept.placed.insert(hold.ticket.handle, placed);
        kept.scheduler.adopt(now, hold);
        self.timers.schedulers = now;
    }

    /// Runs the scheduler of every kept pool and sends its verdicts.
    pub(crate) fn run_schedulers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut next = Time::NEVER;
        let mut verdicts = Vec::new();
        let may_decide = self.may_decide();
        for kept in self.pools.kept.values_mut() {
            if may_decide && now >= kept.ready {
                kept.scheduler.end_grace(now);
                next = next.min(kept.scheduler.step(now, &mut verdicts));
            } else {
                next = next.min(kept.ready.max(now + SETTLE_TIME));
            }
        }
        self.timers.schedulers = next;
        for verdict in verdicts {
            self.send_verdict(verdict, out);
        }
    }

    fn send_verdict(&mut self, verdict: route::verdict::Verdict, out: &mut Vec<Action>) {
        let handle = verdict.handle;
        let refused = matches!(verdict.choice, route::verdict::Choice::Refused { .. });
        let kept = self
            .pools
            .kept
            .values_mut()
            .find(|kept| kept.placed.contains_key(&handle));
        let Some(kept) = kept else {
            return;
        };
        let owner = kept.placed.get(&handle).map(|placed| placed.owner);
        if refused {
            kept.placed.remove(&handle);
        }
        if let Some(owner) = owner {
            self.send(owner, Body::Verdict(verdict), out);
        }
    }

    /// Inspects one share of the replicas of the kept pools.
    pub(crate) fn inspect(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.inspect = now + self.settings.inspect_every / INSPECT_PARTS as u32;
        self.replicas.inspect_part = (self.replicas.inspect_part + 1) % INSPECT_PARTS;
        if self.replicas.inspect_part == 0 {
            self.inspect_withheld(out);
        }
        for listed in self.replicas.listed.values() {
            let replica = listed.replica;
            if replica.0 % INSPECT_PARTS != self.replicas.inspect_part {
                continue;
            }
            let Some(kept) = self.pools.kept.get_mut(&listed.pool) else {
                continue;
            };
            let health = kept.health.entry(replica).or_default();
            let since = *health.unanswered.get_or_insert(now);
            if now >= since + LOST_AFTER && !health.lost {
                health.lost = true;
                health.last_event = 0;
                kept.scheduler.mark_lost(now, replica);
            }
            let after = health.last_event;
            out.push(Action::Inspect {
                replica,
                after,
                asked: now,
            });
        }
    }

    /// Handles the result of an inspection. Results of inspections from before a pause are ignored,
    /// because the replica may have another reader or owner since.
    pub(crate) fn handle_inspection(
        &mut self,
        replica: Replica,
        asked: Time,
        state: Option<Inspection>,
        out: &mut Vec<Action>,
    ) {
        let Some(inspection) = state.filter(|_| asked >= self.lifecycle.pause_ended) else {
            return;
        };
        self.verify(replica, &inspection.works, out);
        let pool = self.replicas.listed.get(&replica).map(|listed| listed.pool);
        if let Some(pool) = pool.filter(|pool| self.pools.kept.contains_key(pool)) {
            self.apply_report(pool, replica, &inspection);
            self.sweep(pool, replica, &inspection.works, out);
        }
    }

    fn apply_report(&mut self, pool: Pool, replica: Replica, inspection: &Inspection) {
        let now = self.now;
        let Some(kept) = self.pools.kept.get_mut(&pool) else {
            return;
        };
        let health = kept.health.entry(replica).or_default();
        health.unanswered = None;
        health.lost = false;
        let last = inspection.report.events.iter().map(|event| event.seq).max();
        health.last_event = last.unwrap_or(health.last_event);
        kept.scheduler
            .apply_report(now, replica, &inspection.report);
        self.timers.schedulers = now;
    }
}

fn rule(row: &Row) -> Rule {
    let millis = |value: u32| Duration::from_millis(u64::from(value));
    Rule {
        row: row.id(),
        share: row.share,
        priority: row.priority,
        ttft: millis(row.ttft_ms),
        tbt: millis(row.tbt_ms),
        max_wait: millis(row.max_wait_ms),
        prefill_ceiling: row.prefill_ceiling,
        decode_ceiling: row.decode_ceiling,
        retry_percent: u32::from(row.retry_percent),
        waste_percent: u32::from(row.waste_percent),
    }
}
