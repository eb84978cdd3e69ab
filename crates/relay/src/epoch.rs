//! That one software version alone served a service, as recorded for daemons that start later.
//!
//! A daemon that has just started cannot know which versions served before. If all daemons start
//! together, nobody can tell it, and no caller could resume its stream.

use serde::Deserialize;
use serde::Serialize;

use crate::replica::Delta;

/// A record of a daemon that followed the list of replicas for as long as a stream can be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The only software version that served.
    pub software: String,
    /// Version of the store up to which that holds.
    pub list: u64,
}

impl Epoch {
    /// The record that `software` alone served up to version `list` of the store.
    pub const fn new(software: String, list: u64) -> Self {
        Self { software, list }
    }

    /// Whether it still holds for `service` after `changes` of the replicas since [`Self::list`].
    ///
    /// A replica that is gone may have come after the record, with any version.
    pub fn holds_after(&self, service: &str, changes: &Delta) -> bool {
        let is_complete = changes.since <= self.list && changes.gone.is_empty();
        let mut others = changes.replicas.iter().filter(|replica| {
            replica.service == service && replica.software.as_deref() != Some(&self.software)
        });
        is_complete && others.next().is_none()
    }
}
