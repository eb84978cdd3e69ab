//! How large a simulation is.

/// How large a simulation is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Data centres, spread over `list::REGIONS` regions.
    pub zones: usize,
    /// Replicas on the list from `Simulation::settle` on.
    pub replicas: usize,
    /// Pools, each with its own model.
    pub pools: usize,
    /// Rows of the table.
    pub rows: usize,
}
