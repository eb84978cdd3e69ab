//! How much of the past the list of replicas shows.

/// What the list shows of the replicas that ever served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum History {
    /// All since it was first read.
    #[default]
    Followed,
    /// All there ever were, since the whole system started for the first time.
    Complete,
    /// Not all since it was first read: replicas may have come and left unseen.
    Gap,
}
