//! Upper bound: the default policy with known lengths, for a pool that sees everything without
//! delay.

use crate::policy::Criteria;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::SecuredSlots;
use crate::policy::View;
use crate::policy::WaitReason;
use crate::policy::affine;
use crate::policy::deadline;

/// The deadline policy with known lengths.
pub const fn policy() -> Policy {
    Policy {
        name: "oracle",
        pair,
        secured: SecuredSlots::Known,
        ..deadline::policy()
    }
}

fn pair(view: &mut View<'_>, criteria: &Criteria<'_>) -> Result<Pair, WaitReason> {
    affine::choose(view, criteria, SecuredSlots::Known)
}
