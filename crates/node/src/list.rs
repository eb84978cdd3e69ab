//! The platform's list, as the core needs it.

use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Zone;
use route::replica::Role;

/// Instances and replicas, as the platform last told; it lags.
#[derive(Debug, Clone, Default)]
pub struct PlatformList {
    /// Entry instances.
    pub instances: Vec<ListedInstance>,
    /// Replicas.
    pub replicas: Vec<ListedReplica>,
}

/// An entry instance on the list.
#[derive(Debug, Clone)]
pub struct ListedInstance {
    /// Key of its name.
    pub instance: Instance,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// Where callers connect, as `ip:port`.
    pub caller: String,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// A replica on the list.
#[derive(Debug, Clone)]
pub struct ListedReplica {
    /// Key of its name.
    pub replica: Replica,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// Key of the service it serves.
    pub pool: Pool,
    /// What it does.
    pub role: Role,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}
