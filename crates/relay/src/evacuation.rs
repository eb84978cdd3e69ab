//! Evacuated data centres, whose replicas get no requests.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;

/// How long an evacuation stays in force that is missing from the first reading of a new era: the
/// copy from which the store came back may lack it, and the operator writes it again.
const GRACE: Duration = Duration::from_secs(2);

/// The evacuated data centres as of a version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the store; 0 if the set has never been read.
    version: Revision,
    /// Names of the evacuated data centres.
    names: BTreeSet<String>,
}

/// The evacuations in force: those of the newest reading, and those that a new era lacks.
#[derive(Debug, Default)]
pub struct InForce {
    reading: Evacuations,
    /// Evacuations of an earlier era that are missing from `reading`.
    missing: BTreeSet<String>,
    /// Until when they are in force.
    missing_until: Time,
}

/// Begin or end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the evacuation begins.
    pub begins: bool,
    /// Version of the store at which the change was made.
    pub version: Revision,
}

impl Evacuations {
    /// The evacuated data centres `names` as of `version`.
    pub fn new(version: Revision, names: impl Iterator<Item = String>) -> Self {
        Self {
            version,
            names: names.collect(),
        }
    }

    /// Version of the store that the set corresponds to; 0 if it has never been read.
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// Sets the era of the version, which a peer sends apart from it.
    pub const fn set_era(&mut self, era: u64) {
        self.version.era = era;
    }

    /// Names of the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// The set as of `version`, after `changes` read from the store. Changes that the set already
    /// includes are skipped: a watch may start before the version that a peer has sent.
    #[must_use]
    pub fn after(&self, version: Revision, changes: &[Change]) -> Self {
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
}

impl InForce {
    /// The newest reading.
    pub const fn reading(&self) -> &Evacuations {
        &self.reading
    }

    /// Names of the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let missing = self.missing.iter().map(String::as_str);
        self.reading.names().chain(missing)
    }

    /// The evacuated data centres.
    pub fn data_centres(&self) -> BTreeSet<Zone> {
        self.names().map(Zone::new).collect()
    }

    /// Puts `reading` in force if it is newer, and returns the evacuations that begin or end at
    /// `now`. One that a new era lacks ends only after [`GRACE`].
    pub fn update(&mut self, now: Time, reading: &Evacuations) -> Vec<Change> {
        let is_newer = reading.version > self.reading.version;
        let has_ended = !self.missing.is_empty() && now >= self.missing_until;
        if !is_newer && !has_ended {
            return Vec::new();
        }
        let before = self.owned_names();
        if reading.version.era > self.reading.version.era {
            self.missing.clone_from(&before);
            self.missing_until = now + GRACE;
        }
        if is_newer {
            self.reading.clone_from(reading);
        }
        if now >= self.missing_until {
            self.missing.clear();
        }
        let listed = &self.reading.names;
        self.missing.retain(|name| !listed.contains(name));
        let after = self.owned_names();
        let begun = after.difference(&before).map(|name| (name, true));
        let ended = before.difference(&after).map(|name| (name, false));
        let changes = begun.chain(ended).map(|(name, begins)| Change {
            data_centre: name.clone(),
            begins,
            version: self.reading.version,
        });
        changes.collect()
    }

    fn owned_names(&self) -> BTreeSet<String> {
        self.names().map(str::to_owned).collect()
    }
}
