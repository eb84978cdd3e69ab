//! Names, the platform's list and the table of a world.

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

use crate::world::size::Size;

/// Regions that the data centres are spread over.
pub const REGIONS: usize = 3;
/// Requests that a replica of each role runs at once.
const PREFILL_SLOTS: u32 = 8;
const DECODE_SLOTS: u32 = 20;
const CEILING: u32 = 1_000_000;

/// The list, which holds no replicas at first.
#[derive(Debug)]
pub struct Listing {
    instances: Vec<ListedInstance>,
    replicas: Vec<ListedReplica>,
    shows_replicas: bool,
}

impl Listing {
    /// The list of a world of `size`.
    pub(super) fn new(size: &Size) -> Self {
        Self {
            instances: (0..size.daemons).map(|index| seat(index, size)).collect(),
            replicas: (0..size.replicas)
                .map(|index| backend(index, size))
                .collect(),
            shows_replicas: false,
        }
    }

    /// Shows the replicas from now on.
    pub(super) fn list_replicas(&mut self) {
        self.shows_replicas = true;
    }

    /// The list as the platform shows it now.
    pub(super) fn list(&self) -> PlatformList {
        PlatformList {
            instances: self.instances.clone(),
            replicas: if self.shows_replicas {
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

/// The name of data centre `zone`.
pub fn zone_name(zone: usize) -> String {
    format!("region-{}-centre-{zone}", region(zone))
}

/// The name of daemon `index`.
pub fn instance_name(index: usize) -> String {
    format!("entry-{index}")
}

/// The key of daemon `index`.
pub fn instance(index: usize) -> Instance {
    Instance::new(&instance_name(index))
}

/// The name of pool `pool`, and of its service.
pub fn pool_name(pool: usize) -> String {
    format!("model-{pool}")
}

/// The name of replica `index`.
pub fn replica_name(index: usize) -> String {
    format!("engine-{index}")
}

/// A third of each pool's replicas run prefills.
pub const fn role(index: usize, pools: usize) -> Role {
    if (index / pools).is_multiple_of(3) {
        Role::Prefill
    } else {
        Role::Decode
    }
}

/// The table: one row a pool for class `default`, then further classes until there are enough.
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

fn seat(index: usize, size: &Size) -> ListedInstance {
    ListedInstance {
        instance: instance(index),
        name: instance_name(index),
        zone: Zone::new(&zone_name(index % size.zones)),
        caller: format!("10.0.{}.{}:7001", index / 250, index % 250),
        leaving: false,
    }
}

fn backend(index: usize, size: &Size) -> ListedReplica {
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
