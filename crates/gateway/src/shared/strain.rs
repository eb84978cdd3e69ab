//! Whether instances of this data centre are strained, and which ones callers are told of.

use std::time::Duration;

use ident::Time;
use relay::directory::Breadth;
use relay::strain::Strain;

use crate::shared::Shared;

impl Shared {
    /// Notes that a timer of this daemon came `late`.
    pub fn note_late(&self, late: Duration) {
        self.strained(|strain, now| strain.note(now, late));
    }

    /// Notes that another instance of this data centre told that it is strained.
    pub fn heard_strain(&self) {
        self.strained(Strain::heard);
    }

    /// Notes that an instance heard of one of this data centre that is strained.
    pub fn told_strain(&self) {
        self.strained(Strain::told);
    }

    fn strained(&self, change: impl FnOnce(&mut Strain, Time)) {
        let now = self.clock.now();
        let mut strain = self.strain.borrow_mut();
        let before = strain.spreads(now);
        change(&mut strain, now);
        if strain.spreads(now) && !before {
            log::info!(kind = "strain", own = strain.is_own(); "an instance is strained; callers are told of all instances of the data centre");
        }
    }

    /// Whether this daemon is strained.
    pub fn is_strained(&self) -> bool {
        self.strain.borrow().is_own()
    }

    /// Which instances callers are told of.
    pub fn breadth(&self) -> Breadth {
        let spreads = self.strain.borrow().spreads(self.clock.now());
        if spreads {
            Breadth::All
        } else {
            Breadth::Large
        }
    }
}
