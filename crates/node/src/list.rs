//! The platform's list of instances and replicas.

use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Zone;
use route::replica::Role;

/// Instances and replicas as last published by the platform, which may lag behind their state.
#[derive(Debug, Clone, Default)]
pub struct PlatformList {
    /// Listed entry instances.
    pub instances: Vec<ListedInstance>,
    /// Listed replicas.
    pub replicas: Vec<ListedReplica>,
}

/// An entry instance in the list.
#[derive(Debug, Clone)]
pub struct ListedInstance {
    /// Hash of its name.
    pub instance: Instance,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// Address for callers, as `ip:port`.
    pub caller: String,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// A replica in the list.
#[derive(Debug, Clone)]
pub struct ListedReplica {
    /// Hash of its name.
    pub replica: Replica,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// Hash of the name of the service that it serves.
    pub pool: Pool,
    /// Role in its pool.
    pub role: Role,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it rejects outdated fencing numbers.
    pub fences: bool,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}
