//! Prefix-affine policy: a request waits for a prefill replica that holds its prefix if its first
//! token comes sooner there, while others go first.

use crate::policy::Criteria;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::SecuredSlots;
use crate::policy::View;
use crate::policy::WaitReason;
use crate::policy::predicted;
use crate::policy::predicted::DecodeSites;

/// Waiting requests to try when the first waits for a better replica.
const SCAN_LIMIT: usize = 12;
/// Weight of the prefill time against the time to the first token: time saved by a cached prefix is
/// available to the next request.
const PREFILL_TIME_WEIGHT: f64 = 1.0;

/// Extends the predicted policy by waiting for a cached prefix.
pub const fn policy() -> Policy {
    Policy {
        name: "affine",
        pair,
        scan_limit: SCAN_LIMIT,
        ..predicted::policy()
    }
}

fn pair(view: &mut View<'_>, criteria: &Criteria<'_>) -> Result<Pair, WaitReason> {
    choose(view, criteria, SecuredSlots::Learned)
}

pub(crate) fn choose(
    view: &mut View<'_>,
    criteria: &Criteria<'_>,
    secured: SecuredSlots,
) -> Result<Pair, WaitReason> {
    if predicted::is_full(view, criteria, secured) {
        return Err(WaitReason::Slot);
    }
    let mut sites = DecodeSites::new(view, criteria);
    let keys = predicted::prefill_candidates(view, criteria);
    let estimates = keys
        .iter()
        .filter_map(|key| predicted::estimate_pair(view, criteria, *key, &mut sites));
    let mut pairs: Vec<Pair> = estimates.collect();
    predicted::retain_viable(view, criteria, &mut pairs);
    let cost = |pair: &&Pair| {
        (
            pair.first_token + pair.prefill_time.mul_f64(PREFILL_TIME_WEIGHT),
            pair.prefill_time,
        )
    };
    let best = pairs.iter().min_by_key(cost).ok_or(WaitReason::Replica)?;
    if view.ready_at(best.prefill) > view.horizon() {
        *view.deferred_prefills.entry(best.prefill).or_default() += best.prefill_time;
        return Err(WaitReason::Replica);
    }
    predicted::check_slot(view, criteria, best, secured)?;
    Ok(Pair {
        candidates: pairs.len() as u32,
        ..*best
    })
}
