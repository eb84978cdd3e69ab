//! Baseline: each daemon compares two replicas drawn at random, without a reservation.
//!
//! The load compared is the last report plus what this daemon has sent since.

use crate::policy::Ask;
use crate::policy::Fair;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::policy::round_robin;
use crate::replica::Role;
use crate::server::Key;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "two_choices",
        order: round_robin::order,
        pair,
        decode,
        single,
        secured: Secured::Nothing,
        fair: Fair::Window,
        scan: 1,
        foresight: false,
    }
}

fn draw(view: &mut View<'_>, role: Role) -> Option<Key> {
    let open = round_robin::open(view, role);
    let (a, b) = (view.below(open.len()), view.below(open.len()));
    let (a, b) = (*open.get(a)?, *open.get(b)?);
    let load = |key: Key| view.pool.get(key).reported + view.pool.get(key).sent;
    Some(if load(b) < load(a) { b } else { a })
}

fn pair(view: &mut View<'_>, _ask: &Ask<'_>) -> Result<Pair, Wait> {
    let prefill = draw(view, Role::Prefill).ok_or(Wait::Replica)?;
    let decode = draw(view, Role::Decode).ok_or(Wait::Replica)?;
    Ok(round_robin::plain_pair(view, prefill, decode))
}

fn decode(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    draw(view, Role::Decode)
}

fn single(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    draw(view, Role::Plain)
}
