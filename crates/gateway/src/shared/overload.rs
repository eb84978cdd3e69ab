//! Whether instances of this data centre are overloaded, and which ones callers are told of.

use std::time::Duration;

use ident::Time;
use relay::directory::Breadth;
use relay::overload::Overload;

use crate::shared::Shared;

impl Shared {
    /// Notes that a timer of this daemon came `late`.
    pub fn note_late(&self, late: Duration) {
        self.update_overload(|overload, now| overload.note(now, late));
    }

    /// Notes that another instance of this data centre told that it is overloaded.
    pub fn note_overloaded_peer(&self) {
        self.update_overload(Overload::heard);
    }

    /// Notes that an instance heard of one of this data centre that is overloaded.
    pub fn note_reported_overload(&self) {
        self.update_overload(Overload::told);
    }

    fn update_overload(&self, change: impl FnOnce(&mut Overload, Time)) {
        let now = self.clock.now();
        let mut overload = self.overload.borrow_mut();
        let before = overload.spreads(now);
        change(&mut overload, now);
        if overload.spreads(now) && !before {
            log::info!(kind = "overload", own = overload.is_own(); "an instance is overloaded; callers are told of all instances of the data centre");
        }
    }

    /// Whether this daemon is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overload.borrow().is_own()
    }

    /// Which instances callers are told of.
    pub fn breadth(&self) -> Breadth {
        let spreads = self.overload.borrow().spreads(self.clock.now());
        if spreads {
            Breadth::All
        } else {
            Breadth::Large
        }
    }
}
