//! Whether instances of this data centre are overloaded, and which ones callers are told of.

use std::time::Duration;

use ident::Time;
use relay::directory::Scope;
use relay::overload::Overload;

use crate::shared::Shared;

impl Shared {
    /// Notes that a timer of this daemon came `late`.
    pub fn note_late(&self, late: Duration) {
        self.change_overload(|overload, now| overload.record_delay(now, late));
    }

    /// Notes that another instance of this data centre told that it is overloaded.
    pub fn heard_overload(&self) {
        self.change_overload(Overload::record_report);
    }

    /// Notes that an instance heard of one of this data centre that is overloaded.
    pub fn told_overload(&self) {
        self.change_overload(Overload::record_relayed_report);
    }

    fn change_overload(&self, change: impl FnOnce(&mut Overload, Time)) {
        let now = self.clock.now();
        let mut overload = self.overload.borrow_mut();
        let before = overload.lists_all_instances(now);
        change(&mut overload, now);
        if overload.lists_all_instances(now) && !before {
            log::info!(kind = "overload", own = overload.is_local(); "an instance is overloaded; callers are told of all instances of the data centre");
        }
    }

    /// Whether this daemon is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overload.borrow().is_local()
    }

    /// Which instances callers are told of.
    pub fn breadth(&self) -> Scope {
        let spreads = self.overload.borrow().lists_all_instances(self.clock.now());
        if spreads { Scope::All } else { Scope::Large }
    }
}
