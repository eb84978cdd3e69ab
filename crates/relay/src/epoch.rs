//! Record that one software version alone served a service, for daemons that start later.
//!
//! A daemon that has just started cannot know which versions served before. If all daemons start
//! together, nobody can tell it, and no caller could resume its stream.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use crate::claims::incarnation_hash;
use crate::replica::Delta;
use crate::replica::Replica;
use crate::revision::Revision;

/// Maximum number of replicas that a record lists: it has to fit into a row of the store.
const MAX_LISTED: usize = 1_000;

/// A record of a daemon that followed the list of replicas for as long as a stream can be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The only software version that served.
    pub software: String,
    /// Version of the store up to which that holds.
    list: u64,
    /// Era of that version; earlier records have none.
    #[serde(default)]
    era: u64,
    /// The replicas that were listed then, in order; empty if they were too many.
    #[serde(default)]
    listed: Vec<Listed>,
}

/// Hashes of a listed replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Listed {
    id: u32,
    /// Of its id and start.
    incarnation: u32,
    /// Whether it reports its start, and may restart under its id.
    born: bool,
}

impl Epoch {
    /// The record that `software` alone served up to version `list` of the store.
    pub const fn new(software: String, list: Revision) -> Self {
        Self {
            software,
            list: list.version,
            era: list.era,
            listed: Vec::new(),
        }
    }

    /// Version of the store up to which it holds.
    pub const fn list(&self) -> Revision {
        Revision::new(self.era, self.list)
    }

    /// Returns the record with the `replicas` that were listed.
    #[must_use]
    pub fn with_listed<'a>(self, replicas: impl Iterator<Item = &'a Replica>) -> Self {
        let mut listed: Vec<Listed> = replicas.take(MAX_LISTED + 1).map(Listed::new).collect();
        if listed.len() > MAX_LISTED {
            listed.clear();
        }
        listed.sort_unstable();
        Self { listed, ..self }
    }

    /// Whether it still holds for `service` after `changes` of the replicas since [`Self::list`],
    /// which must be of the same era.
    pub fn holds_after(&self, service: &str, changes: &Delta) -> bool {
        let mut listed = changes.replicas.iter();
        let mut gone = changes.gone.iter();
        let list = self.list();
        changes.since.era == list.era
            && changes.version.era == list.era
            && changes.since <= list
            && listed.all(|replica| replica.service != service || self.allows(replica))
            && gone.all(|id| self.allows_end(id))
    }

    /// Whether no other version can have served at `replica` since the record: a new incarnation may
    /// not be the first one after that of the record.
    fn allows(&self, replica: &Replica) -> bool {
        let now = Listed::new(replica);
        let is_same = self.find(now.id).is_some_and(|listed| *listed == now);
        replica.software.as_deref() == Some(&self.software) && (is_same || !now.born)
    }

    /// Whether no other version can have served at the replica `id`, which is gone. One that was not
    /// listed came after the record, and one that reports its start may have restarted.
    fn allows_end(&self, id: &str) -> bool {
        let listed = self.find(id_hash(id));
        listed.is_some_and(|listed| !listed.born)
    }

    fn find(&self, id: u32) -> Option<&Listed> {
        let found = self.listed.binary_search_by_key(&id, |listed| listed.id);
        found.ok().map(|index| &self.listed[index])
    }
}

impl Listed {
    fn new(replica: &Replica) -> Self {
        Self {
            id: id_hash(&replica.id),
            incarnation: incarnation_hash(&replica.id, replica.birth) as u32,
            born: replica.birth.is_some(),
        }
    }
}

/// Hash of the id of a replica; equal at every daemon.
fn id_hash(id: &str) -> u32 {
    rapidhash_v3(id.as_bytes()) as u32
}
