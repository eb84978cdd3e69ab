//! Quotas that this daemon keeps for others, and answers of those that keep them for it.

use std::net::SocketAddr;

use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::quota::Limit;
use customer::subject::Subject;

use crate::quotas::Demand;
use crate::quotas::Message;
use crate::shared::Shared;

/// Number of what is told without a question.
pub const UNANSWERED: u32 = 0;

/// Decides on `ask`. A customer's quota in this daemon's own plan takes precedence over `limit`.
pub fn decide(shared: &Shared, ask: &QuotaRequest, limit: Limit) -> QuotaReply {
    let now = shared.clock.now();
    let limit = shared.quota_of(ask.subject).unwrap_or(limit);
    let tolerance = shared.settings().quota_tolerance();
    let role = role(shared, ask.subject);
    let since = shared.members.borrow().changed_at();
    let mut quotas = shared.quotas.borrow_mut();
    quotas
        .keeper
        .decide(now, since, role, limit, &tolerance, ask)
}

fn role(shared: &Shared, subject: Subject) -> Role {
    let members = shared.members.borrow();
    let keepers = members.keepers(subject.key());
    let own = members.own().instance();
    match keepers.first() {
        _ if !members.is_majority(shared.clock.now()) => Role::NoMajority,
        Some((first, _)) if *first == own => Role::Keeper,
        _ => Role::Deputy,
    }
}

/// The message that gives back what `demand` has taken.
pub const fn giving_back(demand: Demand) -> Message {
    Message::Ask {
        number: UNANSWERED,
        ask: demand.request(Purpose::GiveBack),
        limit: demand.limit,
    }
}

/// The answer to a question of another daemon, if it is to have one.
pub fn answer(shared: &Shared, number: u32, ask: QuotaRequest, limit: Limit) -> Option<Message> {
    let told = decide(shared, &ask, limit);
    (ask.purpose != Purpose::GiveBack).then_some(Message::Told { number, told })
}

/// Takes the answer to a question of this daemon. One that comes too late grants what nobody uses: what is to be told for that, and
/// where.
pub fn take_answer(
    shared: &Shared,
    number: u32,
    told: QuotaReply,
) -> Option<(SocketAddr, Message)> {
    let pending = shared.quotas.borrow_mut().pending.remove(&number)?;
    let is_unused = pending.answer.send(told).is_err();
    let is_granted = matches!(told.decision, Decision::Granted { .. });
    (is_unused && is_granted).then(|| (pending.to, giving_back(pending.demand)))
}
