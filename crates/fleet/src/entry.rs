//! Entries of the platform's list of instances.

use ident::Instance;
use ident::Zone;

/// One entry instance in the platform's list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: Zone,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

impl Entry {
    /// A live instance in `data_centre`.
    pub const fn new(instance: Instance, data_centre: Zone) -> Self {
        Self {
            instance,
            data_centre,
            leaving: false,
        }
    }
}
