//! What a daemon tells about itself, without changing.

use ident::Instance;
use ident::Time;
use ident::Zone;
use table::Table;

use crate::node::Node;
use crate::node::millis;
use crate::status::Address;
use crate::status::Member;
use crate::status::Pool;
use crate::status::Status;

/// Weight of an address in the asked data centre.
const NEAR_WEIGHT: u32 = 10;
/// Weight of an address elsewhere.
const FAR_WEIGHT: u32 = 1;

impl Node {
    /// The table in force here.
    pub fn table(&self) -> Option<&Table> {
        self.tables.view.table()
    }

    /// The state of this daemon.
    pub fn status(&self, now: Time) -> Status {
        Status {
            name: self.settings.name.clone(),
            incarnation: self.incarnation().to_string(),
            generation: self.tables.view.generation(),
            fresh: self.tables.view.fresh(now) && self.replicas.is_listed,
            store_age_ms: self.tables.desk.store_age(now).map(millis),
            leaving: self.life.leaving.is_some(),
            open: self.requests.open.len(),
            holds: self.requests.holds.len(),
            keys: self.requests.keys.len(),
            pools: self.pools(),
            members: self
                .members
                .seats
                .values()
                .map(|seat| self.member(now, seat.instance))
                .collect(),
        }
    }

    fn pools(&self) -> Vec<Pool> {
        self.pools
            .cells
            .values()
            .map(|kept| Pool {
                name: kept.name.clone(),
                waiting: kept.cell.waiting(),
                placed: kept.cell.in_progress(),
            })
            .collect()
    }

    fn member(&self, now: Time, instance: Instance) -> Member {
        let current = self.members.fleet.current(instance);
        let state = current.map_or_else(
            || "unheard".to_owned(),
            |member| format!("{:?}", member.state).to_lowercase(),
        );
        Member {
            name: self.instance_name(instance),
            state,
            generation: self.tables.desk.generation_told(instance),
            heard_ms: self
                .members
                .fleet
                .last_heard(instance)
                .map(|heard| millis(now.since(heard))),
        }
    }

    /// Addresses for callers: live instances that take requests, those of `near` first.
    pub fn addresses(&self, _now: Time, near: Zone) -> Vec<Address> {
        let mut addresses: Vec<Address> = self
            .members
            .fleet
            .serving()
            .filter_map(|member| {
                let seat = self.members.seats.get(&member.instance)?;
                let marked = self
                    .tables
                    .view
                    .table()
                    .is_some_and(|table| table.drains_instance(&seat.name));
                let usable = !seat.leaving && !marked;
                usable.then(|| Address {
                    name: seat.name.clone(),
                    address: seat.caller.clone(),
                    zone: seat.zone,
                    runner: member.incarnation,
                    weight: if seat.zone == near {
                        NEAR_WEIGHT
                    } else {
                        FAR_WEIGHT
                    },
                })
            })
            .collect();
        addresses.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        addresses
    }
}
