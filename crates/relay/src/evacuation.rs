//! Evacuated data centres, whose replicas get no requests.

use std::collections::BTreeSet;

use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// The evacuated data centres as of a version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the store; 0 if the set has never been read.
    version: u64,
    /// Names of the evacuated data centres.
    names: BTreeSet<String>,
}

/// Begin or end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the evacuation begins.
    pub begins: bool,
    /// Version of the store at which the change was made.
    pub version: u64,
}

impl Evacuations {
    /// The evacuated data centres `names` as of `version`.
    pub fn new(version: u64, names: impl Iterator<Item = String>) -> Self {
        Self {
            version,
            names: names.collect(),
        }
    }

    /// Version of the store that the set corresponds to; 0 if it has never been read.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Names of the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// The evacuated data centres.
    pub fn data_centres(&self) -> BTreeSet<Zone> {
        self.names().map(Zone::new).collect()
    }

    /// The set as of `version`, after `changes` read from the store. Changes that the set already
    /// includes are skipped: a watch may start before the version that a peer has sent.
    #[must_use]
    pub fn after(&self, version: u64, changes: &[Change]) -> Self {
        let mut names = self.names.clone();
        for change in changes.iter().filter(|c| c.version > self.version) {
            if change.begins {
                names.insert(change.data_centre.clone());
            } else {
                names.remove(&change.data_centre);
            }
        }
        Self { version, names }
    }

    /// Replaces the set by `other` if that is newer, and returns the evacuations that begin or end
    /// by that.
    pub fn merge(&mut self, other: &Self) -> Vec<Change> {
        if other.version <= self.version {
            return Vec::new();
        }
        let begun = other.names.difference(&self.names);
        let ended = self.names.difference(&other.names);
        let begun = begun.map(|name| (name, true));
        let changes = begun.chain(ended.map(|name| (name, false)));
        let changes = changes.map(|(name, begins)| Change {
            data_centre: name.clone(),
            begins,
            version: other.version,
        });
        let changes = changes.collect();
        self.clone_from(other);
        changes
    }
}
