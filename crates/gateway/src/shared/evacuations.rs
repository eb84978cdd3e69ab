//! Evacuated data centres.

use relay::evacuation::Evacuations;

use crate::shared::Shared;

impl Shared {
    /// The evacuated data centres, with the version of the store that they correspond to.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations.borrow().clone()
    }

    /// Puts `newer` in force if it is newer than the known evacuations; `source` says where it came
    /// from.
    pub fn apply_evacuations(&self, source: &'static str, newer: &Evacuations) {
        let mut evacuations = self.evacuations.borrow_mut();
        let changes = evacuations.merge(newer);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            log::warn!(kind = "evacuation", evacuated_data_centre = change.data_centre, begins = change.begins, version = change.version, source = source; "the evacuation of a data centre begins or ends");
        }
        let evacuated = evacuations.data_centres();
        self.metrics.evacuated(evacuations.names());
        let now = self.clock.now();
        self.pool.borrow_mut().set_evacuated(now, evacuated);
    }
}
