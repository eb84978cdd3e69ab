//! That one software version alone served a service, as recorded for daemons that start later.
//!
//! A daemon that has just started cannot know which versions served before. If all daemons start
//! together, nobody can tell it, and no caller could resume its stream.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use crate::replica::Delta;

/// Maximum number of replicas that a record lists: their hashes have to fit into a row of the store.
const MAX_LISTED: usize = 4_000;

/// A record of a daemon that followed the list of replicas for as long as a stream can be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The only software version that served.
    pub software: String,
    /// Version of the store up to which that holds.
    pub list: u64,
    /// Hashes of the ids of the replicas that were listed then, in order; empty if they were too
    /// many.
    #[serde(default)]
    listed: Vec<u32>,
}

impl Epoch {
    /// The record that `software` alone served up to version `list` of the store.
    pub const fn new(software: String, list: u64) -> Self {
        Self {
            software,
            list,
            listed: Vec::new(),
        }
    }

    /// Returns the record with the replicas `ids` that were listed.
    #[must_use]
    pub fn with_listed<'a>(self, ids: impl Iterator<Item = &'a str>) -> Self {
        let mut listed: Vec<u32> = ids.take(MAX_LISTED + 1).map(id_hash).collect();
        if listed.len() > MAX_LISTED {
            listed.clear();
        }
        listed.sort_unstable();
        Self { listed, ..self }
    }

    /// Whether it still holds for `service` after `changes` of the replicas since [`Self::list`].
    ///
    /// A replica that reports its start may have restarted under its id, with another version in between.
    /// A replica that is gone and was not listed came after the record, with any version.
    pub fn holds_after(&self, service: &str, changes: &Delta) -> bool {
        let was_listed = |id: &String| self.listed.binary_search(&id_hash(id)).is_ok();
        let is_complete = changes.since <= self.list && changes.gone.iter().all(was_listed);
        let mut others = changes.replicas.iter().filter(|replica| {
            let is_same = replica.software.as_deref() == Some(&self.software);
            replica.service == service && (!is_same || replica.birth.is_some())
        });
        is_complete && others.next().is_none()
    }
}

/// Hash of the id of a replica; equal at every daemon.
fn id_hash(id: &str) -> u32 {
    rapidhash_v3(id.as_bytes()) as u32
}
