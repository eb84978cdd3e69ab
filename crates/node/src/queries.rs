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
        self.view.table()
    }

    /// The state of this daemon.
    pub fn status(&self, now: Time) -> Status {
        Status {
            name: self.settings.name.clone(),
            incarnation: self.incarnation().to_string(),
            generation: self.view.generation(),
            fresh: self.view.fresh(now) && self.is_listed,
            store_age_ms: self.desk.store_age(now).map(millis),
            leaving: self.leaving.is_some(),
            open: self.open.len(),
            holds: self.holds.len(),
            keys: self.keys.len(),
            pools: self.pools(),
            members: self
                .seats
                .values()
                .map(|seat| self.member(now, seat.instance))
                .collect(),
        }
    }

    fn pools(&self) -> Vec<Pool> {
        self.cells
            .values()
            .map(|kept| Pool {
                name: kept.name.clone(),
                waiting: kept.cell.waiting(),
                placed: kept.cell.in_progress(),
            })
            .collect()
    }

    fn member(&self, now: Time, instance: Instance) -> Member {
        let current = self.fleet.current(instance);
        let state = current.map_or_else(
            || "unheard".to_owned(),
            |member| format!("{:?}", member.state).to_lowercase(),
        );
        Member {
            name: self.instance_name(instance),
            state,
            generation: self.desk.generation_told(instance),
            heard_ms: self
                .fleet
                .heard(instance)
                .map(|heard| millis(now.since(heard))),
        }
    }

    /// Addresses for callers: live instances that take requests, those of `near` first.
    pub fn addresses(&self, _now: Time, near: Zone) -> Vec<Address> {
        let mut addresses: Vec<Address> = self
            .fleet
            .serving()
            .filter_map(|member| {
                let seat = self.seats.get(&member.instance)?;
                let marked = self
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
