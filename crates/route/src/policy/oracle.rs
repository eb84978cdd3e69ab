//! Upper bound: the policy in force with known lengths, for a cell that sees all without delay.

use crate::policy::Ask;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::policy::affine;
use crate::policy::deadline;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "oracle",
        pair,
        secured: Secured::Known,
        ..deadline::policy()
    }
}

fn pair(view: &mut View<'_>, ask: &Ask<'_>) -> Result<Pair, Wait> {
    affine::choose(view, ask, Secured::Known)
}
