//! Third policy: a request takes the cheapest prefill replica that meets its target, and waits for
//! it while others go first.

use crate::policy::Ask;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::policy::predicted;

/// Waiting requests that are considered when the first waits for a better replica.
const SCAN: usize = 12;
/// Part of the remaining slack that may be spent on waiting for a cheaper replica.
const SLACK_PART: f64 = 0.5;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "affine",
        pair,
        scan: SCAN,
        ..predicted::policy()
    }
}

fn pair(view: &mut View<'_>, ask: &Ask<'_>) -> Result<Pair, Wait> {
    choose(view, ask, Secured::Learned)
}

pub(crate) fn choose(view: &mut View<'_>, ask: &Ask<'_>, secured: Secured) -> Result<Pair, Wait> {
    let sites = predicted::sites(view, ask);
    let keys = predicted::ready(view, ask);
    let priced = keys
        .iter()
        .filter_map(|key| predicted::price(view, ask, *key, &sites));
    let pairs: Vec<Pair> = priced.collect();
    let soonest = pairs
        .iter()
        .min_by_key(|pair| pair.first)
        .ok_or(Wait::Replica)?;
    let slack = ask.due.since(soonest.first).mul_f64(SLACK_PART);
    let limit = soonest.first + slack;
    let best = pairs
        .iter()
        .filter(|pair| pair.first <= limit)
        .min_by_key(|pair| (pair.span, pair.first))
        .unwrap_or(soonest);
    if view.ready(best.prefill) > view.horizon() {
        *view.promised.entry(best.prefill).or_default() += best.span;
        return Err(Wait::Replica);
    }
    predicted::secure(view, ask, best, secured)?;
    Ok(Pair {
        candidates: pairs.len() as u32,
        ..*best
    })
}
