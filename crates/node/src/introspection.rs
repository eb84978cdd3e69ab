//! Read-only views of a daemon's state.

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

/// Weight of an address in the caller's data centre.
const LOCAL_WEIGHT: u32 = 10;
/// Weight of an address in another data centre.
const REMOTE_WEIGHT: u32 = 1;

impl Node {
    /// Returns the table in force on this daemon.
    pub fn table(&self) -> Option<&Table> {
        self.tables.view.table()
    }

    /// Returns the state of this daemon.
    pub fn status(&self, now: Time) -> Status {
        Status {
            name: self.settings.name.clone(),
            incarnation: self.incarnation().to_string(),
            generation: self.tables.view.generation(),
            fresh: self.tables.view.is_fresh(now) && self.replicas.has_list,
            store_age_ms: self.tables.sync.store_age(now).map(millis),
            leaving: self.lifecycle.leaving.is_some(),
            open: self.requests.open.len(),
            holds: self.requests.holds.len(),
            keys: self.requests.keys.len(),
            pools: self.pools(),
            members: self
                .members
                .listed
                .values()
                .map(|listed| self.member(now, listed.instance))
                .collect(),
        }
    }

    fn pools(&self) -> Vec<Pool> {
        self.pools
            .kept
            .values()
            .map(|kept| Pool {
                name: kept.name.clone(),
                waiting: kept.scheduler.waiting(),
                placed: kept.scheduler.in_progress(),
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
            generation: self.tables.sync.peer_generation(instance),
            heard_ms: self
                .members
                .fleet
                .last_heard(instance)
                .map(|heard| millis(now.since(heard))),
        }
    }

    /// Returns the addresses of live instances that admit requests, those in `near` first.
    pub fn addresses(&self, _now: Time, near: Zone) -> Vec<Address> {
        let mut addresses: Vec<Address> = self
            .members
            .fleet
            .serving()
            .filter_map(|member| {
                let listed = self.members.listed.get(&member.instance)?;
                let marked = self
                    .tables
                    .view
                    .table()
                    .is_some_and(|table| table.is_instance_draining(&listed.name));
                let usable = !listed.leaving && !marked;
                usable.then(|| Address {
                    name: listed.name.clone(),
                    address: listed.caller.clone(),
                    zone: listed.zone,
                    runner: member.incarnation,
                    weight: if listed.zone == near {
                        LOCAL_WEIGHT
                    } else {
                        REMOTE_WEIGHT
                    },
                })
            })
            .collect();
        addresses.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        addresses
    }
}
