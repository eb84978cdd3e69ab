//! Baseline: each daemon takes the replicas in turn.

use ident::Time;

use crate::policy::Ask;
use crate::policy::Fair;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::replica::Role;
use crate::server::Key;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "round_robin",
        order,
        pair,
        decode,
        single,
        secured: Secured::Nothing,
        fair: Fair::Window,
        scan: 1,
        foresight: false,
    }
}

pub(crate) fn order(ask: &Ask<'_>) -> Time {
    ask.due
}

/// Open replicas of `role`.
pub(crate) fn open(view: &View<'_>, role: Role) -> Vec<Key> {
    let open = view
        .pool
        .iter()
        .filter(|(_, s)| s.is_open() && s.member.role == role);
    open.map(|(key, _)| key).collect()
}

fn turn(view: &View<'_>, role: Role) -> Option<Key> {
    let open = open(view, role);
    let at = view.turn as usize % open.len().max(1);
    open.get(at).copied()
}

/// A pair without predictions.
pub(crate) fn plain_pair(view: &View<'_>, prefill: Key, decode: Key) -> Pair {
    let span = std::time::Duration::ZERO;
    Pair {
        prefill,
        decode,
        span,
        first: view.now,
        cached: 0.0,
        candidates: 1,
    }
}

fn pair(view: &mut View<'_>, _ask: &Ask<'_>) -> Result<Pair, Wait> {
    let prefill = turn(view, Role::Prefill).ok_or(Wait::Replica)?;
    let decode = turn(view, Role::Decode).ok_or(Wait::Replica)?;
    Ok(plain_pair(view, prefill, decode))
}

fn decode(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    turn(view, Role::Decode)
}

fn single(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    turn(view, Role::Plain)
}
