//! Decides on the quotas that this daemon keeps, and handles answers of other keepers.

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

/// Request number of a message that expects no answer.
pub const NO_REPLY: u32 = 0;

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

/// The message that refunds the units of `demand`.
pub const fn refund_message(demand: Demand) -> Message {
    Message::Ask {
        number: NO_REPLY,
        ask: demand.request(Purpose::GiveBack),
        limit: demand.limit,
    }
}

/// The answer to another daemon's request; `None` for a refund.
pub fn answer(shared: &Shared, number: u32, ask: QuotaRequest, limit: Limit) -> Option<Message> {
    let reply = decide(shared, &ask, limit);
    (ask.purpose != Purpose::GiveBack).then_some(Message::Told {
        number,
        told: reply,
    })
}

/// Handles the answer to a request of this daemon. If it is too late, the units that it grants are
/// unused: returns the refund and its recipient.
pub fn handle_answer(
    shared: &Shared,
    number: u32,
    reply: QuotaReply,
) -> Option<(SocketAddr, Message)> {
    let pending = shared.quotas.borrow_mut().pending.remove(&number)?;
    let is_unused = pending.answer.send(reply).is_err();
    let is_granted = matches!(reply.decision, Decision::Granted { .. });
    (is_unused && is_granted).then(|| (pending.to, refund_message(pending.demand)))
}
