//! Baselines: each daemon chooses for itself, without a reservation. They differ in how they pick
//! one of the open replicas of a role.

use std::time::Duration;

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

/// The replicas in turn.
pub const fn round_robin() -> Policy {
    baseline::<Turn>("round_robin")
}

/// The least loaded replica by the last report; ties are broken at random.
pub const fn least_loaded() -> Policy {
    baseline::<Least>("least_loaded")
}

/// The less loaded of two replicas drawn at random, by the last report and what this daemon has
/// sent since.
pub const fn two_choices() -> Policy {
    baseline::<Draw>("two_choices")
}

/// How one of the `open` replicas is picked; `open` may be empty.
trait Pick {
    fn pick(view: &mut View<'_>, open: &[Key]) -> Option<Key>;
}

struct Turn;
struct Least;
struct Draw;

impl Pick for Turn {
    fn pick(view: &mut View<'_>, open: &[Key]) -> Option<Key> {
        let at = view.turn as usize % open.len().max(1);
        open.get(at).copied()
    }
}

impl Pick for Least {
    fn pick(view: &mut View<'_>, open: &[Key]) -> Option<Key> {
        let load = |key: &Key| {
            let server = view.pool.get(*key);
            (server.reported, server.reported_tokens)
        };
        let least = open.iter().map(load).min()?;
        let tied = open.iter().copied().filter(|key| load(key) == least);
        let tied: Vec<Key> = tied.collect();
        let at = view.below(tied.len());
        tied.get(at).copied()
    }
}

impl Pick for Draw {
    fn pick(view: &mut View<'_>, open: &[Key]) -> Option<Key> {
        let (a, b) = (view.below(open.len()), view.below(open.len()));
        let (a, b) = (*open.get(a)?, *open.get(b)?);
        let load = |key: Key| view.pool.get(key).reported + view.pool.get(key).sent;
        Some(if load(b) < load(a) { b } else { a })
    }
}

const fn baseline<P: Pick>(name: &'static str) -> Policy {
    Policy {
        name,
        order,
        pair: pair::<P>,
        decode: |view, _| choose::<P>(view, Role::Decode),
        single: |view, _| choose::<P>(view, Role::Plain),
        secured: Secured::Nothing,
        fair: Fair::Window,
        scan: 1,
        foresight: false,
    }
}

fn order(ask: &Ask<'_>) -> Time {
    ask.due
}

fn choose<P: Pick>(view: &mut View<'_>, role: Role) -> Option<Key> {
    let servers = view.pool.iter();
    let open = servers.filter(|(_, server)| server.is_open() && server.member.role == role);
    let open: Vec<Key> = open.map(|(key, _)| key).collect();
    P::pick(view, &open)
}

/// A pair without predictions.
fn pair<P: Pick>(view: &mut View<'_>, _ask: &Ask<'_>) -> Result<Pair, Wait> {
    let prefill = choose::<P>(view, Role::Prefill).ok_or(Wait::Replica)?;
    let decode = choose::<P>(view, Role::Decode).ok_or(Wait::Replica)?;
    Ok(Pair {
        prefill,
        decode,
        span: Duration::ZERO,
        first: view.now,
        cached: 0.0,
        candidates: 1,
    })
}
