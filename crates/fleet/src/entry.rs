//! Entries of the platform's list of instances.

use ident::Instance;
use ident::Zone;

/// One entry instance as the platform lists it; the list lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The instance.
    pub instance: Instance,
    /// Its data centre.
    pub zone: Zone,
    /// Whether the platform says that it is leaving.
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
