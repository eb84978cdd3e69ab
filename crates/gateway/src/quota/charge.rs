//! Units that a request takes from its customer's quota.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::local_budget::SpendId;

use crate::quota::client;
use crate::quotas::Demand;
use crate::shared::Shared;

/// Minimum time for which the keeper is asked first after it reported an exhausted quota.
const MIN_ASK_FIRST_PERIOD: Duration = Duration::from_millis(500);

/// Units charged for a request; refunded if this is dropped and the request did not run.
#[derive(Debug)]
pub struct Charge {
    shared: Rc<Shared>,
    demand: Demand,
    source: Source,
    ran: Cell<bool>,
}

/// Where the units were taken from.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// The bucket of the daemon at this address, or of this one if `None`.
    Keeper(Option<SocketAddr>),
    /// The local budget of this daemon.
    LocalBudget(SpendId),
}

impl Charge {
    /// A charge for `demand` against `source`.
    pub fn new(shared: &Rc<Shared>, demand: Demand, source: Source) -> Self {
        Self {
            shared: Rc::clone(shared),
            demand,
            source,
            ran: Cell::new(false),
        }
    }

    /// Records whether the request may have run; returns the previous value.
    pub fn set_ran(&self, ran: bool) -> bool {
        self.ran.replace(ran)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        match (self.source, self.ran.get()) {
            (Source::Keeper(_), true) => {}
            (Source::Keeper(keeper), false) => {
                client::refund(&self.shared, keeper, self.demand);
            }
            (Source::LocalBudget(number), false) => {
                self.shared
                    .quotas
                    .borrow_mut()
                    .local_budget(self.demand.subject)
                    .settle(number);
            }
            (Source::LocalBudget(number), true) => {
                let shared = Rc::clone(&self.shared);
                tokio::task::spawn_local(report(shared, self.demand, number));
            }
        }
    }
}

/// Reports a request that ran without asking the keeper.
async fn report(shared: Rc<Shared>, demand: Demand, number: SpendId) {
    let reply = client::ask(&shared, demand, Purpose::Ran).await;
    let decision = reply.map(|reply| reply.answer.decision);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let budget = quotas.local_budget(demand.subject);
    match decision {
        Some(Decision::Counted) => budget.settle(number),
        Some(Decision::Overdrawn { free_ms }) => {
            let free_in = Duration::from_millis(free_ms.into());
            budget.ask_keeper_first(now, free_in.max(MIN_ASK_FIRST_PERIOD));
        }
        // It counts against the local budget until it leaves the window.
        _ => {}
    }
}
