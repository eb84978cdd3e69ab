//! Entries of the platform's list of instances.

use ident::Instance;
use ident::Zone;

/// One entry instance in the platform's list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The instance.
    pub instance: Instance,
    /// Its data centre.
    pub zone: Zone,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

impl Entry {
    /// A live instance in `zone`.
    pub const fn new(instance: Instance, zone: Zone) -> Self {
        Self {
            instance,
            zone,
            leaving: false,
        }
    }
}
