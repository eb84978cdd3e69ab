//! Decides on the quotas that this daemon keeps, and handles answers of other keepers.

use std::net::SocketAddr;

use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::Ruling;
use customer::keeper::View;
use customer::quota::Limit;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;

use crate::quotas::Demand;
use crate::quotas::Message;
use crate::shared::Shared;

/// Request number of a message that expects no answer.
pub const NO_REPLY: u32 = 0;

/// Decides on `ask`. A customer's quota in this daemon's own plan takes precedence over `limit`.
pub fn decide(
    shared: &Shared,
    ask: &QuotaRequest,
    limit: Limit,
    standing: Option<Standing>,
) -> Ruling {
    let now = shared.clock.now();
    let limit = shared.quota_of(ask.subject).unwrap_or(limit);
    let tolerance = shared.settings().quota_tolerance();
    let view = view(shared, now, ask.subject);
    let ask = ask.ranked(standing.unwrap_or(Standing::PLAIN));
    let mut quotas = shared.quotas.borrow_mut();
    quotas.keeper.decide(now, &view, limit, &tolerance, &ask)
}

fn view(shared: &Shared, now: Time, subject: Subject) -> View {
    let members = shared.members.borrow();
    let key = subject.key();
    let own = members.own().instance();
    let role = match members.keepers(key).first() {
        _ if !members.is_majority(now) => Role::NoMajority,
        Some((first, _)) if *first == own => Role::Keeper,
        _ => Role::Deputy,
    };
    View::new(role, members.changed_at()).with_keeper_since(members.keeper_since(now, key))
}

/// The message that refunds the units of `demand`.
pub const fn refund_message(demand: Demand) -> Message {
    Message::Ask {
        number: NO_REPLY,
        ask: demand.request(Purpose::GiveBack),
        limit: demand.limit,
    }
}

/// Handles a message of the daemon at `from`; returns what is to be sent and its recipient.
pub fn receive(
    shared: &Shared,
    from: SocketAddr,
    message: Message,
) -> Option<(SocketAddr, Message)> {
    match message {
        Message::Ask { number, ask, limit } => {
            let answer = answer(shared, from, number, ask, limit, None)?;
            Some((from, answer))
        }
        Message::Ask2 {
            number,
            ask,
            limit,
            standing,
        } => {
            let answer = answer(shared, from, number, ask, limit, Some(standing))?;
            Some((from, answer))
        }
        Message::Told { number, told } => {
            let ruling = Ruling {
                reply: told,
                ahead: 0.0,
            };
            handle_answer(shared, number, ruling)
        }
        Message::Told2 {
            number,
            told,
            ahead,
        } => {
            let now = shared.clock.now();
            let mut quotas = shared.quotas.borrow_mut();
            quotas.record_reads_standings(now, from, true);
            drop(quotas);
            handle_answer(shared, number, Ruling { reply: told, ahead })
        }
    }
}

/// The answer to the request of the daemon at `from`; `None` for a refund.
fn answer(
    shared: &Shared,
    from: SocketAddr,
    number: u32,
    ask: QuotaRequest,
    limit: Limit,
    standing: Option<Standing>,
) -> Option<Message> {
    if !ask.is_valid() {
        log_bad_units(shared, from, &ask);
    }
    let Ruling { reply: told, ahead } = decide(shared, &ask, limit, standing);
    let answer = match standing {
        None => Message::Told { number, told },
        Some(_) => Message::Told2 {
            number,
            told,
            ahead,
        },
    };
    (ask.purpose != Purpose::GiveBack).then_some(answer)
}

fn log_bad_units(shared: &Shared, from: SocketAddr, ask: &QuotaRequest) {
    if shared
        .quotas
        .borrow_mut()
        .logs_bad_units(shared.clock.now())
    {
        log::warn!(kind = "quota", peer = from.to_string(), units = ask.units.to_string(); "a daemon asks for units that cannot be counted");
    }
}

/// Handles the answer to a request of this daemon. If it is too late, the units that it grants are
/// unused: returns the refund and its recipient.
fn handle_answer(shared: &Shared, number: u32, ruling: Ruling) -> Option<(SocketAddr, Message)> {
    let pending = shared.quotas.borrow_mut().pending.remove(&number)?;
    let is_unused = pending.answer.send(ruling).is_err();
    let is_granted = matches!(ruling.reply.decision, Decision::Granted { .. });
    (is_unused && is_granted).then(|| (pending.to, refund_message(pending.demand)))
}
