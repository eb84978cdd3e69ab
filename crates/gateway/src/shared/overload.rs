//! Overload of instances of this data centre, and which instances are advertised to callers.

use std::time::Duration;

use ident::Time;
use relay::directory::Scope;
use relay::overload::Overload;

use crate::shared::Shared;

impl Shared {
    /// Records that a timer of this daemon fired `late`.
    pub fn record_delay(&self, late: Duration) {
        self.update_overload(|overload, now| overload.record_delay(now, late));
    }

    /// Records that another instance of this data centre reports its own overload.
    pub fn record_overload_report(&self) {
        self.update_overload(Overload::record_report);
    }

    /// Records that the poller reports an overloaded instance of this data centre.
    pub fn record_relayed_report(&self) {
        self.update_overload(Overload::record_relayed_report);
    }

    fn update_overload(&self, change: impl FnOnce(&mut Overload, Time)) {
        let now = self.clock.now();
        let mut overload = self.overload.borrow_mut();
        let before = overload.lists_all_instances(now);
        change(&mut overload, now);
        if overload.lists_all_instances(now) && !before {
            log::info!(kind = "overload", own = overload.is_local(); "an instance is overloaded; all instances of the data centre are advertised");
        }
    }

    /// Whether this daemon is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overload.borrow().is_local()
    }

    /// Which instances are advertised to callers.
    pub fn advertised_scope(&self) -> Scope {
        let lists_all = self.overload.borrow().lists_all_instances(self.clock.now());
        if lists_all { Scope::All } else { Scope::Large }
    }
}
