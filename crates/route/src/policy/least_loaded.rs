//! Baseline: each daemon takes the least loaded replica by the last report.

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
        name: "least_loaded",
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

/// The replica of `role` with the least reported load; ties are broken at random.
fn least(view: &mut View<'_>, role: Role) -> Option<Key> {
    let open = round_robin::open(view, role);
    let load = |key: &Key| {
        (
            view.pool.get(*key).reported,
            view.pool.get(*key).reported_tokens,
        )
    };
    let least = open.iter().map(load).min()?;
    let tied: Vec<Key> = open
        .iter()
        .copied()
        .filter(|key| load(key) == least)
        .collect();
    let at = view.below(tied.len());
    tied.get(at).copied()
}

fn pair(view: &mut View<'_>, _ask: &Ask<'_>) -> Result<Pair, Wait> {
    let prefill = least(view, Role::Prefill).ok_or(Wait::Replica)?;
    let decode = least(view, Role::Decode).ok_or(Wait::Replica)?;
    Ok(round_robin::plain_pair(view, prefill, decode))
}

fn decode(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    least(view, Role::Decode)
}

fn single(view: &mut View<'_>, _ask: &Ask<'_>) -> Option<Key> {
    least(view, Role::Plain)
}
