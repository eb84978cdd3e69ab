//! Size of a simulation.

/// Size of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Data centres, in `list::REGIONS` regions.
    pub zones: usize,
    /// Replicas, which are listed at the end of `Simulation::settle`.
    pub replicas: usize,
    /// Pools, each with its own model.
    pub pools: usize,
    /// Rows of the table.
    pub rows: usize,
}
