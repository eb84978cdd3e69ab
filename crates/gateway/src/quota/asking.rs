//! Questions about quotas, and their answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::local_budget::SpendId;
use customer::quota::Limit;
use customer::subject::Subject;
use tokio::sync::oneshot;

use crate::gossip;
use crate::quota::keeping;
use crate::quota::keeping::UNANSWERED;
use crate::quotas::Demand;
use crate::quotas::Message;
use crate::quotas::Pending;
use crate::shared::Shared;

/// Time that a daemon gets for an answer; a round trip takes some milliseconds, and a busy daemon some ten.
const PATIENCE: Duration = Duration::from_millis(100);
/// Time for which a daemon that did not answer is not asked: each question would cost its request [`PATIENCE`].
const SILENCE: Duration = Duration::from_secs(1);
/// Time after which an answer is not waited for to give back what it grants.
const FORGOTTEN: Duration = Duration::from_secs(5);

/// An answer, and whose it is.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    /// What was told.
    pub told: QuotaReply,
    /// Where the daemon listens that told it; `None` for this one.
    pub keeper: Option<SocketAddr>,
}

impl Heard {
    /// Where the answer came from, in words.
    pub fn name(&self, shared: &Shared) -> String {
        match self.keeper {
            Some(keeper) => keeper.ip().to_string(),
            None => shared.own_info().name,
        }
    }
}

/// Spends from the own pocket, if the customer has used little of it.
pub fn spend_unasked(shared: &Shared, demand: Demand) -> Option<SpendId> {
    let (window, allowance) = pocket(shared, demand.limit);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let pocket = quotas.local_budget(demand.subject);
    pocket.spend(now, window, allowance, demand.units)
}

/// Spends from the own pocket, since nobody can be asked.
pub fn overspend(shared: &Shared, demand: Demand) -> Option<SpendId> {
    let (window, allowance) = pocket(shared, demand.limit);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let pocket = quotas.local_budget(demand.subject);
    pocket.overspend(now, window, allowance, demand.units)
}

/// Window and size of a pocket.
fn pocket(shared: &Shared, limit: Limit) -> (Duration, f64) {
    let tolerance = shared.settings().quota_tolerance();
    let daemons = shared.members.borrow().known_count();
    (tolerance.window, tolerance.local_budget(limit, daemons))
}

/// Asks the keeper, and its deputy where the keeper is silent or cannot tell; `None` if neither tells.
pub async fn ask(shared: &Rc<Shared>, demand: Demand, purpose: Purpose) -> Option<Heard> {
    let mut keepers = shared.members.borrow().keepers(demand.subject.key());
    if matches!(demand.subject, Subject::Replica(_)) {
        // Only the keeper may grant requests to a replica.
        keepers.truncate(1);
    }
    let own = shared.own_info().instance();
    for (instance, address) in keepers {
        let heard = if instance == own {
            Some(Heard {
                told: keeping::decide(shared, &demand.request(purpose), demand.limit),
                keeper: None,
            })
        } else {
            let told = question(shared, address, demand, purpose).await;
            told.map(|told| Heard {
                told,
                keeper: Some(address),
            })
        };
        if let Some(heard) = heard.filter(|heard| heard.told.decision != Decision::Unsure) {
            return Some(heard);
        }
    }
    None
}

/// Gives back to the daemon at `keeper`, or this one, what a request that did not run has taken.
pub fn give_back(shared: &Rc<Shared>, keeper: Option<SocketAddr>, demand: Demand) {
    let ask = demand.request(Purpose::GiveBack);
    let Some(keeper) = keeper else {
        keeping::decide(shared, &ask, demand.limit);
        return;
    };
    let shared = Rc::clone(shared);
    let message = keeping::giving_back(demand);
    tokio::task::spawn_local(async move { gossip::send_quota(&shared, keeper, message).await });
}

/// Asks the daemon at `to`; `None` if it does not answer in time, or did not just now.
async fn question(
    shared: &Shared,
    to: SocketAddr,
    demand: Demand,
    purpose: Purpose,
) -> Option<QuotaReply> {
    let now = shared.clock.now();
    let (answer, answered) = oneshot::channel();
    let number = rand::random_range(UNANSWERED + 1..=u32::MAX);
    {
        let mut quotas = shared.quotas.borrow_mut();
        quotas.unresponsive.retain(|_, until| *until > now);
        if quotas.unresponsive.contains_key(&to) {
            return None;
        }
        quotas
            .pending
            .retain(|_, pending| now.since(pending.sent) < FORGOTTEN);
        let pending = Pending {
            to,
            demand,
            sent: now,
            answer,
        };
        quotas.pending.insert(number, pending);
    }
    let message = Message::Ask {
        number,
        ask: demand.request(purpose),
        limit: demand.limit,
    };
    gossip::send_quota(shared, to, message).await;
    match timeout(PATIENCE, answered).await {
        Ok(told) => told.ok(),
        Err(_) => {
            let until = shared.clock.now() + SILENCE;
            shared.quotas.borrow_mut().unresponsive.insert(to, until);
            log::info!(kind = "quota", peer = to.to_string(), ms = PATIENCE.as_millis() as u64; "a daemon that keeps quotas does not answer");
            None
        }
    }
}
