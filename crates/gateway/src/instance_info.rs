//! Name and addresses of an instance, as it publishes them to others.

use std::net::SocketAddr;

use ident::Instance;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name in bytes; datagrams contain up to two.
const MAX_NAME_BYTES: usize = 200;

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

    /// Whether other instances can send to it and pass it on.
    pub fn is_usable(&self) -> bool {
        let is_name = (1..=MAX_NAME_BYTES).contains(&self.name.len());
        let can_receive =
            |address: SocketAddr| address.port() > 0 && !address.ip().is_unspecified();
        is_name && can_receive(self.peers)
    }
}
