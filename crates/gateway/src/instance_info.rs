//! How an instance makes itself known to others.

use std::net::SocketAddr;

use ident::Instance;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Name and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons reach it, by TCP and UDP.
    pub peers: SocketAddr,
    /// What its processor can do, in thousandths of a core.
    pub capacity: u32,
}

impl InstanceInfo {
    /// The key of the instance.
    pub fn instance(&self) -> Instance {
        Instance::new(&self.name)
    }
}
