//! Evacuated data centres.

use relay::evacuation::Evacuations;

use crate::shared::Shared;

impl Shared {
    /// The evacuated data centres, with the version of the store that they correspond to.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations.borrow().reading().clone()
    }

    /// Ends the evacuations that the store has not listed again in a new era.
    pub fn end_missing_evacuations(&self) {
        self.apply_evacuations("store", &Evacuations::default());
    }

    /// Puts `newer` in force if it is newer than the known evacuations; `source` says where it came
    /// from.
    pub fn apply_evacuations(&self, source: &'static str, newer: &Evacuations) {
        let now = self.clock.now();
        let mut evacuations = self.evacuations.borrow_mut();
        let changes = evacuations.update(now, newer);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            log::warn!(kind = "evacuation", evacuated_data_centre = change.data_centre, begins = change.begins, era = change.version.era, version = change.version.version, source = source; "the evacuation of a data centre begins or ends");
        }
        let evacuated = evacuations.data_centres();
        self.metrics.evacuated(evacuations.names());
        self.pool.borrow_mut().set_evacuated(now, evacuated);
    }
}
