//! What a request takes from its customer's quota.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::local_budget::SpendId;

use crate::quota::asking;
use crate::quotas::Demand;
use crate::shared::Shared;

/// Least time for which the keeper is asked first, once it told that nothing was left.
const STRICT: Duration = Duration::from_millis(500);

/// Units of a customer that a request uses; given back if this is dropped and the request did not run.
#[derive(Debug)]
pub struct Charge {
    shared: Rc<Shared>,
    demand: Demand,
    source: Source,
    ran: Cell<bool>,
}

/// Where units were taken from.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// The bucket of the daemon that listens there; of this one if `None`.
    Keeper(Option<SocketAddr>),
    /// The own pocket.
    Pocket(SpendId),
}

impl Charge {
    /// What was taken from `source` for `demand`.
    pub fn new(shared: &Rc<Shared>, demand: Demand, source: Source) -> Self {
        Self {
            shared: Rc::clone(shared),
            demand,
            source,
            ran: Cell::new(false),
        }
    }

    /// Notes whether the request may have run; tells what was noted before.
    pub fn set_ran(&self, ran: bool) -> bool {
        self.ran.replace(ran)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        match (self.source, self.ran.get()) {
            (Source::Keeper(_), true) => {}
            (Source::Keeper(keeper), false) => {
                asking::give_back(&self.shared, keeper, self.demand);
            }
            (Source::Pocket(number), false) => {
                self.shared
                    .quotas
                    .borrow_mut()
                    .local_budget(self.demand.subject)
                    .settle(number);
            }
            (Source::Pocket(number), true) => {
                let shared = Rc::clone(&self.shared);
                tokio::task::spawn_local(report(shared, self.demand, number));
            }
        }
    }
}

/// Has a request counted that ran unasked.
async fn report(shared: Rc<Shared>, demand: Demand, number: SpendId) {
    let heard = asking::ask(&shared, demand, Purpose::Ran).await;
    let decision = heard.map(|heard| heard.told.decision);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let pocket = quotas.local_budget(demand.subject);
    match decision {
        Some(Decision::Counted) => pocket.settle(number),
        Some(Decision::Overdrawn { free_ms }) => {
            let free_in = Duration::from_millis(free_ms.into());
            pocket.ask_keeper_first(now, free_in.max(STRICT));
        }
        // It counts against the pocket until it leaves the window.
        _ => {}
    }
}
