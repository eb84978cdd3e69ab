//! Name and addresses of an instance, as it publishes them to others.

use std::net::SocketAddr;

use ident::Instance;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Name and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub name: String,
    /// Data centre it runs in.
    pub data_centre: Zone,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peers: SocketAddr,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u32,
}

impl InstanceInfo {
    /// Key of the instance, derived from its name.
    pub fn instance(&self) -> Instance {
        Instance::new(&self.name)
    }
}
