//! Asks other daemons for quota decisions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::keeper::Ruling;
use customer::local_budget::SpendId;
use customer::quota::Limit;
use customer::rank::Standing;
use customer::subject::Subject;
use tokio::sync::oneshot;

use crate::gossip;
use crate::quota::keeper;
use crate::quota::keeper::NO_REPLY;
use crate::quotas::Demand;
use crate::quotas::Message;
use crate::quotas::Pending;
use crate::shared::Shared;

/// Time for an answer. A round trip takes a few milliseconds, a busy daemon some tens.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an unresponsive daemon is not asked again; each attempt would delay its request
/// by [`ANSWER_TIMEOUT`].
const SILENT_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time for which an unanswered quota request is kept; older ones are removed when another
/// is sent. Units granted by an answer that arrives after [`ANSWER_TIMEOUT`] are refunded while its
/// request is kept; after that, the answer is ignored and the units are not refunded.
const PENDING_TIMEOUT: Duration = Duration::from_secs(5);

/// A decision on a quota, with its source.
#[derive(Debug, Clone, Copy)]
pub struct KeeperReply {
    /// The decision.
    pub answer: QuotaReply,
    /// Units that the request had to leave to those ahead of it.
    pub ahead: f64,
    /// Address of the daemon that decided; `None` for this one.
    pub keeper: Option<SocketAddr>,
}

impl KeeperReply {
    const fn new(ruling: Ruling, keeper: Option<SocketAddr>) -> Self {
        Self {
            answer: ruling.reply,
            ahead: ruling.ahead,
            keeper,
        }
    }

    /// Address or name of the daemon that decided.
    pub fn keeper_name(&self, shared: &Shared) -> String {
        match self.keeper {
            Some(keeper) => keeper.ip().to_string(),
            None => shared.own_info().name,
        }
    }
}

/// Takes units from the local budget, if the customer has used little of it.
pub fn spend_locally(shared: &Shared, demand: Demand) -> Option<SpendId> {
    let (window, allowance) = local_budget(shared, demand.limit);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let budget = quotas.local_budget(demand.subject);
    budget.spend(now, window, allowance, demand.units)
}

/// Takes units from the local budget because no keeper can be asked.
pub fn overspend_locally(shared: &Shared, demand: Demand) -> Option<SpendId> {
    let (window, allowance) = local_budget(shared, demand.limit);
    let now = shared.clock.now();
    let mut quotas = shared.quotas.borrow_mut();
    let budget = quotas.local_budget(demand.subject);
    budget.overspend(now, window, allowance, demand.units)
}

/// Window and size of a local budget.
fn local_budget(shared: &Shared, limit: Limit) -> (Duration, f64) {
    let tolerance = shared.settings().quota_tolerance();
    let daemons = shared.members.borrow().known_count();
    (tolerance.window, tolerance.local_budget(limit, daemons))
}

/// Asks the keeper, and its deputy if the keeper is unresponsive or undecided; `None` if neither
/// decides.
pub async fn ask(shared: &Rc<Shared>, demand: Demand, purpose: Purpose) -> Option<KeeperReply> {
    let mut keepers = shared.members.borrow().keepers(demand.subject.key());
    if matches!(demand.subject, Subject::Replica(_)) {
        // For a replica's limit, only the keeper may grant requests.
        keepers.truncate(1);
    }
    let own = shared.own_info().instance();
    for (instance, address) in keepers {
        let reply = if instance == own {
            let request = demand.request(purpose);
            let ruling = keeper::decide(shared, &request, demand.limit, demand.standing);
            Some(KeeperReply::new(ruling, None))
        } else {
            let ruling = ask_peer(shared, address, demand, purpose).await;
            ruling.map(|ruling| KeeperReply::new(ruling, Some(address)))
        };
        if let Some(reply) = reply.filter(|reply| reply.answer.decision != Decision::Unsure) {
            return Some(reply);
        }
    }
    None
}

/// Refunds the units of a request that did not run to the daemon at `keeper`, or to this one.
pub fn refund(shared: &Rc<Shared>, keeper: Option<SocketAddr>, demand: Demand) {
    let ask = demand.request(Purpose::GiveBack);
    let Some(keeper) = keeper else {
        keeper::decide(shared, &ask, demand.limit, None);
        return;
    };
    let shared = Rc::clone(shared);
    let message = keeper::refund_message(demand);
    tokio::task::spawn_local(async move { gossip::send_quota(&shared, keeper, message).await });
}

/// Asks the daemon at `to`; `None` if it does not answer in time, or failed to do so recently. One that
/// may be too old to read the standing is asked again without it.
async fn ask_peer(
    shared: &Shared,
    to: SocketAddr,
    demand: Demand,
    purpose: Purpose,
) -> Option<Ruling> {
    let now = shared.clock.now();
    let reads_standings = {
        let mut quotas = shared.quotas.borrow_mut();
        quotas.unresponsive.retain(|_, until| *until > now);
        if quotas.unresponsive.contains_key(&to) {
            return None;
        }
        quotas.reads_standings(now, to)
    };
    let is_run = matches!(purpose, Purpose::Run { .. });
    let is_read = is_run && reads_standings != Some(false);
    let standing = demand.standing.filter(|_| is_read);
    let mut ruling = exchange(shared, to, demand, purpose, standing).await;
    if ruling.is_none() && standing.is_some() && reads_standings.is_none() {
        ruling = exchange(shared, to, demand, purpose, None).await;
        let now = shared.clock.now();
        let mut quotas = shared.quotas.borrow_mut();
        // A lost datagram says nothing of the version.
        if ruling.is_some() && quotas.reads_standings(now, to).is_none() {
            quotas.record_reads_standings(now, to, false);
        }
    }
    if ruling.is_none() {
        let until = shared.clock.now() + SILENT_PERIOD;
        shared.quotas.borrow_mut().unresponsive.insert(to, until);
        log::info!(kind = "quota", peer = to.to_string(), ms = ANSWER_TIMEOUT.as_millis() as u64; "a quota keeper does not answer");
    }
    ruling
}

/// Sends one question to the daemon at `to`; `None` if it does not answer in time.
async fn exchange(
    shared: &Shared,
    to: SocketAddr,
    demand: Demand,
    purpose: Purpose,
    standing: Option<Standing>,
) -> Option<Ruling> {
    let now = shared.clock.now();
    let (answer, answered) = oneshot::channel();
    let number = rand::random_range(NO_REPLY + 1..=u32::MAX);
    {
        let mut quotas = shared.quotas.borrow_mut();
        quotas
            .pending
            .retain(|_, pending| now.since(pending.sent) < PENDING_TIMEOUT);
        let pending = Pending {
            to,
            demand,
            sent: now,
            answer,
        };
        quotas.pending.insert(number, pending);
    }
    let message = Message::asking(number, demand, purpose, standing);
    gossip::send_quota(shared, to, message).await;
    timeout(ANSWER_TIMEOUT, answered).await.ok()?.ok()
}
