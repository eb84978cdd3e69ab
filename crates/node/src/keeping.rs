//! The keeper's work: one queue a pool.
//!
//! A pool's keeper is the live instance that rendezvous hashing names. It keeps soft state only: a
//! new keeper learns what is placed from the owners, and what runs from the replicas.

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
use crate::kept::Kept;
use crate::kept::Placed;
use crate::node::Node;

/// Time in which a new keeper of a pool places nothing, so that owners can report first.
const SETTLE: Duration = Duration::from_secs(1);
/// Parts into which the inspections of a period are spread.
const INSPECT_PARTS: u64 = 5;
/// Time without an answer to inspections after which a replica counts as lost.
const SILENCE: Duration = Duration::from_millis(750);

impl Node {
    /// The keeper of `pool`; this daemon itself if every instance is leaving.
    pub(crate) fn keeper_of(&self, pool: Pool) -> Instance {
        self.members
            .fleet
            .owner(pool.0)
            .unwrap_or(self.settings.instance)
    }

    fn is_keeper(&self, pool: Pool) -> bool {
        self.keeper_of(pool) == self.settings.instance
    }

    /// Follows changes of membership and list: begins and ends keeping, and tells new keepers what
    /// this daemon has placed with them.
    pub(crate) fn reassign(&mut self, out: &mut Vec<Action>) {
        let mut pools: Vec<Pool> = self
            .replicas
            .backends
            .values()
            .map(|backend| backend.pool)
            .collect();
        pools.extend(self.requests.open.values().map(|entry| entry.pool));
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let owner = self.keeper_of(pool);
            if self.pools.keepers.insert(pool, owner) != Some(owner) {
                self.keeper_moved(pool, owner, out);
            }
        }
    }

    fn keeper_moved(&mut self, pool: Pool, owner: Instance, out: &mut Vec<Action>) {
        let name = self.tables.rows.pool_name(pool);
        self.log(
            &name,
            Step::Member,
            &self.instance_name(owner),
            "keeper of the pool",
            out,
        );
        if owner == self.settings.instance {
            self.begin_keeping(pool, name);
        } else {
            self.pools.cells.remove(&pool);
        }
        let mine = self.requests.open_where(|entry| entry.pool == pool);
        for opened in mine {
            if self.requests.open[opened].place.is_some() {
                self.tell_keeper_adopted(opened, out);
            } else {
                self.submit(opened, out);
            }
        }
    }

    fn begin_keeping(&mut self, pool: Pool, name: String) {
        let mut cell = Scheduler::new(route::settings::Settings::default(), self.rng.next_u64());
        let alone = self
            .members
            .fleet
            .alive()
            .all(|member| member.instance == self.settings.instance);
        let settle = if alone { Duration::ZERO } else { SETTLE };
        if !alone {
            cell.begin_takeover(self.now);
        }
        let kept = Kept {
            name,
            cell,
            ready: self.now + settle,
            placed: BTreeMap::new(),
            watches: BTreeMap::new(),
            orphans: BTreeMap::new(),
            generation: 0,
        };
        self.pools.cells.insert(pool, kept);
        self.refresh_cell(pool);
        self.timers.inspect = self.now;
        self.timers.cells = self.now;
    }

    /// Puts list and table in force in every kept pool.
    pub(crate) fn refresh_cells(&mut self) {
        let pools: Vec<Pool> = self.pools.cells.keys().copied().collect();
        for pool in pools {
            self.refresh_cell(pool);
        }
        self.timers.cells = self.now;
    }

    fn refresh_cell(&mut self, pool: Pool) {
        let now = self.now;
        let members: Vec<Member> = self
            .replicas
            .backends
            .values()
            .filter(|backend| backend.pool == pool)
            .map(|backend| Member {
                replica: backend.replica,
                zone: backend.zone,
                role: backend.role,
                slots: backend.slots,
                leaving: backend.leaving || self.is_drained(&backend.name),
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
        if let Some(kept) = self.pools.cells.get_mut(&pool) {
            kept.name = name;
            kept.generation = generation;
            kept.cell.set_members(now, &members);
            kept.cell.set_rules(now, &rules);
        }
    }

    fn is_drained(&self, replica: &str) -> bool {
        self.tables
            .view
            .table()
            .is_some_and(|table| table.drains_replica(replica))
    }

    /// An owner asks for a placement.
    pub(crate) fn submitted(&mut self, from: Instance, ticket: Ticket) {
        let incarnation = self.incarnation_of(from);
        let now = self.now;
        let Some(kept) = self.cell_of(ticket.row) else {
            return;
        };
        let placed = Placed {
            owner: from,
            incarnation,
            since: now,
        };
        kept.placed.entry(ticket.handle).or_insert(placed);
        kept.cell.submit(now, ticket);
        self.timers.cells = now;
    }

    fn incarnation_of(&self, instance: Instance) -> Incarnation {
        let current = self.members.fleet.current(instance);
        current.map_or(Incarnation(0), |member| member.incarnation)
    }

    fn cell_of(&mut self, row: ident::Row) -> Option<&mut Kept> {
        let pool = self.tables.rows.get(row)?.pool;
        if !self.is_keeper(pool) {
            return None;
        }
        self.pools.cells.get_mut(&pool)
    }

    /// An owner reports progress.
    pub(crate) fn advanced(&mut self, handle: Handle, phase: Phase) {
        let now = self.now;
        let ended = matches!(phase, Phase::Finished { .. } | Phase::Gone);
        for kept in self
            .pools
            .cells
            .values_mut()
            .filter(|kept| kept.placed.contains_key(&handle))
        {
            kept.cell.advance(now, handle, phase);
            if ended {
                kept.cell.advance(now, handle, Phase::Gone);
                kept.placed.remove(&handle);
            }
        }
        self.timers.cells = now;
    }

    /// An owner tells of a placed request.
    pub(crate) fn adopted(&mut self, from: Instance, hold: &Hold) {
        let incarnation = self.incarnation_of(from);
        let now = self.now;
        let Some(kept) = self.cell_of(hold.ticket.row) else {
            return;
        };
        let placed = Placed {
            owner: from,
            incarnation,
            since: now,
        };
        kept.placed.insert(hold.ticket.handle, placed);
        kept.cell.adopt(now, hold);
        self.timers.cells = now;
    }

    /// Lets every kept pool decide.
    pub(crate) fn step_cells(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut next = Time::NEVER;
        let mut verdicts = Vec::new();
        let may_decide = self.may_decide();
        for kept in self.pools.cells.values_mut() {
            if may_decide && now >= kept.ready {
                kept.cell.end_grace(now);
                next = next.min(kept.cell.step(now, &mut verdicts));
            } else {
                next = next.min(kept.ready.max(now + SETTLE));
            }
        }
        self.timers.cells = next;
        for verdict in verdicts {
            self.send_verdict(verdict, out);
        }
    }

    fn send_verdict(&mut self, verdict: route::verdict::Verdict, out: &mut Vec<Action>) {
        let handle = verdict.handle;
        let refused = matches!(verdict.choice, route::verdict::Choice::Refused { .. });
        let kept = self
            .pools
            .cells
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

    /// Asks the replicas of the kept pools for their state, a part of them at a time.
    pub(crate) fn inspect(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.inspect = now + self.settings.inspect_every / INSPECT_PARTS as u32;
        self.replicas.inspect_part = (self.replicas.inspect_part + 1) % INSPECT_PARTS;
        if self.replicas.inspect_part == 0 {
            self.recheck_suspects(out);
        }
        for backend in self.replicas.backends.values() {
            let replica = backend.replica;
            if replica.0 % INSPECT_PARTS != self.replicas.inspect_part {
                continue;
            }
            let Some(kept) = self.pools.cells.get_mut(&backend.pool) else {
                continue;
            };
            let watch = kept.watches.entry(replica).or_default();
            let since = *watch.unanswered.get_or_insert(now);
            if now >= since + SILENCE && !watch.lost {
                watch.lost = true;
                watch.after = 0;
                kept.cell.mark_lost(now, replica);
            }
            let after = watch.after;
            out.push(Action::Inspect {
                replica,
                after,
                asked: now,
            });
        }
    }

    /// A replica answered an inspection, or failed to. An answer to a question from before a pause
    /// counts for nothing: the replica may have another reader or owner by now.
    pub(crate) fn inspected(
        &mut self,
        replica: Replica,
        asked: Time,
        state: Option<Inspection>,
        out: &mut Vec<Action>,
    ) {
        let Some(inspection) = state.filter(|_| asked >= self.life.woke) else {
            return;
        };
        self.verify(replica, &inspection.works, out);
        let pool = self
            .replicas
            .backends
            .get(&replica)
            .map(|backend| backend.pool);
        if let Some(pool) = pool.filter(|pool| self.pools.cells.contains_key(pool)) {
            self.take_report(pool, replica, &inspection);
            self.sweep(pool, replica, &inspection.works, out);
        }
    }

    fn take_report(&mut self, pool: Pool, replica: Replica, inspection: &Inspection) {
        let now = self.now;
        let Some(kept) = self.pools.cells.get_mut(&pool) else {
            return;
        };
        let watch = kept.watches.entry(replica).or_default();
        watch.unanswered = None;
        watch.lost = false;
        let last = inspection.report.events.iter().map(|event| event.seq).max();
        watch.after = last.unwrap_or(watch.after);
        kept.cell.apply_report(now, replica, &inspection.report);
        self.timers.cells = now;
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
