//! Generates the names, the platform's list and the table of a simulation.

use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Zone;
use node::list::ListedInstance;
use node::list::ListedReplica;
use node::list::PlatformList;
use route::replica::Role;
use table::Table;
use table::row::Row;

use crate::simulation::size::Size;

/// Number of regions, to which the data centres are assigned in turn.
pub const REGIONS: usize = 3;
/// Most concurrent requests of a replica of each role.
const PREFILL_SLOTS: u32 = 8;
const DECODE_SLOTS: u32 = 20;
const CEILING: u32 = 1_000_000;

/// The platform's list, without replicas at first.
#[derive(Debug)]
pub struct Listing {
    instances: Vec<ListedInstance>,
    replicas: Vec<ListedReplica>,
    replicas_listed: bool,
}

impl Listing {
    /// The list of a simulation of `size`.
    pub(super) fn new(size: &Size) -> Self {
        Self {
            instances: (0..size.daemons)
                .map(|index| listed_instance(index, size))
                .collect(),
            replicas: (0..size.replicas)
                .map(|index| listed_replica(index, size))
                .collect(),
            replicas_listed: false,
        }
    }

    /// Adds the replicas to the list.
    pub(super) fn list_replicas(&mut self) {
        self.replicas_listed = true;
    }

    /// The current list.
    pub(super) fn list(&self) -> PlatformList {
        PlatformList {
            instances: self.instances.clone(),
            replicas: if self.replicas_listed {
                self.replicas.clone()
            } else {
                Vec::new()
            },
        }
    }
}

/// The region of data centre `zone`.
pub const fn region(zone: usize) -> usize {
    zone % REGIONS
}

/// Name of data centre `zone`.
pub fn zone_name(zone: usize) -> String {
    format!("region-{}-centre-{zone}", region(zone))
}

/// Name of daemon `index`.
pub fn instance_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Id of daemon `index`.
pub fn instance(index: usize) -> Instance {
    Instance::new(&instance_name(index))
}

/// Name of pool `pool` and of its service.
pub fn pool_name(pool: usize) -> String {
    format!("model-{pool}")
}

/// Name of replica `index`.
pub fn replica_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Role of replica `index`: a third of each pool's replicas run prefills.
pub const fn role(index: usize, pools: usize) -> Role {
    if (index / pools).is_multiple_of(3) {
        Role::Prefill
    } else {
        Role::Decode
    }
}

/// The table: one row per pool for class `default`, then rows for further classes up to `size.rows`.
pub fn table(size: &Size) -> Table {
    let rows = (0..size.rows.max(size.pools)).map(|index| {
        let pool = pool_name(index % size.pools);
        let class = match index / size.pools {
            0 => "default".to_owned(),
            class => format!("class-{class}"),
        };
        Row {
            prefill_ceiling: CEILING,
            decode_ceiling: CEILING,
            ..Row::new(&pool, &class, &pool)
        }
    });
    Table::new(1, rows.collect())
}

fn listed_instance(index: usize, size: &Size) -> ListedInstance {
    ListedInstance {
        instance: instance(index),
        name: instance_name(index),
        zone: Zone::new(&zone_name(index % size.zones)),
        caller: format!("10.0.{}.{}:7001", index / 250, index % 250),
        leaving: false,
    }
}

fn listed_replica(index: usize, size: &Size) -> ListedReplica {
    let role = role(index, size.pools);
    ListedReplica {
        replica: Replica::new(&replica_name(index)),
        name: replica_name(index),
        zone: Zone::new(&zone_name(index / size.pools % size.zones)),
        pool: Pool::new(&pool_name(index % size.pools)),
        role,
        slots: match role {
            Role::Prefill => PREFILL_SLOTS,
            Role::Decode | Role::Plain => DECODE_SLOTS,
        },
        fences: true,
        leaving: false,
    }
}
