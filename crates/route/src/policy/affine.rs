//! Third policy: a request waits for a prefill replica that holds its prefix if it gets its first
//! token there sooner, while others go first.

use crate::policy::Ask;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::policy::predicted;
use crate::policy::predicted::Sites;

/// Waiting requests that are considered when the first waits for a better replica.
const SCAN: usize = 12;
/// Weight of the prefill's own time against the time to the first token: time that a cached prefix
/// saves is there for the next request.
const SPAN_WEIGHT: f64 = 1.0;

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
    if predicted::is_full(view, ask, secured) {
        return Err(Wait::Slot);
    }
    let mut sites = Sites::new(view, ask);
    let keys = predicted::ready(view, ask);
    let priced = keys
        .iter()
        .filter_map(|key| predicted::price(view, ask, *key, &mut sites));
    let mut pairs: Vec<Pair> = priced.collect();
    predicted::keep_lasting(view, ask, &mut pairs);
    let cost = |pair: &&Pair| (pair.first + pair.span.mul_f64(SPAN_WEIGHT), pair.span);
    let best = pairs.iter().min_by_key(cost).ok_or(Wait::Replica)?;
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
