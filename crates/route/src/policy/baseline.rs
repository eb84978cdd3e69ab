//! Baseline policies: each daemon chooses a replica by itself, without a reservation. They differ
//! in how they select one of the open replicas of a role.

use std::time::Duration;

use ident::Time;

use crate::policy::Criteria;
use crate::policy::Fairness;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::SecuredSlots;
use crate::policy::View;
use crate::policy::WaitReason;
use crate::replica::Role;
use crate::server::ReplicaKey;

/// Selects the replicas in turn.
pub const fn round_robin() -> Policy {
    baseline::<RoundRobin>("round_robin")
}

/// Selects the least loaded replica by the last report; ties are broken at random.
pub const fn least_loaded() -> Policy {
    baseline::<LeastLoaded>("least_loaded")
}

/// Selects the less loaded of two random replicas, by the last report and the requests that this
/// daemon has sent since.
pub const fn two_choices() -> Policy {
    baseline::<TwoChoices>("two_choices")
}

/// Selects one of the `open` replicas, which may be empty.
trait Pick {
    fn pick(view: &mut View<'_>, open: &[ReplicaKey]) -> Option<ReplicaKey>;
}

struct RoundRobin;
struct LeastLoaded;
struct TwoChoices;

impl Pick for RoundRobin {
    fn pick(view: &mut View<'_>, open: &[ReplicaKey]) -> Option<ReplicaKey> {
        let at = view.sequence as usize % open.len().max(1);
        open.get(at).copied()
    }
}

impl Pick for LeastLoaded {
    fn pick(view: &mut View<'_>, open: &[ReplicaKey]) -> Option<ReplicaKey> {
        let load = |key: &ReplicaKey| {
            let server = view.pool.get(*key);
            (server.reported_load, server.reported_tokens)
        };
        let least = open.iter().map(load).min()?;
        let tied = open.iter().copied().filter(|key| load(key) == least);
        let tied: Vec<ReplicaKey> = tied.collect();
        let at = view.random_below(tied.len());
        tied.get(at).copied()
    }
}

impl Pick for TwoChoices {
    fn pick(view: &mut View<'_>, open: &[ReplicaKey]) -> Option<ReplicaKey> {
        let (a, b) = (view.random_below(open.len()), view.random_below(open.len()));
        let (a, b) = (*open.get(a)?, *open.get(b)?);
        let load = |key: ReplicaKey| {
            view.pool.get(key).reported_load + view.pool.get(key).sent_since_report
        };
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
        secured: SecuredSlots::Nothing,
        fair: Fairness::Window,
        scan_limit: 1,
        refuse_early: false,
    }
}

fn order(criteria: &Criteria<'_>) -> Time {
    criteria.due
}

fn choose<P: Pick>(view: &mut View<'_>, role: Role) -> Option<ReplicaKey> {
    let servers = view.pool.iter();
    let open = servers.filter(|(_, server)| server.is_open() && server.member.role == role);
    let open: Vec<ReplicaKey> = open.map(|(key, _)| key).collect();
    P::pick(view, &open)
}

/// A pair without estimates.
fn pair<P: Pick>(view: &mut View<'_>, _criteria: &Criteria<'_>) -> Result<Pair, WaitReason> {
    let prefill = choose::<P>(view, Role::Prefill).ok_or(WaitReason::Replica)?;
    let decode = choose::<P>(view, Role::Decode).ok_or(WaitReason::Replica)?;
    Ok(Pair {
        prefill,
        decode,
        prefill_time: Duration::ZERO,
        first_token: view.now,
        cached: 0.0,
        candidates: 1,
    })
}
